"""TCP streams from segments as a capture has them: late, twice, overlapping, or not at all. Pure.

The rules:

- Sequence numbers are counted on from the first one of a direction, so that they never wrap (RFC 9293, 3.4).
- Of bytes that come more than once, also with other contents, **the first that was captured stands**.
- A direction begins with its SYN; without one, with its first segment that holds data.
- A hole is filled by whatever comes for it later. It is *lost*, told as a `Gap` and passed, once one of these
  shows that nothing will come: the other side has acknowledged what lies behind it for `LATE` of capture
  time, more than `MOST_WAITING` lies behind it, or the connection ends. Nothing is closed silently.
- Bytes behind the end (FIN) of a direction are not its own and are dropped.
"""

from bisect import bisect_right
from typing import NamedTuple

LATE = 200_000_000  # ns; captures record the two directions out of step by far less
MOST_WAITING = 1 << 20  # bytes behind a hole: the largest window that is common
HALF, TURN = 1 << 31, 1 << 32


class Piece(NamedTuple):
    """Bytes that follow on what came before, as one segment held them."""

    at: int  # ns, when the segment was captured
    data: bytes


class Gap(NamedTuple):
    """Bytes that were on the wire and are not in the capture."""

    at: int  # ns, when it was given up
    size: int


Part = Piece | Gap


class Stream:
    """One direction of a connection."""

    __slots__ = ("acked", "acked_at", "end", "next", "size", "starts", "waiting")

    def __init__(self) -> None:
        self.next: int | None = None  # the sequence number wanted next, counted on; None before the first
        self.end: int | None = None  # that of the end, once it is known
        self.starts: list[int] = []  # of what waits behind a hole, in order, no two overlapping
        self.waiting: dict[int, Piece] = {}
        self.size = 0  # bytes that wait
        self.acked, self.acked_at = -1, 0  # the furthest acknowledged behind a hole, and since when

    def place(self, seq: int) -> int:
        """A sequence number, counted on: the one nearest to what is wanted next."""
        assert self.next is not None
        return self.next + (seq - self.next + HALF) % TURN - HALF

    def begin(self, seq: int) -> None:
        """A SYN with this number, or the first data that are known of."""
        self.next = seq

    def add(self, at: int, seq: int, data: bytes, out: list[Part]) -> None:
        """A segment's data. What now follows on goes to `out`."""
        if self.next is None:
            self.begin(seq)
        assert self.next is not None
        start = self.place(seq)
        if self.end is not None:
            data = data[: max(self.end - start, 0)]
        if not data:
            return
        if start == self.next and not self.starts:
            out.append(Piece(at, data))
            self.next += len(data)
            return
        self.insert(at, start, data)
        self.drain(out)
        while self.size > MOST_WAITING:
            self.give_up(at, out)

    def insert(self, at: int, start: int, data: bytes) -> None:
        """Keeps of it what is not there yet."""
        assert self.next is not None
        if start < self.next:
            start, data = self.next, data[self.next - start :]
        while data:
            place = bisect_right(self.starts, start)
            if place:
                before = self.starts[place - 1]
                covered = before + len(self.waiting[before].data) - start
                if covered > 0:
                    start, data = start + covered, data[covered:]
                    continue
            room = self.starts[place] - start if place < len(self.starts) else len(data)
            self.starts.insert(place, start)
            self.waiting[start] = Piece(at, data[:room])
            self.size += min(room, len(data))
            start, data = start + room, data[room:]

    def drain(self, out: list[Part]) -> None:
        """What waited and follows on now."""
        while self.starts and self.starts[0] == self.next:
            piece = self.waiting.pop(self.starts.pop(0))
            self.size -= len(piece.data)
            self.next += len(piece.data)
            out.append(piece)

    def give_up(self, at: int, out: list[Part]) -> None:
        """The hole in front is lost."""
        assert self.next is not None
        behind = self.starts[0] if self.starts else max(self.acked, self.next)
        if behind > self.next:
            out.append(Gap(at, behind - self.next))
            self.next = behind
        self.drain(out)

    def acknowledged(self, at: int, ack: int, out: list[Part]) -> None:
        """The other side has everything up to there."""
        if self.next is None:
            return
        upto = self.place(ack)
        if self.end is not None:
            upto = min(upto, self.end)
        if upto <= self.next:
            return
        if self.acked <= self.next:  # first heard of for this hole
            self.acked_at = at
        self.acked = max(self.acked, upto)
        self.passed(at, out)

    def passed(self, at: int, out: list[Part]) -> None:
        """The capture has come to this time."""
        while self.next is not None and self.acked > self.next and at - self.acked_at >= LATE:
            self.give_up(at, out)

    def finish(self, seq: int) -> None:
        """A FIN with this number: the direction ends there."""
        if self.next is None:
            self.begin(seq)
        if self.end is None:
            self.end = self.place(seq)

    def is_over(self) -> bool:
        return self.end is not None and self.next == self.end

    def close(self, at: int, out: list[Part]) -> None:
        """Nothing more comes."""
        if self.next is None:
            return
        if self.end is not None and self.end > self.next:
            self.acked = max(self.acked, self.end)
        while self.starts or self.acked > self.next:
            self.give_up(at, out)
