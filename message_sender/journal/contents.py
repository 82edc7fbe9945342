"""What the records of the journal that survives a power loss mean. Pure but for its base class.

Records are read into `JournalContents`: messages that are owed, that are over, that are in doubt; and all of
it is returned as records again. It writes nothing.

Every whole record is used, also behind damage, and also one that was never durable. The last is harmless:

- `taken`, not answered 202: the message is sent once more than its client knows of. If the client comes again
  with the same id it is answered as a repeat; if it went elsewhere, the fleet is asked for the id at a start.
- `sent`: the attempt counts as one that may have run, which is the more careful way.
- `outcome`: it was written after the attempt had ended so, and says what happened, durable or not.
- `verdict`: the completion was decided and not delivered. The same one is delivered now.
- `end`: it was written after the completion had been delivered.
"""

import json
import logging
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from message_sender.journal import records
from message_sender.journal.checkpoints import DecisiveDigest, DigestComparison, frame_header
from message_sender.journal.entries import (
    AttemptRecord,
    FinishedMessage,
    JournalEntry,
    RecordedCompletion,
)
from message_sender.journal.payloads import completion_line, doubtful_line, entry_lines, finished_line
from message_sender.journal.process_journal import RECORD_ERRORS, Journal
from message_sender.policy.model import Outcome

MAX_FINISHED_MESSAGES = 4096  # that are over and still known by their ids
MAX_LOGGED_IDS = 30  # in a line of the log

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PreviousRun:
    """What the file tells of the process before.

    Attributes:
        boot_id: The machine's boot in which it ran; "" where none is on record.
        was_closed: Whether the journal was closed cleanly.
        latest_us: The latest time on record, wall clock; 0: none.
        damage: Gaps in what was, or may have been, durable.
        dropped_bytes: Bytes at the end of the file that were never durable.
    """

    boot_id: str
    was_closed: bool
    latest_us: int
    damage: tuple[records.Gap, ...] = ()
    dropped_bytes: int = 0


