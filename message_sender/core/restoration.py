"""Messages that an engine takes over at its start, from the journal and from a running predecessor."""

from collections.abc import Callable, Iterator
from dataclasses import replace

from message_sender.core.arrivals import Arrivals
from message_sender.core.attempts import Attempts
from message_sender.core.engine_config import HandoverState
from message_sender.core.message_table import MessageTable
from message_sender.core.ports import Directory
from message_sender.journal.entries import JournalEntry
from message_sender.policy.events import MessageRestored

NO_ATTEMPT = -1


class Restoration:
    """Turns journal entries into events for the policy, and completes the messages that are finished."""

    def __init__(
        self,
        table: MessageTable,
        attempts: Attempts,
        arrivals: Arrivals,
        directory: Directory,
        now: Callable[[], int],
    ) -> None:
        """Creates the restoration of one engine.

        Args:
            table: The engine's messages, with the journal.
            attempts: The engine's attempts.
            arrivals: Creates the events that announce messages.
            directory: Receives the destinations of the restored messages.
            now: Returns the time in microseconds since the epoch.
        """
        self.table = table
        self.attempts = attempts
        self.arrivals = arrivals
        self.directory = directory
        self.now = now

    def events(self, handed_over: HandoverState | None) -> Iterator[MessageRestored]:
        """Yields an event for each message that is not completed.

        Args:
            handed_over: The state that a running predecessor hands over; None: there is no predecessor.
        """
        for entry in list(self.table.journal.entries.values()):
            message_id = entry.message.id
            self.directory.mark_known(entry.message.destination)
            if entry.is_delivered():
                self.table.finish_delivered(message_id)
            elif handed_over:
                yield self._handed_over(entry, handed_over)
            elif entry.completion is None:
                yield self.restored(entry)
            elif self.table.notify_again(message_id, entry.completion):
                yield replace(self.restored(entry), outcomes=(), is_completed=True)

    def _handed_over(self, entry: JournalEntry, handed_over: HandoverState) -> MessageRestored:
        """The event for a message of a predecessor that still runs.

        The message may already be completed, or its call may be in flight in that process.
        """
        message_id = entry.message.id
        completion = handed_over.pending_completions.get(message_id)
        number, call = handed_over.calls.get(message_id, (NO_ATTEMPT, None))
        if completion:
            self.table.inherit_completion(message_id, completion)
        if call:
            self.attempts.predecessor_calls.add((message_id, number))
        return replace(
            self.restored(entry, number),
            outcomes=(),
            is_handed_over=True,
            call=call,
            is_completed=completion is not None,
            weight_factor=handed_over.weight_factors.get(message_id),
        )

    def restored(self, entry: JournalEntry, in_flight: int = NO_ATTEMPT) -> MessageRestored:
        """The event for a message of the journal.

        Args:
            entry: The journal's entry of the message.
            in_flight: Number of the attempt whose result is still expected; `NO_ATTEMPT` for none.
        """
        uncertain_attempt = entry.first_uncertain_attempt(in_flight)
        return MessageRestored(
            accepted=self.arrivals.acceptance_event(entry.message),
            attempts=max(entry.attempts, default=-1) + 1,
            uncertain_since=min(uncertain_attempt.started_us, self.now()) if uncertain_attempt else None,
            uncertain_zone=uncertain_attempt.zone if uncertain_attempt else "",
            outcomes=tuple((each.endpoint, each.outcome) for each in entry.attempts.values() if each.outcome),
        )
