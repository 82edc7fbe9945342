"""Payloads of the journal's records: one JSON object each, followed by a line end. Pure."""

import base64
import json
from collections.abc import Iterator
from typing import Any

from message_sender.journal.entries import (
    COMPLETION_STATES,
    AttemptRecord,
    FinishedMessage,
    JournalEntry,
    RecordedCompletion,
)
from message_sender.message import Message
from message_sender.policy.model import Outcome

#: String and integer fields of a message, by their names in a record.
RECORDED_FIELDS = {
    "id": "id",
    "message_class": "message_class",
    "destination": "destination",
    "until": "deadline_us",
    "tenant": "tenant",
    "key": "key",
    "idempotency_key": "idempotency_key",
}
#: Fields of a message whose names in a record differ.
FIELD_OF_RECORDED_NAME = {"again": "is_repeat", "until": "deadline_us"}
ENCODER = json.JSONEncoder(separators=(",", ":"), check_circular=False)

quote = json.encoder.encode_basestring_ascii  # encodes a string as JSON, at a fifth of JSONEncoder's cost


def accepted_line(message: Message) -> bytes:
    """Returns the record of an accepted message; the field `extras` is omitted if the message has none."""
    values = [(name, getattr(message, field)) for name, field in RECORDED_FIELDS.items()]
    fields = ",".join([f'"{k}":{v if isinstance(v, int) else quote(v)}' for k, v in values])
    is_repeat = "true" if message.is_repeat else "false"
    extras = f',"extras":{ENCODER.encode(message.extras)}' if message.extras else ""
    body = base64.b64encode(message.body).decode()
    return f'{{"taken":{{{fields},"again":{is_repeat},"body":"{body}"{extras}}}}}\n'.encode()


def parse_message(fields: dict[str, Any]) -> Message:
    """Parses the message fields of a record written by `accepted_line`.

    Raises:
        KeyError, TypeError, ValueError: The fields do not describe a message.
    """
    extras = tuple((str(name), str(text)) for name, text in fields.get("extras", ()))
    values = {FIELD_OF_RECORDED_NAME.get(name, name): value for name, value in fields.items()}
    return Message(**values | {"body": base64.b64decode(fields["body"]), "extras": extras})


def attempt_line(message_id: str, number: int, attempt: AttemptRecord) -> bytes:
    """Returns the record of the start of an attempt."""
    endpoint = f'"endpoint":{quote(attempt.endpoint)},"zone":{quote(attempt.zone)}'
    return f'{{"sent":{quote(message_id)},"number":{number},"at":{attempt.started_us},{endpoint}}}\n'.encode()


def outcome_line(message_id: str, number: int, outcome: Outcome) -> bytes:
    """Returns the record of the outcome of an attempt."""
    return f'{{"outcome":"{outcome.value}","of":{quote(message_id)},"number":{number}}}\n'.encode()


def completion_line(message_id: str, state: str, retry_after_us: int) -> bytes:
    """Returns the record of a completion that is decided but not delivered; `retry_after_us` is in us."""
    return f'{{"verdict":{quote(state)},"of":{quote(message_id)},"after":{retry_after_us}}}\n'.encode()


def parse_completion(record: dict[str, Any]) -> RecordedCompletion:
    """Parses a record written by `completion_line`.

    Raises:
        KeyError, TypeError, ValueError: The record does not describe a completion.
    """
    state, retry_after_us = record["verdict"], record["after"]
    if state not in COMPLETION_STATES or not isinstance(retry_after_us, int):
        raise ValueError(f"not a completion: {state!r}, {retry_after_us!r}")
    return RecordedCompletion(state, retry_after_us)


def doubtful_line(message_id: str) -> bytes:
    """Returns the record which says that an unknown attempt of the message may have run."""
    return f'{{"doubt":{quote(message_id)}}}\n'.encode()


def end_line(message_id: str, finished: FinishedMessage | None = None) -> bytes:
    """Returns the record of the end of a message, with the data kept for it, if any."""
    fields = finished_fields(finished) if finished else ""
    return f'{{"end":{quote(message_id)}{fields}}}\n'.encode()


def finished_line(message_id: str, finished: FinishedMessage) -> bytes:
    """Returns the record of a message that had finished before the file was compacted."""
    return f'{{"over":{quote(message_id)}{finished_fields(finished)}}}\n'.encode()


def finished_fields(finished: FinishedMessage) -> str:
    """Returns the data kept for a finished message as JSON members, to follow other members."""
    return f',"at":{finished.finished_us},"state":{quote(finished.state)},"key":{quote(finished.key)}'


def entry_lines(entry: JournalEntry) -> Iterator[bytes]:
    """Yields the records of a message, its attempts and its completion, as they would have been appended."""
    yield accepted_line(entry.message)
    for number, attempt in entry.attempts.items():
        yield attempt_line(entry.message.id, number, attempt)
        if attempt.outcome:
            yield outcome_line(entry.message.id, number, attempt.outcome)
    if entry.is_doubtful:
        yield doubtful_line(entry.message.id)
    if entry.completion:
        yield completion_line(entry.message.id, *entry.completion)
