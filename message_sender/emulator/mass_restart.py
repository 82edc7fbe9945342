"""Many members that start at once, on virtual time, with destinations that are down or recover after a while.

The link and the recovery stages are the real ones. There is no engine: a member makes its calls directly, as
its stages permit.
"""

from dataclasses import dataclass, field

from message_sender.emulator.member_network import MemberNetwork
from message_sender.fleet.members import MemberState
from message_sender.recovery.announcement_codec import decode_announcement, encode_announcement
from message_sender.recovery.stage_model import CallPermission, Stage
from message_sender.recovery.stages import Stages, announcement_interval_s

NEVER = float("inf")
CALL_DURATION = 0.02  # s
CHECK_INTERVAL = 0.1  # s between two updates of a member's stages
COLD_RATE_SHARE = 0.2  # share of its rate that a destination handles when it has just recovered


@dataclass
class Destination:
    """A destination that recovers and then warms up.

    Attributes:
        rate: Calls per second that it handles when warm.
        recovers_at: Time in s at which it recovers.
        warm_up_s: Seconds from its recovery until it is warm.
        calls: Times in s of the calls that arrived while it was up.
        trials: Start and end in s of each trial call.
    """

    rate: float = 60.0
    recovers_at: float = 0.0
    warm_up_s: float = 13.0
    calls: list[float] = field(default_factory=list)
    trials: list[tuple[float, float]] = field(default_factory=list)

    def present_rate(self, now: float) -> float:
        """Returns the calls per second that it can handle at a time in s."""
        return self.rate_after(now - self.recovers_at)

    def rate_after(self, warmed: float | None) -> float:
        """Returns the calls per second that it can handle `warmed` s after its recovery; None: it is warm."""
        share = 1.0 if warmed is None else min(max(warmed, 0.0) / self.warm_up_s, 1.0)
        return self.rate * (COLD_RATE_SHARE + (1 - COLD_RATE_SHARE) * share)

    def peak_concurrent_trials(self) -> int:
        """Returns the highest number of trials in flight at one time."""
        changes = sorted([(start, 1) for start, _ in self.trials] + [(end, -1) for _, end in self.trials])
        peak = in_flight = 0
        for _, change in changes:
            in_flight += change
            peak = max(peak, in_flight)
        return peak


@dataclass
class StartedMember:
    """A member that has started.

    Attributes:
        stages: Its recovery stages.
        held: Messages that it holds for each destination.
        updated_at: Time in s of the last update of its stages.
        next_announcement_at: Time in s of its next announcement.
        last_call_at: Time in s of its last call to each destination.
        permitted_at: Time in s since which it may call each destination.
        in_flight: Destinations with a call in flight.
    """

    stages: Stages
    held: dict[int, int]
    updated_at: float = 0.0
    next_announcement_at: float = 0.0
    last_call_at: dict[int, float] = field(default_factory=dict)
    permitted_at: dict[int, float] = field(default_factory=dict)
    in_flight: set[int] = field(default_factory=set)


