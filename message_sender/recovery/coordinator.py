"""Joins one sender's engine to the stages and to the link: what the engine sees is told, what the fleet
allows binds.

The decision module is not changed. What a destination may be given reaches it by the same words as what a
process before it tells (`InheritedState`): a wait where nothing may go, an open breaker whose trial is due
where one call may, a pace where a share may. `may_call` is asked once more at the last moment before a first
byte.
"""

import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

import msgspec

from message_sender.fleet.announcements import Announcement
from message_sender.fleet.members import MemberState
from message_sender.fleet.node import FleetNode
from message_sender.policy.events import InheritedState
from message_sender.policy.model import FAILURES, Outcome, Settings
from message_sender.recovery.id_inquiry import IdState, Inquiry
from message_sender.recovery.id_inquiry import answer as answer_about
from message_sender.recovery.stages import (
    CallPermission,
    DestinationEvidence,
    Stage,
    StageAnnouncement,
    Stages,
    spacing,
)

TURN = 0.1  # s between two looks at what may go
HOLD = 400_000  # us that a destination is held for, renewed each turn
SLOW = 30.0  # s from a start in which what others keep out of service is still taken over
REST = 2.0  # s between two words of one that is open and has nothing new to say
US = 1e6

log = logging.getLogger(__name__)


class StageDatagram(msgspec.Struct, array_like=True):
    """A word on the wire."""

    stage: int
    owed: dict[int, int]
    seen: dict[int, tuple[bool, float, float, bool, float]]
    trials: dict[int, float]
    away: dict[str, float] = {}


def encode(word: StageAnnouncement) -> bytes:
    seen = {
        number: (x.up, round(x.age, 3), round(x.since, 3), x.cold, round(x.wait, 3))
        for number, x in word.seen.items()
    }
    trials = {number: round(each, 3) for number, each in word.trials.items()}
    return msgspec.msgpack.encode(
        StageDatagram(int(word.stage), dict(word.owed), seen, trials, dict(word.away))
    )


def decode(text: bytes) -> StageAnnouncement | None:
    try:
        told = msgspec.msgpack.decode(text, type=StageDatagram)
        seen = {number: DestinationEvidence(*each) for number, each in told.seen.items()}
        figures = [x for each in told.seen.values() for x in (each[1], each[2], each[4])]
        if not all(
            math.isfinite(x) and x >= 0 for x in [*figures, *told.trials.values(), *told.away.values()]
        ):
            return None
        return StageAnnouncement(Stage(told.stage), told.owed, seen, told.trials, told.away)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
        return None


class EnginePort(Protocol):
    """What is needed of the engine; a test stands in for it."""

    def now(self) -> int:
        """us"""

    def owed(self) -> dict[int, int]:
        """Held messages by destination."""

    def inherit(self, told: InheritedState) -> None: ...

    def routes(self, number: int) -> list[tuple[str, float, float]]:
        """Route, rate a second (0: not told), own part in us."""

    def is_open(self, number: int) -> bool:
        """Whether a breaker of it is."""

    def ids(self) -> list[str]:
        """Of messages held at the start."""

    def known(self, name: str) -> IdState | None:
        """What is known of an id."""

    def doubt(self, name: str) -> None:
        """A message held may have run elsewhere."""

    def away(self) -> dict[str, float]:
        """Endpoints that it keeps out of service, and for how long, s."""

    def keep_away(self, endpoint: str, left: float, by: str) -> None:
        """Another one keeps it out of service for so long, s. What this one knows itself counts."""


