"""A client's request as a message; see the protocol page for its headers. Pure."""

import h11

from message_sender.http.codec import decimal
from message_sender.http.fast_path import FastRequest
from message_sender.message import Message
from message_sender.policy.model import Effect, MessageClass

MAX_DESTINATION_DIGITS = 18
#: Of a message's time that are not its own: since it was sent it has waited to be read, and an answer that
#: comes at the last moment would be taken for a delivery when its time is up for everybody else.
TRANSIT_ALLOWANCE_US = 50_000

BAD_REQUEST = 400
NOT_FOUND = 404

HttpRequest = h11.Request | FastRequest


class BadRequestError(Exception):
    """A request that is answered with an error status.

    Attributes:
        status: The HTTP status.
    """

    def __init__(self, status: int, text: str) -> None:
        """`text`: for the client."""
        super().__init__(text)
        self.status = status


class _Headers:
    """The headers of a request; of a name that comes twice the first one counts."""

    def __init__(self, request: HttpRequest) -> None:
        self.values = dict(reversed(request.headers))

    def get(self, name: str) -> str:
        """The header's value; empty where there is none."""
        return self.values.get(name.lower().encode(), b"").decode("latin-1")

    def require(self, name: str) -> str:
        """The header's value, which must not be empty."""
        value = self.get(name)
        if not value:
            raise BadRequestError(BAD_REQUEST, f"{name} is missing")
        return value


def read_message(
    request: HttpRequest, body: bytes, began_us: int, classes: dict[str, MessageClass]
) -> Message:
    """Reads the message of a request.

    Args:
        request: Its head.
        body: Its body.
        began_us: When its first bytes were read, on the wall clock: the client's time runs from its sending.
        classes: The message classes by name.

    Raises:
        BadRequestError: It is no message.
    """
    headers = _Headers(request)
    message_class = _message_class(request, headers, classes)
    destination = _destination(headers)
    deadline_us = began_us + _time_left_us(headers, message_class)
    is_keyed = message_class.effect is Effect.KEYED
    return Message(
        id=headers.require("X-Correlation-Id"),
        message_class=message_class.name,
        destination=destination,
        deadline_us=deadline_us,
        tenant=headers.get("X-Account"),
        key=headers.get("X-Session-Key"),
        idempotency_key=headers.require("Idempotency-Key") if is_keyed else headers.get("Idempotency-Key"),
        is_repeat=headers.get("X-Repeat") == "1",
        body=body,
    )


def _message_class(request: HttpRequest, headers: _Headers, classes: dict[str, MessageClass]) -> MessageClass:
    """The class, which the path begins with."""
    name = headers.require("X-Service-Class")
    path = request.target.decode("latin-1").lstrip("/").partition("?")[0]
    if name not in classes or path.partition("/")[0] != name:
        raise BadRequestError(NOT_FOUND, f"no class {name!r} at this path")
    return classes[name]


def _destination(headers: _Headers) -> int:
    parts = headers.require("X-Route-To").split(",")
    route = dict(part.strip().partition("=")[::2] for part in parts)
    number = route.get("dest", "")
    if not (number.isascii() and number.isdecimal() and len(number) <= MAX_DESTINATION_DIGITS):
        raise BadRequestError(BAD_REQUEST, f"X-Route-To holds no dest: {route}")
    return int(number)


def _time_left_us(headers: _Headers, message_class: MessageClass) -> int:
    seconds = decimal(headers.require("X-Time-Left"))
    if seconds is None:
        raise BadRequestError(BAD_REQUEST, f"X-Time-Left cannot be {headers.get('X-Time-Left')!r}")
    return max(min(int(seconds * 1e6), message_class.deadline) - TRANSIT_ALLOWANCE_US, 0)
