"""Traces: the events of a history as lines of JSON."""

import json
from collections.abc import Iterable
from dataclasses import asdict
from enum import Enum

from message_sender.testbed import history

#: Names of events in traces that differ from the names of their types.
TRACE_NAMES: dict[type, str] = {
    history.AttemptFinished: "Over",
    history.AttemptStarted: "Began",
    history.EndpointDrained: "Drained",
    history.EndpointRestored: "Listed",
    history.MessageAdmitted: "Taken",
    history.MessageCompleted: "Ended",
    history.MessageRejected: "Refused",
    history.SenderRestarted: "Restarted",
}


def encode_trace(events: Iterable[history.HistoryEvent]) -> list[str]:
    """Returns one line of JSON for each event."""
    return [json.dumps(encode_event(each), sort_keys=True) for each in events]


def encode_event(event: history.HistoryEvent) -> dict[str, object]:
    """Returns the fields of an event as values for JSON, with its name in traces as `event`."""
    name = TRACE_NAMES.get(type(event), type(event).__name__)
    return {"event": name} | {field: encode_value(value) for field, value in asdict(event).items()}


def encode_value(value: object) -> object:
    """Returns the value of a field for JSON; floats, which are seconds, are rounded to microseconds."""
    if isinstance(value, Enum):
        return value.value
    return round(value, 6) if isinstance(value, float) else value
