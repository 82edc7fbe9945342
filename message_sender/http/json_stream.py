"""JSON objects out of a stream that holds one a line, as a watch sends them. Pure.

Rules:

- An object ends with the line on which it is whole. It may be indented, and so take several lines.
- An empty line, with no object begun, is a sign of life: it stands for itself.
- What can no more become an object is an error at once. What might, but does not end, is silence, however
  much of it comes: bytes are no sign of life, nor are empty lines within an object.
"""

import json
from collections.abc import Iterator
from typing import Any

DECODER = json.JSONDecoder()
BLANK = b" \t\r\n"


class JsonStream:
    """Splits a stream into objects.

    Attributes:
        partial_line: Of a line that has begun.
        partial_object: The lines of an object that is not whole yet.
    """

    def __init__(self, limit: int) -> None:
        """`limit`: bytes that an object may have."""
        self.limit = limit  # bytes
        self.partial_line = b""  # of a line that has begun
        self.partial_object = b""  # the lines of an object that is not whole yet

    def feed(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """Takes bytes, and yields the objects that have come whole with them, an empty line as None.

        Raises:
            ValueError: Behind what came before it, something is no JSON or too long: the stream is lost from
            there.
        """
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            if not self.partial_object and not line.strip(BLANK):
                yield None
            elif self.partial_object and not line.rstrip(BLANK).endswith(b"}"):
                self.partial_object += (
                    line + b"\n"
                )  # not its last line: trying it each time would cost its square
            elif (found := self.parse(self.partial_object + line)) is not None:
                yield found
            self.check_size(len(self.partial_object))
        self.check_size(len(self.partial_line) + len(self.partial_object))

    def check_size(self, size: int) -> None:
        """Raises ValueError where an object is too long."""
        if size > self.limit:
            raise ValueError("an object is too long")

    def parse(self, data: bytes) -> dict[str, Any] | None:
        """The object that these lines are; None where more of them have to come. Raises ValueError."""
        text = data.decode().strip()
        try:
            found, end = DECODER.raw_decode(text)
        except json.JSONDecodeError as error:
            if not text.startswith("{") or error.pos < len(text):
                raise
            self.partial_object = data + b"\n"
            return None
        if end < len(text) or not isinstance(found, dict):
            raise ValueError(f"no object: {text[:40]!r}")
        self.partial_object = b""
        return found
