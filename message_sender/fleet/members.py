"""Membership of the fleet: SWIM with Lifeguard's local health awareness. Pure.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002); Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2018).

Rules:

- In each probe interval one member is probed, in an order drawn anew for each round, so that every member is
  probed in turn. One that does not answer in time is probed through `INDIRECT_PROBES` others; one that does
  not answer them becomes *suspect*.
- A suspect is probed again and again by the members that suspect it, and so learns of the suspicion. One that
  does not refute it in time becomes *dead*. The time grows with the fleet (log N) and shrinks with each
  member that confirms the suspicion. A member that learns that it is suspected raises its incarnation, which
  overrides the suspicion.
- A slow member doubts itself first: a member whose own probes go unanswered, or that learns that it is
  suspected, multiplies its probe interval and timeouts by its `health` (1 to 8), so that a slow machine does
  not suspect all others.
- Updates are piggybacked on all datagrams, each a bounded number of times (a multiple of log N).
- *dead* and *left* members are kept for `GONE_MEMBER_AGE_LIMIT_S`, so that an old update does not bring one
  back; a start with a higher epoch does.

All times are seconds of the caller's monotonic clock.
"""

import math
import random
from dataclasses import dataclass, field
from enum import IntEnum

from message_sender.fleet.wire import Address, MembershipUpdate

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.2  # of a direct probe, and again of the indirect ones
INDIRECT_PROBES = 3
SUSPICION_MAX_PERIODS = 4  # probe intervals times log10 of the fleet's size (at least 1), unconfirmed
SUSPICION_MIN_PERIODS = 2  # the same with all confirmations
CONFIRMATIONS = 3  # other members that suspect too, from which the shortest time holds
HEALTH_LIMIT = 8
TRANSMISSIONS_FACTOR = 4  # times log2 of the fleet's size: transmissions of an update
GONE_MEMBER_AGE_LIMIT_S = 120.0
UPDATES_PER_DATAGRAM = 8


