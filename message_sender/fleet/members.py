"""Membership of the fleet: SWIM with Lifeguard's local health awareness. Pure.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002); Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2018).

Rules:

- In each probe interval one member is probed. The order is shuffled for each round, so that every member is
  probed once per round. A member that does not answer in time is probed through `INDIRECT_PROBES` other
  members; if these probes also time out, the member becomes *suspect*.
- A suspect is probed repeatedly by the members that suspect it; these probes carry the suspicion to it. A
  suspect that does not refute the suspicion in time becomes *dead*. The timeout grows with the size of the
  fleet (log N) and shrinks with each member that confirms the suspicion. A member that learns that it is
  suspected raises its incarnation, which overrides the suspicion.
- A member whose own probes go unanswered, or that learns that it is suspected, multiplies its probe interval
  and timeouts by its `health` (1 to 8), so that a slow machine does not suspect all other members.
- Updates are piggybacked on all datagrams, each a bounded number of times (a multiple of log N).
- *dead* and *left* members are kept for `GONE_MEMBER_AGE_LIMIT_S`, so that an old update does not restore
  such a member; a start with a higher epoch does.

All times are seconds of the caller's monotonic clock.
"""

import math
import random
from dataclasses import dataclass, field
from enum import IntEnum

from message_sender.fleet.wire import Address, MembershipUpdate

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.2  # for the direct probe, then once more for the indirect probes
INDIRECT_PROBES = 3
SUSPICION_MAX_PERIODS = 4  # unconfirmed: in probe intervals times log10 of the fleet's size (at least 1)
SUSPICION_MIN_PERIODS = 2  # the same unit, with all confirmations
CONFIRMATIONS = 3  # further members that suspect; with this many the shortest timeout applies
HEALTH_LIMIT = 8  # a higher value means a slower local member
TRANSMISSIONS_FACTOR = 4  # an update is sent this many times log2 of the fleet's size
GONE_MEMBER_AGE_LIMIT_S = 120.0
UPDATES_PER_DATAGRAM = 8


