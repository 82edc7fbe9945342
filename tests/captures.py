"""In-memory captures for tests: connections written by `ConnectionWriter`, and changed packet by packet."""

import io
import struct
from collections.abc import Sequence

from message_sender.pcap.capture import Capture, CapturedMessage
from message_sender.pcap.files import Packet, PcapWriter, read_packets
from message_sender.pcap.writer import ConnectionWriter

T0 = 1_790_000_000_123_456_789  # ns
MS = 1_000_000  # ns
CLIENT, SERVER = ("10.0.0.7", 40000), ("10.0.0.9", 8080)
IPV6_ENDPOINTS = ("fd00::7", 40000), ("fd00::9", 8080)


def request(target: str = "/a", body: bytes = b"", **fields: str) -> bytes:
    lines = [f"POST {target} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def answer(status: int = 200, body: bytes = b"") -> bytes:
    return f"HTTP/1.1 {status} It\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class CaptureBuilder:
    """Builds a capture with one connection; tests may add others to its `writer`."""

    def __init__(
        self, endpoints: Sequence[tuple[str, int]] = (CLIENT, SERVER), client_seq: int = 1000
    ) -> None:
        self.file = io.BytesIO()
        self.writer = PcapWriter(self.file)
        self.connection = ConnectionWriter(self.writer, endpoints[0], endpoints[1], T0, client_seq)

    def send(self, side: int, after_ms: float, *pieces: bytes) -> "CaptureBuilder":
        for piece in pieces:
            self.connection.write_data(side, T0 + round(after_ms * MS), piece)
        return self

    def end(self, after_ms: float = 1000, *, side: int = 0, reset: bool = False) -> "CaptureBuilder":
        self.connection.end(side, T0 + round(after_ms * MS), reset)
        return self

    def packets(self) -> list[Packet]:
        return list(read_packets(io.BytesIO(self.file.getvalue())))

    def messages(self) -> list[CapturedMessage]:
        return read(self.file.getvalue())


def read(*captures: bytes) -> list[CapturedMessage]:
    return list(Capture(*map(io.BytesIO, captures)).messages())


def write_packets(packets: Sequence[Packet]) -> bytes:
    """Returns a capture file of the packets; truncated packets keep their original size."""
    file = io.BytesIO()
    PcapWriter(file)
    for packet in packets:
        header = struct.pack(
            "<IIII", packet.at_ns // 10**9, packet.at_ns % 10**9, len(packet.data), packet.original_size
        )
        file.write(header + packet.data)
    return file.getvalue()


def summarize(captured: Sequence[CapturedMessage]) -> list[tuple[object, ...]]:
    """Returns status or target, body and completeness of each message."""
    return [
        (item.message.status or item.message.target, item.message.body, item.message.is_complete)
        for item in captured
    ]
