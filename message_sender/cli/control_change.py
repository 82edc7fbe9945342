"""One change of the control plane's configuration, asked of a control node until its outcome is known.

Rules:

- The change names the version that it was made against; where another one is in force, nothing is written.
- While no leader with a majority is known, or the node does not answer, the same change is asked for again
  under the same request id: it is made once, however often it is asked for.
- Once the time is over and no outcome is known, that is what is said: it may still be made.
"""

import json
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

from message_sender.control.schema import Difference, compare_resources, encode_value
from message_sender.control_socket import send_request

RETRY_INTERVAL_S = 0.3
ANSWER_PATIENCE_S = 10.0  # for one answer of a control node
NO_LEADER = "no leader with a majority is known"


class CommandOutcome(StrEnum):
    """What became of a change; the first four as a control node says it."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    UNCHANGED = "unchanged"  # the present version holds it already


class ControlNodeError(Exception):
    """A control node did not answer, or refused the request; the text says which."""


@dataclass(frozen=True, slots=True)
class Present:
    """What a control node has in force."""

    version: int
    resources: dict[str, bytes]
    told: dict[str, Any]  # the whole answer


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """What an operator asks for."""

    request_id: str
    base_version: int
    difference: Difference
    author: str

    def as_json(self) -> dict[str, Any]:
        """The request of the control socket."""
        return {
            "do": "set",
            "request_id": self.request_id,
            "base_version": self.base_version,
            "put": {name: json.loads(value) for name, value in self.difference.put.items()},
            "delete": list(self.difference.delete),
            "author": self.author,
        }


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """The outcome, the version in force with it, and the faults of an invalid one."""

    outcome: CommandOutcome
    version: int
    faults: tuple[str, ...] = ()
    attempts: int = 1
    reason: str = ""  # why the outcome is not known


def ask_node(folder: Path, request: Mapping[str, Any], patience: float = ANSWER_PATIENCE_S) -> Any:  # noqa: ANN401
    """The value of a control node's answer. Raises ControlNodeError."""
    try:
        told = send_request(folder, request, patience)
    except (OSError, ValueError) as error:
        raise ControlNodeError(f"no control node answers in {folder}: {error}") from None
    if not told.get("ok"):
        raise ControlNodeError("\n".join(map(str, told.get("faults", ["refused"]))))
    return told["value"]


def present_of(folder: Path) -> Present:
    """Raises ControlNodeError."""
    told = ask_node(folder, {"do": "get"})
    resources = {name: encode_value(value) for name, value in told["resources"].items()}
    return Present(told["version"], resources, told)


def difference_to(
    present: Mapping[str, bytes], wanted: Mapping[str, bytes], is_patch: bool, delete: Sequence[str]
) -> Difference:
    """What is to be put and deleted; a patch leaves alone what it does not name. Raises KeyError for a name
    to be deleted that is not there."""
    if not is_patch:
        return compare_resources(present, wanted)
    for name in delete:
        if name not in present:
            raise KeyError(name)
    put = {name: value for name, value in wanted.items() if present.get(name) != value}
    return Difference(put, tuple(dict.fromkeys(delete)))


def make_change(folder: Path, request: ChangeRequest, timeout: float) -> ChangeAnswer:
    """Asks until the outcome is known, `timeout` seconds long at the most."""
    ends_at = time.monotonic() + timeout
    attempts = 0
    while True:
        attempts += 1
        left = max(ends_at - time.monotonic(), RETRY_INTERVAL_S)
        answer = attempt(folder, request, min(left, ANSWER_PATIENCE_S), attempts)
        if answer.outcome is not CommandOutcome.UNAVAILABLE:
            return answer
        if time.monotonic() + RETRY_INTERVAL_S >= ends_at:
            return answer
        time.sleep(RETRY_INTERVAL_S)


def attempt(folder: Path, request: ChangeRequest, patience: float, attempts: int) -> ChangeAnswer:
    """One request; a node that does not answer leaves the outcome unknown, as one without a leader does."""
    try:
        told = send_request(folder, request.as_json(), patience)
    except (OSError, ValueError) as error:
        reason = f"no control node answers in {folder}: {error}"
        return ChangeAnswer(CommandOutcome.UNAVAILABLE, 0, (), attempts, reason)
    if not told.get("ok"):
        raise ControlNodeError("\n".join(map(str, told.get("faults", ["refused"]))))
    value = told["value"]
    faults = tuple(map(str, value.get("faults", ())))
    outcome = CommandOutcome(value["outcome"])
    reason = NO_LEADER if outcome is CommandOutcome.UNAVAILABLE else ""
    return ChangeAnswer(outcome, value["version"], faults, attempts, reason)
