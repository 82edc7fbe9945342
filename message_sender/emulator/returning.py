"""Many members that return at once, on virtual time: the link, the stages, and destinations that are down, or
back after a while. The engine is not in it: a member calls as its stages give it leave."""

from dataclasses import dataclass, field

from message_sender.emulator.member_network import MemberNetwork
from message_sender.fleet.members import MemberState
from message_sender.recovery.datagram import decode_announcement, encode_announcement
from message_sender.recovery.stage_model import CallPermission, Stage
from message_sender.recovery.stages import Stages, announcement_interval_s

NEVER = float("inf")
TOOK = 0.02  # s of a call
TURN = 0.1  # s between two looks of a member at what it may do
COLD_FROM = 0.2  # share of its rate that a destination takes as it comes back


@dataclass
class Destination:
    rate: float = 60.0  # calls a second that it takes when warm
    back: float = 0.0  # s from which on it is up
    cold: float = 13.0  # s until it is warm after that
    calls: list[float] = field(default_factory=list)  # when each came that found it up
    trials: list[tuple[float, float]] = field(default_factory=list)  # spans

    def warm(self, now: float) -> float:
        """Calls a second that it can take."""
        return self.takes(now - self.back)

    def takes(self, warmed: float | None) -> float:
        """The same, s after it came back; None: it is warm."""
        share = 1.0 if warmed is None else min(max(warmed, 0.0) / self.cold, 1.0)
        return self.rate * (COLD_FROM + (1 - COLD_FROM) * share)

    def at_once(self) -> int:
        """The most trials that were out at one time."""
        ends = sorted([(began, 1) for began, _ in self.trials] + [(over, -1) for _, over in self.trials])
        most = out = 0
        for _, change in ends:
            out += change
            most = max(most, out)
        return most


@dataclass
class Returning:
    stages: Stages
    owed: dict[int, int]
    looked: float = 0.0
    next_word: float = 0.0
    last: dict[int, float] = field(default_factory=dict)  # when it called each destination last
    freed: dict[int, float] = field(default_factory=dict)
    out: set[int] = field(default_factory=set)


class Return:
    """`owed`: messages that each member holds for each destination."""

    def __init__(self, hall: MemberNetwork, destinations: list[Destination], owed: int) -> None:
        self.hall, self.destinations, self.owed = hall, destinations, owed
        self.members: dict[str, Returning] = {}
        hall.step = self.step

    def start(self, number: int) -> None:
        node = self.hall.start(number)
        name = node.me.name
        stages = Stages(name, self.hall.size, self.hall.now)
        left = self.members[name].owed if name in self.members else dict.fromkeys(
            range(len(self.destinations)), self.owed
        )  # fmt: skip
        self.members[name] = Returning(stages, left)

        def hear(by: str, text: bytes) -> None:
            if word := decode_announcement(text):
                stages.receive_announcement(by, word, self.hall.now)

        node.on_announcement = lambda by, said: hear(by, said.text)

    def step(self, name: str) -> None:
        now, member = self.hall.now, self.members[name]
        if now < member.looked + TURN:
            return
        member.looked = now
        node, stages = self.hall.nodes[name], member.stages
        gone = {each.name for each in node.members.others.values() if each.state >= MemberState.DEAD}
        stages.remove_members(gone & stages.announcements.keys())
        held = {number: count for number, count in member.owed.items() if count}
        before = None
        while stages.stage is not before:
            before = stages.stage
            stages.update(held, now)
        for number in held:
            self.consider(name, number)
        if now >= member.next_word:
            self.say(name)

    def say(self, name: str) -> None:
        member, now = self.members[name], self.hall.now
        member.next_word = now + announcement_interval_s(len(member.stages.announcements))
        self.hall.nodes[name].publish(encode_announcement(member.stages.announcement(now)), now)

    def consider(self, name: str, number: int) -> None:
        """Asked before each call, and again when the next one may go."""
        now, member = self.hall.now, self.members.get(name)
        if member is None or name in self.hall.frozen or name not in self.hall.nodes:
            return
        if number in member.out or not member.owed.get(number):
            return
        leave = member.stages.permission(number, now)
        if not leave.may_call:
            member.freed.pop(number, None)
            return
        due = now if leave.is_trial else self.due(member, number, leave)
        if due <= now:
            self.call(name, number, leave)
        elif due < now + TURN:
            self.hall.later(due - now, lambda: self.consider(name, number))

    def due(self, member: Returning, number: int, leave: CallPermission) -> float:
        """When its next call may go: as the gap shrinks while the destination warms up, before it would by
        the gap of now."""
        now, there = self.hall.now, self.destinations[number]
        freed, last = member.freed.setdefault(number, now), member.last.get(number, -NEVER)
        due = now
        for _ in range(4):
            warmed = None if leave.warming_for_s is None else leave.warming_for_s + due - now
            gap = 1 / (there.takes(warmed) * leave.rate_share)
            due = max(last + gap, freed + leave.start_phase * gap, now)
        return due

    def call(self, name: str, number: int, leave: CallPermission) -> None:
        now, member, there = self.hall.now, self.members[name], self.destinations[number]
        member.last[number] = now
        member.out.add(number)
        if leave.is_trial:
            member.stages.start_trial(number, now)
            there.trials.append((now, now + TOOK))
            self.say(name)
        up = now >= there.back
        if up:
            there.calls.append(now)
        self.hall.later(TOOK, lambda: self.over(name, number, up))

    def over(self, name: str, number: int, up: bool) -> None:
        if name not in self.hall.nodes:
            return
        member = self.members[name]
        member.out.discard(number)
        before, was_trial = (
            member.stages.best_evidence(number, self.hall.now),
            number in member.stages.own_trials,
        )
        member.stages.record_call_result(number, up, self.hall.now)
        if up:
            member.owed[number] -= 1
        if was_trial or before is None or before.is_up is not up:
            self.say(name)
        self.consider(name, number)

    def all_open(self) -> bool:
        return all(self.members[name].stages.stage is Stage.OPEN for name in self.hall.nodes)
