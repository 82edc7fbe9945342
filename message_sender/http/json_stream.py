"""Splits a stream of JSON objects, as a discovery watch sends them, into objects. Pure.

Rules:

- An object ends with the line that completes it. It may be indented and span several lines.
- An empty line outside an object is a keep-alive and is reported as such.
- Data that cannot become an object is an error: of the first line at once, of a later one at the end of the
  object. An object that is never completed counts as silence, however many bytes arrive: neither bytes nor
  empty lines within an object are a keep-alive.
- The work is in proportion to the bytes, however they are laid out in lines and reads: brackets are counted
  line by line, and an object is parsed once all of them are closed.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

DECODER = json.JSONDecoder()
BLANK = b" \t\r\n"
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
BRACKET = re.compile(rb"[][{}]")
OPENING = (b"{", b"[")


def bracket_balance(line: bytes) -> int:
    """Returns how many more brackets a line of a JSON text opens than it closes."""
    if not BRACKET.search(line):
        return 0
    brackets = BRACKET.findall(STRING.sub(b"", line))
    opened = sum(each in OPENING for each in brackets)
    return 2 * opened - len(brackets)


class JsonStream:
    """Splits a stream into objects.

    Attributes:
        limit: Maximum size of an object in bytes.
        partial_line: The bytes of a line that is not complete yet.
        partial_object: The lines of an object that is not complete yet.
        open_brackets: The number of brackets that these lines have opened and not closed.
    """

    def __init__(self, limit: int) -> None:
        """Creates a stream at its beginning; `limit` is the maximum size of an object in bytes."""
        self.limit = limit
        self.partial_line = bytearray()
        self.partial_object = bytearray()
        self.open_brackets = 0

    def feed(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """Processes bytes and yields the objects that they complete, and None for each keep-alive line.

        The bytes count as fed only once the iterator is used up.

        Raises:
            ValueError: Data after the objects yielded so far is not a JSON object or is too long. The rest of
                the stream cannot be read.
        """
        first, *lines = data.split(b"\n")
        self.partial_line += first
        for next_line in lines:
            line = bytes(self.partial_line)
            self.partial_line = bytearray(next_line)
            yield from self.take_line(line)
        self.check_size(len(self.partial_line) + len(self.partial_object))

    def take_line(self, line: bytes) -> Iterator[dict[str, Any] | None]:
        """Processes a complete line; yields the object that it completes, or None for a keep-alive."""
        if not self.partial_object and not line.strip(BLANK):
            yield None
            return
        is_first = not self.partial_object
        self.partial_object += line + b"\n"
        self.check_size(len(self.partial_object))
        if is_first and (fields := self.parse()) is not None:
            yield fields
            return
        self.open_brackets += bracket_balance(line)
        if not is_first and self.open_brackets <= 0 and (fields := self.parse()) is not None:
            yield fields

    def check_size(self, size: int) -> None:
        """Raises ValueError if an object exceeds the limit."""
        if size > self.limit:
            raise ValueError(f"a JSON object of the stream exceeds {self.limit} bytes")

    def parse(self) -> dict[str, Any] | None:
        """Parses the lines of the present object; None if more lines are needed.

        Raises:
            ValueError: The lines are not a JSON object and cannot become one.
        """
        text = self.partial_object.decode().strip()
        try:
            fields, end = DECODER.raw_decode(text)
        except json.JSONDecodeError as error:
            if not text.startswith("{") or error.pos < len(text):
                raise
            return None
        if end < len(text) or not isinstance(fields, dict):
            raise ValueError(f"expected one JSON object, got {text[:40]!r}")
        self.partial_object = bytearray()
        self.open_brackets = 0
        return fields
