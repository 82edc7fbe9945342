"""Reads commands from a packet capture, which the demo submits in place of generated messages."""

import zlib
from pathlib import Path

from message_sender.pcap.capture import CapturedMessage, read_requests
from message_sender.testbed.demo import RecordedCommand

CLASS_HEADER = "x-service-class"
ROUTE_HEADER = "x-route-to"
KEY_HEADER = "x-session-key"


def read_recorded_commands(path: Path) -> list[RecordedCommand]:
    """Returns the complete requests of a capture that name a class and a destination, sorted by time.

    The first command is due at 0, and the others at their recorded offsets from the first.

    Raises:
        OSError: The file cannot be read.
        MalformedCaptureError: The file is not a packet capture.
    """
    with path.open("rb") as file:
        complete = [request for request in read_requests([file]) if request.message.is_complete]
    commands = [(request, read_headers(request)) for request in complete]
    commands = [
        (request, headers)
        for request, headers in commands
        if CLASS_HEADER in headers and ROUTE_HEADER in headers
    ]
    commands.sort(key=lambda command: command[0].message.first_at_ns)
    return [
        RecordedCommand(
            due=(request.message.first_at_ns - commands[0][0].message.first_at_ns) / 1e9,
            destination=parse_destination(headers[ROUTE_HEADER]),
            key=headers.get(KEY_HEADER, ""),
            body=request.message.body,
        )
        for request, headers in commands
    ]


def read_headers(request: CapturedMessage) -> dict[str, str]:
    """Returns the headers of a request by lower-case name."""
    return {name.lower(): value for name, value in request.message.headers}


def parse_destination(route: str) -> int:
    """Returns the destination number in a route header; for a non-numeric name, a checksum of the header."""
    parameters = dict(part.strip().partition("=")[::2] for part in route.split(","))
    name = parameters.get("dest", "")
    if name.isascii() and name.isdecimal():
        return int(name[:9])
    return zlib.crc32(route.encode())
