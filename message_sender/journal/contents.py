"""Interpretation of the durable journal's records. Pure, apart from its base class.

`JournalContents` replays records into messages that are pending, finished or in doubt, and converts this
state back to records. It writes no file.

Every valid record is replayed, including records behind damage and records that were never durable. Replaying
a record that was never durable does no harm:

- `taken`, not answered with 202: the message is sent although its client may not know that it was accepted.
  If the client submits it again with the same id, it is recognized as a repeat; if the client submitted it to
  another sender, the fleet is asked for the id at start-up.
- `sent`: the attempt counts as one that may have run, which is the safe choice.
- `outcome`: the record was written after the attempt ended, so it is correct whether durable or not.
- `verdict`: the completion was decided and not delivered; the same completion is delivered now.
- `end`: the record was written after the completion had been delivered.
"""

import json
import logging
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from message_sender.journal import records
from message_sender.journal.checkpoints import DecisiveDigest, DigestComparison, frame_header
from message_sender.journal.entries import AttemptRecord, FinishedMessage, JournalEntry
from message_sender.journal.payloads import entry_lines, finished_line
from message_sender.journal.process_journal import RECORD_ERRORS, Journal
from message_sender.policy.model import Outcome

MAX_FINISHED_MESSAGES = 4096  # finished messages to remember
MAX_LOGGED_IDS = 30  # per log line

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PreviousRun:
    """Information about the previous process, as read from the file.

    Attributes:
        boot_id: Identifies the machine's boot in which it ran; "" if not recorded.
        was_closed: Whether the journal was closed cleanly.
        latest_us: The latest recorded time, wall clock, us; 0 if none is recorded.
        damage: Gaps in data that was, or may have been, durable.
        dropped_bytes: Number of bytes at the end of the file that were never durable.
    """

    boot_id: str
    was_closed: bool
    latest_us: int
    damage: tuple[records.Gap, ...] = ()
    dropped_bytes: int = 0


