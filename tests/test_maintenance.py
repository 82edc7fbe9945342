"""Receivers that are out, and how clients are sent away, against plain models."""

from pathlib import Path

from helpers import endpoint
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.discovery.maintenance import LATELY, Maintenance, MaintenanceFile
from message_sender.handover.drain import GRACE, STOP, Drain, DrainPhase
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import EndpointState, ListingKind

NAMES = ("a", "b", "c")
STATES = st.sampled_from(list(EndpointState))
NEWS = st.tuples(
    st.just("news"),
    st.sampled_from([ListingKind.CHANGES, ListingKind.FULL, ListingKind.FAILED]),
    st.dictionaries(st.sampled_from(NAMES), STATES, max_size=3),
)
ORDERS = st.tuples(st.sampled_from(["out", "back"]), st.sampled_from(NAMES), st.none())


class Told:
    """What an engine would believe: the state of each receiver, by the news alone."""

    def __init__(self) -> None:
        self.states: dict[str, EndpointState] = {}
        self.warmed: list[str] = []

    def hear(self, news: EndpointsUpdated | None) -> None:
        if news is None or news.listing is ListingKind.FAILED:
            return
        if news.listing is ListingKind.FULL:
            self.states = {}
        self.states |= {each.id: each.state for each in news.endpoints}
        self.warmed += news.returned


@settings(derandomize=True, max_examples=300)
@given(st.lists(NEWS | ORDERS, max_size=25))
def test_what_is_out_is_never_told_as_ready_and_is_warmed_once_it_is_back(steps: list) -> None:
    layer, engine = Maintenance(), Told()
    listed: dict[str, EndpointState] = {}
    out: set[str] = set()
    owed: set[str] = set()  # to be warmed when it is next told as ready
    for kind, what, states in steps:
        engine.warmed = []
        if kind == "news":
            if what is ListingKind.FULL:
                listed = {}
            if what is not ListingKind.FAILED:
                listed |= states
            news = EndpointsUpdated(what, tuple(endpoint(x, state=y) for x, y in states.items()))
            engine.hear(layer.hear(news))
        elif kind == "out":
            owed.discard(what)
            out.add(what)
            engine.hear(layer.take_out(what))
        else:
            if what in out:
                owed.add(what)
            out.discard(what)
            engine.hear(layer.put_back(what))
        ready = {name for name, state in engine.states.items() if state is EndpointState.READY}
        assert ready == {x for x, y in listed.items() if y is EndpointState.READY} - out
        assert set(engine.warmed) <= owed
        owed -= set(engine.warmed)
        assert not owed & ready


def test_an_id_that_has_left_is_known_for_a_while() -> None:
    layer = Maintenance()
    names = [f"r{at}" for at in range(LATELY + 1)]
    layer.hear(EndpointsUpdated(ListingKind.FULL, tuple(map(endpoint, names))))
    assert layer.knows("r0") and not layer.knows("other")
    layer.hear(EndpointsUpdated(ListingKind.FULL, ()))
    assert sum(map(layer.knows, names)) == LATELY


def test_orders_are_read_as_they_were_saved_or_not_at_all(tmp_path: Path) -> None:
    record = MaintenanceFile(tmp_path)
    assert record.load() == ([], False)
    record.save({"b", "a"}, True)
    assert record.load() == (["a", "b"], True)
    for torn in (
        '{"out": ["a"',
        "[]",
        '{"out": "a", "away": true}',
        '{"out": [1], "away": 1}',
        '{"away": true}',
    ):
        record.path.write_text(torn)
        assert record.load() == ([], False)


STEPS = st.lists(
    st.tuples(st.sampled_from(["fail", "ok", "stop", "wait"]), st.floats(0, 2, allow_nan=False)), max_size=12
)


@settings(derandomize=True, max_examples=300)
@given(STEPS)
def test_clients_are_sent_away_from_the_first_order_until_it_is_taken_back(steps: list) -> None:
    drain, now = Drain(), 0.0
    ordered: float | None = None
    stopped: float | None = None
    for what, later in steps:
        now += later
        if what == "fail":
            drain.fail(now)
            ordered = now if ordered is None else ordered
        elif what == "ok":
            drain.ok()
            ordered = None
        elif what == "stop":
            drain.stop(now)
            stopped = now if stopped is None else stopped
        since = min((each for each in (ordered, stopped) if each is not None), default=None)
        expected = (
            DrainPhase.SERVING
            if since is None
            else DrainPhase.LEAVING
            if now < since + GRACE
            else DrainPhase.AWAY
        )
        assert drain.phase(now) is expected
        assert drain.listens(now) == (stopped is None or now < stopped + GRACE)
        assert drain.ends_at() == (None if stopped is None else stopped + STOP)
