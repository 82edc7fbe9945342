"""The store of the control plane: compare-and-set, request ids, and deltas over several versions."""

import random
from collections.abc import Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.control.document import Document
from message_sender.control.messages import (
    CHANGE_BYTES_LIMIT,
    Change,
    ChangeResult,
    LogEntry,
    Outcome,
    Resource,
)
from message_sender.control.store import ChangeFormatError, ConfigurationStore, decode_change, encode_change


def put(name: str, value: bytes = b"1") -> tuple[Resource, ...]:
    return (Resource(name, value),)


class Log:
    """Appends changes and applies them to stores."""

    def __init__(self, *stores: ConfigurationStore) -> None:
        self.stores = stores or (ConfigurationStore(),)
        self.index = 0

    def change(
        self, request_id: str, base: int, puts: Iterable[Resource] = (), deletes: Iterable[str] = ()
    ) -> ChangeResult:
        result = self.append(encode_change(Change(request_id, base, tuple(puts), tuple(deletes))))
        assert result is not None
        return result

    def append(self, data: bytes) -> ChangeResult | None:
        self.index += 1
        results = [store.apply(LogEntry(self.index, 1, data)) for store in self.stores]
        assert all(result == results[0] for result in results)
        return results[0]


def test_a_change_raises_the_version_by_one() -> None:
    log = Log()
    result = log.change("a", 0, put("endpoints/x"))
    assert (result.outcome, result.version) == (Outcome.APPLIED, 1)
    assert log.stores[0].document.resources == {"endpoints/x": b"1"}


def test_a_change_against_another_version_gets_a_conflict_with_the_current_version() -> None:
    log = Log()
    log.change("a", 0, put("x"))
    for base in (0, 2):
        result = log.change(f"b{base}", base, put("y"))
        assert (result.outcome, result.version) == (Outcome.CONFLICT, 1)
    assert "y" not in log.stores[0].document.resources


def test_a_repeated_request_is_applied_once_and_gets_the_same_answer() -> None:
    log = Log()
    first = log.change("a", 0, put("x"))
    log.change("b", 1, put("y"))
    assert log.change("a", 0, put("x")) == first
    assert log.stores[0].document.version == 2
    assert log.stores[0].known_result("a") == first


def test_a_repeated_request_after_a_conflict_gets_the_same_answer() -> None:
    log = Log()
    first = log.change("a", 1, put("x"))
    log.change("b", 0, put("y"))
    assert log.change("a", 1, put("x")) == first
    assert first.outcome is Outcome.CONFLICT and log.stores[0].document.version == 1


def test_request_ids_are_bounded_and_the_oldest_is_dropped_first() -> None:
    store = ConfigurationStore(results_limit=2)
    log = Log(store)
    for number, name in enumerate("abc"):
        log.change(name, number, put(name))
    assert store.known_result("a") is None
    assert store.known_result("b") is not None and store.known_result("c") is not None
    assert log.change("a", 0, put("a")).outcome is Outcome.CONFLICT, "the change must not be made twice"


def test_an_entry_is_applied_only_once() -> None:
    store = ConfigurationStore()
    entry = LogEntry(1, 1, encode_change(Change("a", 0, put("x"), ())))
    assert store.apply(entry) is not None
    assert store.apply(entry) is None
    assert store.document.version == 1


def test_an_empty_entry_changes_nothing() -> None:
    log = Log()
    assert log.append(b"") is None
    assert log.stores[0].document.version == 0


@pytest.mark.parametrize(
    ("puts", "deletes"),
    [((), ("gone",)), ((*put("x"), *put("x")), ()), (put("x", b"2"), ("x",))],
    ids=["deletes what is not there", "puts twice", "puts and deletes"],
)
def test_a_change_that_does_not_fit_is_invalid_and_changes_nothing(
    puts: tuple[Resource, ...], deletes: tuple[str, ...]
) -> None:
    log = Log()
    log.change("a", 0, put("x"))
    result = log.change("b", 1, puts, deletes)
    assert result.outcome is Outcome.INVALID and result.faults
    assert log.stores[0].document.version == 1 and log.stores[0].document.resources == {"x": b"1"}


