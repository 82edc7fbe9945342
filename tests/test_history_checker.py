"""Tests of the history checker: valid histories give no violation, and forged ones violate one rule each."""

import pytest

from message_sender.policy.model import Effect
from message_sender.testbed.history import (
    AttemptFinished,
    AttemptStarted,
    EffectApplied,
    EndpointDrained,
    HistoryEvent,
    MessageAdmitted,
    MessageCompleted,
    MessageRejected,
    Outage,
    SenderRestarted,
)
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules

RULES = Rules(
    {
        "safe": ClassRule(),
        "keyed": ClassRule(Effect.KEYED, 5.0),
        "zoned": ClassRule(Effect.KEYED, 5.0, is_zonal=True),
        "unsafe": ClassRule(Effect.UNSAFE),
        "ordered": ClassRule(Effect.KEYED, 5.0, is_ordered=True),
    },
    zones={"a": "x", "b": "y"},
    destinations={"a": 1, "b": 1, "c": 2},
    capacity={1: 10.0},
)


def admitted(
    name: str, kind: str = "safe", at: float = 0.0, until: float = 8.0, key: str = ""
) -> MessageAdmitted:
    """Return the admission of a message for destination 1 with the deadline `until`."""
    return MessageAdmitted(at, name, kind, 1, until, key)


def call(
    number: int,
    name: str,
    began: float,
    ended: float,
    ran: EffectApplied = EffectApplied.YES,
    to: str = "a",
    wait: float = 0.0,
) -> list[HistoryEvent]:
    """Return the start and the end of a call; `wait` is the Retry-After of the answer in seconds."""
    return [AttemptStarted(began, name, to, number), AttemptFinished(ended, number, ran, wait)]


def delivered(name: str, at: float) -> MessageCompleted:
    """Return the completion of a message as delivered."""
    return MessageCompleted(at, name, "delivered")


def violated_rules(*events: HistoryEvent | list[HistoryEvent], until: float = 3.0) -> set[str]:
    """Return the names of the rules that a history up to `until` violates."""
    flat = [event for item in events for event in (item if isinstance(item, list) else [item])]
    return {violation.rule for violation in HistoryChecker(RULES).check(flat, until)}


VALID: dict[str, list[HistoryEvent | list[HistoryEvent]]] = {
    "served": [admitted("m"), call(1, "m", 0.1, 0.2), delivered("m", 0.2)],
    "a call in flight and no deadline passed": [admitted("m"), [AttemptStarted(0.1, "m", "a", 1)]],
    "rejected, then sent again after the wait": [
        admitted("m", "unsafe"),
        call(1, "m", 0.1, 0.2, EffectApplied.NEVER, wait=0.5),
        call(2, "m", 0.7, 0.8),
        delivered("m", 0.8),
    ],
    "a call that starts within the grace after a Retry-After": [
        admitted("m"),
        admitted("n"),
        call(1, "m", 0.1, 0.2, EffectApplied.NEVER, wait=1.0),
        call(2, "n", 0.25, 0.3),
        delivered("n", 0.3),
    ],
    "sent again within the idempotency window": [
        admitted("m", "zoned"),
        call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
        call(2, "m", 4.0, 4.1),
        delivered("m", 4.1),
    ],
    "messages of a key in order, after the pause": [
        admitted("m", "ordered", key="k"),
        admitted("n", "ordered", key="k"),
        call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
        MessageCompleted(0.21, "m", "failed"),
        call(2, "n", 0.31, 0.4),
        delivered("n", 0.4),
    ],
    "refused after a call without effect": [
        admitted("m", "unsafe"),
        call(1, "m", 0.1, 0.2, EffectApplied.NEVER),
        MessageCompleted(0.3, "m", "refused"),
    ],
    "rejected without a call": [MessageRejected(0.0, "m")],
    "a call within the drain grace": [
        admitted("m"),
        EndpointDrained(0.0, "a"),
        call(1, "m", 0.4, 0.5),
        delivered("m", 0.5),
    ],
    "in flight at a restart, then sent again": [
        admitted("m"),
        [AttemptStarted(0.1, "m", "a", 1)],
        SenderRestarted(0.5),
        call(2, "m", 0.7, 0.8),
        delivered("m", 0.8),
    ],
    "slow start after an outage": [
        Outage(0.0, 1.0, 1),
        *(admitted(f"m{each}") for each in range(4)),
        *(call(each, f"m{each}", 1.0 + each / 2, 1.1 + each / 2) for each in range(4)),
        *(delivered(f"m{each}", 1.1 + each / 2) for each in range(4)),
    ],
}


@pytest.mark.parametrize("name", VALID)
def test_valid_history_has_no_violation(name: str) -> None:
    assert violated_rules(*VALID[name]) == set()


