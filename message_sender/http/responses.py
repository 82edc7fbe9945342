"""Encodes responses to clients. Pure."""

import json
from dataclasses import dataclass

import h11

from message_sender.http.request_reader import RequestReader

MAX_TEXT_CHARS = 200  # of an error's text, which may quote what the client has sent


@dataclass(frozen=True, slots=True)
class ResponseContent:
    """The content of a response.

    Attributes:
        status: The HTTP status.
        retry_after_us: After how many microseconds the client may retry; None if not stated.
        text: The text of an error; empty if there is none.
        is_last: The connection is closed after this response.
    """

    status: int
    retry_after_us: int | None = None
    text: str = ""
    is_last: bool = False

    def body(self) -> bytes:
        """Returns the body as JSON, with the beginning of a long text; empty without a text."""
        return json.dumps({"error": self.text[:MAX_TEXT_CHARS]}).encode() + b"\n" if self.text else b""

    def headers(self) -> list[tuple[str, str]]:
        """Returns the headers, beginning with the one that frames the body."""
        headers = [("Content-Length", str(len(self.body())))]
        if self.retry_after_us is not None:
            headers.append(("Retry-After", f"{self.retry_after_us / 1e6:.3f}"))
        if self.is_last:
            headers.append(("Connection", "close"))
        return headers


def encode(reader: RequestReader, content: ResponseContent) -> bytes:
    """Encodes the response to the current request, with the codec unless it was parsed on the fast path."""
    if reader.is_fast():
        lines = "".join(f"{name}: {value}\r\n" for name, value in content.headers())
        return f"HTTP/1.1 {content.status} \r\n{lines}\r\n".encode() + content.body()
    codec, request, body = reader.codec, reader.request, content.body()
    data = codec.send(h11.Response(status_code=content.status, headers=content.headers())) or b""
    if body and not (request and request.method == b"HEAD"):
        data += codec.send(h11.Data(data=body)) or b""
    return data + (codec.send(h11.EndOfMessage()) or b"")