class RecoveryRun:
    """All members and destinations of a run.

    Attributes:
        network: The network between the members.
        destinations: The destinations, by number.
        held: Messages that each member holds for each destination at its first start.
        members: All members that have started, by name.
    """

    def __init__(self, network: MemberNetwork, destinations: list[Destination], held: int) -> None:
        """Prepares a run; see the class for the arguments."""
        self.network, self.destinations, self.held = network, destinations, held
        self.members: dict[str, StartedMember] = {}
        network.step = self.step

    def start(self, number: int) -> None:
        """Starts a member; one that ran before keeps its remaining messages."""
        node = self.network.start(number)
        name = node.me.name
        stages = Stages(name, self.network.size, self.network.now)
        held = self.members[name].held if name in self.members else dict.fromkeys(
            range(len(self.destinations)), self.held
        )  # fmt: skip
        self.members[name] = StartedMember(stages, held)

        def receive(sender: str, text: bytes) -> None:
            if announcement := decode_announcement(text):
                stages.receive_announcement(sender, announcement, self.network.now)

        node.on_announcement = lambda sender, datagram: receive(sender, datagram.text)

    def step(self, name: str) -> None:
        """Updates a member's stages and makes the calls that they permit, after each tick of its node.

        Does nothing within `CHECK_INTERVAL` of the last update.
        """
        now, member = self.network.now, self.members[name]
        if now < member.updated_at + CHECK_INTERVAL:
            return
        member.updated_at = now
        node, stages = self.network.nodes[name], member.stages
        dead = {each.name for each in node.members.others.values() if each.state >= MemberState.DEAD}
        stages.remove_members(dead & stages.announcements.keys())
        remaining = {number: count for number, count in member.held.items() if count}
        previous_stage = None
        while stages.stage is not previous_stage:
            previous_stage = stages.stage
            stages.update(remaining, now)
        for number in remaining:
            self.try_call(name, number)
        if now >= member.next_announcement_at:
            self.announce(name)

    def announce(self, name: str) -> None:
        """Publishes a member's announcement and schedules the next one."""
        member, now = self.members[name], self.network.now
        member.next_announcement_at = now + announcement_interval_s(len(member.stages.announcements))
        self.network.nodes[name].publish(encode_announcement(member.stages.announcement(now)), now)

    def try_call(self, name: str, number: int) -> None:
        """Calls a destination if the member may do so now, or schedules the next attempt if that is soon."""
        now, member = self.network.now, self.members.get(name)
        if member is None or name in self.network.frozen or name not in self.network.nodes:
            return
        if number in member.in_flight or not member.held.get(number):
            return
        permission = member.stages.permission(number, now)
        if not permission.may_call:
            member.permitted_at.pop(number, None)
            return
        due = now if permission.is_trial else self.next_call_at(member, number, permission)
        if due <= now:
            self.call(name, number, permission)
        elif due < now + CHECK_INTERVAL:
            self.network.later(due - now, lambda: self.try_call(name, number))

    def next_call_at(self, member: StartedMember, number: int, permission: CallPermission) -> float:
        """Returns the time in s of a member's next call to a destination.

        The gap between calls shrinks while the destination warms up, so the call is due earlier than the
        present gap implies; the time is found by iteration.
        """
        now, destination = self.network.now, self.destinations[number]
        permitted_at, last_call_at = (
            member.permitted_at.setdefault(number, now),
            member.last_call_at.get(number, -NEVER),
        )
        due = now
        for _ in range(4):
            warmed = None if permission.warming_for_s is None else permission.warming_for_s + due - now
            gap = 1 / (destination.rate_after(warmed) * permission.rate_share)
            due = max(last_call_at + gap, permitted_at + permission.start_phase * gap, now)
        return due

    def call(self, name: str, number: int, permission: CallPermission) -> None:
        """Starts a member's call to a destination."""
        now, member, destination = self.network.now, self.members[name], self.destinations[number]
        member.last_call_at[number] = now
        member.in_flight.add(number)
        if permission.is_trial:
            member.stages.start_trial(number, now)
            destination.trials.append((now, now + CALL_DURATION))
            self.announce(name)
        is_up = now >= destination.recovers_at
        if is_up:
            destination.calls.append(now)
        self.network.later(CALL_DURATION, lambda: self.call_ended(name, number, is_up))

    def call_ended(self, name: str, number: int, is_up: bool) -> None:
        """Records a call's result, and announces it if it is news; does nothing if the member has ended."""
        if name not in self.network.nodes:
            return
        member = self.members[name]
        member.in_flight.discard(number)
        evidence, was_trial = (
            member.stages.best_evidence(number, self.network.now),
            number in member.stages.own_trials,
        )
        member.stages.record_call_result(number, is_up, self.network.now)
        if is_up:
            member.held[number] -= 1
        if was_trial or evidence is None or evidence.is_up is not is_up:
            self.announce(name)
        self.try_call(name, number)

    def all_open(self) -> bool:
        """Whether all running members have reached the last stage."""
        return all(self.members[name].stages.stage is Stage.OPEN for name in self.network.nodes)