FORGED: dict[str, tuple[str, list[HistoryEvent | list[HistoryEvent]]]] = {
    "not completed": ("one end", [admitted("m", until=1.0)]),
    "completed too late": (
        "one end",
        [admitted("m", until=1.0), call(1, "m", 1.3, 1.4), delivered("m", 1.4)],
    ),
    "completed twice": (
        "one end",
        [admitted("m"), call(1, "m", 0.1, 0.2), delivered("m", 0.2), MessageCompleted(0.3, "m", "failed")],
    ),
    "delivered after a call without effect": (
        "one end",
        [admitted("m"), call(1, "m", 0.1, 0.2, EffectApplied.NEVER), delivered("m", 0.3)],
    ),
    "delivered without a call": ("one end", [admitted("m"), delivered("m", 0.3)]),
    "rejected, but called": ("one end", [MessageRejected(0.0, "m"), call(1, "m", 0.1, 0.2)]),
    "an unsafe message sent again after a call without an answer": (
        "no effect twice",
        [
            admitted("m", "unsafe"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            call(2, "m", 0.3, 0.4),
            delivered("m", 0.4),
        ],
    ),
    "an unsafe message sent again after an answer": (
        "no effect twice",
        [admitted("m", "unsafe"), call(1, "m", 0.1, 0.2), call(2, "m", 0.3, 0.4), delivered("m", 0.4)],
    ),
    "sent again after the idempotency window": (
        "no effect twice",
        [
            admitted("m", "keyed"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            call(2, "m", 5.2, 5.3),
            delivered("m", 5.3),
        ],
    ),
    "sent again in another zone": (
        "no effect twice",
        [
            admitted("m", "zoned"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            call(2, "m", 0.3, 0.4, to="b"),
            delivered("m", 0.4),
        ],
    ),
    "refused after a call that may have had its effect": (
        "no effect twice",
        [
            admitted("m", "unsafe"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            MessageCompleted(0.3, "m", "refused"),
        ],
    ),
    "an unsafe message sent again after a restart": (
        "no effect twice",
        [
            admitted("m", "unsafe"),
            [AttemptStarted(0.1, "m", "a", 1)],
            SenderRestarted(0.5),
            call(2, "m", 0.7, 0.8),
            delivered("m", 0.8),
        ],
    ),
    "two calls of a message in flight at once": (
        "one at a time",
        [admitted("m"), [AttemptStarted(0.1, "m", "a", 1)], call(2, "m", 0.2, 0.3), delivered("m", 0.3)],
    ),
    "a call after the drain grace": (
        "drains",
        [admitted("m"), EndpointDrained(0.0, "a"), call(1, "m", 0.6, 0.7), delivered("m", 0.7)],
    ),
    "too many calls during slow start": (
        "cold",
        [
            Outage(0.0, 1.0, 1),
            *(admitted(f"m{each}") for each in range(40)),
            *(call(each, f"m{each}", 1.0 + each / 100, 1.001 + each / 100) for each in range(40)),
            *(delivered(f"m{each}", 1.1 + each / 100) for each in range(40)),
        ],
    ),
    "messages of a key out of order": (
        "order",
        [
            admitted("m", "ordered", key="k"),
            admitted("n", "ordered", key="k"),
            call(1, "n", 0.1, 0.2),
            delivered("n", 0.2),
            call(2, "m", 0.3, 0.4),
            delivered("m", 0.4),
        ],
    ),
    "sent while an earlier message of the key is in flight": (
        "order",
        [
            admitted("m", "ordered", key="k"),
            admitted("n", "ordered", key="k"),
            [AttemptStarted(0.1, "m", "a", 1)],
            call(2, "n", 0.2, 0.3),
            [AttemptFinished(0.5, 1, EffectApplied.YES)],
            delivered("n", 0.3),
            delivered("m", 0.5),
        ],
    ),
    "sent during the pause of the key": (
        "order",
        [
            admitted("m", "ordered", key="k"),
            admitted("n", "ordered", key="k"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            MessageCompleted(0.21, "m", "failed"),
            call(2, "n", 0.25, 0.3),
            delivered("n", 0.3),
        ],
    ),
    "sent before the Retry-After has elapsed": (
        "waits",
        [
            admitted("m"),
            call(1, "m", 0.1, 0.2, EffectApplied.NEVER, wait=1.0),
            call(2, "m", 0.8, 0.9, to="b"),
            delivered("m", 0.9),
        ],
    ),
}


@pytest.mark.parametrize("name", FORGED)
def test_forged_history_violates_only_its_rule(name: str) -> None:
    rule, events = FORGED[name]
    assert violated_rules(*events, until=4.0) == {rule}


def test_every_rule_has_a_forged_history() -> None:
    rules = {rule for rule, _ in FORGED.values()}
    assert rules == {"one end", "no effect twice", "one at a time", "drains", "cold", "order", "waits"}