class JournalContents(Journal):
    """State and its records; where and when they are written is its subclasses' part.

    Attributes:
        finished: Messages that are over, the oldest first.
        run_records: Records of starts and stops that the next file has to carry.
        lost_ids: Ids of messages whose `taken` cannot be read, as far as they are known.
        latest_us: The latest time on record, wall clock.
        previous_run: What the file told of the process before.
        reading: What the file held.
    """

    def clear_contents(self) -> None:
        """Begins with nothing."""
        self.finished: dict[str, FinishedMessage] = {}
        self.run_records: list[dict[str, Any]] = []
        self.lost_ids: dict[str, None] = {}
        self.latest_us = 0
        self.previous_run = PreviousRun("", False, 0)
        self.reading = records.scan_records(b"")

    # Replay.

    def replay_process_format(self, data: bytes) -> None:
        """Reads a file of the format that outlasts a process."""
        for line in data.split(b"\n")[:-1]:
            try:
                self.apply_record(json.loads(line), len(line) + 1)
            except RECORD_ERRORS as error:
                log.warning("journal record of the process format dropped: reason=%s", error)
        self.previous_run = PreviousRun("", False, self.latest_us)
        log.info("journal converted from the process format: messages=%d", len(self.entries))

    def replay_checksummed(self, data: bytes) -> None:
        """Reads a file of the format that survives a power loss."""
        self.reading = records.scan_records(data)
        gaps = deque(self.reading.gaps)
        comparison = DigestComparison(data, self.reading.records if gaps else ())
        for record in self.reading.records:
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
        scan = self.reading
        return PreviousRun(boot_id, was_closed, self.latest_us, scan.gaps, scan.tail_bytes)

    def log_losses(self) -> None:
        """Logs what the file has lost, beside the gaps that put messages in doubt."""
        for gap in self.reading.unwritten_gaps:
            log.warning("journal bytes were never durable: offset=%d bytes=%d", gap.offset, gap.size_bytes)
        if self.reading.tail_bytes:
            log.warning(
                "journal tail was never durable and is dropped: bytes=%d",
                self.reading.tail_bytes,
            )
        if self.lost_ids:
            log.error("messages lost, their records cannot be read: ids=%s", format_ids(list(self.lost_ids)))

    def mark_doubtful(
        self, gap: records.Gap, missing: DecisiveDigest | None, reason: str = "unreadable"
    ) -> None:
        """Marks the messages of which an unknown attempt may have been on record in a gap.

        Args:
            gap: The bytes that are lost; all messages before it have been replayed, none behind it.
            missing: The decisive records that it may have held; None: not known.
            reason: For the log.
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
        """Applies a record of the file.

        Raises:
            ValueError, KeyError, TypeError, AttributeError: It is no record of this format.
        """
        self.latest_us = max(self.latest_us, record.get("at", 0))
        if "verdict" in record:
            self._apply_completion_record(record, record_bytes)
        elif "over" in record:
            self.remember_finished(record["over"], _finished_message(record))
        elif "doubt" in record:
            if entry := self.entries.get(record["doubt"]):
                entry.is_doubtful = True
        elif "began" in record or "closed" in record:
            self.run_records.append(record)
        elif "sent" in record and record["sent"] not in self.entries:
            self.lost_ids[str(record["sent"])] = None  # it tells nothing of any other message
        elif "outcome" in record and record["of"] in self.entries:
            self.apply_outcome_record(record, record_bytes)
        elif "journal" not in record:
            if "end" in record and "state" in record:
                self.remember_finished(record["end"], _finished_message(record))
            super().apply_record(record, record_bytes)

    def _apply_completion_record(self, record: dict[str, Any], record_bytes: int) -> None:
        if entry := self.entries.get(record["of"]):
            entry.completion = RecordedCompletion(str(record["verdict"]), int(record["after"]))
            self.add_record_size(record["of"], record_bytes)

    def apply_outcome_record(self, record: dict[str, Any], record_bytes: int) -> None:
        """Applies an outcome, also of an attempt whose `sent` cannot be read: its start is not known then."""
        attempts = self.entries[record["of"]].attempts
        attempt = attempts.setdefault(int(record["number"]), AttemptRecord(0, "", ""))
        attempt.outcome = Outcome(record["outcome"])
        self.add_record_size(record["of"], record_bytes)

    def remember_finished(self, message_id: str, finished: FinishedMessage) -> None:
        """Keeps what is known of a message that is over; the oldest one is dropped for it."""
        self.lost_ids.pop(message_id, None)
        self.finished[message_id] = finished
        if len(self.finished) > MAX_FINISHED_MESSAGES:
            del self.finished[next(iter(self.finished))]

    # All of it as records.

    def snapshot_parts(self, pending_ids: dict[str, None], digest: DecisiveDigest) -> Iterator[bytes]:
        """Yields all contents as framed records, those of a message together.

        Args:
            pending_ids: Messages that are to be yielded; each leaves it as its turn comes. One that is taken
                out before is passed over.
            digest: Counts the records that were yielded.
        """
        yield b"".join(records.frame_record(json.dumps(each).encode(), 0) for each in self.run_records[-2:])
        for message_id, finished in list(self.finished.items()):
            yield records.frame_record(finished_line(message_id, finished)[:-1], 0)
        for message_id in list(pending_ids):
            if message_id in pending_ids:
                del pending_ids[message_id]
                yield self.entry_records(message_id, self.entries[message_id], digest)

    def entry_records(self, message_id: str, entry: JournalEntry, digest: DecisiveDigest) -> bytes:
        """Returns the framed records of a message, and corrects its size to theirs."""
        lines = list(entry_lines(entry))
        decisive_count = len(entry.attempts)
        if entry.is_doubtful:
            lines.append(doubtful_line(message_id))
            decisive_count += 1
        if entry.completion:
            lines.append(completion_line(message_id, *entry.completion))
            decisive_count += 1
        for _ in range(decisive_count):
            digest.add(message_id)
        data = b"".join(records.frame_record(line[:-1], 0) for line in lines)
        self.live_bytes += len(data) - entry.size_bytes
        entry.size_bytes = len(data)
        return data

    def snapshot(self, digest: DecisiveDigest) -> bytes:
        """Returns the bytes of a complete file. `digest` counts its records."""
        body = b"".join(self.snapshot_parts(dict.fromkeys(self.entries), digest))
        return frame_header(len(body), digest) + body

    def resting_keys(self, quiet_us: int) -> set[str]:
        """Returns ordering keys whose last message was over less than `quiet_us` before the latest record.

        How long the power was away is not counted: the machine's clock may have lost that.
        """
        since_us = self.latest_us - quiet_us
        keys = {finished.key for finished in self.finished.values() if finished.finished_us >= since_us}
        keys |= {entry.message.key for entry in self.entries.values() if entry.completion}
        return keys - {""}


def _finished_message(record: dict[str, Any]) -> FinishedMessage:
    return FinishedMessage(record["at"], record["state"], record["key"])


def format_ids(message_ids: list[str]) -> str:
    """Returns ids for a line of the log: the first ones, and how many there are beside."""
    if not message_ids:
        return "none"
    text = ", ".join(message_ids[:MAX_LOGGED_IDS])
    if len(message_ids) > MAX_LOGGED_IDS:
        text += f" and {len(message_ids) - MAX_LOGGED_IDS} more"
    return text