@pytest.mark.parametrize("data", [b"\xc1", b"\x93\x01\x02\x03", b"x" * (CHANGE_BYTES_LIMIT + 1)])
def test_an_entry_that_is_not_a_change_is_invalid_on_every_node(data: bytes) -> None:
    log = Log(ConfigurationStore(), ConfigurationStore())
    result = log.append(data)
    assert result is not None and result.outcome is Outcome.INVALID
    assert log.stores[0].document.version == 0


def test_the_size_of_changes_is_bounded_and_they_are_decoded_unchanged() -> None:
    change = Change("a", 3, put("x"), ("y",), "me")
    assert decode_change(encode_change(change)) == change
    with pytest.raises(ChangeFormatError):
        encode_change(Change("a", 0, put("x", b"1" * CHANGE_BYTES_LIMIT), ()))
    for request_id in ("", "a" * 65):
        with pytest.raises(ChangeFormatError):
            decode_change(encode_change(Change(request_id, 0, (), ())))


def test_a_put_followed_by_a_delete_is_omitted_for_senders_that_never_had_the_resource() -> None:
    log = Log()
    log.change("a", 0, put("old"))
    log.change("b", 1, put("new"))
    log.change("c", 2, (), ("new",))
    log.change("d", 3, (), ("old",))
    store = log.stores[0]
    deletes = [delta.delete for delta in map(store.delta_from, range(4)) if delta]
    assert deletes == [(), ("old",), ("new", "old"), ("old",)]
    assert store.delta_from(4) is None


def test_the_history_is_bounded_by_versions_and_by_bytes() -> None:
    few, small = ConfigurationStore(history_limit=3), ConfigurationStore(history_bytes_limit=450)
    log = Log(few, small)
    for number in range(10):
        log.change(str(number), number, put("name"))
    assert few.oldest_version == 7 and few.delta_from(6) is None and few.delta_from(7) is not None
    assert small.history_bytes <= 450 and small.oldest_version == 6


def test_a_delta_that_would_be_too_large_is_none() -> None:
    store = ConfigurationStore()
    log = Log(store)
    for number in range(3):
        log.change(str(number), number, put(f"{number}", b"1" * 16_000))
    assert store.delta_from(0) is None
    assert [store.delta_from(version) is None for version in range(3)] == [True, False, False]


def test_the_largest_single_change_fits_a_delta() -> None:
    log = Log()
    log.change("a", 0, put("x", b"1" * (CHANGE_BYTES_LIMIT - 100)))
    assert log.stores[0].delta_from(0) is not None


steps = st.lists(
    st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 3)), max_size=3, unique_by=lambda x: x[0]),
    max_size=12,
)


@settings(max_examples=150, derandomize=True, database=None, deadline=None)
@given(steps)
def test_a_merged_delta_leads_from_any_version_to_the_current_one(
    changes: list[list[tuple[str, int]]],
) -> None:
    store = ConfigurationStore()
    log = Log(store)
    documents = [Document()]
    for number, touched in enumerate(changes):
        deletes = [name for name, value in touched if value == 0 and name in store.document.resources]
        puts = [Resource(name, b"%d" % value) for name, value in touched if value]
        assert log.change(str(number), number, puts, deletes).outcome is Outcome.APPLIED
        documents.append(Document(store.document.version, store.document.resources))
    for document in documents[:-1]:
        delta = store.delta_from(document.version)
        assert delta is not None
        document.apply(delta)
        assert document.resources == store.document.resources
        assert document.digest == Document(0, document.resources).digest


def test_stores_that_apply_the_same_log_are_equal() -> None:
    rng = random.Random(47)
    stores = ConfigurationStore(results_limit=5), ConfigurationStore(results_limit=5)
    log = Log(*stores)
    for _ in range(300):
        base = max(0, stores[0].document.version - rng.randrange(2))
        log.change(str(rng.randrange(20)), base, put(rng.choice("xyz"), b"%d" % rng.randrange(9)))
    assert stores[0].document.digest == stores[1].document.digest
    assert 20 < stores[0].document.version == stores[1].document.version
