"""TCP stream reassembly from segments that are late, repeated, overlapping or missing; free of I/O.

The rules:

- Sequence numbers are unwrapped, starting from the first one of a direction (RFC 9293, 3.4).
- If bytes are captured more than once, even with different contents, **the first captured ones are used**.
- A direction begins with its SYN, or without a SYN, with its first segment that holds data.
- A hole is filled by any later segment that covers it. It is given up, and reported as a `Gap`, under one of
  three conditions: the other side acknowledged bytes after it and `ACKNOWLEDGED_HOLE_DELAY_NS` of capture
  time have passed since; more than `BUFFERED_BYTES_LIMIT` bytes are buffered after it; or the connection
  ends. No hole is skipped without a `Gap`.
- Bytes after the end (FIN) of a direction are dropped.
"""

from bisect import bisect_right
from typing import NamedTuple

#: Delays between the directions of a connection, as captures record them, are far shorter than this.
ACKNOWLEDGED_HOLE_DELAY_NS = 200_000_000
#: Maximum number of bytes buffered after a hole: the largest common TCP window.
BUFFERED_BYTES_LIMIT = 1 << 20
SEQUENCE_MODULUS = 1 << 32
_HALF_SEQUENCE_MODULUS = 1 << 31


class Piece(NamedTuple):
    """Bytes that continue the stream, as one segment carried them.

    Attributes:
        at_ns: Capture time of the segment.
        data: The bytes.
    """

    at_ns: int
    data: bytes


class Gap(NamedTuple):
    """Bytes that were on the wire and are not in the capture.

    Attributes:
        at_ns: Capture time at which the hole was given up.
        size: Number of missing bytes.
    """

    at_ns: int
    size: int


Part = Piece | Gap


class Stream:
    """Reassembles one direction of a connection."""

    __slots__ = (
        "acknowledged_at_ns",
        "acknowledged_seq",
        "buffered",
        "buffered_bytes",
        "buffered_starts",
        "end_seq",
        "next_seq",
    )

    def __init__(self) -> None:
        """Creates a stream without any captured segment."""
        self.next_seq: int | None = None  # unwrapped; None before the first segment
        self.end_seq: int | None = None  # unwrapped; None until a FIN was captured
        self.buffered_starts: list[int] = []  # sorted; no two pieces overlap
        self.buffered: dict[int, Piece] = {}  # by unwrapped sequence number
        self.buffered_bytes = 0
        self.acknowledged_seq = -1  # the highest one after the current hole
        self.acknowledged_at_ns = 0  # when the current hole was first acknowledged

    def begin(self, seq: int) -> None:
        """Sets the sequence number of the first byte."""
        self.next_seq = seq

    def add_data(self, at_ns: int, seq: int, data: bytes, parts: list[Part]) -> None:
        """Adds the data of a segment, and appends the parts that now continue the stream to `parts`."""
        if self.next_seq is None:
            self.begin(seq)
        assert self.next_seq is not None
        start = self._unwrap(seq)
        if self.end_seq is not None:
            data = data[: max(self.end_seq - start, 0)]
        if not data:
            return
        if start == self.next_seq and not self.buffered_starts:
            parts.append(Piece(at_ns, data))
            self.next_seq += len(data)
            return
        self._buffer(at_ns, start, data)
        self._drain(parts)
        while self.buffered_bytes > BUFFERED_BYTES_LIMIT:
            self._skip_hole(at_ns, parts)

    def acknowledge(self, at_ns: int, ack: int, parts: list[Part]) -> None:
        """Records that the other side has received all bytes before the sequence number `ack`."""
        if self.next_seq is None:
            return
        acknowledged_seq = self._unwrap(ack)
        if self.end_seq is not None:
            acknowledged_seq = min(acknowledged_seq, self.end_seq)
        if acknowledged_seq <= self.next_seq:
            return
        if self.acknowledged_seq <= self.next_seq:  # the first acknowledgement of this hole
            self.acknowledged_at_ns = at_ns
        self.acknowledged_seq = max(self.acknowledged_seq, acknowledged_seq)
        self.advance_clock(at_ns, parts)

    def advance_clock(self, at_ns: int, parts: list[Part]) -> None:
        """Gives up the holes that were acknowledged too long before the capture time `at_ns`."""
        while (
            self.next_seq is not None
            and self.acknowledged_seq > self.next_seq
            and at_ns - self.acknowledged_at_ns >= ACKNOWLEDGED_HOLE_DELAY_NS
        ):
            self._skip_hole(at_ns, parts)

    def finish(self, seq: int) -> None:
        """Sets the end of the stream from the sequence number of its FIN."""
        if self.next_seq is None:
            self.begin(seq)
        if self.end_seq is None:
            self.end_seq = self._unwrap(seq)

    def is_complete(self) -> bool:
        """Returns whether the stream was read up to its FIN."""
        return self.end_seq is not None and self.next_seq == self.end_seq

    def close(self, at_ns: int, parts: list[Part]) -> None:
        """Ends the stream: appends all buffered pieces, and a gap for each hole, to `parts`."""
        if self.next_seq is None:
            return
        if self.end_seq is not None and self.end_seq > self.next_seq:
            self.acknowledged_seq = max(self.acknowledged_seq, self.end_seq)
        while self.buffered_starts or self.acknowledged_seq > self.next_seq:
            self._skip_hole(at_ns, parts)

    def _unwrap(self, seq: int) -> int:
        """Returns the unwrapped sequence number nearest to the next expected one."""
        assert self.next_seq is not None
        half = _HALF_SEQUENCE_MODULUS
        return self.next_seq + (seq - self.next_seq + half) % SEQUENCE_MODULUS - half

    def _buffer(self, at_ns: int, start: int, data: bytes) -> None:
        """Buffers those bytes of a segment that have not been captured before."""
        assert self.next_seq is not None
        if start < self.next_seq:
            data = data[self.next_seq - start :]
            start = self.next_seq
        while data:
            index = bisect_right(self.buffered_starts, start)
            if index:
                previous_start = self.buffered_starts[index - 1]
                covered = previous_start + len(self.buffered[previous_start].data) - start
                if covered > 0:
                    start += covered
                    data = data[covered:]
                    continue
            has_next = index < len(self.buffered_starts)
            room = self.buffered_starts[index] - start if has_next else len(data)
            self.buffered_starts.insert(index, start)
            self.buffered[start] = Piece(at_ns, data[:room])
            self.buffered_bytes += min(room, len(data))
            start += room
            data = data[room:]

    def _drain(self, parts: list[Part]) -> None:
        """Moves the buffered pieces that continue the stream to `parts`."""
        while self.buffered_starts and self.buffered_starts[0] == self.next_seq:
            piece = self.buffered.pop(self.buffered_starts.pop(0))
            self.buffered_bytes -= len(piece.data)
            self.next_seq += len(piece.data)
            parts.append(piece)

    def _skip_hole(self, at_ns: int, parts: list[Part]) -> None:
        """Gives up the first hole: appends its gap and the pieces after it to `parts`."""
        assert self.next_seq is not None
        if self.buffered_starts:
            hole_end = self.buffered_starts[0]
        else:
            hole_end = max(self.acknowledged_seq, self.next_seq)
        if hole_end > self.next_seq:
            parts.append(Gap(at_ns, hole_end - self.next_seq))
            self.next_seq = hole_end
        self._drain(parts)
