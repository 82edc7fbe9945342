"""The state that a process hands over to the next one, as JSON text.

The keys of this text are a wire between two versions of the program. Fields of the dataclasses below it
(`InheritedState`, `CallInFlight`) appear in it by name.
"""

import json
from dataclasses import asdict, dataclass
from typing import Any

from message_sender.core.engine_config import HandoverState
from message_sender.core.ports import Completion, CompletionState
from message_sender.http.discovery import EndpointList
from message_sender.policy.events import CallInFlight, InheritedState
from message_sender.policy.model import Endpoint

STATE_VERSION = 1  # of the text


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """What the process that handed over knew.

    Attributes:
        clock_base_ns: The base of its clock, in nanoseconds.
        engine_state: Of its engine.
        endpoint_list: Its last list of endpoints.
        list_sequence: The list's version; None: it had none from discovery's present address.
        destinations: All that a list ever named.
        returned: Endpoints that operators put back in service and that were not listed as ready yet.
        drain_ordered_at: When operators ordered the drain, in seconds on the loop's clock, or None.
    """

    clock_base_ns: int
    engine_state: HandoverState
    endpoint_list: EndpointList
    list_sequence: int | None
    destinations: tuple[int, ...]
    returned: tuple[str, ...]
    drain_ordered_at: float | None


@dataclass(frozen=True, slots=True)
class OwnerState:
    """What an owner hands over: its own side of `PredecessorState`, with each endpoint's dial address."""

    clock_base_ns: int
    engine_state: HandoverState
    list_sequence: int | None
    endpoints: list[tuple[Endpoint, tuple[str, int]]]
    destinations: set[int]
    returned: set[str]
    drain_ordered_at: float | None

    def encode(self) -> dict[str, Any]:
        """The state as JSON values; `decode_state` reads their text."""
        return {
            "version": STATE_VERSION,
            "clock": self.clock_base_ns,
            "engine": encode_engine_state(self.engine_state),
            "seq": self.list_sequence,
            "hosts": [encode_endpoint(endpoint, dial) for endpoint, dial in self.endpoints],
            "destinations": sorted(self.destinations),
            "back": sorted(self.returned),
            "away_since": self.drain_ordered_at,
        }


def encode_engine_state(state: HandoverState) -> dict[str, Any]:
    """The engine's state as JSON values."""
    calls = {message_id: [number, asdict(call)] for message_id, (number, call) in state.calls.items()}
    completions = {
        message_id: [completion.state.value, completion.retry_after_us]
        for message_id, completion in state.ending.items()
    }
    return {
        "inherited": asdict(state.inherited),
        "calls": calls,
        "ending": completions,
        "shares": state.shares,
        "ended": state.ended,
    }


def decode_engine_state(values: dict[str, Any]) -> HandoverState:
    """The inverse of `encode_engine_state`.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: The values are not such a state.
    """
    inherited = {name: tuple(tuple(row) for row in rows) for name, rows in values["inherited"].items()}
    calls = {
        message_id: (int(number), CallInFlight(**call))
        for message_id, (number, call) in values["calls"].items()
    }
    completions = {
        message_id: Completion(CompletionState(state), int(retry_after))
        for message_id, (state, retry_after) in values["ending"].items()
    }
    return HandoverState(
        inherited=InheritedState(**inherited),
        calls=calls,
        ending=completions,
        shares={name: float(share) for name, share in values["shares"].items()},
        ended=tuple(map(str, values["ended"])),
    )


def encode_endpoint(endpoint: Endpoint, dial: tuple[str, int]) -> dict[str, Any]:
    """An endpoint in discovery's own form, which `EndpointList` reads."""
    return {
        "host": endpoint.id,
        "dial": f"{dial[0]}:{dial[1]}",
        "site": endpoint.zone,
        "class": endpoint.kind,
        "block": endpoint.destination,
        "health": endpoint.state.value,
        "share": endpoint.scale,
    }


def decode_state(text: str) -> PredecessorState:
    """Reads the text that the process before has sent.

    Raises:
        ValueError: This version does not understand it; the message is one line.
    """
    try:
        values = json.loads(text)
        if values["version"] != STATE_VERSION:
            raise ValueError(f"version {values['version']!r} is not known")
        return _decode_values(values)
    except (KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {' '.join(str(error).split())}") from None


def _decode_values(values: dict[str, Any]) -> PredecessorState:
    list_sequence = values["seq"]
    listed = {"seq": list_sequence or 0, "whole": True, "hosts": values["hosts"]}
    endpoint_list = EndpointList(listed)
    return PredecessorState(
        clock_base_ns=int(values["clock"]),
        engine_state=decode_engine_state(values["engine"]),
        endpoint_list=endpoint_list,
        list_sequence=list_sequence,
        destinations=tuple(values["destinations"]),
        returned=tuple(values["back"]),
        drain_ordered_at=values["away_since"],
    )
