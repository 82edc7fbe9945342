"""Reading of HTTP/1.1 messages from captures, in the order in which they end and in bounded memory."""

import base64
import heapq
import ipaddress
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any, BinaryIO, NamedTuple

from message_sender.pcap.files import NS_PER_S, Packet, read_packets
from message_sender.pcap.flows import Flow, FlowEvent, FlowTable
from message_sender.pcap.layers import Endpoint, SegmentDecoder
from message_sender.pcap.messages import HttpMessage, MessagePairs

CLOCK_STEP_BACK_NS = NS_PER_S  # smaller backward steps of the clock are not noted
DISTINCT_NOTES_LIMIT = 1000


class CapturedMessage(NamedTuple):
    """An HTTP message and the connection it was sent on."""

    flow: Flow
    message: HttpMessage


class Capture:
    """Reads one capture, or several captures of the same traffic merged by time.

    Messages that several captures hold are read once, since repeated bytes of a TCP stream are dropped.

    Attributes:
        notes: Number of occurrences of each irregularity of the capture, by text.
        packets: Number of packets read.
        bytes: Size of these packets on the wire.
        first_at_ns: Recorded time of the first packet, since the epoch.
        last_at_ns: Recorded time of the last packet read, since the epoch.
        decoder: Decodes packets to segments.
        flows: The open connections.
        pairs: Readers of both directions of a connection, by number of the connection.
    """

    def __init__(self, *streams: BinaryIO) -> None:
        """Opens the captures that the streams hold.

        Raises:
            MalformedCaptureError: A stream is not a capture.
        """
        self.notes: Counter[str] = Counter()
        self.packets = 0
        self.bytes = 0
        self.first_at_ns = 0
        self.last_at_ns = 0
        self.decoder = SegmentDecoder()
        self.flows = FlowTable()
        self.pairs: dict[int, MessagePairs] = {}
        self._ended_messages: list[CapturedMessage] = []
        self._packet_sources = [read_packets(stream, self._note) for stream in streams]

    def messages(self) -> Iterator[CapturedMessage]:
        """Yields each message as soon as it has ended, whether complete or not."""
        decode = self.decoder.decode
        process = self.flows.process
        for packet in self._merge_packets():
            self._count(packet)
            if segment := decode(packet):
                for event in process(segment):
                    self._process(event, segment.at_ns)
                if self._ended_messages:
                    yield from self._take_ended_messages()
        for event in self.flows.finish():
            self._process(event, self.last_at_ns)
        yield from self._take_ended_messages()

    def _note(self, text: str) -> None:
        if text in self.notes or len(self.notes) < DISTINCT_NOTES_LIMIT:
            self.notes[text] += 1

    def _merge_packets(self) -> Iterator[Packet]:
        if len(self._packet_sources) == 1:
            return self._packet_sources[0]
        return heapq.merge(*self._packet_sources, key=lambda packet: packet.at_ns)

    def _take_ended_messages(self) -> list[CapturedMessage]:
        messages = self._ended_messages
        self._ended_messages = []
        return messages

    def _count(self, packet: Packet) -> None:
        self.packets += 1
        self.bytes += packet.original_size
        if not self.first_at_ns:
            self.first_at_ns = packet.at_ns
        elif packet.at_ns + CLOCK_STEP_BACK_NS < self.last_at_ns:
            self._note("the clock went back by more than a second")
        self.last_at_ns = packet.at_ns

    def _process(self, event: FlowEvent, at_ns: int) -> None:
        flow = event.flow
        pairs = self.pairs.get(flow.number)
        if pairs is None:
            if event.end_reason:
                return
            pairs = self.pairs[flow.number] = self._begin_connection(flow)
        for part in event.parts:
            pairs.sides[event.side].feed(part)
        if event.end_reason:
            pairs.end(at_ns, event.end_reason)
            del self.pairs[flow.number]

    def _begin_connection(self, flow: Flow) -> MessagePairs:
        if not flow.has_syn:
            self._note("a connection begins before the capture")

        def add_message(message: HttpMessage) -> None:
            self._ended_messages.append(CapturedMessage(flow, message))

        return MessagePairs(add_message)


def format_decimal_seconds(at_ns: int) -> str:
    """Returns nanoseconds as seconds with nine decimals, without rounding."""
    return f"{at_ns // NS_PER_S}.{at_ns % NS_PER_S:09d}"


def format_endpoint(endpoint: Endpoint) -> str:
    """Returns `host:port`, with an IPv6 address in brackets."""
    packed_address, port = endpoint
    host = ipaddress.ip_address(packed_address)
    return f"[{host}]:{port}" if host.version == 6 else f"{host}:{port}"


def as_json(captured: CapturedMessage) -> dict[str, Any]:
    """Returns a message as the JSON object that the commands print."""
    flow, message = captured
    fields: dict[str, Any] = {
        "at": format_decimal_seconds(message.first_at_ns),
        "until": format_decimal_seconds(message.last_at_ns),
        "connection": flow.number,
        "client": format_endpoint(flow.endpoints[0]),
        "server": format_endpoint(flow.endpoints[1]),
        "number": message.number,
    }
    if message.status:
        fields |= {"status": message.status, "answers": message.request_number}
    else:
        fields |= {"method": message.method, "target": message.target}
    body = base64.b64encode(message.body).decode()
    return fields | {
        "headers": message.headers,
        "body": body,
        "whole": message.is_complete,
        "notes": message.notes,
    }


def read_requests(streams: Sequence[BinaryIO]) -> Iterator[CapturedMessage]:
    """Returns the requests of a capture, without the responses."""
    return (captured for captured in Capture(*streams).messages() if not captured.message.status)
