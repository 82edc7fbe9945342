"""JSON objects out of a stream that holds one a line, as a watch tells them. Pure.

The rules:

- An object ends with the line on which it is whole. It may be indented, and so take several lines.
- An empty line, with no object begun, is a sign of life: it stands for itself.
- What can no more become an object is an error at once. What might, but does not end, is silence, however
  much of it comes: bytes are no sign of life, nor are empty lines within an object.
- An object may hold `limit` bytes at the most.
"""

import json
from collections.abc import Iterator
from typing import Any

DECODER = json.JSONDecoder()
BLANK = b" \t\r\n"


class JsonStream:
    def __init__(self, limit: int) -> None:
        self.limit = limit  # bytes
        self.rest = b""  # of a line that has begun
        self.begun = b""  # the lines of an object that is not whole yet

    def feed(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """What has come whole with these bytes, an empty line as None. Raises ValueError, behind what came
        before it, for what is no JSON or is too long: the stream is lost from there on."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if not self.begun and not line.strip(BLANK):
                yield None
            elif self.begun and not line.rstrip(BLANK).endswith(b"}"):
                self.begun += line + b"\n"  # not its last line: trying it each time would cost its square
            elif (found := self.whole(self.begun + line)) is not None:
                yield found
            self.check(len(self.begun))
        self.check(len(self.rest) + len(self.begun))

    def check(self, size: int) -> None:
        if size > self.limit:
            raise ValueError("an object is too long")

    def whole(self, data: bytes) -> dict[str, Any] | None:
        """The object that these lines are; None where more of them have to come."""
        text = data.decode().strip()
        try:
            found, end = DECODER.raw_decode(text)
        except json.JSONDecodeError as error:
            if not text.startswith("{") or error.pos < len(text):
                raise
            self.begun = data + b"\n"
            return None
        if end < len(text) or not isinstance(found, dict):
            raise ValueError(f"no object: {text[:40]!r}")
        self.begun = b""
        return found
