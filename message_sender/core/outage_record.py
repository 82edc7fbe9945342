"""Records what the policy knows of outages, and gives it to the policy of the next process."""

import logging
from collections.abc import Iterable, Iterator

from message_sender.journal.entries import JournalEntry
from message_sender.journal.outage_file import OutageFile, OutageLine
from message_sender.policy.breaker_status import BreakerStatusChanged
from message_sender.policy.events import OutagesRestored
from message_sender.policy.model import Outcome
from message_sender.policy.outage import OutagePhase

IN_FLIGHT = frozenset({None})  # no result is known
#: Outcomes after which a call may still be waiting in the destination's system.
GIVEN_UP = frozenset({Outcome.TIMEOUT, Outcome.CANCELLED})

log = logging.getLogger(__name__)


class OutageRecord:
    """Keeps the outages of one engine on disk."""

    def __init__(self, file: OutageFile) -> None:
        """Starts with what the file holds."""
        self.file = file

    def record_changes(self, changes: Iterable[BreakerStatusChanged], now_us: int) -> None:
        """Records the changes of one iteration, which ran at this time in microseconds."""
        for change in changes:
            before, after = change.before, change.after
            if after.phase is before.phase and after.warm_up_since == before.warm_up_since:
                continue
            since_us = after.warm_up_since if after.phase is OutagePhase.WARMING_UP else now_us
            self.file.record(OutageLine(change.destination, change.route, after.phase, since_us))

    def restored(self, entries: Iterable[JournalEntry], now_us: int) -> OutagesRestored:
        """Returns what the earlier process knew of outages, and its calls without an answer.

        Args:
            entries: The messages of the journal that are not finished.
            now_us: The time, us.
        """
        outages = self.file.restored()
        for each in outages:
            log.info(
                "outage restored: destination=%d route=%s is_out=%s age_ms=%d",
                each.destination,
                each.route,
                each.is_out,
                (now_us - each.since_us) // 1000,
            )
        pending = tuple(entries)
        in_flight = tuple(endpoints_called(pending, IN_FLIGHT))
        given_up = tuple(endpoints_called(pending, GIVEN_UP))
        if in_flight or given_up:
            log.info(
                "calls without an answer restored: in_flight=%d given_up=%d", len(in_flight), len(given_up)
            )
        return OutagesRestored(outages, in_flight, given_up)


def endpoints_called(entries: Iterable[JournalEntry], outcomes: frozenset[Outcome | None]) -> Iterator[str]:
    """Yields the endpoint of each attempt with one of these outcomes."""
    for entry in entries:
        for attempt in entry.attempts.values():
            if attempt.outcome in outcomes:
                yield attempt.endpoint
