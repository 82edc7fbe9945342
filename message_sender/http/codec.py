"""Limits, addresses, headers and errors that the HTTP modules share."""

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
    """An answer that cannot be read.

    Attributes:
        status: What its first line still says; 0 if it says nothing.
    """

    def __init__(self, status: int, text: str) -> None:
        """`text`: what is wrong."""
        super().__init__(text)
        self.status = status


class IncompleteHeadError(MalformedMessageError):
    """A first line of 200 that is true, ahead of a head that is not here to its end."""


#: What a broken connection or an unreadable answer raises.
BROKEN = (OSError, MalformedMessageError)


def address_from(text: str) -> Address:
    """Reads `host:port`.

    Raises:
        ValueError: It is something else.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not (port.isascii() and port.isdecimal()) or int(port[:6]) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """The value of the first header with this (lower-case) name."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


def decimal(text: str) -> float | None:
    """A number as the protocol writes it; None for anything else.

    `float` alone would also take `1e308`, `1_0`, `inf`, digits of other scripts, and more digits than any
    clock needs.
    """
    return float(text) if DECIMAL.fullmatch(text) else None


def close(sock: socket.socket) -> None:
    """Closes a socket, whatever its last packets met."""
    with contextlib.suppress(OSError):
        sock.close()
