"""The usual request and the usual answer, read whole without a state machine; anything else is h11's.

Nearly all that comes is one plain message that lies there whole and alone. For those, and only for those, the
reading here is as strict as the codec's: what it takes, h11 takes too and reads alike (tests/test_usual.py
compares the two). None means: not usual, let the codec say what it is. Framing after RFC 9112, sections 2 to
6.

Left to the codec on purpose: every framing but one Content-Length in digits, `Expect`, `Connection`,
`Upgrade`, HTTP/1.0, folded lines, a head in parts, two messages at once, interim answers.
"""

import re
from dataclasses import dataclass, field

HEAD_MOST = 8 * 1024  # bytes; a longer head is not usual
VALUE = rb"[\t\x20-\x7e\x80-\xff]*"
LINES = rb"((?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + VALUE + rb"\r\n)+)\r\n"
REQUEST = re.compile(rb"POST (/[\x21-\x7e]*) HTTP/1\.1\r\n" + LINES)
ANSWER = re.compile(rb"HTTP/1\.1 ([2-5][0-9]{2})(?: " + VALUE + rb")?\r\n" + LINES)
LENGTH = re.compile(rb"[0-9]{1,5}")
#: A value that may stand in a head as it is.
SAFE = re.compile(rb"[\x21-\x7e\x80-\xff](?:" + VALUE + rb"[\x21-\x7e\x80-\xff])?")
FRAMING = (b"transfer-encoding", b"connection", b"expect", b"upgrade", b"keep-alive")
BODILESS = (204, 304)

Fields = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class FastRequest:
    """Stands for h11's event of requests; names of headers are in small letters."""

    target: bytes
    headers: Fields
    body: bytes
    method: bytes = field(default=b"POST")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Of an answer."""

    status_code: int
    headers: Fields


def fields_of(lines: bytes) -> tuple[Fields, dict[bytes, bytes]] | None:
    """All headers, and those that frame a message.

    Returns:
        None: one of these stands there twice, or is one that the codec has to judge.
    """
    found: Fields = []
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
        found.append((name, value))
    return found, framing


def body_of(data: bytes, end: int, framing: dict[bytes, bytes], max_body_bytes: int) -> bytes | None:
    """What follows the head, where it is exactly as long as it says."""
    length = framing.get(b"content-length", b"")
    if not LENGTH.fullmatch(length) or int(length) > max_body_bytes or len(data) != end + int(length):
        return None
    return data[end:]


def request(data: bytes, max_body_bytes: int) -> FastRequest | None:
    """The one request that `data` is, with a body of at most `max_body_bytes` bytes."""
    if not (match := REQUEST.match(data, 0, HEAD_MOST)) or not (read := fields_of(match[2])):
        return None
    headers, framing = read
    body = body_of(data, match.end(), framing, max_body_bytes)
    return None if body is None or b"host" not in framing else FastRequest(match[1], headers, body)


def answer(data: bytes, max_body_bytes: int) -> ResponseHead | None:
    """The head of the one answer that `data` is."""
    if not (match := ANSWER.match(data, 0, HEAD_MOST)) or not (read := fields_of(match[2])):
        return None
    headers, framing = read
    status = int(match[1])
    if status in BODILESS or body_of(data, match.end(), framing, max_body_bytes) is None:
        return None
    return ResponseHead(status, headers)


def request_text(target: str, fields: list[tuple[bytes, bytes]], body: bytes) -> bytes | None:
    """A POST as bytes; None where a value cannot stand there as it is."""
    if not all(SAFE.fullmatch(value) for _, value in fields):
        return None
    head = b"".join(b"%b: %b\r\n" % each for each in fields)
    return b"POST %b HTTP/1.1\r\n%b\r\n%b" % (target.encode(), head, body)
