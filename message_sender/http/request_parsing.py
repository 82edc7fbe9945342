"""Parses a client's request into a message; the protocol page describes its headers. Pure."""

import h11

from message_sender.http.common import decimal
from message_sender.http.fast_path import FastRequest
from message_sender.message import Message
from message_sender.policy.model import Effect, MessageClass

MAX_DESTINATION_DIGITS = 18
#: Microseconds deducted from a message's time left. The request has waited since it was sent, and a response
#: received at the last moment would count as a delivery here although the deadline has passed for the others.
TRANSIT_ALLOWANCE_US = 50_000

BAD_REQUEST = 400
NOT_FOUND = 404

HttpRequest = h11.Request | FastRequest


class BadRequestError(Exception):
    """Raised for a request that is answered with an error status.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, status: int, text: str) -> None:
        """Creates an error; `text` is sent to the client."""
        super().__init__(text)
        self.status = status


class _Headers:
    """The headers of a request; if a name occurs more than once, the first value is used."""

    def __init__(self, request: HttpRequest) -> None:
        self.values = dict(reversed(request.headers))

    def get(self, name: str) -> str:
        """Returns the value of a header; empty if it is absent."""
        return self.values.get(name.lower().encode(), b"").decode("latin-1")

    def require(self, name: str) -> str:
        """Returns the value of a header. Raises BadRequestError if it is absent or empty."""
        value = self.get(name)
        if not value:
            raise BadRequestError(BAD_REQUEST, f"{name} is missing")
        return value


def read_message(
    request: HttpRequest, body: bytes, began_us: int, classes: dict[str, MessageClass]
) -> Message:
    """Parses a request into a message.

    Args:
        request: The head of the request.
        body: The body of the request.
        began_us: When the first bytes of the request were read, in microseconds on the wall clock. The
            message's time left is counted from then.
        classes: The message classes by name.

    Raises:
        BadRequestError: A header is missing or invalid, or the message class is unknown.
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
    """Returns the message class, whose name must also be the first segment of the path."""
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
