"""The calls of the management API: a mapping from method and path to an operation, without I/O."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from urllib.parse import unquote


class Operation(Enum):
    """The operations that an operator can request; the values are names for log lines."""

    READINESS = "readiness"
    METRICS = "metrics"
    START_MAINTENANCE = "start maintenance"
    END_MAINTENANCE = "end maintenance"
    DRAIN = "drain"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class ManagementCall:
    """One call of the management API.

    Attributes:
        operation: The requested operation.
        endpoint: The endpoint's id for maintenance operations; else empty.
    """

    operation: Operation
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class ManagementReply:
    """The response to a call.

    Attributes:
        status: The HTTP status; 2xx means that the operation was executed.
        text: The body: the metrics, or a text for the operator.
    """

    status: int
    text: str = ""


#: The method and operation of each path without a parameter.
OPERATIONS_BY_PATH = {
    ("healthcheck",): ("GET", Operation.READINESS),
    ("stats",): ("GET", Operation.METRICS),
    ("healthcheck", "fail"): ("POST", Operation.DRAIN),
    ("healthcheck", "ok"): ("POST", Operation.RESUME),
}
#: The operations of the paths /receivers/ID/..., by their last segment.
ENDPOINT_OPERATIONS = {"maint": Operation.START_MAINTENANCE, "ready": Operation.END_MAINTENANCE}
ENDPOINT_METHOD = "POST"


def parse_call(method: str, target: str) -> ManagementCall | ManagementReply:
    """Returns the call that a request makes, or the reply that rejects the request."""
    path = tuple(target.partition("?")[0].removeprefix("/").split("/"))
    if call := parse_endpoint_call(path):
        expected_method = ENDPOINT_METHOD
    elif path in OPERATIONS_BY_PATH:
        expected_method, operation = OPERATIONS_BY_PATH[path]
        call = ManagementCall(operation)
    else:
        return ManagementReply(HTTPStatus.NOT_FOUND, "there is no such call")
    if method != expected_method:
        return ManagementReply(HTTPStatus.METHOD_NOT_ALLOWED, f"this call is made with {expected_method}")
    return call


def parse_endpoint_call(path: tuple[str, ...]) -> ManagementCall | None:
    """Returns the call of a path that names an endpoint; None for any other path."""
    if len(path) != 3 or path[0] != "receivers" or not path[1] or path[2] not in ENDPOINT_OPERATIONS:
        return None
    return ManagementCall(ENDPOINT_OPERATIONS[path[2]], unquote(path[1]))
