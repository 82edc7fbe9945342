"""The process journal, which survives the end of its process: append, replay, compact.

The file has one JSON object per line. `os.write` passes each record to the operating system immediately, so
that it survives SIGKILL without a sync. This journal is not meant to survive a power loss; durable.py is.
"""

import json
import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from message_sender.journal.entries import AttemptRecord, JournalEntry, RecordedCompletion
from message_sender.journal.payloads import (
    accepted_line,
    attempt_line,
    completion_line,
    end_line,
    entry_lines,
    outcome_line,
    parse_completion,
    parse_message,
)
from message_sender.message import Message
from message_sender.policy.model import Outcome

JOURNAL_FILE = "journal"
COMPACTED_FILE = "journal.new"
BLOCK_BYTES = 512  # file sizes are rounded up to whole blocks
RESERVE_DIVISOR = 8  # 1/8 of the limit is reserved for records of messages that are already accepted
ENDING_BYTES = 96  # space for the completion and end records of a message that its attempts leave free

#: Exceptions raised by applying data that is not a valid record.
RECORD_ERRORS = (ValueError, KeyError, TypeError, AttributeError)

log = logging.getLogger(__name__)


class Journal:
    """Accepted messages that have not finished, backed by a file.

    `record_accepted`, `record_attempt` and `record_completion` return whether the record was written; if it
    was not, the recorded action must not be performed.

    Attributes:
        is_durable: Whether the journal survives a power loss. If so, a recorded action must not be performed
            before `when_durable` has called back.
        folder: The state folder.
        limit_bytes: Maximum disk space of the journal's files.
        reserve_bytes: Part of `limit_bytes` that is not used for new messages.
        entries: Unfinished messages by id, in the order in which they were accepted.
        size_bytes: Size of the file.
        live_bytes: Total size of the records of `entries`.
        file: Descriptor of the file; -1 once it is closed.
        has_torn_record: The file ends in a part of a record whose write failed.
    """

    is_durable = False

    def __init__(self, folder: Path, limit_bytes: int) -> None:
        """Opens the file and replays it.

        Raises:
            OSError: The file cannot be opened or read.
        """
        self.folder = folder
        self.limit_bytes = limit_bytes
        self.reserve_bytes = limit_bytes // RESERVE_DIVISOR
        self.entries: dict[str, JournalEntry] = {}
        self.size_bytes = 0
        self.live_bytes = 0
        self.has_torn_record = False
        self.file = self.open_file()
        self.replay()

    def open_file(self) -> int:
        """Opens the file, and removes the incomplete file of an interrupted compaction."""
        (self.folder / COMPACTED_FILE).unlink(missing_ok=True)
        return os.open(self.folder / JOURNAL_FILE, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def close(self) -> None:
        """Closes the journal; further calls do nothing."""
        self.release()

    def release(self) -> None:
        """Closes the file without recording a clean stop, as if the process had been killed."""
        if self.file >= 0:
            os.close(self.file)
        self.file = -1

    # Replay.

    def replay(self) -> None:
        """Replays the file; a record at its end that was torn by SIGKILL is truncated before the next one.

        The sender never acted on a torn record.
        """
        with open(self.folder / JOURNAL_FILE, "rb") as file:
            for line in file:
                is_complete = line.endswith(b"\n")
                try:
                    if not is_complete:
                        raise ValueError("missing line end")
                    self.apply_record(json.loads(line), len(line))
                except RECORD_ERRORS as error:
                    log.warning("journal record dropped: offset=%d reason=%s", self.size_bytes, error)
                    if not is_complete:
                        break
                self.size_bytes += len(line)
        self.has_torn_record = os.fstat(self.file).st_size > self.size_bytes
        if self.size_bytes > self.live_bytes:
            self.compact()

    def apply_record(self, record: dict[str, Any], record_bytes: int) -> None:
        """Applies a replayed record to `entries`.

        Raises:
            ValueError, KeyError, TypeError, AttributeError: The record is not one of this format.
        """
        if fields := record.get("taken"):
            message = parse_message(fields)
            self.entries[message.id] = JournalEntry(message)
            self.add_record_size(message.id, record_bytes)
        elif message_id := record.get("sent"):
            attempt = AttemptRecord(record["at"], record["endpoint"], record["zone"])
            self.entries[message_id].attempts[record["number"]] = attempt
            self.add_record_size(message_id, record_bytes)
        elif "outcome" in record:
            # An outcome may follow the end record: attempts can be in flight when their message finishes.
            if entry := self.entries.get(record["of"]):
                entry.attempts[record["number"]].outcome = Outcome(record["outcome"])
                self.add_record_size(record["of"], record_bytes)
        elif "verdict" in record:
            completion = parse_completion(record)
            if entry := self.entries.get(record["of"]):
                entry.completion = completion
                self.add_record_size(record["of"], record_bytes)
        elif entry := self.entries.pop(record["end"], None):
            self.live_bytes -= entry.size_bytes

    def add_record_size(self, message_id: str, record_bytes: int) -> None:
        """Adds the size of a record to that of its message."""
        self.entries[message_id].size_bytes += record_bytes
        self.live_bytes += record_bytes

    # Appending.

    def record_accepted(self, message: Message) -> bool:
        """Records an accepted message, if there is room; returns whether the record was written."""
        record = accepted_line(message)
        if not self.has_room_for(len(record)) or not self.append(record):
            return False
        self.entries[message.id] = JournalEntry(message)
        self.add_record_size(message.id, len(record))
        return True

    def record_attempt(self, message_id: str, number: int, attempt: AttemptRecord) -> bool:
        """Records the start of an attempt; returns whether the record was written."""
        record = attempt_line(message_id, number, attempt)
        if not self.make_room(len(record) + len(self.entries) * ENDING_BYTES) or not self.append(record):
            return False
        self.entries[message_id].attempts[number] = attempt
        self.add_record_size(message_id, len(record))
        return True

    def record_outcome(self, message_id: str, number: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt.

        If the record is lost, the attempt counts as one that may have run after a restart, which is always
        safe.
        """
        record = outcome_line(message_id, number, outcome)
        if attempt := self.entries[message_id].attempts.get(number):
            attempt.outcome = outcome
        if attempt and self.append(record):
            self.add_record_size(message_id, len(record))

    def record_completion(self, message_id: str, state: str, retry_after_us: int) -> bool:
        """Records a completion; returns whether the record was written.

        Nobody may learn of a completion that is not recorded: after SIGKILL, the next process would send the
        message, or end it in another way.
        """
        record = completion_line(message_id, state, retry_after_us)
        if not self.append(record):
            return False
        self.entries[message_id].completion = RecordedCompletion(state, retry_after_us)
        self.add_record_size(message_id, len(record))
        return True

    def paused_keys(self, pause_us: int) -> set[str]:
        """Returns ordering keys with a message that finished less than `pause_us` ago.

        The process journal does not keep them and returns an empty set.
        """
        return set()

    def when_durable(self, callback: Callable[[bool], None]) -> None:
        """Calls `callback` once all records written so far are durable; for this journal, immediately.

        Args:
            callback: Called with False on failure; the recorded actions must then not be performed.
        """
        callback(True)

    def record_end(self, message_id: str, state: str = "") -> None:
        """Records that a message has finished, and removes it.

        If the record is lost, the recorded completion is delivered again after a restart, which does no harm.
        """
        self.live_bytes -= self.entries.pop(message_id).size_bytes
        self.append(end_line(message_id))
        self.compact_if_worthwhile()

    def append(self, record: bytes) -> bool:
        """Appends a record; returns whether it was written."""
        if not self.make_room(len(record)):
            return False
        try:
            self.truncate_torn_record()
            written = os.write(self.file, record)
            if written < len(record):
                self.has_torn_record = True
                self.truncate_torn_record()
                raise OSError(f"short write: {written} of {len(record)} bytes")
        except OSError as error:
            log.error("journal write failed: reason=%s", error)
            return False
        self.size_bytes += len(record)
        return True

    def truncate_torn_record(self) -> None:
        """Removes a part of a record whose write failed: the next record would continue its line.

        Raises:
            OSError: The file could not be truncated; nothing may be appended.
        """
        if self.has_torn_record:
            os.ftruncate(self.file, self.size_bytes)
            self.has_torn_record = False

    # Disk space.

    def exceeds_limit(self, file_bytes: int, other_file_bytes: int = 0) -> bool:
        """Whether files of these sizes need more disk space than `limit_bytes`."""
        blocks = -(-file_bytes // BLOCK_BYTES) + -(-other_file_bytes // BLOCK_BYTES)
        return blocks * BLOCK_BYTES > self.limit_bytes

    def has_room_for(self, record_bytes: int) -> bool:
        """Whether a new message fits and still leaves room for the second file of a compaction."""
        if self._fits_with_copy(record_bytes):
            return True
        return self.compact() and self._fits_with_copy(record_bytes)

    def _fits_with_copy(self, record_bytes: int) -> bool:
        copy_bytes = self.live_bytes + record_bytes + self.reserve_bytes
        return not self.exceeds_limit(self.size_bytes + record_bytes, copy_bytes)

    def compact_if_worthwhile(self) -> None:
        """Compacts the file once most of its records belong to finished messages."""
        if self.size_bytes > 2 * self.live_bytes + self.reserve_bytes:
            self.compact()

    def make_room(self, needed_bytes: int) -> bool:
        """Compacts the file if records of this size do not fit; returns whether they fit then."""
        if not self.exceeds_limit(self.size_bytes + needed_bytes):
            return True
        if self.compact() and not self.exceeds_limit(self.size_bytes + needed_bytes):
            return True
        log.error("journal full: needed_bytes=%d", needed_bytes)
        return False

    def compact(self) -> bool:
        """Atomically replaces the file by one that holds only `entries`; returns whether it did."""
        if self.size_bytes <= self.live_bytes or self.exceeds_limit(self.size_bytes, self.live_bytes):
            return False
        new_path = self.folder / COMPACTED_FILE
        try:
            with open(new_path, "wb") as file:
                for entry in self.entries.values():
                    for line in entry_lines(entry):
                        file.write(line)
            os.replace(new_path, self.folder / JOURNAL_FILE)
            new_file = os.open(self.folder / JOURNAL_FILE, os.O_RDWR | os.O_APPEND)
        except OSError as error:
            log.error("journal not compacted: reason=%s", error)
            new_path.unlink(missing_ok=True)
            return False
        os.close(self.file)
        self.file = new_file
        self.has_torn_record = False
        self.size_bytes = os.fstat(new_file).st_size
        return True
