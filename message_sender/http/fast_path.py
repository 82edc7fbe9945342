"""Fast path for the common request and response: parsed at once, without h11's state machine.

Nearly all received data is exactly one complete, plain message. The parser accepts only that, and is as
strict as the codec: whatever it accepts, h11 accepts too and parses alike (tests/test_fast_path.py compares
the two). A result of None means that the data is not in the common form and the codec must parse it. Framing
follows RFC 9112, sections 2 to 6.

Deliberately left to the codec: every framing except a single Content-Length in digits, `Expect`,
`Connection`, `Upgrade`, HTTP/1.0, folded lines, a partial head, two messages at once, and interim responses.
"""

import re
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 8 * 1024  # bytes; longer heads are left to the codec
HEAD_END = b"\r\n\r\n"
# Possessive quantifiers: data that does not match is rejected without backtracking over its lines.
VALUE = rb"[\t\x20-\x7e\x80-\xff]*+"
LINES = rb"((?:[!#$%&'*+\-.^_`|~0-9A-Za-z]++:" + VALUE + rb"\r\n)++)\r\n"
REQUEST = re.compile(rb"POST (/[\x21-\x7e]*) HTTP/1\.1\r\n" + LINES)
ANSWER = re.compile(rb"HTTP/1\.1 ([2-5][0-9]{2})(?: " + VALUE + rb")?\r\n" + LINES)
LENGTH = re.compile(rb"[0-9]{1,5}")
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[\t ]*([0-9]{1,5})[\t ]*\r\n", re.IGNORECASE)
#: A header value that needs no checks or encoding by the codec.
SAFE = re.compile(rb"[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?")
FRAMING = (b"transfer-encoding", b"connection", b"expect", b"upgrade", b"keep-alive")
BODILESS = (204, 304)

Fields = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class FastRequest:
    """A request, used in place of h11's event; header names are in lower case."""

    target: bytes
    headers: Fields
    body: bytes
    method: bytes = field(default=b"POST")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and headers of a response; header names are in lower case."""

    status_code: int
    headers: Fields


def parse_fields(lines: bytes) -> tuple[Fields, dict[bytes, bytes]] | None:
    """Parses header lines.

    Returns:
        All headers, and Content-Length and Host by name. None if one of these two occurs twice, or a header
        that the codec must handle is present.
    """
    headers: Fields = []
    framing: dict[bytes, bytes] = {}
    for line in lines.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if name in FRAMING:
            return None
        if name == b"content-length" or name == b"host":
            if name in framing:
                return None
            framing[name] = value
        headers.append((name, value))
    return headers, framing


def complete_body(data: bytes, end: int, framing: dict[bytes, bytes], max_body_bytes: int) -> bytes | None:
    """Returns the bytes after the head, which ends at `end`; None unless Content-Length is their number."""
    length = framing.get(b"content-length", b"")
    if not LENGTH.fullmatch(length) or int(length) > max_body_bytes or len(data) != end + int(length):
        return None
    return data[end:]


def looks_complete(data: bytes | bytearray) -> bool:
    """Whether data seems to begin with a complete request; nothing is checked."""
    head, end, _ = bytes(data[:MAX_HEAD_BYTES]).partition(HEAD_END)
    if not end:
        return False
    length = CONTENT_LENGTH.search(head + b"\r\n")
    return len(data) >= len(head) + len(HEAD_END) + (int(length[1]) if length else 0)


def has_short_head(data: bytes | memoryview) -> bool:
    """Whether data contains the end of a head that is short enough for this parser."""
    return HEAD_END in bytes(data[:MAX_HEAD_BYTES])


def request(data: bytes, max_body_bytes: int) -> FastRequest | None:
    """Parses data that is exactly one request, with a body of at most `max_body_bytes`; otherwise None."""
    if not has_short_head(data):
        return None
    if not (match := REQUEST.match(data, 0, MAX_HEAD_BYTES)) or not (fields := parse_fields(match[2])):
        return None
    headers, framing = fields
    body = complete_body(data, match.end(), framing, max_body_bytes)
    return None if body is None or b"host" not in framing else FastRequest(match[1], headers, body)


def answer(data: bytes, max_body_bytes: int) -> ResponseHead | None:
    """Parses the head of data that is exactly one response, with a body of at most `max_body_bytes`."""
    if not (match := ANSWER.match(data, 0, MAX_HEAD_BYTES)) or not (fields := parse_fields(match[2])):
        return None
    headers, framing = fields
    status = int(match[1])
    if status in BODILESS or complete_body(data, match.end(), framing, max_body_bytes) is None:
        return None
    return ResponseHead(status, headers)


def request_text(target: str, fields: list[tuple[bytes, bytes]], body: bytes) -> bytes | None:
    """Encodes a POST request; None if a header value must be checked by the codec."""
    if not all(SAFE.fullmatch(value) for _, value in fields):
        return None
    head = b"".join(b"%b: %b\r\n" % each for each in fields)
    return b"POST %b HTTP/1.1\r\n%b\r\n%b" % (target.encode(), head, body)
