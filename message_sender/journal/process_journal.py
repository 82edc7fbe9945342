"""What the sender has taken on, in a file that outlasts its process: append, replay, compact.

One JSON object a line. `os.write` hands each record to the system at once; that outlasts SIGKILL without
a sync, and what a sync would add, surviving the machine, is not owed.
"""

import base64
import json
import logging
import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from message_sender.message import Message
from message_sender.policy.model import NEVER_RAN, Outcome

FILE, COMPACTED = "journal", "journal.new"
BLOCK = 512  # a file counts in whole blocks
#: Fields of a message that are texts and whole numbers, by their names in a record.
RECORDED_FIELDS = {
    "id": "id",
    "message_class": "message_class",
    "destination": "destination",
    "until": "deadline_us",
    "tenant": "tenant",
    "key": "key",
    "idempotency_key": "idempotency_key",
}
#: Names in a record that differ from those of the fields.
FIELDS = {"again": "is_repeat", "until": "deadline_us"}
ENCODER = json.JSONEncoder(separators=(",", ":"), check_circular=False)
quoted = json.encoder.encode_basestring_ascii  # a text as JSON; the encoder itself costs five times as much
SPARE = 8  # one part in so many is kept free of new messages, for the attempts and ends of those held

log = logging.getLogger(__name__)


@dataclass(slots=True)
class AttemptRecord:
    at: int  # us, wall clock
    endpoint: str
    zone: str
    outcome: Outcome | None = None  # none yet; after a restart: it was out when the process ended

    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass(slots=True)
class JournalEntry:
    message: Message
    attempts: dict[int, AttemptRecord] = field(default_factory=dict)
    size: int = 0  # bytes of its records
    #: A record that may have been its own cannot be read: an attempt that nobody knows of may have run.
    doubtful: bool = False
    verdict: tuple[str, int] | None = None  # its end is decided: state, and us after which to come again

    def delivered(self) -> bool:
        return any(each.outcome is Outcome.OK for each in self.attempts.values())

    def first_risk(self, but: int = -1) -> AttemptRecord | None:
        """The first attempt that may have run; `but`: the one that is still out, whose end will be told."""
        if self.doubtful:
            return UNKNOWN
        return next((each for at, each in self.attempts.items() if at != but and each.may_have_run()), None)


UNKNOWN = AttemptRecord(0, "", "")  # one that may have run, long ago


def taken_line(message: Message) -> bytes:
    values = [(name, getattr(message, field)) for name, field in RECORDED_FIELDS.items()]
    told = ",".join([f'"{k}":{v if isinstance(v, int) else quoted(v)}' for k, v in values])
    again = "true" if message.is_repeat else "false"
    # What most messages lack takes no room.
    extras = f',"extras":{ENCODER.encode(message.extras)}' if message.extras else ""
    body = base64.b64encode(message.body).decode()
    return f'{{"taken":{{{told},"again":{again},"body":"{body}"{extras}}}}}\n'.encode()


def attempt_line(message: str, number: int, attempt: AttemptRecord) -> bytes:
    where = f'"endpoint":{quoted(attempt.endpoint)},"zone":{quoted(attempt.zone)}'
    return f'{{"sent":{quoted(message)},"number":{number},"at":{attempt.at},{where}}}\n'.encode()


def outcome_line(message: str, number: int, outcome: Outcome) -> bytes:
    return f'{{"outcome":"{outcome.value}","of":{quoted(message)},"number":{number}}}\n'.encode()


def end_line(message: str) -> bytes:
    return f'{{"end":{quoted(message)}}}\n'.encode()


def lines_of(entry: JournalEntry) -> Iterator[bytes]:
    yield taken_line(entry.message)
    for number, attempt in entry.attempts.items():
        yield attempt_line(entry.message.id, number, attempt)
        if attempt.outcome:
            yield outcome_line(entry.message.id, number, attempt.outcome)


