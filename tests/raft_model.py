"""Explores, breadth first and within bounds, every state that a few real `Replica` objects can reach.

The network is a set of messages: each may be delivered at any time, any number of times and in any order, or
never. A message is removed once its receiver can only repeat an earlier answer or report a newer term from
then on (`is_dead`). Timeouts are events that may happen at any time, so pre-vote and heartbeats, which only
decide when elections happen, are omitted. A crash loses data that was not durable. With `is_sync_separate`,
an event and its sync are two steps; other events of that node happen between them only with
`has_events_before_sync`. A crash between the two steps may leave the hard state alone, the entries alone, or
neither.

A step of a replica depends only on its own state and the event, so each step is run once and cached; a state
of the whole system is a few numbers.
"""

from collections.abc import Iterator, Sequence
from random import Random

from raft_state import (
    NOW,
    Confirmed,
    Disk,
    Event,
    Global,
    Local,
    Result,
    Step,
    ViolationError,
    World,
    bits,
    clone,
    is_dead,
    is_log_matching,
    key,
    settle,
)

from message_sender.control.log import ReplicatedLog
from message_sender.control.messages import (
    LogEntry,
    RaftMessage,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from message_sender.control.raft_types import ReplicaInvariantError, Role
from message_sender.control.replica import Replica


class Explorer:
    """One exploration; `run` returns its result."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.names = [name for name, _ in world.votes]
        self.votes = dict(world.votes)
        self.total = sum(self.votes.values())
        self.locals: list[Local] = []
        self.local_numbers: dict[object, int] = {}
        self.messages: list[tuple[int, int, RaftMessage]] = []  # sender, receiver, message
        self.message_numbers: dict[tuple[int, int, RaftMessage], int] = {}
        self.dead: dict[int, tuple[int, int]] = {}  # by local state: checked messages, dead ones among them
        self.inbox = [0] * len(self.names)  # by node: the messages to it, a bit each
        self.steps: dict[Event, Step | str] = {}
        self.confirmed: list[Confirmed] = [()]
        self.confirmed_numbers: dict[Confirmed, int] = {(): 0}
        self.confirmations: dict[tuple[int, int], int | str] = {}
        self.holdings: dict[tuple[int, int], bool] = {}
        self.matchings: dict[tuple[int, int], bool] = {}

    # Numbers in place of objects.

    def local_number(self, local: Local, node: int) -> int:
        settle(local.replica)
        identity = (node, key(local.replica), local.disk, local.is_dirty)
        number = self.local_numbers.get(identity)
        if number is None:
            number = self.local_numbers[identity] = len(self.locals)
            self.locals.append(local)
        return number

    def message_number(self, sender: int, receiver: int, message: RaftMessage) -> int:
        identity = (sender, receiver, message)
        number = self.message_numbers.get(identity)
        if number is not None:
            return number
        number = self.message_numbers[identity] = len(self.messages)
        self.messages.append(identity)
        self.inbox[receiver] |= 1 << number
        return number

    def live(self, messages: int, node: int, number: int) -> int:
        """Returns the messages except those to a node that can no longer change it."""
        mine = messages & self.inbox[node]
        checked, dead = self.dead.get(number, (0, 0))
        if mine & ~checked:
            replica = self.locals[number].replica
            for candidate in bits(mine & ~checked):
                sender, _, message = self.messages[candidate]
                if not is_dead(replica, self.names[sender], message, self.world.is_sync_separate):
                    continue
                if message.term < replica.term or self.is_without_effect(node, number, candidate):
                    dead |= 1 << candidate
            self.dead[number] = checked | mine, dead
        return messages & ~(dead & mine)

    def is_without_effect(self, node: int, number: int, message: int) -> bool:
        """Returns whether a message leaves its receiver unchanged; this verifies the result of `is_dead`."""
        if self.world.is_sync_separate:
            return True
        step = self.step(("deliver", node, message), number)
        return isinstance(step, Step) and step.node == number

    # Steps of one node.

    def started(self, node: int, disk: Disk) -> Local:
        name = self.names[node]
        is_voter = name not in self.world.learners
        replica = self.world.replica_class(
            name, self.votes, disk.hard_state, disk.entries, Random(1), NOW, is_voter
        )
        return Local(replica, disk, False)

    def flushed(self, replica: Replica, disk: Disk) -> tuple[Disk, list[tuple[str, RaftMessage]]]:
        """Makes everything durable, and returns the new disk and the messages sent after that."""
        sent: list[tuple[str, RaftMessage]] = []
        while (ready := replica.take_ready()) is not None:
            disk = disk.written(ready)
            sent += ready.messages
            replica.persisted(ready)
        return disk, sent

    def step(self, event: Event, number: int) -> Step | str:
        """Runs an event on a copy of a node's local state; returns a text if an invariant was violated."""
        kind, node, argument = event
        local = self.locals[number]
        if kind == "crash":
            return Step(self.local_number(self.started(node, self.torn(local, argument)), node))
        replica, disk = clone(local.replica), local.disk
        commit_index = replica.commit_index
        try:
            self.apply(kind, replica, argument)
            sent: list[tuple[str, RaftMessage]] = []
            if self.world.is_sent_before_sync:
                sent += replica._messages
            if kind == "sync" or not self.world.is_sync_separate:
                disk, more = self.flushed(replica, disk)
                sent += more
        except ReplicaInvariantError as error:
            return str(error)
        if replica.commit_index < commit_index:
            return "the commit index went back"
        is_dirty = self.world.is_sync_separate and kind != "sync" and self.is_dirty(replica)
        sends = tuple(self.message_number(node, self.names.index(to), message) for to, message in sent)
        after = self.local_number(Local(replica, disk, is_dirty), node)
        receivers = tuple({self.messages[each][1] for each in sends})
        return Step(after, sends, sum(1 << each for each in set(sends)), receivers)

    def is_dirty(self, replica: Replica) -> bool:
        return clone(replica).take_ready() is not None

    def torn(self, local: Local, variant: int) -> Disk:
        """Returns the disk after a crash in one of three variants.

        Variant 0 has nothing of the data that was not durable, 1 has its hard state, 2 has its entries.
        """
        if variant == 0:
            return local.disk
        ready = clone(local.replica).take_ready()
        assert ready is not None
        return local.disk.written(ready, has_hard_state=variant == 1, has_entries=variant == 2)

    def apply(self, kind: str, replica: Replica, argument: int) -> None:
        if kind == "deliver":
            sender, _, message = self.messages[argument]
            replica.receive(self.names[sender], message, NOW)
        elif kind == "elect":
            if replica.role is Role.LEADER:
                replica._become_follower(replica.term, "", NOW)
            replica._start_election(NOW)
        elif kind == "transfer":
            replica.transfer_leadership()
        elif kind == "propose":
            replica.propose(b"%d" % argument, NOW)

    # Events and states of the whole.

    def events(self, state: Global) -> Iterator[Event]:
        for node, number in enumerate(state.nodes):
            replica, _, is_dirty = self.locals[number]
            if state.crashes < self.world.crashes:
                yield "crash", node, 0
                if is_dirty:
                    yield "crash", node, 1
                    yield "crash", node, 2
            if is_dirty:
                yield "sync", node, 0
                if not self.world.has_events_before_sync:
                    continue
            if replica.role is Role.LEADER and state.proposals < self.world.proposals:
                yield "propose", node, state.proposals + 1
            if replica.role is Role.LEADER and self.world.has_transfers:
                yield "transfer", node, 0
            if replica.role is not Role.LEARNER and self.may_be_candidate(node, replica.term + 1):
                yield "elect", node, 0
            for message in bits(state.messages & self.inbox[node]):
                is_transfer = isinstance(self.messages[message][2], TimeoutNow)
                if not is_transfer or replica.term < len(self.world.candidates):
                    yield "deliver", node, message

    def may_be_candidate(self, node: int, term: int) -> bool:
        candidates = self.world.candidates
        return term <= len(candidates) and self.names[node] in candidates[term - 1]

    def next_state(self, state: Global, event: Event) -> Global:
        """Returns the state after an event.

        Raises:
            ViolationError: If an invariant is violated in that state.
        """
        kind, node, argument = event
        number = state.nodes[node]
        memo = (kind, number, argument)
        step = self.steps.get(memo)
        if step is None:
            step = self.steps[memo] = self.step(event, number)
        if isinstance(step, str):
            raise ViolationError(step)
        is_same = step.node == number and kind != "crash"
        if is_same and not step.sent:
            return state
        nodes = (*state.nodes[:node], step.node, *state.nodes[node + 1 :])
        messages = self.live(state.messages | step.mask, node, step.node)
        for other in step.receivers:
            messages = self.live(messages, other, nodes[other])
        if is_same and messages == state.messages:
            return state
        return Global(
            nodes,
            messages,
            self.votes_after(state.votes, step.sent),
            self.leaders_after(state.leaders, node, step.node),
            self.checked(nodes, node, state.confirmed),
            state.proposals + (kind == "propose"),
            state.crashes + (kind == "crash"),
        )

    # Invariants.

    def votes_after(
        self, votes: tuple[tuple[int, int], ...], sent: Sequence[int]
    ) -> tuple[tuple[int, int], ...]:
        """Returns the last votes after messages were sent.

        Raises:
            ViolationError: If a node votes twice in a term, or in a term before that of its last vote.
        """
        for number in sent:
            voter, receiver, message = self.messages[number]
            if isinstance(message, VoteRequest):
                vote = message.term, voter
            elif isinstance(message, VoteReply) and message.is_granted:
                vote = message.term, receiver
            else:
                continue
            if vote == votes[voter]:
                continue
            if vote[0] <= votes[voter][0]:
                raise ViolationError(f"{self.names[voter]} voted twice in term {vote[0]}")
            votes = (*votes[:voter], vote, *votes[voter + 1 :])
        return votes

    def leaders_after(self, leaders: tuple[int, ...], node: int, number: int) -> tuple[int, ...]:
        replica = self.locals[number].replica
        if replica.role is not Role.LEADER or leaders[replica.term] == node:
            return leaders
        if leaders[replica.term] >= 0:
            raise ViolationError(f"term {replica.term} has two leaders")
        return (*leaders[: replica.term], node, *leaders[replica.term + 1 :])

    def checked(self, nodes: Sequence[int], changed: int, confirmed: int) -> int:
        """Checks the logs after a node has changed; returns the number of the confirmed log after that."""
        number = nodes[changed]
        for other in nodes:
            if other != number and not self.is_matching(number, other):
                raise ViolationError("two logs differ before an entry that both have")
        after = self.confirmation(confirmed, number)
        if isinstance(after, str):
            raise ViolationError(after)
        if after:
            others = nodes if after != confirmed else (number,)
            for local in others:
                self.check_leader(after, local)
            held = sum(
                self.votes[name]
                for name, each in zip(self.names, nodes, strict=True)
                if name not in self.world.learners and self.is_held(after, each)
            )
            if 2 * held <= self.total:
                raise ViolationError("a confirmed entry is durable on no majority")
        return after

    def is_matching(self, one: int, other: int) -> bool:
        identity = (one, other) if one < other else (other, one)
        known = self.matchings.get(identity)
        if known is None:
            first = self.locals[one].replica._log._entries
            second = self.locals[other].replica._log._entries
            known = self.matchings[identity] = is_log_matching(first, second)
        return known

    def confirmation(self, confirmed: int, number: int) -> int | str:
        identity = (confirmed, number)
        known = self.confirmations.get(identity)
        if known is None:
            known = self.confirmations[identity] = self._confirmation(confirmed, number)
        return known

    def _confirmation(self, confirmed: int, number: int) -> int | str:
        replica = self.locals[number].replica
        before = self.confirmed[confirmed]
        entries = replica._log._entries[: replica.commit_index]
        if any(mine != theirs for mine, (theirs, _) in zip(entries, before, strict=False)):
            return "a confirmed entry was replaced"
        after = before + tuple((each, replica.term) for each in entries[len(before) :])
        if after not in self.confirmed_numbers:
            self.confirmed_numbers[after] = len(self.confirmed)
            self.confirmed.append(after)
        return self.confirmed_numbers[after]

    def check_leader(self, confirmed: int, number: int) -> None:
        replica = self.locals[number].replica
        if replica.role is not Role.LEADER:
            return
        entries = replica._log._entries
        for entry, term in self.confirmed[confirmed]:
            if term <= replica.term and (len(entries) < entry.index or entries[entry.index - 1] != entry):
                raise ViolationError(f"the leader of term {replica.term} lacks a confirmed entry")

    def is_held(self, confirmed: int, number: int) -> bool:
        """Returns whether a node's disk has the complete confirmed log."""
        identity = (confirmed, number)
        known = self.holdings.get(identity)
        if known is None:
            expected = tuple(entry for entry, _ in self.confirmed[confirmed])
            known = self.holdings[identity] = self.locals[number].disk.entries[: len(expected)] == expected
        return known

    # The search.

    def run(self) -> Result:
        nodes = tuple(
            self.local_number(self.started(node, disk), node) for node, disk in enumerate(self.world.disks)
        )
        votes = ((0, -1),) * len(nodes)
        first = Global(nodes, 0, votes, (-1,) * (len(self.world.candidates) + 1), 0, 0, 0)
        origins: dict[Global, tuple[Global, Event] | None] = {first: None}
        frontier = [first]
        result = Result()
        while frontier:
            next_frontier = []
            for state in frontier:
                for event in self.events(state):
                    try:
                        after = self.next_state(state, event)
                    except ViolationError as error:
                        result.violation = str(error)
                        result.trace = [*self.trace(origins, state), self.describe(event)]
                        result.states = len(origins)
                        return result
                    if after not in origins:
                        origins[after] = (state, event)
                        next_frontier.append(after)
            if len(origins) > self.world.states_limit:
                result.states = len(origins)
                return result
            frontier = next_frontier
        result.states = len(origins)
        result.is_complete = True
        result.confirmed = max(len(each) for each in self.confirmed)
        result.leaders = max(
            (each.replica.term for each in self.locals if each.replica.role is Role.LEADER), default=0
        )
        return result

    def trace(self, origins: dict[Global, tuple[Global, Event] | None], state: Global) -> list[str]:
        events = []
        while (origin := origins[state]) is not None:
            state, event = origin
            events.append(self.describe(event))
        return events[::-1]

    def describe(self, event: Event) -> str:
        kind, node, argument = event
        if kind == "deliver":
            sender, _, message = self.messages[argument]
            return f"{self.names[sender]} to {self.names[node]}: {message}"
        return f"{kind} {self.names[node]} {argument}"


def explore(world: World) -> Result:
    return Explorer(world).run()


def one_entry_a_batch(log: ReplicatedLog, first: int, bytes_limit: int) -> tuple[LogEntry, ...]:
    """Replaces `ReplicatedLog.batch` by the shortest possible batches."""
    return log.between(first, first)