class JournalContents(Journal):
    """The journal's state and its conversion from and to records; subclasses write the records.

    Attributes:
        finished: Finished messages by id, oldest first.
        run_records: Records of starts and stops that the next file must contain.
        lost_ids: Ids of messages whose `taken` record is unreadable, as far as other records name them.
        latest_us: The latest recorded time, wall clock, us.
        previous_run: Information about the previous process.
        scan_result: The records and gaps found in the file.
    """

    def clear_contents(self) -> None:
        """Resets the state to that of an empty journal."""
        self.finished: dict[str, FinishedMessage] = {}
        self.run_records: list[dict[str, Any]] = []
        self.lost_ids: dict[str, None] = {}
        self.latest_us = 0
        self.previous_run = PreviousRun("", False, 0)
        self.scan_result = records.scan_records(b"")

    # Replay.

    def replay_process_format(self, data: bytes) -> None:
        """Replays a file of the process journal's format (process_journal.py)."""
        for line in data.split(b"\n")[:-1]:
            try:
                self.apply_record(json.loads(line), len(line) + 1)
            except RECORD_ERRORS as error:
                log.warning("journal record of the process format dropped: reason=%s", error)
        self.previous_run = PreviousRun("", False, self.latest_us)
        log.info("journal converted from the process format: messages=%d", len(self.entries))

    def replay_checksummed(self, data: bytes) -> None:
        """Replays a file of the durable journal's format (records.py)."""
        self.scan_result = records.scan_records(data)
        gaps = deque(self.scan_result.gaps)
        comparison = DigestComparison(data, self.scan_result.records if gaps else ())
        for record in self.scan_result.records:
            while gaps and gaps[0].offset < record.offset:
                gap = gaps.popleft()
                self.mark_doubtful(gap, comparison.missing_in(gap))
            self._replay_record(record)
        for gap in gaps:
            self.mark_doubtful(gap, comparison.missing_in(gap))
        self.log_losses()
        self.previous_run = self._read_previous_run()
        self.run_records = []

    def _replay_record(self, record: records.Record) -> None:
        try:
            self.apply_record(record.payload, record.size_bytes)
        except RECORD_ERRORS as error:
            gap = records.Gap(record.offset, record.size_bytes)
            self.mark_doubtful(gap, None, f"not applicable: {error!r}")

    def _read_previous_run(self) -> PreviousRun:
        starts = [record for record in self.run_records if "began" in record]
        boot_id = str(starts[-1].get("began", "")) if starts else ""
        was_closed = bool(self.run_records) and "closed" in self.run_records[-1]
        scan_result = self.scan_result
        return PreviousRun(boot_id, was_closed, self.latest_us, scan_result.gaps, scan_result.tail_bytes)

    def log_losses(self) -> None:
        """Logs lost bytes and lost messages; `mark_doubtful` logs the gaps that put messages in doubt."""
        for gap in self.scan_result.unwritten_gaps:
            log.warning("journal bytes were never durable: offset=%d bytes=%d", gap.offset, gap.size_bytes)
        if self.scan_result.tail_bytes:
            log.warning(
                "journal tail was never durable and is dropped: bytes=%d",
                self.scan_result.tail_bytes,
            )
        if self.lost_ids:
            log.error("messages lost, their records cannot be read: ids=%s", format_ids(list(self.lost_ids)))

    def mark_doubtful(
        self, gap: records.Gap, missing: DecisiveDigest | None, reason: str = "unreadable"
    ) -> None:
        """Marks the messages that may have a lost record in a gap: an unknown attempt of these may have run.

        Args:
            gap: The lost bytes; all records before the gap have been replayed, and none after it.
            missing: Digest of the decisive records that may be lost; None if it is not known.
            reason: Reason for the log line.
        """
        doubtful_ids = [
            message_id
            for message_id, entry in self.entries.items()
            if not entry.is_doubtful and (missing is None or missing.may_include(message_id))
        ]
        for message_id in doubtful_ids:
            self.entries[message_id].is_doubtful = True
        log.error(
            "journal damaged: offset=%d bytes=%d reason=%s may_have_run=%s",
            gap.offset,
            gap.size_bytes,
            reason,
            format_ids(doubtful_ids),
        )

    def apply_record(self, record: dict[str, Any], record_bytes: int) -> None:
        """Applies a replayed record to the state.

        Raises:
            ValueError, KeyError, TypeError, AttributeError: The record is not one of this format.
        """
        self.latest_us = max(self.latest_us, record.get("at", 0))
        if "over" in record:
            self.remember_finished(record["over"], _finished_message(record))
        elif "doubt" in record:
            if entry := self.entries.get(record["doubt"]):
                entry.is_doubtful = True
        elif "began" in record or "closed" in record:
            self.run_records.append(record)
        elif "sent" in record and record["sent"] not in self.entries:
            self.lost_ids[str(record["sent"])] = None  # no other message is affected
        elif "outcome" in record and record["of"] in self.entries:
            self.apply_outcome_record(record, record_bytes)
        elif "journal" not in record:
            if "end" in record and "state" in record:
                self.remember_finished(record["end"], _finished_message(record))
            super().apply_record(record, record_bytes)

    def apply_outcome_record(self, record: dict[str, Any], record_bytes: int) -> None:
        """Applies an outcome; if the attempt's `sent` record is lost, its start time is unknown (0)."""
        attempts = self.entries[record["of"]].attempts
        attempt = attempts.setdefault(int(record["number"]), AttemptRecord(0, "", ""))
        attempt.outcome = Outcome(record["outcome"])
        self.add_record_size(record["of"], record_bytes)

    def remember_finished(self, message_id: str, finished: FinishedMessage) -> None:
        """Keeps a finished message, and drops the oldest one if there are more than the maximum."""
        self.lost_ids.pop(message_id, None)
        self.finished[message_id] = finished
        if len(self.finished) > MAX_FINISHED_MESSAGES:
            del self.finished[next(iter(self.finished))]

    # Snapshot.

    def snapshot_parts(self, pending_ids: dict[str, None], digest: DecisiveDigest) -> Iterator[bytes]:
        """Yields the state as framed records, with all records of a message in one part.

        Args:
            pending_ids: Ids of the messages to yield. Each id is removed when its message is yielded; a
                message whose id the caller removes earlier is skipped.
            digest: Digest to which the yielded records are added.
        """
        yield b"".join(
            records.frame_record(json.dumps(record).encode(), 0) for record in self.run_records[-2:]
        )
        for message_id, finished in list(self.finished.items()):
            yield records.frame_record(finished_line(message_id, finished)[:-1], 0)
        for message_id in list(pending_ids):
            if message_id in pending_ids:
                del pending_ids[message_id]
                yield self.entry_records(message_id, self.entries[message_id], digest)

    def entry_records(self, message_id: str, entry: JournalEntry, digest: DecisiveDigest) -> bytes:
        """Returns the framed records of a message, and sets its recorded size to theirs."""
        decisive_count = len(entry.attempts) + entry.is_doubtful + (entry.completion is not None)
        for _ in range(decisive_count):
            digest.add(message_id)
        data = b"".join(records.frame_record(line[:-1], 0) for line in entry_lines(entry))
        self.live_bytes += len(data) - entry.size_bytes
        entry.size_bytes = len(data)
        return data

    def snapshot(self, digest: DecisiveDigest) -> bytes:
        """Returns the contents of a complete file; its records are added to `digest`."""
        body = b"".join(self.snapshot_parts(dict.fromkeys(self.entries), digest))
        return frame_header(len(body), digest) + body

    def paused_keys(self, pause_us: int) -> set[str]:
        """Returns ordering keys with a message that finished less than `pause_us` before the latest record.

        Keys of messages with an undelivered completion are included. The duration of a power loss is not
        counted, because the machine's clock may not have advanced during it.
        """
        since_us = self.latest_us - pause_us
        keys = {finished.key for finished in self.finished.values() if finished.finished_us >= since_us}
        keys |= {entry.message.key for entry in self.entries.values() if entry.completion}
        return keys - {""}


def _finished_message(record: dict[str, Any]) -> FinishedMessage:
    return FinishedMessage(record["at"], record["state"], record["key"])


def format_ids(message_ids: list[str]) -> str:
    """Formats message ids for a log line: the first `MAX_LOGGED_IDS` ids and the number of others."""
    if not message_ids:
        return "none"
    text = ", ".join(message_ids[:MAX_LOGGED_IDS])
    if len(message_ids) > MAX_LOGGED_IDS:
        text += f" and {len(message_ids) - MAX_LOGGED_IDS} more"
    return text
