"""One change of the control plane's configuration, requested until its outcome is known.

Rules:

- The change names its base version; if another version is in force, nothing is changed.
- While no leader with a majority is known, or the node does not respond, the same change is requested again
  under the same request id, since the control nodes apply a request id at most once.
- If no outcome is known at the time limit, the outcome is `UNAVAILABLE`, and the change may still be applied.
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
RESPONSE_TIMEOUT_S = 10.0  # for each response of a control node
NO_LEADER_REASON = "no leader with a majority is known"


class ChangeOutcome(StrEnum):
    """Outcome of a change; all but `UNCHANGED` are values of a control node's response."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    UNCHANGED = "unchanged"  # the version in force already has the requested content


class ControlNodeError(Exception):
    """A request to a control node failed; `str` gives the reason, one line for each fault."""


class NodeUnreachableError(ControlNodeError):
    """A control node did not respond.

    Attributes:
        folder: The state folder of the control node.
    """

    def __init__(self, folder: Path, cause: Exception) -> None:
        """Creates the error; `cause` is the exception of the failed request."""
        super().__init__(f"no control node answers in {folder}: {cause}")
        self.folder = folder


class RequestRefusedError(ControlNodeError):
    """A control node refused a request.

    Attributes:
        faults: The faults of the request, one line for each.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        """Creates the error with the faults that the control node reported."""
        super().__init__("\n".join(faults))
        self.faults = tuple(faults)


class UnknownResourceError(Exception):
    """A change deletes a resource that the configuration does not have.

    Attributes:
        name: The name of the resource.
    """

    def __init__(self, name: str) -> None:
        """Creates the error for the resource `name`."""
        super().__init__(name)
        self.name = name


@dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """The configuration that a control node has in force.

    Attributes:
        version: The version of the configuration.
        resources: By name: the encoded value of the resource.
        response: The complete response of the control node to `get`.
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
        """Returns the change as a request to the control socket."""
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
    """The result of a change. The command prints the fields by name as JSON.

    Attributes:
        outcome: The outcome of the change.
        version: The version in force after the change.
        faults: The faults of an invalid change.
        attempts: The number of requests that were sent.
        reason: Why the outcome is unknown; empty if it is known.
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
        RequestRefusedError: The node refused the request.
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
    """Returns the resources to put and to delete.

    Args:
        current: By name: the encoded resources in force.
        requested: By name: the encoded resources that are requested.
        is_patch: Keeps the resources that `requested` does not name.
        deleted: The names to delete; used only with `is_patch`.

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
    """Requests a change until its outcome is known or `timeout_s` seconds have passed.

    Raises:
        RequestRefusedError: The control node refused the request as malformed.
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
    """Requests a change once. Without a response or a leader, the outcome is `UNAVAILABLE`.

    Args:
        folder: The control node's state folder.
        request: The change.
        timeout_s: The time limit for the response, in seconds.
        attempts: The number of this request, counted from 1.

    Raises:
        RequestRefusedError: The control node refused the request as malformed.
    """
    try:
        value = request_node(folder, request.as_json(), timeout_s)
    except NodeUnreachableError as error:
        return ChangeResult(ChangeOutcome.UNAVAILABLE, 0, (), attempts, str(error))
    outcome = ChangeOutcome(value["outcome"])
    faults = tuple(map(str, value.get("faults", ())))
    reason = NO_LEADER_REASON if outcome is ChangeOutcome.UNAVAILABLE else ""
    return ChangeResult(outcome, value["version"], faults, attempts, reason)
