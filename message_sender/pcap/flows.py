"""Assignment of TCP segments to connections; free of I/O, and bounded in memory.

A connection is identified by its two endpoints. A SYN whose sequence number differs from that of the known
SYN means that the ports were reused, and ends the earlier connection. A connection without a segment for
`IDLE_TIMEOUT_NS` of capture time ends. If more than `OPEN_CONNECTIONS_LIMIT` connections are open, the one
that has been idle for longest ends.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from message_sender.pcap.layers import ACK, FIN, RST, SYN, Endpoint, Segment
from message_sender.pcap.reassembly import SEQUENCE_MODULUS, Part, Stream

IDLE_TIMEOUT_NS = 3600 * 1_000_000_000
OPEN_CONNECTIONS_LIMIT = 20_000


@dataclass(slots=True)
class Flow:
    """A connection.

    Attributes:
        number: Number of the connection in the capture, from 1.
        endpoints: Client and server. Without a captured SYN, the side with the lower port is the server.
        has_syn: Whether its first captured segment is a SYN.
        last_segment_at_ns: Capture time of its last segment; 0 before the first one.
        streams: The directions from the client and from the server.
        syn_seqs: Sequence numbers of the SYN of the client and of the server; None if not captured.
    """

    number: int
    endpoints: tuple[Endpoint, Endpoint]
    has_syn: bool
    last_segment_at_ns: int = 0
    streams: tuple[Stream, Stream] = field(default_factory=lambda: (Stream(), Stream()))
    syn_seqs: list[int | None] = field(default_factory=lambda: [None, None])


@dataclass(slots=True)
class FlowEvent:
    """A change of a connection: new parts of one direction, or the end of the connection.

    Attributes:
        flow: The connection.
        side: Side that sent `parts`: 0 for the client, 1 for the server.
        parts: New parts of that direction.
        end_reason: "closed", "reset", "replaced", "silent" or "the capture ends"; empty if it has not ended.
    """

    flow: Flow
    side: int
    parts: list[Part]
    end_reason: str = ""


class FlowTable:
    """The open connections of a capture.

    Attributes:
        open: The open connections by their endpoints, least recently used first.
        open_limit: Maximum number of open connections.
        count: Number of connections since the capture began.
    """

    def __init__(self, open_limit: int = OPEN_CONNECTIONS_LIMIT) -> None:
        """Creates an empty table of at most `open_limit` connections."""
        self.open: OrderedDict[tuple[Endpoint, Endpoint], Flow] = OrderedDict()
        self.open_limit = open_limit
        self.count = 0

    def process(self, segment: Segment) -> Iterator[FlowEvent]:
        """Yields the events that the next segment of the capture causes."""
        flow = self._find(segment)
        if flow and segment.flags & SYN and self._reuses_ports(flow, segment):
            yield from self._end(flow, segment.at_ns, "replaced")
            flow = None
        if flow is None:
            if segment.flags & RST or not (segment.data or segment.missing or segment.flags & SYN):
                return  # such a segment begins no connection
            flow = self._begin(segment)
            yield from self._end_idle(segment.at_ns)
        flow.last_segment_at_ns = segment.at_ns
        yield from self._reassemble(flow, segment)

    def finish(self) -> Iterator[FlowEvent]:
        """Ends all connections at the end of the capture."""
        for flow in list(self.open.values()):
            yield from self._end(flow, flow.last_segment_at_ns, "the capture ends")

    def _find(self, segment: Segment) -> Flow | None:
        for key in ((segment.source, segment.target), (segment.target, segment.source)):
            if flow := self.open.get(key):
                self.open.move_to_end(key)
                return flow
        return None

    def _reuses_ports(self, flow: Flow, segment: Segment) -> bool:
        side = 0 if segment.source == flow.endpoints[0] else 1
        known_seq = flow.syn_seqs[side]
        return known_seq is not None and known_seq != segment.seq

    def _begin(self, segment: Segment) -> Flow:
        has_syn = bool(segment.flags & SYN)
        is_from_server = bool(segment.flags & ACK)  # in the handshake
        if not has_syn:
            is_from_server = segment.source[1] < segment.target[1]  # servers usually have the lower port
        endpoints = (segment.source, segment.target)
        if is_from_server:
            endpoints = (segment.target, segment.source)
        self.count += 1
        flow = self.open[endpoints] = Flow(self.count, endpoints, has_syn)
        return flow

    def _end_idle(self, now_ns: int) -> Iterator[FlowEvent]:
        while self.open:
            oldest = next(iter(self.open.values()))
            is_within_limits = len(self.open) <= self.open_limit
            if is_within_limits and now_ns - oldest.last_segment_at_ns < IDLE_TIMEOUT_NS:
                return
            if oldest.last_segment_at_ns == 0:
                return  # the connection has just begun
            yield from self._end(oldest, now_ns, "silent")

    def _reassemble(self, flow: Flow, segment: Segment) -> Iterator[FlowEvent]:
        side = 0 if segment.source == flow.endpoints[0] else 1
        stream = flow.streams[side]
        opposite_stream = flow.streams[1 - side]
        seq = segment.seq
        parts: list[Part] = []
        opposite_parts: list[Part] = []
        if segment.flags & SYN:
            if flow.syn_seqs[side] is None:
                flow.syn_seqs[side] = seq
                stream.begin(seq + 1)
            seq = (seq + 1) % SEQUENCE_MODULUS
        if segment.data:
            stream.add_data(segment.at_ns, seq, segment.data, parts)
        if segment.flags & FIN:
            stream.finish(seq + len(segment.data) + segment.missing)
        stream.advance_clock(segment.at_ns, parts)
        if segment.flags & ACK:
            opposite_stream.acknowledge(segment.at_ns, segment.ack, opposite_parts)
        if parts:
            yield FlowEvent(flow, side, parts)
        if opposite_parts:
            yield FlowEvent(flow, 1 - side, opposite_parts)
        if segment.flags & RST:
            yield from self._end(flow, segment.at_ns, "reset")
        elif stream.is_complete() and opposite_stream.is_complete():
            yield from self._end(flow, segment.at_ns, "closed")

    def _end(self, flow: Flow, at_ns: int, reason: str) -> Iterator[FlowEvent]:
        self.open.pop(flow.endpoints, None)
        for side, stream in enumerate(flow.streams):
            parts: list[Part] = []
            stream.close(at_ns, parts)
            if parts:
                yield FlowEvent(flow, side, parts)
        yield FlowEvent(flow, 0, [], reason)
