"""The commands of a capture, for the demonstration."""

import zlib
from pathlib import Path

from message_sender.pcap.capture import Found, requests
from message_sender.testbed.demo import RecordedCommand


def given_in(path: Path) -> list[RecordedCommand]:
    """What clients handed in: whole requests that name a class and a destination, the first one due at 0.
    Raises OSError and BadCapture."""
    with path.open("rb") as file:
        found = [each for each in requests([file]) if each.message.whole]
    told = [(each, fields_of(each)) for each in found]
    told = [(each, fields) for each, fields in told if "x-service-class" in fields and "x-route-to" in fields]
    told.sort(key=lambda each: each[0].message.at)
    return [
        RecordedCommand(
            due=(each.message.at - told[0][0].message.at) / 1e9,
            destination=destination(fields["x-route-to"]),
            key=fields.get("x-session-key", ""),
            body=each.message.body,
        )
        for each, fields in told
    ]


def fields_of(found: Found) -> dict[str, str]:
    return {name.lower(): value for name, value in found.message.headers}


def destination(route: str) -> int:
    """The number that it names; for any other name always the same one."""
    name = dict(part.strip().partition("=")[::2] for part in route.split(",")).get("dest", "")
    return int(name[:9]) if name.isascii() and name.isdecimal() else zlib.crc32(route.encode())
