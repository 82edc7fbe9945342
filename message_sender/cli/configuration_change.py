"""One change of the control plane's configuration, requested until its outcome is known.

Rules:

- The change names the version that it was made against; where another one is in force, nothing is written.
- While no leader with a majority is known, or the node does not respond, the same change is requested again
  under the same request id: the control nodes apply it at most once.
- When the time is over without an outcome, the outcome is `UNAVAILABLE`: the change may still be applied.
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
RESPONSE_TIMEOUT_S = 10.0  # for one response of a control node
NO_LEADER_REASON = "no leader with a majority is known"


class ChangeOutcome(StrEnum):
    """Outcome of a change; all but `UNCHANGED` are values of a control node's response."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    UNCHANGED = "unchanged"  # the present version has the requested content


class ControlNodeError(Exception):
    """A request to a control node failed; `str` gives the reason, with a line for each fault."""


class NodeUnreachableError(ControlNodeError):
    """A control node did not respond.

    Attributes:
        folder: Its state folder.
    """

    def __init__(self, folder: Path, cause: Exception) -> None:
        """`cause`: what the connection failed with."""
        super().__init__(f"no control node answers in {folder}: {cause}")
        self.folder = folder


class RequestRefusedError(ControlNodeError):
    """A control node refused a request.

    Attributes:
        faults: What is wrong with the request, a line for each fault.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        """`faults`: as the control node names them."""
        super().__init__("\n".join(faults))
        self.faults = tuple(faults)


class UnknownResourceError(Exception):
    """A change deletes a resource that the configuration does not have.

    Attributes:
        name: Of the resource.
    """

    def __init__(self, name: str) -> None:
        """`name`: of the resource."""
        super().__init__(name)
        self.name = name


@dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """The configuration that a control node has in force.

    Attributes:
        version: Its version.
        resources: Encoded values by name.
        response: The complete value of the control node's response to `get`.
    """

    version: int
    resources: dict[str, bytes]
    response: dict[str, Any]

    @property
    def has_leader(self) -> bool:
        """Whether the control node knows a leader with a majority."""
        return bool(self.response["leader"])


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator requests."""

    request_id: str
    base_version: int
    difference: Difference
    author: str

    def as_json(self) -> dict[str, Any]:
        """Returns the request of the control socket."""
        return {
            "do": "set",
            "request_id": self.request_id,
            "base_version": self.base_version,
            "put": {name: json.loads(value) for name, value in self.difference.put.items()},
            "delete": list(self.difference.delete),
            "author": self.author,
        }


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The outcome of a change. The command prints the fields by name as JSON.

    Attributes:
        outcome: What became of the change.
        version: The version in force with it.
        faults: Of an invalid change.
        attempts: Requests that were sent.
        reason: Why the outcome is not known.
    """

    outcome: ChangeOutcome
    version: int
    faults: tuple[str, ...] = ()
    attempts: int = 1
    reason: str = ""


def request_node(folder: Path, request: Mapping[str, Any], timeout_s: float = RESPONSE_TIMEOUT_S) -> Any:  # noqa: ANN401
    """Sends one request to a control node and returns the value of its response.

    Raises:
        NodeUnreachableError: The node did not respond.
        RequestRefusedError: It refused the request.
    """
    try:
        response = send_request(folder, request, timeout_s)
    except (OSError, ValueError) as error:
        raise NodeUnreachableError(folder, error) from None
    if not response.get("ok"):
        raise RequestRefusedError([str(fault) for fault in response.get("faults", ["refused"])])
    return response["value"]


def read_configuration(folder: Path) -> CurrentConfiguration:
    """Returns the configuration that the control node of a state folder has in force.

    Raises:
        ControlNodeError: The node did not respond or refused the request.
    """
    response = request_node(folder, {"do": "get"})
    resources = {name: encode_value(value) for name, value in response["resources"].items()}
    return CurrentConfiguration(response["version"], resources, response)


def compute_difference(
    current: Mapping[str, bytes], requested: Mapping[str, bytes], is_patch: bool, deleted: Sequence[str]
) -> Difference:
    """Returns what is to be put and deleted.

    Args:
        current: The resources in force.
        requested: The resources that are to be in force.
        is_patch: Keeps the resources that `requested` does not name.
        deleted: Names to delete, with `is_patch` only.

    Raises:
        UnknownResourceError: A name to delete is not in force.
    """
    if not is_patch:
        return compare_resources(current, requested)
    for name in deleted:
        if name not in current:
            raise UnknownResourceError(name)
    put = {name: value for name, value in requested.items() if current.get(name) != value}
    return Difference(put, tuple(dict.fromkeys(deleted)))


def request_change(folder: Path, request: ChangeRequest, timeout_s: float) -> ChangeResult:
    """Requests a change until its outcome is known or the time is over.

    Raises:
        RequestRefusedError: The control node refused the form of the request.
    """
    deadline = time.monotonic() + timeout_s
    attempts = 0
    while True:
        attempts += 1
        remaining_s = max(deadline - time.monotonic(), RETRY_INTERVAL_S)
        result = attempt_change(folder, request, min(remaining_s, RESPONSE_TIMEOUT_S), attempts)
        if result.outcome is not ChangeOutcome.UNAVAILABLE:
            return result
        if time.monotonic() + RETRY_INTERVAL_S >= deadline:
            return result
        time.sleep(RETRY_INTERVAL_S)


def attempt_change(folder: Path, request: ChangeRequest, timeout_s: float, attempts: int) -> ChangeResult:
    """Requests a change once; without a response or a leader the outcome is `UNAVAILABLE`.

    Args:
        folder: The control node's state folder.
        request: The change.
        timeout_s: For the response.
        attempts: Number of this request, from 1.

    Raises:
        RequestRefusedError: The control node refused the form of the request.
    """
    try:
        value = request_node(folder, request.as_json(), timeout_s)
    except NodeUnreachableError as error:
        return ChangeResult(ChangeOutcome.UNAVAILABLE, 0, (), attempts, str(error))
    outcome = ChangeOutcome(value["outcome"])
    faults = tuple(map(str, value.get("faults", ())))
    reason = NO_LEADER_REASON if outcome is ChangeOutcome.UNAVAILABLE else ""
    return ChangeResult(outcome, value["version"], faults, attempts, reason)
