"""The referee judged: a history that keeps every rule, and forged ones that break each."""

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


def taken(
    name: str, kind: str = "safe", at: float = 0.0, until: float = 8.0, key: str = ""
) -> MessageAdmitted:
    return MessageAdmitted(at, name, kind, 1, until, key)


def call(
    number: int,
    name: str,
    began: float,
    over: float,
    ran: EffectApplied = EffectApplied.YES,
    to: str = "a",
    wait: float = 0.0,
) -> list[HistoryEvent]:
    return [AttemptStarted(began, name, to, number), AttemptFinished(over, number, ran, wait)]


def delivered(name: str, at: float) -> MessageCompleted:
    return MessageCompleted(at, name, "delivered")


def broken(*events: HistoryEvent | list[HistoryEvent], until: float = 3.0) -> set[str]:
    flat = [x for each in events for x in (each if isinstance(each, list) else [each])]
    return {each.rule for each in HistoryChecker(RULES).check(flat, until)}


GOOD: dict[str, list[HistoryEvent | list[HistoryEvent]]] = {
    "served": [taken("m"), call(1, "m", 0.1, 0.2), delivered("m", 0.2)],
    "not over yet": [taken("m"), [AttemptStarted(0.1, "m", "a", 1)]],
    "turned away and sent again": [
        taken("m", "unsafe"),
        call(1, "m", 0.1, 0.2, EffectApplied.NEVER, wait=0.5),
        call(2, "m", 0.7, 0.8),
        delivered("m", 0.8),
    ],
    "a call that crosses the word": [
        taken("m"),
        taken("n"),
        call(1, "m", 0.1, 0.2, EffectApplied.NEVER, wait=1.0),
        call(2, "n", 0.25, 0.3),
        delivered("n", 0.3),
    ],
    "within the window": [
        taken("m", "zoned"),
        call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
        call(2, "m", 4.0, 4.1),
        delivered("m", 4.1),
    ],
    "a key in order, rested": [
        taken("m", "ordered", key="k"),
        taken("n", "ordered", key="k"),
        call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
        MessageCompleted(0.21, "m", "failed"),
        call(2, "n", 0.31, 0.4),
        delivered("n", 0.4),
    ],
    "refused after a call that never ran": [
        taken("m", "unsafe"),
        call(1, "m", 0.1, 0.2, EffectApplied.NEVER),
        MessageCompleted(0.3, "m", "refused"),
    ],
    "refused at the door": [MessageRejected(0.0, "m")],
    "before the drain's grace": [
        taken("m"),
        EndpointDrained(0.0, "a"),
        call(1, "m", 0.4, 0.5),
        delivered("m", 0.5),
    ],
    "out at a restart, sent again": [
        taken("m"),
        [AttemptStarted(0.1, "m", "a", 1)],
        SenderRestarted(0.5),
        call(2, "m", 0.7, 0.8),
        delivered("m", 0.8),
    ],
    "a returning destination is warmed": [
        Outage(0.0, 1.0, 1),
        *(taken(f"m{each}") for each in range(4)),
        *(call(each, f"m{each}", 1.0 + each / 2, 1.1 + each / 2) for each in range(4)),
        *(delivered(f"m{each}", 1.1 + each / 2) for each in range(4)),
    ],
}


@pytest.mark.parametrize("name", GOOD)
def test_a_good_history_breaks_no_rule(name: str) -> None:
    assert broken(*GOOD[name]) == set()


