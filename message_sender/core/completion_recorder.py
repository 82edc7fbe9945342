"""Records completions before anyone can learn of them.

Rules:

- A completion is passed on once its record is in the journal and, with a durable journal, synced. Every later
  process of the sender finds the record, and notifies the completion again until it is acknowledged.
- While the record cannot be written, the message stays pending in the journal and nobody learns of its
  completion. The write is repeated until it succeeds or the message's deadline has passed.
- From its deadline on no process starts a call for the message, so the completion is passed on without a
  record, as FAILED: that state promises nothing that a later process could contradict.
"""

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from message_sender.core.line_limit import LineLimit
from message_sender.core.ports import Completion, CompletionState
from message_sender.journal.process_journal import Journal

RETRY_INTERVAL_S = 0.05  # short of the 0.3 s after its deadline within which a message must be completed

log = logging.getLogger(__name__)

CompletionReceiver = Callable[[str, Completion], None]


class CompletionRecorder:
    """Records completions in the journal of one engine, and passes them on.

    Attributes:
        unrecorded: Completions that are decided and could not be recorded yet, by message id.
    """

    def __init__(
        self,
        journal: Journal,
        now: Callable[[], int],
        is_suspended: Callable[[], bool],
        deliver: CompletionReceiver,
        discard: Callable[[str], None],
    ) -> None:
        """Creates a recorder without completions.

        Args:
            journal: The engine's journal.
            now: Returns the time in microseconds since the epoch.
            is_suspended: Whether nothing may be recorded at present, since a successor is taking over.
            deliver: Called with the message id and the completion that may be passed on.
            discard: Called with the id of a message that finished otherwise while its completion waited.
        """
        self.journal = journal
        self.now = now
        self.is_suspended = is_suspended
        self.deliver = deliver
        self.discard = discard
        self.unrecorded: dict[str, Completion] = {}
        self._loop = asyncio.get_running_loop()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._line_limit = LineLimit(self._report_suppressed, self._loop.time)

    def record(self, message_id: str, completion: Completion) -> None:
        """Records a completion, and passes it on at once or when the record can be written.

        A message that was withdrawn or delivered in the same loop iteration has no entry any more.
        """
        if message_id not in self.journal.entries:
            self.discard(message_id)
            return
        is_written = self.journal.record_completion(
            message_id, completion.state.value, completion.retry_after_us
        )
        if is_written:
            self.journal.when_durable(partial(self._recorded, message_id, completion))
        else:
            self._keep(message_id, completion)

    def _recorded(self, message_id: str, completion: Completion, is_durable: bool) -> None:
        if is_durable:
            self._pass_on(message_id, completion)
        else:
            self._keep(message_id, completion)

    def _pass_on(self, message_id: str, completion: Completion) -> None:
        if message_id in self.journal.entries:
            self.deliver(message_id, completion)
        else:
            self.discard(message_id)

    def _keep(self, message_id: str, completion: Completion) -> None:
        if self._line_limit.admits_line():
            log.warning(
                "completion not recorded: message=%s state=%s retry_in_ms=%.0f",
                message_id,
                completion.state.value,
                RETRY_INTERVAL_S * 1e3,
            )
        self.unrecorded[message_id] = completion
        if self._retry_timer is None:
            self._retry_timer = self._loop.call_later(RETRY_INTERVAL_S, self._retry)

    def _report_suppressed(self, count: int) -> None:
        log.warning("completions not recorded: unreported=%d", count)

    def _retry(self) -> None:
        self._retry_timer = None
        if self.is_suspended():
            self._retry_timer = self._loop.call_later(RETRY_INTERVAL_S, self._retry)
            return
        unrecorded, self.unrecorded = self.unrecorded, {}
        is_writable = True
        for message_id, completion in unrecorded.items():
            entry = self.journal.entries.get(message_id)
            if entry is None or self.now() >= entry.message.deadline_us:
                self._pass_on(message_id, Completion(CompletionState.FAILED))
            elif is_writable:
                self.record(message_id, completion)
                is_writable = message_id not in self.unrecorded
            else:
                self._keep(message_id, completion)

    def close(self) -> None:
        """Stops repeating writes; the messages stay pending in the journal."""
        if self._retry_timer:
            self._retry_timer.cancel()
