"""Who is there: SWIM with Lifeguard's local health. Pure; times are seconds of the caller's clock.

The rules:

- Each `period` one member is asked, in an order drawn anew for each round, so that everybody is asked in
  turn. One that does not answer in time is asked through `INDIRECT_PROBES` others; one that does not answer them is
  *suspect*.
- A suspect is asked again and again by whoever suspects it, and so hears of that. One that does not speak up
  in time is *dead*. The time grows with the fleet (log N) and shrinks as others say the same. A member that
  hears that it is suspected raises its incarnation, which outdoes the suspicion.
- Who is slow doubts itself first: a member whose own questions go unanswered, or that hears that it is
  suspected, multiplies its period and patience by its `health` (1 to 8), so that one bad machine does not
  accuse the others.
- What is new goes with whatever is sent, each rumour a bounded number of times (a multiple of log N).
- *dead* and *left* are kept for `GONE_MEMBER_AGE_LIMIT_S`, so that an old rumour does not bring a member back; a start with a
  higher epoch does.
"""

import math
import random
from dataclasses import dataclass, field
from enum import IntEnum

from message_sender.fleet.wire import Address, MembershipUpdate

PROBE_INTERVAL_S = 0.5  # s between two questions
PROBE_TIMEOUT_S = 0.2  # s for an answer before others are asked, and again before it is a suspect
INDIRECT_PROBES = 3
SUSPICION_MAX_PERIODS = (
    4  # periods times log10 of the fleet's size (at least 1) before a suspect is dead, with no confirmation
)
SUSPICION_MIN_PERIODS = 2  # the same, with all confirmations
CONFIRMATIONS = 3  # others that say the same, from which the shortest time holds
HEALTH_LIMIT = 8  # of the health
TRANSMISSIONS_FACTOR = 4  # times log2 of the fleet's size that a rumour is told
GONE_MEMBER_AGE_LIMIT_S = 120.0  # s that who is gone is remembered
UPDATES_PER_DATAGRAM = 8  # rumours in a datagram


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True)
class Member:
    name: str
    address: Address
    epoch: int
    incarnation: int
    state: MemberState
    since: float  # s: of its state
    accusers: set[str] = field(default_factory=set)

    def rumour(self) -> MembershipUpdate:
        return MembershipUpdate(self.name, self.address, self.epoch, self.incarnation, int(self.state))

    def rank(self) -> tuple[int, int, int]:
        return self.epoch, self.incarnation, int(self.state)


@dataclass(slots=True)
class PendingProbe:
    """One that is out."""

    about: str
    asked: float
    helped: bool = False


