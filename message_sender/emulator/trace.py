"""Traces: events of a history as lines of JSON."""

import json
from collections.abc import Iterable
from dataclasses import asdict
from enum import Enum

from message_sender.testbed import history as seen

#: Names of events in traces, where they differ from those of their types.
TRACE_NAMES: dict[type, str] = {
    seen.AttemptFinished: "Over",
    seen.AttemptStarted: "Began",
    seen.EndpointDrained: "Drained",
    seen.EndpointRestored: "Listed",
    seen.MessageAdmitted: "Taken",
    seen.MessageCompleted: "Ended",
    seen.MessageRejected: "Refused",
    seen.SenderRestarted: "Restarted",
}


def encode_trace(events: Iterable[seen.HistoryEvent]) -> list[str]:
    """Returns one line of JSON for each event."""
    return [json.dumps(encode_event(each), sort_keys=True) for each in events]


def encode_event(event: seen.HistoryEvent) -> dict[str, object]:
    """Returns an event as JSON values, with its name in traces."""
    name = TRACE_NAMES.get(type(event), type(event).__name__)
    return {"event": name} | {field: encode_value(value) for field, value in asdict(event).items()}


def encode_value(value: object) -> object:
    """Returns a field's value for JSON; times are rounded to microseconds."""
    if isinstance(value, Enum):
        return value.value
    return round(value, 6) if isinstance(value, float) else value