class MemberState(IntEnum):
    """The state of a member; of two equally new updates the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True)
class Member:
    """What is known of a member; `state_since` is the time of its last change of state."""

    name: str
    address: Address
    epoch: int
    incarnation: int
    state: MemberState
    state_since: float
    suspecters: set[str] = field(default_factory=set)

    def to_update(self) -> MembershipUpdate:
        """Returns the update that spreads this state."""
        return MembershipUpdate(self.name, self.address, self.epoch, self.incarnation, int(self.state))

    def rank(self) -> tuple[int, int, int]:
        """Returns the precedence of this state: only an update with a higher one replaces it."""
        return self.epoch, self.incarnation, int(self.state)


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member's state, and the member that reported it; for the log."""

    name: str
    state: MemberState
    reporter: str


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe to be sent: `target` is empty for a direct one, otherwise `receiver` is to probe `target`."""

    receiver: str
    number: int
    target: str = ""


@dataclass(slots=True)
class PendingProbe:
    """A probe without an answer."""

    target: str
    started_at: float
    is_indirect: bool = False


class MemberList:
    """The members of the fleet as one member knows them."""

    def __init__(self, name: str, address: Address, epoch: int, rng: random.Random) -> None:
        """Creates a list with no other member than this one."""
        self.me = Member(name, address, epoch, 0, MemberState.ALIVE, 0.0)
        self.rng = rng
        self.others: dict[str, Member] = {}
        self.health = 1
        self.probe_round: list[str] = []  # members yet to be probed in this round
        self.pending_probes: dict[int, PendingProbe] = {}
        self.probe_number = 0
        self.next_probe_at = 0.0
        self.transmissions: dict[str, int] = {}  # by member, of its update
        self.changes: list[MemberChange] = []  # since the caller cleared them

    def alive(self) -> list[str]:
        """Returns the members that are alive or suspect, this one included, in the order of their names."""
        names = [member.name for member in self.others.values() if member.state <= MemberState.SUSPECT]
        return sorted([*names, self.me.name])

    def size_factor(self) -> float:
        """Returns the factor by which suspicion timeouts grow with the fleet."""
        return max(math.log10(len(self.others) + 1), 1.0)

    # Updates.

    def apply_update(self, update: MembershipUpdate, reporter: str, now: float) -> None:
        """Applies an update that `reporter` sent, if it is newer than what is known."""
        if update.name == self.me.name:
            self.refute(update)
            return
        known = self.others.get(update.name)
        if known is None:
            self._add(update, reporter, now)
        elif (update.epoch, update.incarnation, update.state) > known.rank():
            known.address = update.address
            known.epoch = update.epoch
            known.incarnation = update.incarnation
            self.set_state(known, MemberState(update.state), reporter, now)
        elif update.state == MemberState.SUSPECT and known.state is MemberState.SUSPECT:
            known.suspecters.add(reporter)

    def _add(self, update: MembershipUpdate, reporter: str, now: float) -> None:
        if update.state in (MemberState.DEAD, MemberState.LEFT):
            return
        state = MemberState(update.state)
        member = Member(update.name, update.address, update.epoch, update.incarnation, state, now)
        self.others[update.name] = member
        self.probe_round.insert(self.rng.randrange(len(self.probe_round) + 1), update.name)
        self.transmissions[member.name] = 0
        self.changes.append(MemberChange(member.name, member.state, reporter))

    def refute(self, update: MembershipUpdate) -> None:
        """Raises the incarnation of this member if an update says that it is not alive."""
        is_of_this_start = update.epoch == self.me.epoch and update.incarnation >= self.me.incarnation
        if update.state != MemberState.ALIVE and is_of_this_start:
            self.me.incarnation = update.incarnation + 1
            self.worsen_health()
            self.transmissions[self.me.name] = 0

    def note_datagram(self, name: str, address: Address, epoch: int, now: float) -> None:
        """Notes a datagram from a member itself, which proves that it is alive."""
        answered = [number for number, probe in self.pending_probes.items() if probe.target == name]
        for number in answered:
            self.note_ack(number)
        known = self.others.get(name)
        if known and known.epoch == epoch and known.state is MemberState.ALIVE:
            known.address = address
            return
        incarnation = known.incarnation + 1 if known and known.epoch == epoch else 0
        update = MembershipUpdate(name, address, epoch, incarnation, MemberState.ALIVE)
        self.apply_update(update, name, now)

    def note_left(self, name: str, now: float) -> None:
        """Notes that a member has announced its shutdown."""
        known = self.others.get(name)
        if known:
            self.set_state(known, MemberState.LEFT, name, now)

    def set_state(self, member: Member, state: MemberState, reporter: str, now: float) -> None:
        """Sets a member's state and spreads it."""
        if member.state is not state:
            member.state_since = now
            member.suspecters = {reporter}
            self.changes.append(MemberChange(member.name, state, reporter))
        member.state = state
        self.transmissions[member.name] = 0

    def note_ack(self, number: int) -> None:
        """Notes the answer to a probe."""
        if self.pending_probes.pop(number, None):
            self.health = max(self.health - 1, 1)

    def worsen_health(self) -> None:
        """Notes a sign that this member itself is slow."""
        self.health = min(self.health + 1, HEALTH_LIMIT)

    # Probes.

    def tick(self, now: float) -> list[Probe]:
        """Does what is due by now, and returns the probes to send."""
        probes: list[Probe] = []
        for number, pending in list(self.pending_probes.items()):
            probes += self._check_pending(number, pending, now)
        if now >= self.next_probe_at:
            self.next_probe_at = now + PROBE_INTERVAL_S * self.health
            target = self.next_target()
            if target:
                probes.append(self.start_probe(target, now))
        self.expire(now)
        return probes

    def _check_pending(self, number: int, pending: PendingProbe, now: float) -> list[Probe]:
        """Returns the probes that follow from a timeout of a pending one."""
        timeout = PROBE_TIMEOUT_S * self.health
        late_by = now - pending.started_at - timeout
        if late_by >= 0 and not pending.is_indirect:
            pending.is_indirect = True
            intermediaries = self.choose_intermediaries(pending.target)
            return [Probe(name, number, pending.target) for name in intermediaries]
        if late_by < timeout:
            return []
        del self.pending_probes[number]
        self.worsen_health()
        self.suspect(pending.target, now)
        known = self.others.get(pending.target)
        if known and known.state is MemberState.SUSPECT:
            return [self.start_probe(pending.target, now)]
        return []

    def start_probe(self, target: str, now: float) -> Probe:
        """Returns a new direct probe, which is pending from now on."""
        self.probe_number += 1
        self.pending_probes[self.probe_number] = PendingProbe(target, now)
        return Probe(target, self.probe_number)

    def choose_intermediaries(self, target: str) -> list[str]:
        """Returns members that are to probe `target` in place of this one."""
        candidates = [
            member.name
            for member in self.others.values()
            if member.state is MemberState.ALIVE and member.name != target
        ]
        return self.rng.sample(candidates, min(INDIRECT_PROBES, len(candidates)))

    def next_target(self) -> str | None:
        """Returns the next member to probe, or None if there is none."""
        while True:
            if not self.probe_round:
                self.probe_round = [name for name in self.others if self._is_probed(name)]
                self.rng.shuffle(self.probe_round)
                if not self.probe_round:
                    return None
            name = self.probe_round.pop()
            if self._is_probed(name):
                return name

    def _is_probed(self, name: str) -> bool:
        return name in self.others and self.others[name].state <= MemberState.SUSPECT

    def suspect(self, name: str, now: float) -> None:
        """Makes a member that is alive a suspect."""
        known = self.others.get(name)
        if known and known.state is MemberState.ALIVE:
            self.set_state(known, MemberState.SUSPECT, self.me.name, now)

    def suspicion_timeout(self, member: Member) -> float:
        """Returns the seconds for which a suspect may still refute the suspicion."""
        longest = SUSPICION_MAX_PERIODS * self.size_factor() * PROBE_INTERVAL_S
        shortest = SUSPICION_MIN_PERIODS * self.size_factor() * PROBE_INTERVAL_S
        share = min(math.log(len(member.suspecters) or 1) / math.log(CONFIRMATIONS + 1), 1.0)
        return (longest - (longest - shortest) * share) * self.health

    def expire(self, now: float) -> None:
        """Declares suspects dead whose time is over, and drops members that are gone for long."""
        for member in list(self.others.values()):
            age = now - member.state_since
            if member.state is MemberState.SUSPECT and age >= self.suspicion_timeout(member):
                self.set_state(member, MemberState.DEAD, self.me.name, now)
            elif member.state >= MemberState.DEAD and age >= GONE_MEMBER_AGE_LIMIT_S:
                del self.others[member.name]
                self.transmissions.pop(member.name, None)

    def take_updates(self, receiver: str = "") -> tuple[MembershipUpdate, ...]:
        """Returns the updates for the next datagram to `receiver`, those sent least often first.

        A suspect is also sent the update that says so.
        """
        limit = TRANSMISSIONS_FACTOR * math.ceil(math.log2(len(self.others) + 2))
        names = sorted(self.transmissions, key=lambda name: (self.transmissions[name], name))
        updates: list[MembershipUpdate] = []
        known = self.others.get(receiver)
        if known and known.state is MemberState.SUSPECT:
            updates.append(known.to_update())
        for name in names[:UPDATES_PER_DATAGRAM]:
            self.transmissions[name] += 1
            member = self.me if name == self.me.name else self.others.get(name)
            if member:
                updates.append(member.to_update())
            if self.transmissions[name] >= limit or not member:
                del self.transmissions[name]
        return tuple(updates)