class MemberList:
    def __init__(self, name: str, address: Address, epoch: int, rng: random.Random) -> None:
        self.me = Member(name, address, epoch, 0, MemberState.ALIVE, 0.0)
        self.rng = rng
        self.others: dict[str, Member] = {}
        self.health = 1
        self.round: list[str] = []  # who is still to be asked in this one
        self.out: dict[int, PendingProbe] = {}
        self.number = 0
        self.next_at = 0.0
        self.telling: dict[str, int] = {}  # by name: how often its rumour was told
        self.changed: list[tuple[str, MemberState, str]] = []  # who, what now, and on whose word; for the log

    def alive(self) -> list[str]:
        """Those to be reckoned with, this one too, in order of names. A suspect is there until it is not."""
        there = [each.name for each in self.others.values() if each.state <= MemberState.SUSPECT]
        return sorted([*there, self.me.name])

    def scale(self) -> float:
        return max(math.log10(len(self.others) + 1), 1.0)

    # What is heard.

    def hear(self, told: MembershipUpdate, by: str, now: float) -> None:
        if told.name == self.me.name:
            self.hear_of_me(told)
            return
        known = self.others.get(told.name)
        if known is None:
            if told.state in (MemberState.DEAD, MemberState.LEFT):
                return
            known = Member(
                told.name, told.address, told.epoch, told.incarnation, MemberState(told.state), now
            )
            self.others[told.name] = known
            self.round.insert(self.rng.randrange(len(self.round) + 1), told.name)
            self.spread(known, by)
        elif (told.epoch, told.incarnation, told.state) > known.rank():
            known.address, known.epoch, known.incarnation = told.address, told.epoch, told.incarnation
            self.turn(known, MemberState(told.state), by, now)
        elif told.state == MemberState.SUSPECT and known.state is MemberState.SUSPECT:
            known.accusers.add(by)

    def hear_of_me(self, told: MembershipUpdate) -> None:
        """Whoever takes this one for gone is told better."""
        if (
            told.state != MemberState.ALIVE
            and told.epoch == self.me.epoch
            and told.incarnation >= self.me.incarnation
        ):
            self.me.incarnation = told.incarnation + 1
            self.worse()
            self.telling[self.me.name] = 0

    def speaks(self, name: str, address: Address, epoch: int, now: float) -> None:
        """A datagram of its own came from it: it is alive, whatever is said."""
        for number in [number for number, each in self.out.items() if each.about == name]:
            self.acked(number)
        known = self.others.get(name)
        if known and known.epoch == epoch and known.state is MemberState.ALIVE:
            known.address = address
            return
        incarnation = known.incarnation + 1 if known and known.epoch == epoch else 0
        self.hear(MembershipUpdate(name, address, epoch, incarnation, MemberState.ALIVE), name, now)

    def left(self, name: str, now: float) -> None:
        if known := self.others.get(name):
            self.turn(known, MemberState.LEFT, name, now)

    def turn(self, member: Member, state: MemberState, by: str, now: float) -> None:
        if member.state is not state:
            member.since, member.accusers = now, {by}
            self.changed.append((member.name, state, by))
        member.state = state
        self.telling[member.name] = 0

    def spread(self, member: Member, by: str) -> None:
        self.telling[member.name] = 0
        self.changed.append((member.name, member.state, by))

    def acked(self, number: int) -> None:
        if self.out.pop(number, None):
            self.health = max(self.health - 1, 1)

    def worse(self) -> None:
        self.health = min(self.health + 1, HEALTH_LIMIT)

    # What is asked.

    def tick(self, now: float) -> list[tuple[str, int, str]]:
        """Questions to be sent: to whom, their number, and about whom ("" for itself)."""
        asked: list[tuple[str, int, str]] = []
        for number, question in list(self.out.items()):
            late = now - question.asked - PROBE_TIMEOUT_S * self.health
            if late >= 0 and not question.helped:
                question.helped = True
                asked += [(helper, number, question.about) for helper in self.helpers(question.about)]
            elif late >= PROBE_TIMEOUT_S * self.health:
                del self.out[number]
                self.worse()
                self.accuse(question.about, now)
                if (known := self.others.get(question.about)) and known.state is MemberState.SUSPECT:
                    asked.append(self.question(question.about, now))
        if now >= self.next_at:
            self.next_at = now + PROBE_INTERVAL_S * self.health
            if about := self.next_one():
                asked.append(self.question(about, now))
        self.bury(now)
        return asked

    def question(self, about: str, now: float) -> tuple[str, int, str]:
        self.number += 1
        self.out[self.number] = PendingProbe(about, now)
        return about, self.number, ""

    def helpers(self, about: str) -> list[str]:
        found = [x.name for x in self.others.values() if x.state is MemberState.ALIVE and x.name != about]
        return self.rng.sample(found, min(INDIRECT_PROBES, len(found)))

    def next_one(self) -> str | None:
        while True:
            if not self.round:
                self.round = [x.name for x in self.others.values() if x.state <= MemberState.SUSPECT]
                self.rng.shuffle(self.round)
                if not self.round:
                    return None
            name = self.round.pop()
            if name in self.others and self.others[name].state <= MemberState.SUSPECT:
                return name

    def accuse(self, name: str, now: float) -> None:
        known = self.others.get(name)
        if known and known.state is MemberState.ALIVE:
            self.turn(known, MemberState.SUSPECT, self.me.name, now)

    def patience(self, member: Member) -> float:
        """s for which a suspect may still speak up."""
        longest, shortest = SUSPICION_MAX_PERIODS * self.scale() * PROBE_INTERVAL_S, SUSPICION_MIN_PERIODS * self.scale() * PROBE_INTERVAL_S
        share = min(math.log(len(member.accusers) or 1) / math.log(CONFIRMATIONS + 1), 1.0)
        return (longest - (longest - shortest) * share) * self.health

    def bury(self, now: float) -> None:
        for member in list(self.others.values()):
            if member.state is MemberState.SUSPECT and now - member.since >= self.patience(member):
                self.turn(member, MemberState.DEAD, self.me.name, now)
            elif member.state >= MemberState.DEAD and now - member.since >= GONE_MEMBER_AGE_LIMIT_S:
                del self.others[member.name]
                self.telling.pop(member.name, None)

    def news(self, to: str = "") -> tuple[MembershipUpdate, ...]:
        """What goes with the next datagram: what was told least often; to a suspect also that it is one."""
        most = TRANSMISSIONS_FACTOR * math.ceil(math.log2(len(self.others) + 2))
        names = sorted(self.telling, key=lambda name: (self.telling[name], name))[:UPDATES_PER_DATAGRAM]
        found = []
        if (suspect := self.others.get(to)) and suspect.state is MemberState.SUSPECT:
            found.append(suspect.rumour())
        for name in names:
            self.telling[name] += 1
            member = self.me if name == self.me.name else self.others.get(name)
            if member:
                found.append(member.rumour())
            if self.telling[name] >= most or not member:
                del self.telling[name]
        return tuple(found)
