"""A control node: channel, replica, store, fan-out and operators' requests joined, without I/O.

Rules:

- What the replica wants durable is given to the caller as one `LogBatch` (`take_batch`). Only after `stored`
  do its messages leave and its entries count. While the disk refuses (`store_failed`) the same batch is given
  again each `DISK_RETRY_S`; replication stands still meanwhile, and watches and status are served.
- Only names in the table of nodes take part in replication and forward changes; any name may watch.
- An old disk (`Channel.is_behind`) makes the node a learner before the next message is looked at. What it had
  to say as a voter and had not said yet is not said any more: a vote may be its second one of the term.
- Only the caller's monotonic clock is used, and only differences of it.
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
from message_sender.control.raft import Ready, Role
from message_sender.control.replica import Replica
from message_sender.control.requests import Answer, ChangeRequests, Validate
from message_sender.control.store import ConfigurationStore

DISK_RETRY_S = 1.0
LEADERSHIP_TRANSFER_RETRY_S = 0.3
STATUS_TIMEOUT_S = 1.0
STATUS_REPEAT_S = 0.25
WATCHERS_BYTES_LIMIT = 48 * 1024  # of the watchers in one status, as they are encoded
WATCHER_OVERHEAD_BYTES = 32  # bytes of a watcher's numbers, at the most
STATUS_REASON_LENGTH_LIMIT = 120  # characters
STATUS_FAULT_LENGTH_LIMIT = 400  # characters
MS_PER_SECOND = 1_000
BEHIND_REASON = "its disk is older than what other nodes have heard of it"

log = logging.getLogger(__name__)

StatusAnswer = Callable[[dict[str, NodeStatus]], None]


@dataclass(slots=True)
class StatusQuery:
    """An operator's question that other nodes are asked."""

    answer: StatusAnswer
    deadline: float
    repeat_at: float
    statuses: dict[str, NodeStatus]


class ControlNode:
    """One control node, driven by datagrams, ticks and a disk that its user keeps."""

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
        self.name, self.channel, self.replica, self.store = channel.name, channel, replica, store
        self.fanout = Fanout(store, rng, now, self._authority_age_ms)
        self.requests = ChangeRequests(replica, store, validate)
        self.learner_reason = learner_reason
        self.disk_fault = ""
        self.on_learner: Callable[[str], None] = lambda reason: None
        self._now = now
        self._ready: Ready | None = None
        self._is_storing = False  # the caller has the batch
        self._retry_at = now
        self._transfer_due = now
        self._seen_term = replica.term
        self._queries: dict[int, StatusQuery] = {}
        self._query_number = 0
        if learner_reason and replica.is_voter:
            replica.become_learner(learner_reason)

    # Events.

    def receive(self, datagram: bytes, source: Address, now: float) -> None:
        """Takes a datagram from the network; never raises for what comes."""
        self._now = now
        bodies = self.channel.receive(datagram, source, now)
        self._check_disk_age()
        for sender, body in bodies:
            self._dispatch(sender, body, now)
        self._advance()

    def tick(self, now: float) -> None:
        """What time brings; at least each 0.05 s."""
        self._now = now
        self._check_disk_age()
        if not self.disk_fault or self.replica.role is Role.LEADER:
            self.replica.tick(now)
        if self.requests.is_shutting_down:
            self._transfer_leadership(now)
        self.fanout.tick(now)
        self.requests.tick(now)
        self._tick_queries(now)
        self._advance()

    def submit(self, change: Change, answer: Answer, now: float) -> None:
        """An operator's change; `answer` is called once, within a few seconds."""
        self._now = now
        self.requests.submit(change, answer, now)
        self._advance()

    def begin_shutdown(self, now: float) -> None:
        """This node is to end: from now on it proposes nothing, and as long as it leads it asks another node
        to lead. One that lacked a late proposal could not be elected."""
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
                self._take_status(sender, body)
            case _ if isinstance(body, RaftMessage) and not self.disk_fault:
                self.replica.receive(sender, body, now)

    def _check_disk_age(self) -> None:
        if self.channel.is_behind and not self.learner_reason:
            self.learner_reason = BEHIND_REASON
            self.replica.become_learner(BEHIND_REASON)
            self.on_learner(BEHIND_REASON)

    # The disk.

    def take_batch(self) -> LogBatch | None:
        """What is to be made durable now; None: nothing, or the last one is under way."""
        ready = self._ready
        if ready is None or self._is_storing or self._now < self._retry_at:
            return None
        self._is_storing = True
        return make_batch(ready.hard_state, ready.truncate_from, ready.entries)

    def stored(self, now: float) -> None:
        """The batch is durable."""
        assert self._ready is not None and self._is_storing
        self._now = now
        self._is_storing, self.disk_fault = False, ""
        ready, self._ready = self._ready, None
        self._complete(ready)
        self._advance()

    def store_failed(self, fault: str, now: float) -> None:
        """The batch is not durable; `take_batch` gives it again later."""
        self._now = now
        self._is_storing, self.disk_fault = False, fault
        self._retry_at = now + DISK_RETRY_S

    def _advance(self) -> None:
        """Carries on with the replica until something must be durable first."""
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
            if self.replica.is_voter or not _is_of_a_voter(message):
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
            log.error("control: not said to %s: %s", to, error)

    # Status.

    def status(self, now: float, number: int = 0) -> NodeStatus:
        """This node's own view. Of its watchers those with the oldest version come first, so many as fit."""
        watchers = sorted(self.fanout.watchers(now), key=lambda each: each.version)
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
        """What an operator is to look after here; empty if nothing."""
        faults = []
        if self.disk_fault:
            faults.append(f"the disk takes no writes: {self.disk_fault}")
        if self.learner_reason:
            faults.append(f"a learner: {self.learner_reason}")
        return "; ".join(faults)

    def query_status(self, answer: StatusAnswer, now: float) -> None:
        """Calls `answer` once with the status of every node that answers within STATUS_TIMEOUT_S."""
        self._query_number += 1
        query = StatusQuery(answer, now + STATUS_TIMEOUT_S, now, {self.name: self.status(now)})
        self._queries[self._query_number] = query
        self._tick_queries(now)

    def node_names(self) -> tuple[str, ...]:
        """All control nodes, this one included."""
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

    def _take_status(self, sender: str, status: NodeStatus) -> None:
        query = self._queries.get(status.number)
        if query is not None and status.name == sender:
            query.statuses[sender] = status
            if len(query.statuses) == len(self.node_names()):
                self._tick_queries(self._now)

    def _authority_age_ms(self) -> int:
        return int(self.replica.authority_age(self._now) * MS_PER_SECOND)


def _is_of_a_voter(message: RaftMessage) -> bool:
    return not isinstance(message, AppendReply) or message.is_voter


def _shorten_reason(watcher: WatcherStatus) -> WatcherStatus:
    if len(watcher.reason) <= STATUS_REASON_LENGTH_LIMIT:
        return watcher
    reason = watcher.reason[: STATUS_REASON_LENGTH_LIMIT - 3] + "..."
    return WatcherStatus(watcher.name, watcher.version, watcher.refused_version, reason, watcher.silent_ms)


def _limit_size(watchers: Iterable[WatcherStatus]) -> tuple[WatcherStatus, ...]:
    found, size = [], 0
    for watcher in map(_shorten_reason, watchers):
        size += len(watcher.name.encode()) + len(watcher.reason.encode()) + WATCHER_OVERHEAD_BYTES
        if size > WATCHERS_BYTES_LIMIT:
            break
        found.append(watcher)
    return tuple(found)
