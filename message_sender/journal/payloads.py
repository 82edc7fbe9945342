"""Payloads of the journal's records: one JSON object each, with a line end. Pure."""

import base64
import json
from collections.abc import Iterator
from typing import Any

from message_sender.journal.entries import AttemptRecord, FinishedMessage, JournalEntry
from message_sender.message import Message
from message_sender.policy.model import Outcome

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
FIELD_OF_RECORDED_NAME = {"again": "is_repeat", "until": "deadline_us"}
ENCODER = json.JSONEncoder(separators=(",", ":"), check_circular=False)

quote = json.encoder.encode_basestring_ascii  # a text as JSON, at a fifth of the encoder's cost


def accepted_line(message: Message) -> bytes:
    """A message is accepted. Extras are left out where there are none."""
    values = [(name, getattr(message, field)) for name, field in RECORDED_FIELDS.items()]
    fields = ",".join([f'"{k}":{v if isinstance(v, int) else quote(v)}' for k, v in values])
    is_repeat = "true" if message.is_repeat else "false"
    extras = f',"extras":{ENCODER.encode(message.extras)}' if message.extras else ""
    body = base64.b64encode(message.body).decode()
    return f'{{"taken":{{{fields},"again":{is_repeat},"body":"{body}"{extras}}}}}\n'.encode()


def parse_message(fields: dict[str, Any]) -> Message:
    """Reads the message of an `accepted_line`.

    Raises:
        KeyError, TypeError, ValueError: The fields are not those of a message.
    """
    extras = tuple((str(name), str(text)) for name, text in fields.get("extras", ()))
    values = {FIELD_OF_RECORDED_NAME.get(name, name): value for name, value in fields.items()}
    return Message(**values | {"body": base64.b64decode(fields["body"]), "extras": extras})


def attempt_line(message_id: str, number: int, attempt: AttemptRecord) -> bytes:
    """An attempt starts."""
    endpoint = f'"endpoint":{quote(attempt.endpoint)},"zone":{quote(attempt.zone)}'
    return f'{{"sent":{quote(message_id)},"number":{number},"at":{attempt.started_us},{endpoint}}}\n'.encode()


def outcome_line(message_id: str, number: int, outcome: Outcome) -> bytes:
    """An attempt has its outcome."""
    return f'{{"outcome":"{outcome.value}","of":{quote(message_id)},"number":{number}}}\n'.encode()


def completion_line(message_id: str, state: str, retry_after_us: int) -> bytes:
    """The completion of a message is decided and not delivered yet."""
    return f'{{"verdict":{quote(state)},"of":{quote(message_id)},"after":{retry_after_us}}}\n'.encode()


def doubtful_line(message_id: str) -> bytes:
    """An unknown attempt of the message may have run."""
    return f'{{"doubt":{quote(message_id)}}}\n'.encode()


def end_line(message_id: str, finished: FinishedMessage | None = None) -> bytes:
    """A message is over. `finished`: what is kept of it, where anything is."""
    fields = finished_fields(finished) if finished else ""
    return f'{{"end":{quote(message_id)}{fields}}}\n'.encode()


def finished_line(message_id: str, finished: FinishedMessage) -> bytes:
    """A message that was over before the file was compacted."""
    return f'{{"over":{quote(message_id)}{finished_fields(finished)}}}\n'.encode()


def finished_fields(finished: FinishedMessage) -> str:
    """What is kept of a message that is over, as fields behind others."""
    return f',"at":{finished.finished_us},"state":{quote(finished.state)},"key":{quote(finished.key)}'


def entry_lines(entry: JournalEntry) -> Iterator[bytes]:
    """A message with its attempts, as they would have been appended."""
    yield accepted_line(entry.message)
    for number, attempt in entry.attempts.items():
        yield attempt_line(entry.message.id, number, attempt)
        if attempt.outcome:
            yield outcome_line(entry.message.id, number, attempt.outcome)