FORGED: dict[str, tuple[str, list[HistoryEvent | list[HistoryEvent]]]] = {
    "no end": ("one end", [taken("m", until=1.0)]),
    "an end too late": (
        "one end",
        [taken("m", until=1.0), call(1, "m", 1.3, 1.4), delivered("m", 1.4)],
    ),
    "two ends": (
        "one end",
        [taken("m"), call(1, "m", 0.1, 0.2), delivered("m", 0.2), MessageCompleted(0.3, "m", "failed")],
    ),
    "said to be delivered": (
        "one end",
        [taken("m"), call(1, "m", 0.1, 0.2, EffectApplied.NEVER), delivered("m", 0.3)],
    ),
    "never called and delivered": ("one end", [taken("m"), delivered("m", 0.3)]),
    "turned away and called": ("one end", [MessageRejected(0.0, "m"), call(1, "m", 0.1, 0.2)]),
    "an unsafe one twice": (
        "no effect twice",
        [
            taken("m", "unsafe"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            call(2, "m", 0.3, 0.4),
            delivered("m", 0.4),
        ],
    ),
    "an unsafe one after an answer": (
        "no effect twice",
        [taken("m", "unsafe"), call(1, "m", 0.1, 0.2), call(2, "m", 0.3, 0.4), delivered("m", 0.4)],
    ),
    "after its window": (
        "no effect twice",
        [
            taken("m", "keyed"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            call(2, "m", 5.2, 5.3),
            delivered("m", 5.3),
        ],
    ),
    "in another zone": (
        "no effect twice",
        [
            taken("m", "zoned"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            call(2, "m", 0.3, 0.4, to="b"),
            delivered("m", 0.4),
        ],
    ),
    "a refusal that is not harmless": (
        "no effect twice",
        [
            taken("m", "unsafe"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            MessageCompleted(0.3, "m", "refused"),
        ],
    ),
    "an unsafe one over a restart": (
        "no effect twice",
        [
            taken("m", "unsafe"),
            [AttemptStarted(0.1, "m", "a", 1)],
            SenderRestarted(0.5),
            call(2, "m", 0.7, 0.8),
            delivered("m", 0.8),
        ],
    ),
    "two at once": (
        "one at a time",
        [taken("m"), [AttemptStarted(0.1, "m", "a", 1)], call(2, "m", 0.2, 0.3), delivered("m", 0.3)],
    ),
    "after a drain": (
        "drains",
        [taken("m"), EndpointDrained(0.0, "a"), call(1, "m", 0.6, 0.7), delivered("m", 0.7)],
    ),
    "pushed over": (
        "cold",
        [
            Outage(0.0, 1.0, 1),
            *(taken(f"m{each}") for each in range(40)),
            *(call(each, f"m{each}", 1.0 + each / 100, 1.001 + each / 100) for each in range(40)),
            *(delivered(f"m{each}", 1.1 + each / 100) for each in range(40)),
        ],
    ),
    "out of order": (
        "order",
        [
            taken("m", "ordered", key="k"),
            taken("n", "ordered", key="k"),
            call(1, "n", 0.1, 0.2),
            delivered("n", 0.2),
            call(2, "m", 0.3, 0.4),
            delivered("m", 0.4),
        ],
    ),
    "while an earlier one is out": (
        "order",
        [
            taken("m", "ordered", key="k"),
            taken("n", "ordered", key="k"),
            [AttemptStarted(0.1, "m", "a", 1)],
            call(2, "n", 0.2, 0.3),
            [AttemptFinished(0.5, 1, EffectApplied.YES)],
            delivered("n", 0.3),
            delivered("m", 0.5),
        ],
    ),
    "before the key has rested": (
        "order",
        [
            taken("m", "ordered", key="k"),
            taken("n", "ordered", key="k"),
            call(1, "m", 0.1, 0.2, EffectApplied.MAYBE),
            MessageCompleted(0.21, "m", "failed"),
            call(2, "n", 0.25, 0.3),
            delivered("n", 0.3),
        ],
    ),
    "before the wait is over": (
        "waits",
        [
            taken("m"),
            call(1, "m", 0.1, 0.2, EffectApplied.NEVER, wait=1.0),
            call(2, "m", 0.8, 0.9, to="b"),
            delivered("m", 0.9),
        ],
    ),
}


@pytest.mark.parametrize("name", FORGED)
def test_a_forged_history_breaks_its_rule_and_no_other(name: str) -> None:
    rule, events = FORGED[name]
    assert broken(*events, until=4.0) == {rule}


def test_every_rule_has_a_forged_history() -> None:
    rules = {rule for rule, _ in FORGED.values()}
    assert rules == {"one end", "no effect twice", "one at a time", "drains", "cold", "order", "waits"}
