"""Limits, addresses, headers and errors shared by the HTTP modules."""

import contextlib
import re
import socket
from collections.abc import Iterable

HEADER_LIMIT = 16 * 1024  # bytes
BODY_LIMIT = 64 * 1024  # bytes
READ_SIZE = 64 * 1024  # bytes
DECIMAL = re.compile(r"[0-9]{1,12}(?:\.[0-9]{0,12})?", re.ASCII)

Address = tuple[str, int]


class MalformedMessageError(Exception):
    """A response that is not valid HTTP or exceeds a limit.

    Attributes:
        status: The status of the status line if that could be parsed, or else 0.
    """

    def __init__(self, status: int, text: str) -> None:
        """Creates an error; `text` says what is wrong with the response."""
        super().__init__(text)
        self.status = status


class IncompleteHeadError(MalformedMessageError):
    """A complete status line of 200, which counts, in a head that has not been received completely."""


#: Raised on a broken connection or a malformed response.
CONNECTION_ERRORS = (OSError, MalformedMessageError)


def address_from(text: str) -> Address:
    """Parses `host:port`.

    Raises:
        ValueError: The text has another form, or the port is out of range.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not (port.isascii() and port.isdecimal()) or int(port[:6]) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Returns the value of the first header with this name (in lower case); None if there is none."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


def decimal(text: str) -> float | None:
    """Parses a decimal number as the protocol defines it; None for anything else.

    `float` alone would also accept `1e308`, `1_0`, `inf`, digits of other scripts, and more digits than any
    clock needs.
    """
    return float(text) if DECIMAL.fullmatch(text) else None


def close(sock: socket.socket) -> None:
    """Closes a socket, ignoring errors that the close reports."""
    with contextlib.suppress(OSError):
        sock.close()
