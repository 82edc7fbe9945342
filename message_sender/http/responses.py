"""Answers to clients as bytes. Pure."""

import json
from dataclasses import dataclass

import h11

from message_sender.http.request_reader import RequestReader


@dataclass(frozen=True, slots=True)
class ResponseContent:
    """What an answer says.

    Attributes:
        status: The HTTP status.
        retry_after_us: When to come again, in microseconds; None: not stated.
        text: An error's text; empty for none.
        is_last: The connection ends behind it.
    """

    status: int
    retry_after_us: int | None = None
    text: str = ""
    is_last: bool = False

    def body(self) -> bytes:
        """The body, empty without a text."""
        return json.dumps({"error": self.text}).encode() + b"\n" if self.text else b""

    def headers(self) -> list[tuple[str, str]]:
        """The headers, those that frame the body first."""
        headers = [("Content-Length", str(len(self.body())))]
        if self.retry_after_us is not None:
            headers.append(("Retry-After", f"{self.retry_after_us / 1e6:.3f}"))
        if self.is_last:
            headers.append(("Connection", "close"))
        return headers


def encode(reader: RequestReader, content: ResponseContent) -> bytes:
    """The bytes of the answer to the request at hand; by the codec unless that read nothing of it."""
    if reader.is_usual():
        lines = "".join(f"{name}: {value}\r\n" for name, value in content.headers())
        return f"HTTP/1.1 {content.status} \r\n{lines}\r\n".encode() + content.body()
    codec, request, body = reader.codec, reader.request, content.body()
    data = codec.send(h11.Response(status_code=content.status, headers=content.headers())) or b""
    if body and not (request and request.method == b"HEAD"):
        data += codec.send(h11.Data(data=body)) or b""
    return data + (codec.send(h11.EndOfMessage()) or b"")
