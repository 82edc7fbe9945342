"""Which connection a segment belongs to, and what its two directions hold. Pure, and bounded.

A connection is its two ends. A SYN with another number than the one at hand means that the ports were used
again: the connection before is over. One of which nothing was heard for `IDLE` of capture time, or which is
the one silent for longest of more than `MOST_OPEN`, is given up.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from message_sender.pcap.layers import ACK, FIN, RST, SYN, End, Segment
from message_sender.pcap.reassembly import SEQUENCE_MODULUS, Part, Stream

IDLE = 3600 * 1_000_000_000  # ns
MOST_OPEN = 20_000


@dataclass(slots=True)
class Flow:
    """One connection. Its first end is the one that opened it, or else the one that was heard first."""

    number: int
    ends: tuple[End, End]
    opened: bool  # its SYN was seen
    last: int = 0  # ns
    streams: tuple[Stream, Stream] = field(default_factory=lambda: (Stream(), Stream()))
    first: list[int | None] = field(default_factory=lambda: [None, None])  # number of each end's SYN


@dataclass(slots=True)
class Happened:
    """What a segment brought: parts of one direction of a connection (0: from the end that opened it), or the
    connection's end."""

    flow: Flow
    side: int
    parts: list[Part]
    over: str = ""  # why nothing more comes: closed, reset, replaced, silent, the capture ends


class Flows:
    def __init__(self, most: int = MOST_OPEN) -> None:
        self.open: OrderedDict[tuple[End, End], Flow] = OrderedDict()  # the one silent for longest first
        self.most, self.count = most, 0

    def hear(self, segment: Segment) -> Iterator[Happened]:
        """What follows from the next segment of the capture."""
        flow = self.find(segment)
        if flow and segment.flags & SYN and self.is_anew(flow, segment):
            yield from self.end(flow, segment.at, "replaced")
            flow = None
        if flow is None:
            if segment.flags & RST or not (segment.data or segment.lacks or segment.flags & SYN):
                return  # nothing begins with it
            flow = self.begin(segment)
            yield from self.make_room(segment.at)
        flow.last = segment.at
        yield from self.tell(flow, segment)

    def find(self, segment: Segment) -> Flow | None:
        for key in ((segment.source, segment.target), (segment.target, segment.source)):
            if flow := self.open.get(key):
                self.open.move_to_end(key)
                return flow
        return None

    def is_anew(self, flow: Flow, segment: Segment) -> bool:
        side = 0 if segment.source == flow.ends[0] else 1
        known = flow.first[side]
        return known is not None and known != segment.seq

    def begin(self, segment: Segment) -> Flow:
        answers = segment.flags & SYN and segment.flags & ACK
        # Without a SYN the lower port is taken for the one that was opened: servers have these.
        from_server = not segment.flags & SYN and segment.source[1] < segment.target[1]
        ends = (segment.source, segment.target)
        if answers or from_server:
            ends = (segment.target, segment.source)
        self.count += 1
        flow = self.open[ends] = Flow(self.count, ends, bool(segment.flags & SYN))
        return flow

    def make_room(self, now: int) -> Iterator[Happened]:
        while self.open:
            oldest = next(iter(self.open.values()))
            if len(self.open) <= self.most and now - oldest.last < IDLE:
                return
            if oldest.last == 0:
                return  # it has just begun
            yield from self.end(oldest, now, "silent")

    def tell(self, flow: Flow, segment: Segment) -> Iterator[Happened]:
        side = 0 if segment.source == flow.ends[0] else 1
        own, other = flow.streams[side], flow.streams[1 - side]
        seq, parts, heard = segment.seq, [], []  # type: int, list[Part], list[Part]
        if segment.flags & SYN:
            if flow.first[side] is None:
                flow.first[side] = seq
                own.begin(seq + 1)
            seq = (seq + 1) % SEQUENCE_MODULUS
        if segment.data:
            own.add_data(segment.at, seq, segment.data, parts)
        if segment.flags & FIN:
            own.finish(seq + len(segment.data) + segment.lacks)
        own.advance_clock(segment.at, parts)
        if segment.flags & ACK:
            other.acknowledge(segment.at, segment.ack, heard)
        if parts:
            yield Happened(flow, side, parts)
        if heard:
            yield Happened(flow, 1 - side, heard)
        if segment.flags & RST:
            yield from self.end(flow, segment.at, "reset")
        elif all(stream.is_complete() for stream in flow.streams):
            yield from self.end(flow, segment.at, "closed")

    def end(self, flow: Flow, at: int, why: str) -> Iterator[Happened]:
        self.open.pop(flow.ends, None)
        for side, stream in enumerate(flow.streams):
            parts: list[Part] = []
            stream.close(at, parts)
            if parts:
                yield Happened(flow, side, parts)
        yield Happened(flow, 0, [], why)

    def finish(self) -> Iterator[Happened]:
        """The capture is over."""
        for flow in list(self.open.values()):
            yield from self.end(flow, flow.last, "the capture ends")
