"""A control node: combines channel, replica, store, fan-out and operators' requests. No I/O, no clock.

Rules:

- Data that the replica needs durable is passed to the caller as one `LogBatch` (`take_batch`). Messages are
  sent and entries are applied only after `stored`. While the disk fails (`store_failed`), the same batch is
  returned again every `DISK_RETRY_S`; replication stops meanwhile, but watches and status are still served.
- Only configured nodes participate in replication and forward changes; any name may watch.
- An old disk (`Channel.is_behind`) makes the node a learner before the next message is handled. Its pending
  messages as a voter are dropped, because one of them may be its second vote in the same term.
- Time is taken only from the caller's monotonic clock, and only as differences.
"""

import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from message_sender.control.channel import BodyTooLargeError, Channel
from message_sender.control.fanout import Fanout
from message_sender.control.log_file import LogBatch, make_batch
from message_sender.control.messages import (
    Address,
    AppendReply,
    Body,
    Change,
    ForwardedChange,
    ForwardedResult,
    NodeStatus,
    Poll,
    RaftMessage,
    SnapshotRequest,
    StatusRequest,
    WatcherStatus,
)
from message_sender.control.raft_types import Ready, Role
from message_sender.control.replica import Replica
from message_sender.control.requests import Answer, ChangeRequests, Validate
from message_sender.control.store import ConfigurationStore

DISK_RETRY_S = 1.0
LEADERSHIP_TRANSFER_RETRY_S = 0.3
STATUS_TIMEOUT_S = 1.0
STATUS_REPEAT_S = 0.25
WATCHERS_BYTES_LIMIT = 48 * 1024  # for the encoded watchers in one status
WATCHER_OVERHEAD_BYTES = 32  # upper bound for the encoded numbers of a watcher
STATUS_REASON_LENGTH_LIMIT = 120  # characters
STATUS_FAULT_LENGTH_LIMIT = 400  # characters
MS_PER_SECOND = 1_000
BEHIND_REASON = "its disk has an older epoch than the other nodes know"

log = logging.getLogger(__name__)

StatusAnswer = Callable[[dict[str, NodeStatus]], None]


@dataclass(slots=True)
class StatusQuery:
    """An operator's status request that waits for the answers of other nodes."""

    answer: StatusAnswer
    deadline: float
    repeat_at: float
    statuses: dict[str, NodeStatus]


