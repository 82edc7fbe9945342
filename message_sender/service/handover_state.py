"""The state that a process hands over to its successor, as JSON text.

The keys of this text are a protocol between two versions of the program. The fields of `InheritedState` and
`CallInFlight` appear in it under their own names.
"""

import json
from dataclasses import asdict, dataclass
from typing import Any

from message_sender.core.engine_config import HandoverState
from message_sender.core.ports import Completion, CompletionState
from message_sender.http.endpoint_list import EndpointList
from message_sender.policy.events import CallInFlight, InheritedState
from message_sender.policy.model import Endpoint

STATE_VERSION = 1  # the version of the text's format


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """The state of the process that handed over, as its successor reads it.

    Attributes:
        clock_base_ns: The base of the process's clock, in nanoseconds.
        engine_state: The state of its engine.
        endpoint_list: Its last list of endpoints.
        list_sequence: The list's version; None if discovery's current address had sent no list.
        destinations: All destinations that a list has ever named.
        returned: Endpoints that operators returned to service and that were not yet listed as ready.
        drain_ordered_at: The time at which operators ordered the drain, in seconds of the loop's clock; None
            if they did not.
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
    """The state that an owner hands over.

    It corresponds to `PredecessorState`, but has each listed endpoint with its dial address in `endpoints`.
    """

    clock_base_ns: int
    engine_state: HandoverState
    list_sequence: int | None
    endpoints: list[tuple[Endpoint, tuple[str, int]]]
    destinations: set[int]
    returned: set[str]
    drain_ordered_at: float | None

    def encode(self) -> dict[str, Any]:
        """Returns the state as JSON values, whose text `decode_state` reads."""
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
    """Returns the engine's state as JSON values."""
    calls = {message_id: [number, asdict(call)] for message_id, (number, call) in state.calls.items()}
    completions = {
        message_id: [completion.state.value, completion.retry_after_us]
        for message_id, completion in state.pending_completions.items()
    }
    return {
        "inherited": asdict(state.inherited),
        "calls": calls,
        "ending": completions,
        "shares": state.weight_factors,
        "ended": state.completed_ids,
    }


def decode_engine_state(values: dict[str, Any]) -> HandoverState:
    """Decodes the result of `encode_engine_state`.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: The values are not an engine's state.
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
        pending_completions=completions,
        weight_factors={name: float(share) for name, share in values["shares"].items()},
        completed_ids=tuple(map(str, values["ended"])),
    )


def encode_endpoint(endpoint: Endpoint, dial: tuple[str, int]) -> dict[str, Any]:
    """Returns an endpoint in discovery's own format, which `EndpointList` reads."""
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
    """Decodes the text that the predecessor has sent.

    Raises:
        ValueError: This version of the program cannot read the text; the error's message is one line.
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
