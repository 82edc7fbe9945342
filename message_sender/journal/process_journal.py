"""The journal that outlasts its process: append, replay, compact.

One JSON object a line. `os.write` hands each record to the system at once; that outlasts SIGKILL without a
sync, and surviving a power loss is not asked of this journal.
"""

import json
import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from message_sender.journal.entries import AttemptRecord, JournalEntry
from message_sender.journal.payloads import (
    accepted_line,
    attempt_line,
    end_line,
    entry_lines,
    outcome_line,
    parse_message,
)
from message_sender.message import Message
from message_sender.policy.model import Outcome

JOURNAL_FILE = "journal"
COMPACTED_FILE = "journal.new"
BLOCK_BYTES = 512  # a file counts in whole blocks
RESERVE_DIVISOR = 8  # this part of the limit is kept free of new messages, for records of accepted ones

#: What reading a record raises where it is none.
RECORD_ERRORS = (ValueError, KeyError, TypeError, AttributeError)

log = logging.getLogger(__name__)


class Journal:
    """Accepted messages that are not over, and their file.

    The methods that record something return whether the record is written; if it is not, what it stands for
    must not happen.

    Attributes:
        is_durable: Whether it survives a power loss: then what a record stands for happens only after
            `when_durable`.
        folder: The state folder.
        limit_bytes: What its files may take on the disk.
        reserve_bytes: Of these, kept free of new messages.
        entries: Messages that are not over, in the order in which they were accepted.
        size_bytes: Of the file.
        live_bytes: Of the records of `entries`.
        file: Descriptor of the file; -1 once it is closed.
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
        self.file = self.open_file()
        self.replay()

    def open_file(self) -> int:
        """Opens the file, and removes what a process left that ended while it compacted."""
        (self.folder / COMPACTED_FILE).unlink(missing_ok=True)
        return os.open(self.folder / JOURNAL_FILE, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def close(self) -> None:
        """Closes the journal; a second time does nothing."""
        self.release()

    def release(self) -> None:
        """Lets go of the file as the end of the process would."""
        if self.file >= 0:
            os.close(self.file)
        self.file = -1

    # Replay.

    def replay(self) -> None:
        """Reads the file, and cuts off a record at its end that SIGKILL tore: nothing rests on it."""
        with open(self.folder / JOURNAL_FILE, "rb") as file:
            for line in file:
                is_complete = line.endswith(b"\n")
                try:
                    if not is_complete:
                        raise ValueError("no end of line")
                    self.apply_record(json.loads(line), len(line))
                except RECORD_ERRORS as error:
                    log.warning("journal record dropped: offset=%d reason=%s", self.size_bytes, error)
                    if not is_complete:
                        break
                self.size_bytes += len(line)
        os.ftruncate(self.file, self.size_bytes)
        if self.size_bytes > self.live_bytes:
            self.compact()

    def apply_record(self, record: dict[str, Any], record_bytes: int) -> None:
        """Applies a record of the file to `entries`.

        Raises:
            ValueError, KeyError, TypeError, AttributeError: It is no record of this format.
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
            # An outcome may come after the end, from an attempt at a message that was over.
            if entry := self.entries.get(record["of"]):
                entry.attempts[record["number"]].outcome = Outcome(record["outcome"])
                self.add_record_size(record["of"], record_bytes)
        elif entry := self.entries.pop(record["end"], None):
            self.live_bytes -= entry.size_bytes

    def add_record_size(self, message_id: str, record_bytes: int) -> None:
        """Counts a record of a message."""
        self.entries[message_id].size_bytes += record_bytes
        self.live_bytes += record_bytes

    # Append.

    def record_accepted(self, message: Message) -> bool:
        """Puts a message on record, if there is room for a new one."""
        record = accepted_line(message)
        if not self.has_room_for(len(record)) or not self.append(record):
            return False
        self.entries[message.id] = JournalEntry(message)
        self.add_record_size(message.id, len(record))
        return True

    def record_attempt(self, message_id: str, number: int, attempt: AttemptRecord) -> bool:
        """Puts the start of an attempt on record."""
        record = attempt_line(message_id, number, attempt)
        if not self.append(record):
            return False
        self.entries[message_id].attempts[number] = attempt
        self.add_record_size(message_id, len(record))
        return True

    def record_outcome(self, message_id: str, number: int, outcome: Outcome) -> None:
        """Puts the outcome of an attempt on record.

        If the record is lost, it reads as a reset after a restart: more careful than needed, never less.
        """
        record = outcome_line(message_id, number, outcome)
        if attempt := self.entries[message_id].attempts.get(number):
            attempt.outcome = outcome
        if attempt and self.append(record):
            self.add_record_size(message_id, len(record))

    def record_completion(self, message_id: str, state: str, retry_after_us: int) -> None:
        """Puts a completion on record before it is delivered. What only outlasts its process needs none."""

    def resting_keys(self, quiet_us: int) -> set[str]:
        """Returns ordering keys whose last message was over less than `quiet_us` before.

        What only outlasts its process knows none.
        """
        return set()

    def when_durable(self, callback: Callable[[bool], None]) -> None:
        """Calls `callback` once what was written so far is durable; here that is at once.

        Args:
            callback: Gets False if that failed; what the records stand for must not happen then.
        """
        callback(True)

    def record_end(self, message_id: str, state: str = "") -> None:
        """Puts on record that a message is over, and forgets it.

        If the record is lost, the message is tried or its completion delivered once more after a restart,
        which does no harm.
        """
        self.live_bytes -= self.entries.pop(message_id).size_bytes
        self.append(end_line(message_id))
        self.compact_if_worthwhile()

    def append(self, record: bytes) -> bool:
        """Appends a record; False: it could not be written."""
        if self.exceeds_limit(self.size_bytes + len(record)) and not self.compact():
            log.error("journal full: record_bytes=%d", len(record))
            return False
        try:
            written = os.write(self.file, record)
            if written < len(record):
                os.ftruncate(self.file, self.size_bytes)
                raise OSError("a short write")
        except OSError as error:
            log.error("journal write failed: reason=%s", error)
            return False
        self.size_bytes += len(record)
        return True

    # Room.

    def exceeds_limit(self, file_bytes: int, other_file_bytes: int = 0) -> bool:
        """Whether files of these sizes take more than the limit."""
        blocks = -(-file_bytes // BLOCK_BYTES) + -(-other_file_bytes // BLOCK_BYTES)
        return blocks * BLOCK_BYTES > self.limit_bytes

    def has_room_for(self, record_bytes: int) -> bool:
        """Whether a new message fits such that the file can still be copied to compact it."""
        if self._fits_with_copy(record_bytes):
            return True
        return self.compact() and self._fits_with_copy(record_bytes)

    def _fits_with_copy(self, record_bytes: int) -> bool:
        copy_bytes = self.live_bytes + record_bytes + self.reserve_bytes
        return not self.exceeds_limit(self.size_bytes + record_bytes, copy_bytes)

    def compact_if_worthwhile(self) -> None:
        """Compacts the file once most of it is records of messages that are over."""
        if self.size_bytes > 2 * self.live_bytes + self.reserve_bytes:
            self.compact()

    def compact(self) -> bool:
        """Replaces the file in one step by one that holds only `entries`; returns whether it did."""
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
        self.size_bytes = os.fstat(new_file).st_size
        return True