class Journal:
    #: Whether it survives the machine: then what a record stands for happens only after `when_durable`.
    durable = False

    def __init__(self, folder: Path, limit: int) -> None:
        """Opens the file and replays it. `entries` then holds what is still owed, in the order taken."""
        self.folder, self.limit, self.spare = folder, limit, limit // SPARE
        self.entries: dict[str, JournalEntry] = {}
        self.size = self.live = 0  # bytes of the file, and of the records of what is still owed
        self.file = self.open()
        self.replay()

    def open(self) -> int:
        (self.folder / COMPACTED).unlink(missing_ok=True)  # left by a process that ended while compacting
        return os.open(self.folder / FILE, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def close(self) -> None:
        """A second time does nothing."""
        self.release()

    def release(self) -> None:
        """Lets go of the file as the end of the process would."""
        if self.file >= 0:
            os.close(self.file)
        self.file = -1

    # Replay.

    def replay(self) -> None:
        """A record that SIGKILL tore is the last one: nothing was done on its strength, so it is cut off."""
        with open(self.folder / FILE, "rb") as file:
            for text in file:
                try:
                    if not text.endswith(b"\n"):
                        raise ValueError("no end of line")
                    self.apply(json.loads(text), len(text))
                except (ValueError, KeyError, TypeError, AttributeError) as error:
                    log.warning("journal: a record at byte %d is dropped: %s", self.size, error)
                    if not text.endswith(b"\n"):
                        break
                self.size += len(text)
        os.ftruncate(self.file, self.size)
        if self.size > self.live:
            self.compact()

    def apply(self, record: dict[str, Any], size: int) -> None:
        if told := record.get("taken"):
            extras = tuple((str(name), str(text)) for name, text in told.get("extras", ()))
            values = {FIELDS.get(name, name): value for name, value in told.items()}
            body = base64.b64decode(told["body"])
            message = Message(**values | {"body": body, "extras": extras})
            self.entries[message.id] = JournalEntry(message)
            self.grow(message.id, size)
        elif name := record.get("sent"):
            attempt = AttemptRecord(record["at"], record["endpoint"], record["zone"])
            self.entries[name].attempts[record["number"]] = attempt
            self.grow(name, size)
        elif "outcome" in record:
            # An outcome may come after the end, from an attempt at a message that was over.
            if entry := self.entries.get(record["of"]):
                entry.attempts[record["number"]].outcome = Outcome(record["outcome"])
                self.grow(record["of"], size)
        elif entry := self.entries.pop(record["end"], None):
            self.live -= entry.size

    def grow(self, name: str, size: int) -> None:
        self.entries[name].size += size
        self.live += size

    # Append. Each answers whether the record is written; if not, what it stands for must not happen.

    def record_accepted(self, message: Message) -> bool:
        record = taken_line(message)
        if not self.fits(len(record)) or not self.append(record):
            return False
        self.entries[message.id] = JournalEntry(message)
        self.grow(message.id, len(record))
        return True

    def record_attempt(self, name: str, number: int, attempt: AttemptRecord) -> bool:
        record = attempt_line(name, number, attempt)
        if not self.append(record):
            return False
        self.entries[name].attempts[number] = attempt
        self.grow(name, len(record))
        return True

    def record_outcome(self, name: str, number: int, outcome: Outcome) -> None:
        """Lost, it reads as a reset after a restart: more careful than needed, never less."""
        record = outcome_line(name, number, outcome)
        if attempt := self.entries[name].attempts.get(number):
            attempt.outcome = outcome
        if attempt and self.append(record):
            self.grow(name, len(record))

    def record_completion(self, name: str, state: str, retry_after: int) -> None:
        """The end of a message is decided, and told next. What only has to survive the process needs none."""

    def resting_keys(self, quiet: int) -> set[str]:
        """Keys that may rest still, of messages that are over. What only survives the process knows none."""
        return set()

    def when_durable(self, then: Callable[[bool], None]) -> None:
        """Calls `then` once what was written so far is as durable as is asked: here, at once. False: it could
        not be made so, and what it stands for must not happen."""
        then(True)

    def record_end(self, name: str, state: str = "") -> None:
        """Lost, the message is tried or told once more after a restart, which does no harm."""
        self.live -= self.entries.pop(name).size
        self.append(end_line(name))
        if self.size > 2 * self.live + self.spare:
            self.compact()

    def append(self, record: bytes) -> bool:
        if self.over(self.size + len(record)) and not self.compact():
            log.error("journal: no room for %d bytes", len(record))
            return False
        try:
            written = os.write(self.file, record)
            if written < len(record):
                os.ftruncate(self.file, self.size)
                raise OSError("a short write")
        except OSError as error:
            log.error("journal: not written: %s", error)
            return False
        self.size += len(record)
        return True

    # Room.

    def over(self, size: int, other: int = 0) -> bool:
        return sum(-(-each // BLOCK) * BLOCK for each in (size, other)) > self.limit

    def fits(self, size: int) -> bool:
        """Room for a new message such that the file can still be copied to compact it."""
        if not self.over(self.size + size, self.live + size + self.spare):
            return True
        return self.compact() and not self.over(self.size + size, self.live + size + self.spare)

    def compact(self) -> bool:
        """Writes what is still owed to a second file and puts that in the first one's place in one step."""
        if self.size <= self.live or self.over(self.size, self.live):
            return False
        path = self.folder / COMPACTED
        try:
            with open(path, "wb") as file:
                for entry in self.entries.values():
                    for each in lines_of(entry):
                        file.write(each)
            os.replace(path, self.folder / FILE)
            fresh = os.open(self.folder / FILE, os.O_RDWR | os.O_APPEND)
        except OSError as error:
            log.error("journal: not compacted: %s", error)
            path.unlink(missing_ok=True)
            return False
        os.close(self.file)
        self.file, self.size = fresh, os.fstat(fresh).st_size
        return True
