"""Splits a stream of JSON objects, as a discovery watch sends them, into objects. Pure.

Rules:

- An object ends with the line that completes it. It may be indented and span several lines.
- An empty line outside an object is a keep-alive and is reported as such.
- Data that cannot become an object is an error at once. An object that is never completed counts as silence,
  however many bytes arrive: neither bytes nor empty lines within an object are a keep-alive.
"""

import json
from collections.abc import Iterator
from typing import Any

DECODER = json.JSONDecoder()
BLANK = b" \t\r\n"


class JsonStream:
    """Splits a stream into objects.

    Attributes:
        limit: Maximum size of an object in bytes.
        partial_line: The bytes of a line that is not complete yet.
        partial_object: The lines of an object that is not complete yet.
    """

    def __init__(self, limit: int) -> None:
        """Creates a stream at its beginning; `limit` is the maximum size of an object in bytes."""
        self.limit = limit
        self.partial_line = b""
        self.partial_object = b""

    def feed(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """Processes bytes and yields the objects that they complete, and None for each keep-alive line.

        Raises:
            ValueError: Data after the objects yielded so far is not a JSON object or is too long. The rest of
                the stream cannot be read.
        """
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            if not self.partial_object and not line.strip(BLANK):
                yield None
            elif self.partial_object and not line.rstrip(BLANK).endswith(b"}"):
                # Not the object's last line. Parsing at each line would take quadratic time.
                self.partial_object += line + b"\n"
            elif (fields := self.parse(self.partial_object + line)) is not None:
                yield fields
            self.check_size(len(self.partial_object))
        self.check_size(len(self.partial_line) + len(self.partial_object))

    def check_size(self, size: int) -> None:
        """Raises ValueError if an object exceeds the limit."""
        if size > self.limit:
            raise ValueError(f"a JSON object of the stream exceeds {self.limit} bytes")

    def parse(self, data: bytes) -> dict[str, Any] | None:
        """Parses lines as one object; None if more lines are needed.

        Raises:
            ValueError: The lines are not a JSON object and cannot become one.
        """
        text = data.decode().strip()
        try:
            fields, end = DECODER.raw_decode(text)
        except json.JSONDecodeError as error:
            if not text.startswith("{") or error.pos < len(text):
                raise
            self.partial_object = data + b"\n"
            return None
        if end < len(text) or not isinstance(fields, dict):
            raise ValueError(f"expected one JSON object, got {text[:40]!r}")
        self.partial_object = b""
        return fields