class ControlNode:
    """One control node, driven by datagrams, ticks and the results of disk writes.

    All times are seconds of the caller's monotonic clock.
    """

    def __init__(
        self,
        channel: Channel,
        replica: Replica,
        store: ConfigurationStore,
        validate: Validate,
        rng: random.Random,
        now: float,
        learner_reason: str = "",
    ) -> None:
        """Creates a node; if `learner_reason` is not empty, it starts as a learner."""
        self.name = channel.name
        self.channel = channel
        self.replica = replica
        self.store = store
        self.fanout = Fanout(store, rng, now, self._authority_age_ms)
        self.requests = ChangeRequests(replica, store, validate)
        self.learner_reason = learner_reason
        self.disk_fault = ""
        self.on_learner: Callable[[str], None] | None = None  # called with the reason
        self._now = now
        self._ready: Ready | None = None
        self._is_storing = False  # the caller is storing the batch
        self._retry_at = now
        self._transfer_due = now
        self._seen_term = replica.term
        self._queries: dict[int, StatusQuery] = {}
        self._query_number = 0
        if learner_reason and replica.is_voter:
            replica.become_learner(learner_reason)

    # Events.

    def receive(self, datagram: bytes, source: Address, now: float) -> None:
        """Handles a datagram from the network; never raises because of its content."""
        self._now = now
        bodies = self.channel.receive(datagram, source, now)
        self._check_for_old_disk()
        for sender, body in bodies:
            self._dispatch(sender, body, now)
        self._advance()

    def tick(self, now: float) -> None:
        """Handles timers that are due; must be called at least every 0.05 s."""
        self._now = now
        self._check_for_old_disk()
        if not self.disk_fault or self.replica.role is Role.LEADER:
            self.replica.tick(now)
        if self.requests.is_shutting_down:
            self._transfer_leadership(now)
        self.fanout.tick(now)
        self.requests.tick(now)
        self._tick_queries(now)
        self._advance()

    def submit(self, change: Change, answer: Answer, now: float) -> None:
        """Handles an operator's change; `answer` is called once, after ANSWER_TIMEOUT_S at the latest."""
        self._now = now
        self.requests.submit(change, answer, now)
        self._advance()

    def begin_shutdown(self, now: float) -> None:
        """Stops proposing entries; while this node is the leader, asks another node to take over.

        Proposals stop because a node that lacks a late proposal could not be elected.
        """
        self._now = now
        self.requests.is_shutting_down = True
        self._transfer_leadership(now)
        self._advance()

    def _transfer_leadership(self, now: float) -> None:
        if now >= self._transfer_due and self.replica.transfer_leadership():
            self._transfer_due = now + LEADERSHIP_TRANSFER_RETRY_S

    def _dispatch(self, sender: str, body: Body, now: float) -> None:
        is_node = sender in self.channel.addresses
        match body:
            case Poll() | SnapshotRequest():
                self.fanout.receive(sender, body, now)
            case _ if not is_node:
                pass
            case ForwardedChange() | ForwardedResult():
                self.requests.receive(sender, body, now)
            case StatusRequest():
                self._send(sender, self.status(now, body.number))
            case NodeStatus():
                self._handle_status(sender, body)
            case _ if isinstance(body, RaftMessage) and not self.disk_fault:
                self.replica.receive(sender, body, now)

    def _check_for_old_disk(self) -> None:
        if self.channel.is_behind and not self.learner_reason:
            self.learner_reason = BEHIND_REASON
            self.replica.become_learner(BEHIND_REASON)
            if self.on_learner is not None:
                self.on_learner(BEHIND_REASON)

    # The disk.

    def take_batch(self) -> LogBatch | None:
        """Returns the batch to store now, or None if there is none or the last one is still being stored."""
        ready = self._ready
        if ready is None or self._is_storing or self._now < self._retry_at:
            return None
        self._is_storing = True
        return make_batch(ready.hard_state, ready.truncate_from, ready.entries)

    def stored(self, now: float) -> None:
        """Records that the batch is durable."""
        assert self._ready is not None and self._is_storing
        self._now = now
        ready = self._ready
        self._ready = None
        self._is_storing = False
        self.disk_fault = ""
        self._complete(ready)
        self._advance()

    def store_failed(self, fault: str, now: float) -> None:
        """Records that the batch could not be stored; `take_batch` returns it again after DISK_RETRY_S."""
        self._now = now
        self._is_storing = False
        self.disk_fault = fault
        self._retry_at = now + DISK_RETRY_S

    def _advance(self) -> None:
        """Processes the replica's output until part of it must be made durable first, then sends messages."""
        if self.replica.term != self._seen_term:
            self._seen_term = self.replica.term
            self.requests.term_changed()
        while self._ready is None:
            ready = self.replica.take_ready()
            if ready is None:
                break
            if ready.hard_state or ready.entries or ready.truncate_from is not None:
                self._ready = ready
            else:
                self._complete(ready)
        for to, message in (*self.requests.take_messages(), *self.fanout.take_messages()):
            self._send(to, message)

    def _complete(self, ready: Ready) -> None:
        for to, message in ready.messages:
            if self.replica.is_voter or not _is_from_voter(message):
                self._send(to, message)
        self.replica.persisted(ready)
        version = self.store.document.version
        for entry in ready.committed:
            self.requests.entry_applied(entry, self.store.apply(entry))
        if self.store.document.version != version:
            self.fanout.version_changed(self._now)

    def _send(self, to: str, body: Body) -> None:
        try:
            self.channel.send(to, body, self._now)
        except BodyTooLargeError as error:
            log.error("control: message not sent: receiver=%s error=%s", to, error)

    # Status.

    def status(self, now: float, number: int = 0) -> NodeStatus:
        """Returns this node's status with as many watchers as fit, those with the oldest version first."""
        watchers = sorted(self.fanout.watchers(now), key=lambda watcher: watcher.version)
        return NodeStatus(
            number=number,
            name=self.name,
            role=self.replica.role.value,
            leader=self.replica.leader,
            term=self.replica.term,
            version=self.store.document.version,
            commit_index=self.replica.commit_index,
            age_ms=self._authority_age_ms(),
            watchers=_limit_size(watchers),
            fault=self.fault()[:STATUS_FAULT_LENGTH_LIMIT],
        )

    def fault(self) -> str:
        """Returns a text with the faults that an operator must repair; empty if there are none."""
        faults = []
        if self.disk_fault:
            faults.append(f"writes to the disk fail: {self.disk_fault}")
        if self.learner_reason:
            faults.append(f"a learner: {self.learner_reason}")
        return "; ".join(faults)

    def query_status(self, answer: StatusAnswer, now: float) -> None:
        """Calls `answer` once with the status of each node that answers within STATUS_TIMEOUT_S."""
        self._query_number += 1
        query = StatusQuery(answer, now + STATUS_TIMEOUT_S, now, {self.name: self.status(now)})
        self._queries[self._query_number] = query
        self._tick_queries(now)

    def node_names(self) -> tuple[str, ...]:
        """Returns the names of all control nodes, this one included."""
        return tuple(sorted({self.name, *self.channel.addresses}))

    def _tick_queries(self, now: float) -> None:
        for number, query in tuple(self._queries.items()):
            missing = [name for name in self.node_names() if name not in query.statuses]
            if not missing or now >= query.deadline:
                del self._queries[number]
                query.answer(query.statuses)
            elif now >= query.repeat_at:
                query.repeat_at = now + STATUS_REPEAT_S
                for name in missing:
                    self._send(name, StatusRequest(number))

    def _handle_status(self, sender: str, status: NodeStatus) -> None:
        query = self._queries.get(status.number)
        if query is not None and status.name == sender:
            query.statuses[sender] = status
            if len(query.statuses) == len(self.node_names()):
                self._tick_queries(self._now)

    def _authority_age_ms(self) -> int:
        return int(self.replica.authority_age(self._now) * MS_PER_SECOND)


def _is_from_voter(message: RaftMessage) -> bool:
    return not isinstance(message, AppendReply) or message.is_voter


def _shorten_reason(watcher: WatcherStatus) -> WatcherStatus:
    if len(watcher.reason) <= STATUS_REASON_LENGTH_LIMIT:
        return watcher
    reason = watcher.reason[: STATUS_REASON_LENGTH_LIMIT - 3] + "..."
    return WatcherStatus(watcher.name, watcher.version, watcher.refused_version, reason, watcher.silent_ms)


def _limit_size(watchers: Iterable[WatcherStatus]) -> tuple[WatcherStatus, ...]:
    fitting: list[WatcherStatus] = []
    size = 0
    for watcher in map(_shorten_reason, watchers):
        size += len(watcher.name.encode()) + len(watcher.reason.encode()) + WATCHER_OVERHEAD_BYTES
        if size > WATCHERS_BYTES_LIMIT:
            break
        fitting.append(watcher)
    return tuple(fitting)