class Coordinator:
    def __init__(
        self, node: FleetNode, sender: EnginePort, settings: Settings, clock: Callable[[], float]
    ) -> None:
        now = clock()
        self.node, self.sender, self.settings, self.clock = node, sender, settings, clock
        self.stages = Stages(node.me.name, node.me.size, now)
        self.ranks = ranks(settings)
        self.next_turn = self.next_word = now
        self.paced: dict[int, str] = {}  # what was last told of each destination
        self.freed: dict[int, int] = {}  # and since when, us
        node.on_announcement = self.hear
        self.inquiry = Inquiry(sender.ids())
        node.on_query = lambda name, text: answer_about(text, sender.known)
        node.on_query_reply = self.hear_answer
        self.changed: Callable[[Stage], None] = lambda stage: None

    # The link's side.

    def hear(self, name: str, said: Announcement) -> None:
        word = decode(said.text)
        if word is None:
            log.warning("fleet: what %s says of itself cannot be read", name)
            return
        first = name not in self.stages.words
        self.stages.heard(name, word, said.received_at)
        if first and self.stages.stage > Stage.ASKING and self.clock() < self.stages.began + SLOW:
            self.borrow(name, word)

    def hear_answer(self, name: str, number: int, text: bytes) -> None:
        """What comes after `asking` is too late: calls may be out."""
        if self.stages.stage > Stage.ASKING:
            return
        for each, known in self.inquiry.answered(name, number, text).items():
            log.warning("stage: %s is known to %s: %s; here it may have run", each, name, known.name.lower())
            self.sender.doubt(each)

    def borrow(self, name: str, word: StageAnnouncement) -> None:
        """What others keep out of service may be out for a reason that this one's disk has lost."""
        own = self.sender.away()
        for endpoint, left in word.away.items():
            if endpoint not in own:
                self.sender.keep_away(endpoint, left, name)

    def ask(self, now: float) -> None:
        others = self.node.others()
        for name, piece, text in self.inquiry.due(others, now):
            self.node.send_query(piece, [name], text)
        self.stages.unanswered = self.inquiry.unanswered(others)

    def step(self, now: float) -> None:
        """Several times a second."""
        if self.stages.stage <= Stage.ASKING:
            self.ask(now)
        if now < self.next_turn:
            return
        self.next_turn = now + TURN
        gone = {each.name for each in self.node.members.others.values() if each.state >= MemberState.DEAD}
        self.stages.gone(gone & self.stages.words.keys())
        before = self.stages.stage
        self.stages.tick(self.sender.owed(), now)
        while self.stages.stage is not before:
            if before is Stage.ASKING:
                for name, word in sorted(self.stages.words.items()):
                    self.borrow(name, word)
            before = self.stages.stage
            log.info("stage: %s: %s", before.name.lower(), self.stages.why)
            self.changed(before)
            self.stages.tick(self.stages.owed, now)
        self.bind(now)
        self.say(now)

    def say(self, now: float, at_once: bool = False) -> None:
        calm = self.stages.stage is Stage.OPEN and not any(not x.up for x, _ in self.stages.seen.values())
        if at_once or now >= self.next_word:
            self.next_word = now + (REST if calm else spacing(len(self.stages.words)))
            word = replace(self.stages.word(now), away=self.sender.away())
            self.node.publish(encode(word), now)

    # The engine's side.

    def bind(self, now: float) -> None:
        if self.stages.stage <= Stage.ASKING:
            return
        told = [each for number in self.stages.owed for each in self.told(number, now)]
        if told:
            self.sender.inherit(InheritedState(breakers=tuple(told)))

    def comes(self, number: int) -> None:
        """A message for a destination is about to be held: what binds there, binds before it can go."""
        if number not in self.stages.owed:
            self.stages.owed[number] = 1
            if told := list(self.told(number, self.clock())):
                self.sender.inherit(InheritedState(breakers=tuple(told)))

    def told(self, number: int, now: float) -> Iterable[tuple[int, str, dict[str, float]]]:
        """What the module hears of a destination's breakers."""
        leave, at = self.stages.leave(number, now), self.sender.now()
        kind = "trial" if leave.trial else "free" if leave.calls else "held"
        if kind == "free" and self.stages.stage is Stage.OPEN and self.paced.get(number, "free") == "free":
            return
        changed = self.paced.get(number) != kind
        self.paced[number] = kind
        if changed:
            self.freed[number] = at
        for route, rate, part in self.sender.routes(number):
            if kind == "held":
                yield number, route, {"wait_until": at + max(HOLD, int(leave.wait * US))}
            elif kind == "trial" and number not in self.stages.trials and (changed or not self.stages.trials):
                yield number, route, {"failures": 3.0, "trial_at": at, "wait_until": at}
            elif kind == "free":
                yield number, route, self.pace(leave, rate, part, at, self.freed[number])

    def pace(self, leave: CallPermission, rate: float, part: float, at: int, freed: int) -> dict[str, float]:
        """The module's own warm-up serves as the pace: a cold destination's gap is its usual one over a part
        that is known. Where no rate is told, or this one is open, the module's own pace holds from here
        on."""
        settings = self.settings
        free: dict[str, float] = {"failures": 0.0, "wait_until": at, "unserved": 0, "sick": 0.0}
        if not rate or self.stages.stage is Stage.OPEN:
            cold = at - leave.warm * US if leave.warm is not None else -math.inf
            return free | {"cold_since": cold, "calls": 0.1, "span": 1e5 * max(settings.fleet_size / 4, 1)}
        warm = 1.0
        if leave.warm is not None:
            share = min(leave.warm * US / settings.slow_start, 1.0)
            warm = settings.slow_start_from + (1 - settings.slow_start_from) * share
        gap = US / (rate * warm * leave.share)
        push = settings.fall_multiple * 0.75 * settings.slow_start_from
        return free | {
            "cold_since": at,
            "wait_until": max(at, int(freed + leave.phase * gap)),
            "calls": 1.0,
            "span": gap * push,
            "gap": gap if gap > part / push else 0.0,
        }

    def may_call(self, destination: int) -> bool:
        """Asked as a first byte goes."""
        return self.stages.leave(destination, self.clock()).calls

    def began(self, destination: int) -> None:
        """A call goes out."""
        if self.stages.leave(destination, self.clock()).trial and destination not in self.stages.trials:
            self.stages.begins_trial(destination, self.clock())
            self.say(self.clock(), at_once=True)

    def outcome(self, destination: int, outcome: Outcome) -> None:
        """A call came to its end."""
        was_trial = destination in self.stages.trials
        if outcome in (Outcome.OK, Outcome.FULL):
            up = True
        elif outcome in FAILURES and (was_trial or self.sender.is_open(destination)):
            up = False
        else:
            self.stages.trials.pop(destination, None)
            return
        before = self.stages.believed(destination, self.clock())
        self.stages.saw(destination, up, self.clock(), before.wait if before else 0.0)
        if was_trial or before is None or before.up is not up:
            log.info(
                "destination %d is %s, by own eyes%s",
                destination,
                "up" if up else "down",
                " (trial)" * was_trial,
            )
            self.next_turn = self.clock()
            self.say(self.clock(), at_once=True)

    def asked_to_wait(self, destination: int, wait: int) -> None:
        """An answer told a wait, us."""
        self.stages.asked_to_wait(destination, wait / US, self.clock())
        self.say(self.clock(), at_once=True)

    def admits(self, destination: int, message_class: str) -> int:
        """us after which a new message may come again; 0: it is taken on."""
        return int(self.stages.admits(destination, self.ranks.get(message_class, 0), self.clock()) * US)

    # For people.

    def status(self) -> dict[str, object]:
        now, stages = self.clock(), self.stages
        members: dict[str, object] = {
            stages.me: {
                "stage": stages.stage.name.lower(), "since_s": round(now - stages.since, 3), "why":
                stages.why, "owed": sum(stages.owed.values()), "state": "alive", "said_s": 0.0,
            }
        }  # fmt: skip
        for name, member in sorted(self.node.members.others.items()):
            word = stages.words.get(name)
            members[name] = {
                "stage": word.stage.name.lower() if word else "unknown",
                "owed": sum(word.owed.values()) if word else None,
                "state": member.state.name.lower(),
                "said_s": round(now - stages.at[name], 3) if word else None,
            }
        numbers = sorted(
            {*stages.owed, *stages.seen, *(n for word in stages.words.values() for n in word.seen)}
        )
        counted, doubtful = self.node.counters, self.inquiry.elsewhere
        return {
            "name": stages.me, "members": members, "behind": self.node.is_behind,
            "namesake": self.node.duplicate_name_address,
            "refused": dict(counted.refused), "sent": counted.sent, "heard": counted.received,
            "doubtful": {name: [by, known.name.lower()] for name, (by, known) in doubtful.items()},
            "destinations": {str(number): self.destination(number, now) for number in numbers},
            "history": [[round(at - stages.began, 3), s.name.lower(), why] for at, s, why in stages.changes],
        }  # fmt: skip

    def destination(self, number: int, now: float) -> dict[str, object]:
        seen, order = self.stages.believed(number, now), self.stages.candidates(number)
        trying = [n for n, word in self.stages.words.items() if number in word.trials]
        trying += [self.stages.me] if number in self.stages.trials else []
        return {
            "up": seen.up if seen else None, "age_s": round(seen.age, 3) if seen else None,
            "wait_s": round(seen.wait, 3) if seen else 0.0, "owed_here": self.stages.owed.get(number, 0),
            "tried_by": trying, "next_to_try": order[:3],
        }  # fmt: skip


def ranks(settings: Settings) -> dict[str, int]:
    """Classes by their worth, the most valuable one 0."""
    worths = sorted({each.priority_weight for each in settings.classes}, reverse=True)
    return {each.name: worths.index(each.priority_weight) for each in settings.classes}
