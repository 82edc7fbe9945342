"""Operators' changes in progress: validated and proposed by the leader, forwarded to it by any other node.

Rules:

- A request waits at the node that received it, and is proposed or forwarded again every `RETRY_INTERVAL_S`
  until its answer is known. After `ANSWER_TIMEOUT_S` the answer is `unavailable`; a retry with the same
  request id shows whether the change was made.
- The leader answers from the store if the id was already applied. Otherwise it validates the result of the
  change against the base document that the change names: faults and an older base are answered immediately,
  and no entry is written. A leader that has not yet applied an entry of its own term does not answer, because
  its document may lack confirmed changes.
- A base above the leader's own version may come from a newer leader that this one does not know, so this
  leader cannot answer that nothing was changed. Therefore the change is appended to the log; when it is
  applied, after all earlier entries, the store answers with a conflict. A leader that is cut off does not
  answer at all.
- Within a term an id is proposed once. Across terms the store, which remembers ids, applies it once.
- A node answers its operator once its own document has the version, so that a read at that node shows the
  change.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from message_sender.control.document import DeltaMismatchError
from message_sender.control.messages import (
    Change,
    ChangeResult,
    ForwardedChange,
    ForwardedResult,
    LogEntry,
    OperatorMessage,
    Outcome,
)
from message_sender.control.raft_types import Role
from message_sender.control.replica import Replica
from message_sender.control.store import ChangeFormatError, ConfigurationStore, decode_change, encode_change

RETRY_INTERVAL_S = 0.3
ANSWER_TIMEOUT_S = 3.0
FORWARDED_LIMIT = 256  # requests from other nodes, which repeat them
WAITING_LIMIT = 256  # requests from this node's operators
FAULTS_LIMIT = 100  # per answer
FAULT_LENGTH_LIMIT = 400  # characters

Validate = Callable[[Mapping[str, bytes]], tuple[str, ...]]
Answer = Callable[[ChangeResult], None]


@dataclass(slots=True)
class WaitingRequest:
    """An operator's request at this node; a `result` is held until this node's document has its version."""

    change: Change
    answers: list[Answer]
    deadline: float
    retry_at: float
    result: ChangeResult | None = None


@dataclass(slots=True)
class ForwardedRequest:
    """A request from other nodes that this node, as the leader, proposed."""

    change: Change
    requesters: set[str] = field(default_factory=set)


class ChangeRequests:
    """The changes in progress at one node.

    All times are seconds of the caller's monotonic clock.
    """

    def __init__(self, replica: Replica, store: ConfigurationStore, validate: Validate) -> None:
        """Creates an empty set; `validate` returns the faults of a complete configuration."""
        self.replica = replica
        self.store = store
        self.validate = validate
        self.is_shutting_down = False  # if True, no more changes are proposed
        self._waiting: dict[str, WaitingRequest] = {}
        self._forwarded: dict[str, ForwardedRequest] = {}
        self._proposed: dict[str, int] = {}  # the term of the proposal by request id
        self._outbox: list[tuple[str, OperatorMessage]] = []

    def take_messages(self) -> list[tuple[str, OperatorMessage]]:
        """Returns the messages to send now, each with its receiving node; each message is returned once."""
        messages = self._outbox
        self._outbox = []
        return messages

    # Requests of this node's operators.

    def submit(self, change: Change, answer: Answer, now: float) -> None:
        """Handles a change; calls `answer` once, when the outcome is known or after ANSWER_TIMEOUT_S."""
        fault = _find_format_fault(change)
        if fault:
            answer(self._make_result(change, Outcome.INVALID, (fault,)))
            return
        waiting = self._waiting.get(change.request_id)
        if waiting is not None:
            waiting.answers.append(answer)
            return
        if len(self._waiting) >= WAITING_LIMIT:
            answer(self._make_result(change, Outcome.UNAVAILABLE, ("too many requests at once",)))
            return
        waiting = WaitingRequest(change, [answer], now + ANSWER_TIMEOUT_S, now)
        self._waiting[change.request_id] = waiting
        self._propose_or_forward(waiting, now)

    def tick(self, now: float) -> None:
        """Retries the requests that are due, and answers those whose deadline has passed."""
        for waiting in tuple(self._waiting.values()):
            if now >= waiting.deadline:
                result = waiting.result or self._make_result(waiting.change, Outcome.UNAVAILABLE)
                self._finish(waiting, result)
            elif now >= waiting.retry_at:
                self._propose_or_forward(waiting, now)

    def _propose_or_forward(self, waiting: WaitingRequest, now: float) -> None:
        waiting.retry_at = now + RETRY_INTERVAL_S
        if waiting.result is not None:
            return
        if self.replica.role is Role.LEADER:
            result = self._decide(waiting.change, now)
            if result is not None:
                self._record_result(waiting, result)
        elif self.replica.leader:
            self._outbox.append((self.replica.leader, ForwardedChange(waiting.change)))

    def _record_result(self, waiting: WaitingRequest, result: ChangeResult) -> None:
        waiting.result = result
        if result.outcome is not Outcome.APPLIED or self.store.document.version >= result.version:
            self._finish(waiting, result)

    def _finish(self, waiting: WaitingRequest, result: ChangeResult) -> None:
        del self._waiting[waiting.change.request_id]
        for answer in waiting.answers:
            answer(result)

    # Messages of other nodes.

    def receive(self, sender: str, message: ForwardedChange | ForwardedResult, now: float) -> None:
        """Handles a change forwarded by another node, or the result of a change that this node forwarded."""
        if isinstance(message, ForwardedResult):
            waiting = self._waiting.get(message.result.request_id)
            if waiting is not None and waiting.result is None:
                self._record_result(waiting, message.result)
            return
        change = message.change
        if self.replica.role is not Role.LEADER or _find_format_fault(change):
            return
        result = self._decide(change, now)
        if result is not None:
            self._outbox.append((sender, ForwardedResult(result)))
            return
        if len(self._forwarded) >= FORWARDED_LIMIT:
            del self._forwarded[next(iter(self._forwarded))]
        self._forwarded.setdefault(change.request_id, ForwardedRequest(change)).requesters.add(sender)

    # The leader's part.

    def _decide(self, change: Change, now: float) -> ChangeResult | None:
        """Returns the result if it is known now; otherwise proposes the change, once per term."""
        known = self.store.known_result(change.request_id)
        if known is not None:
            return known
        if self.is_shutting_down or not self._has_applied_own_term():
            return None
        if self._proposed.get(change.request_id) == self.replica.term:
            return None
        version = self.store.document.version
        if change.base_version < version:
            return self._make_result(change, Outcome.CONFLICT)
        if change.base_version > version:
            if self.replica.last_index != self.store.applied_index:
                return None  # an entry in progress may create that version; do not propose unvalidated
        elif faults := self._validate_change(change):
            return self._make_result(change, Outcome.INVALID, faults)
        self.replica.propose(encode_change(change), now)
        self._proposed[change.request_id] = self.replica.term
        return None

    def _has_applied_own_term(self) -> bool:
        """Returns whether the document has all changes that were confirmed before this leader's term."""
        applied = self.store.applied_index
        return applied > 0 and self.replica.entry(applied).term == self.replica.term

    def _validate_change(self, change: Change) -> tuple[str, ...]:
        document = self.store.document
        try:
            document.digest_after(change.put, change.delete)
        except DeltaMismatchError as error:
            return (str(error),)
        resources = dict(document.resources)
        for name in change.delete:
            del resources[name]
        resources.update((resource.name, resource.value) for resource in change.put)
        faults = [fault[:FAULT_LENGTH_LIMIT] for fault in self.validate(resources)]
        if len(faults) > FAULTS_LIMIT:
            faults[FAULTS_LIMIT:] = [f"and {len(faults) - FAULTS_LIMIT} more"]
        return tuple(faults)

    def _make_result(self, change: Change, outcome: Outcome, faults: tuple[str, ...] = ()) -> ChangeResult:
        return ChangeResult(change.request_id, outcome, self.store.document.version, faults)

    # Applied entries.

    def entry_applied(self, entry: LogEntry, result: ChangeResult | None) -> None:
        """Records that `entry` was applied to the store with `result`, and answers its requests."""
        if result is not None and entry.data:
            self._proposed.pop(result.request_id, None)
            forwarded = self._forwarded.pop(result.request_id, None)
            if forwarded is not None:
                self._outbox += [(name, ForwardedResult(result)) for name in sorted(forwarded.requesters)]
            waiting = self._waiting.get(result.request_id)
            if waiting is not None:
                waiting.result = result
        for waiting in tuple(self._waiting.values()):
            if waiting.result is not None:
                self._record_result(waiting, waiting.result)

    def term_changed(self) -> None:
        """Drops the proposals of the previous term, which may be lost; the requesters repeat them."""
        self._proposed.clear()
        self._forwarded.clear()


def _find_format_fault(change: Change) -> str:
    """Returns the reason why a change cannot be encoded as a log entry; empty if it can."""
    try:
        decode_change(encode_change(change))
    except ChangeFormatError as error:
        return str(error)
    return ""
