"""Captures as tests make them: connections written by ourselves or cut up by hand, in memory."""

import io
import struct
from collections.abc import Sequence

from message_sender.pcap.capture import Capture, CapturedMessage
from message_sender.pcap.files import Packet, PcapWriter, read_packets
from message_sender.pcap.writer import ConnectionWriter

T0 = 1_790_000_000_123_456_789  # ns
MS = 1_000_000  # ns
CLIENT, SERVER = ("10.0.0.7", 40000), ("10.0.0.9", 8080)
V6 = ("fd00::7", 40000), ("fd00::9", 8080)


def request(target: str = "/a", body: bytes = b"", **fields: str) -> bytes:
    lines = [f"POST {target} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def answer(status: int = 200, body: bytes = b"") -> bytes:
    return f"HTTP/1.1 {status} It\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Made:
    """A capture with one connection, and more where they are asked for."""

    def __init__(self, ends: Sequence[tuple[str, int]] = (CLIENT, SERVER), first: int = 1000) -> None:
        self.out = io.BytesIO()
        self.writer = PcapWriter(self.out)
        self.connection = ConnectionWriter(self.writer, ends[0], ends[1], T0, first)

    def says(self, side: int, after_ms: float, *pieces: bytes) -> "Made":
        for piece in pieces:
            self.connection.write_data(side, T0 + round(after_ms * MS), piece)
        return self

    def ends(self, after_ms: float = 1000, *, side: int = 0, reset: bool = False) -> "Made":
        self.connection.end(side, T0 + round(after_ms * MS), reset)
        return self

    def packets(self) -> list[Packet]:
        return list(read_packets(io.BytesIO(self.out.getvalue())))

    def messages(self) -> list[CapturedMessage]:
        return read(self.out.getvalue())


def read(*captures: bytes) -> list[CapturedMessage]:
    return list(Capture(*map(io.BytesIO, captures)).messages())


def written(packets: Sequence[Packet]) -> bytes:
    """The packets as a file again; a size above the data says that the capture snapped them."""
    out = io.BytesIO()
    PcapWriter(out)
    for each in packets:
        head = struct.pack(
            "<IIII", each.at_ns // 10**9, each.at_ns % 10**9, len(each.data), each.original_size
        )
        out.write(head + each.data)
    return out.getvalue()


def summarize(captured: Sequence[CapturedMessage]) -> list[tuple[object, ...]]:
    """What matters of messages, in few words."""
    return [
        (item.message.status or item.message.target, item.message.body, item.message.is_complete)
        for item in captured
    ]
