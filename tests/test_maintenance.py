"""Maintenance orders and the drain of clients, compared with simple models."""

from pathlib import Path

from helpers import endpoint
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.discovery.maintenance import RECENT_IDS_LIMIT, Maintenance, MaintenanceFile
from message_sender.handover.drain import EXIT_DELAY_S, GRACE_S, Drain, DrainPhase
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import EndpointState, ListingKind

NAMES = ("a", "b", "c")
STATES = st.sampled_from(list(EndpointState))
UPDATES = st.tuples(
    st.just("update"),
    st.sampled_from([ListingKind.CHANGES, ListingKind.FULL, ListingKind.FAILED]),
    st.dictionaries(st.sampled_from(NAMES), STATES, max_size=3),
)
ORDERS = st.tuples(st.sampled_from(["out", "back"]), st.sampled_from(NAMES), st.none())


class EngineView:
    """The state of each endpoint that an engine derives from the updates alone."""

    def __init__(self) -> None:
        self.states: dict[str, EndpointState] = {}
        self.warmed_up: list[str] = []

    def apply(self, update: EndpointsUpdated | None) -> None:
        if update is None or update.listing is ListingKind.FAILED:
            return
        if update.listing is ListingKind.FULL:
            self.states = {}
        self.states |= {each.id: each.state for each in update.endpoints}
        self.warmed_up += update.returned


@settings(derandomize=True, max_examples=300)
@given(st.lists(UPDATES | ORDERS, max_size=25))
def test_endpoint_out_of_service_is_never_ready_and_is_warmed_up_after_its_return(steps: list) -> None:
    layer, view = Maintenance(), EngineView()
    listed: dict[str, EndpointState] = {}
    out: set[str] = set()
    to_warm_up: set[str] = set()  # ordered back, not ready since
    for kind, what, states in steps:
        view.warmed_up = []
        if kind == "update":
            if what is ListingKind.FULL:
                listed = {}
            if what is not ListingKind.FAILED:
                listed |= states
            update = EndpointsUpdated(what, tuple(endpoint(x, state=y) for x, y in states.items()))
            view.apply(layer.apply_update(update))
        elif kind == "out":
            to_warm_up.discard(what)
            out.add(what)
            view.apply(layer.take_out_of_service(what))
        else:
            if what in out:
                to_warm_up.add(what)
            out.discard(what)
            view.apply(layer.return_to_service(what))
        ready = {name for name, state in view.states.items() if state is EndpointState.READY}
        assert ready == {x for x, y in listed.items() if y is EndpointState.READY} - out
        assert set(view.warmed_up) <= to_warm_up
        to_warm_up -= set(view.warmed_up)
        assert not to_warm_up & ready


def test_recently_removed_ids_stay_known_up_to_the_limit() -> None:
    layer = Maintenance()
    names = [f"r{at}" for at in range(RECENT_IDS_LIMIT + 1)]
    layer.apply_update(EndpointsUpdated(ListingKind.FULL, tuple(map(endpoint, names))))
    assert layer.is_known("r0") and not layer.is_known("other")
    layer.apply_update(EndpointsUpdated(ListingKind.FULL, ()))
    assert sum(map(layer.is_known, names)) == RECENT_IDS_LIMIT


def test_orders_are_loaded_completely_or_not_at_all(tmp_path: Path) -> None:
    file = MaintenanceFile(tmp_path)
    assert file.load() == ([], False)
    file.save({"b", "a"}, True)
    assert file.load() == (["a", "b"], True)
    for invalid in (
        '{"out": ["a"',
        "[]",
        '{"out": "a", "away": true}',
        '{"out": [1], "away": 1}',
        '{"away": true}',
    ):
        file.path.write_text(invalid)
        assert file.load() == ([], False)


STEPS = st.lists(
    st.tuples(st.sampled_from(["fail", "ok", "stop", "wait"]), st.floats(0, 2, allow_nan=False)), max_size=12
)


@settings(derandomize=True, max_examples=300)
@given(STEPS)
def test_drain_lasts_from_the_first_order_until_it_is_cancelled(steps: list) -> None:
    drain, now = Drain(), 0.0
    ordered: float | None = None
    stopped: float | None = None
    for action, elapsed in steps:
        now += elapsed
        if action == "fail":
            drain.start(now)
            ordered = now if ordered is None else ordered
        elif action == "ok":
            drain.cancel()
            ordered = None
        elif action == "stop":
            drain.terminate(now)
            stopped = now if stopped is None else stopped
        since = min((each for each in (ordered, stopped) if each is not None), default=None)
        expected = (
            DrainPhase.SERVING
            if since is None
            else DrainPhase.DRAINING
            if now < since + GRACE_S
            else DrainPhase.DRAINED
        )
        assert drain.phase(now) is expected
        assert drain.is_listening(now) == (stopped is None or now < stopped + GRACE_S)
        assert drain.exit_at_s() == (None if stopped is None else stopped + EXIT_DELAY_S)