class MemberState(IntEnum):
    """The state of a member; between updates of equal epoch and incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True)
class Member:
    """The known state of a member; `state_since` is the time of its last state change."""

    name: str
    address: Address
    epoch: int
    incarnation: int
    state: MemberState
    state_since: float
    suspected_by: set[str] = field(default_factory=set)

    def to_update(self) -> MembershipUpdate:
        """Returns the update that announces this state to other members."""
        return MembershipUpdate(self.name, self.address, self.epoch, self.incarnation, int(self.state))

    def rank(self) -> tuple[int, int, int]:
        """Returns the precedence of this state; only an update with a higher rank replaces it."""
        return self.epoch, self.incarnation, int(self.state)


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A state change of a member and the member that reported it, for logging."""

    name: str
    state: MemberState
    reporter: str


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe to send: directly to `receiver`, or, if `target` is set, to `target` through `receiver`."""

    receiver: str
    number: int
    target: str = ""


@dataclass(slots=True)
class PendingProbe:
    """A probe that has not been answered yet."""

    target: str
    started_at: float
    is_indirect: bool = False


class MemberList:
    """The members of the fleet as seen by the local member."""

    def __init__(self, name: str, address: Address, epoch: int, rng: random.Random) -> None:
        """Creates a list that contains only the local member."""
        self.me = Member(name, address, epoch, 0, MemberState.ALIVE, 0.0)
        self.rng = rng
        self.others: dict[str, Member] = {}
        self.health = 1
        self.probe_round: list[str] = []  # members not yet probed in this round
        self.pending_probes: dict[int, PendingProbe] = {}
        self.probe_number = 0
        self.next_probe_at = 0.0
        self.transmissions: dict[str, int] = {}  # by member: how often its update was sent
        self.changes: list[MemberChange] = []  # since the caller last cleared them

    def alive(self) -> list[str]:
        """Returns the alive and suspect members, including the local one, sorted by name."""
        names = [member.name for member in self.others.values() if member.state <= MemberState.SUSPECT]
        return sorted([*names, self.me.name])

    def size_factor(self) -> float:
        """Returns the factor by which suspicion timeouts grow with the fleet."""
        return max(math.log10(len(self.others) + 1), 1.0)

    # Updates.

    def apply_update(self, update: MembershipUpdate, reporter: str, now: float) -> None:
        """Applies an update sent by `reporter` if it is newer than the known state."""
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
            known.suspected_by.add(reporter)

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
        """Raises the local member's incarnation if an update reports it as not alive."""
        is_current_start = update.epoch == self.me.epoch and update.incarnation >= self.me.incarnation
        if update.state != MemberState.ALIVE and is_current_start:
            self.me.incarnation = update.incarnation + 1
            self.worsen_health()
            self.transmissions[self.me.name] = 0

    def record_datagram(self, name: str, address: Address, epoch: int, now: float) -> None:
        """Records a datagram received from a member, which proves that it is alive."""
        answered = [number for number, probe in self.pending_probes.items() if probe.target == name]
        for number in answered:
            self.record_ack(number)
        known = self.others.get(name)
        if known and known.epoch == epoch and known.state is MemberState.ALIVE:
            known.address = address
            return
        incarnation = known.incarnation + 1 if known and known.epoch == epoch else 0
        update = MembershipUpdate(name, address, epoch, incarnation, MemberState.ALIVE)
        self.apply_update(update, name, now)

    def record_leave(self, name: str, now: float) -> None:
        """Records that a member has announced its shutdown."""
        known = self.others.get(name)
        if known:
            self.set_state(known, MemberState.LEFT, name, now)

    def set_state(self, member: Member, state: MemberState, reporter: str, now: float) -> None:
        """Sets a member's state and queues the update for gossip."""
        if member.state is not state:
            member.state_since = now
            member.suspected_by = {reporter}
            self.changes.append(MemberChange(member.name, state, reporter))
        member.state = state
        self.transmissions[member.name] = 0

    def record_ack(self, number: int) -> None:
        """Records the answer to a probe; improves the local health."""
        if self.pending_probes.pop(number, None):
            self.health = max(self.health - 1, 1)

    def worsen_health(self) -> None:
        """Records a sign that the local member is slow."""
        self.health = min(self.health + 1, HEALTH_LIMIT)

    # Probes.

    def tick(self, now: float) -> list[Probe]:
        """Runs the actions due by `now` and returns the probes to send."""
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
        """Returns the probes to send if a pending probe has timed out."""
        timeout = PROBE_TIMEOUT_S * self.health
        overdue_s = now - pending.started_at - timeout
        if overdue_s >= 0 and not pending.is_indirect:
            pending.is_indirect = True
            intermediaries = self.choose_intermediaries(pending.target)
            return [Probe(name, number, pending.target) for name in intermediaries]
        if overdue_s < timeout:
            return []
        del self.pending_probes[number]
        self.worsen_health()
        self.suspect(pending.target, now)
        known = self.others.get(pending.target)
        if known and known.state is MemberState.SUSPECT:
            return [self.start_probe(pending.target, now)]
        return []

    def start_probe(self, target: str, now: float) -> Probe:
        """Returns a new direct probe and records it as pending."""
        self.probe_number += 1
        self.pending_probes[self.probe_number] = PendingProbe(target, now)
        return Probe(target, self.probe_number)

    def choose_intermediaries(self, target: str) -> list[str]:
        """Returns random alive members that are asked to probe `target`."""
        candidates = [
            member.name
            for member in self.others.values()
            if member.state is MemberState.ALIVE and member.name != target
        ]
        return self.rng.sample(candidates, min(INDIRECT_PROBES, len(candidates)))

    def next_target(self) -> str | None:
        """Returns the next member to probe; None if there is no member to probe."""
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
        """Marks an alive member as suspect."""
        known = self.others.get(name)
        if known and known.state is MemberState.ALIVE:
            self.set_state(known, MemberState.SUSPECT, self.me.name, now)

    def suspicion_timeout(self, member: Member) -> float:
        """Returns the seconds within which a suspect must refute the suspicion."""
        longest = SUSPICION_MAX_PERIODS * self.size_factor() * PROBE_INTERVAL_S
        shortest = SUSPICION_MIN_PERIODS * self.size_factor() * PROBE_INTERVAL_S
        share = min(math.log(len(member.suspected_by) or 1) / math.log(CONFIRMATIONS + 1), 1.0)
        return (longest - (longest - shortest) * share) * self.health

    def expire(self, now: float) -> None:
        """Marks timed-out suspects as dead; drops members gone for `GONE_MEMBER_AGE_LIMIT_S`."""
        for member in list(self.others.values()):
            age = now - member.state_since
            if member.state is MemberState.SUSPECT and age >= self.suspicion_timeout(member):
                self.set_state(member, MemberState.DEAD, self.me.name, now)
            elif member.state >= MemberState.DEAD and age >= GONE_MEMBER_AGE_LIMIT_S:
                del self.others[member.name]
                self.transmissions.pop(member.name, None)

    def take_updates(self, receiver: str = "") -> tuple[MembershipUpdate, ...]:
        """Returns the updates for the next datagram to `receiver`, the least often sent first.

        A suspect receiver also gets the update about its own suspicion.
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
