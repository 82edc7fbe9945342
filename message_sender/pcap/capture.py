"""From a capture to the HTTP/1.1 messages in it, one after another, in bounded memory."""

import base64
import heapq
import ipaddress
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any, BinaryIO, NamedTuple

from message_sender.pcap.files import SECOND, Packet, read
from message_sender.pcap.flows import Flow, Flows, Happened
from message_sender.pcap.layers import Layers
from message_sender.pcap.messages import HttpMessage, Pairs

BACK = SECOND  # ns by which a clock has to go back to be worth a note
MOST_NOTES = 1000  # kinds of notes that are counted


class Found(NamedTuple):
    """A message and the connection that it went over."""

    flow: Flow
    message: HttpMessage


class Capture:
    """One capture, or several of one moment, merged by time: what both hold counts once, as TCP has it."""

    def __init__(self, *streams: BinaryIO) -> None:
        self.notes: Counter[str] = Counter()
        self.packets = self.bytes = 0
        self.first = self.last = 0  # ns, as recorded
        self.layers, self.flows = Layers(), Flows()
        self.pairs: dict[int, Pairs] = {}
        self.found: list[Found] = []
        self.sources = [read(each, self.note) for each in streams]

    def note(self, text: str) -> None:
        if text in self.notes or len(self.notes) < MOST_NOTES:
            self.notes[text] += 1

    def read_packets(self) -> Iterator[Packet]:
        if len(self.sources) == 1:
            return self.sources[0]
        return heapq.merge(*self.sources, key=lambda packet: packet.at)

    def messages(self) -> Iterator[Found]:
        """Each message as soon as its last byte, or what ends it, has been read."""
        segment, hear = self.layers.segment, self.flows.hear
        for packet in self.read_packets():
            self.count(packet)
            if found := segment(packet):
                for happened in hear(found):
                    self.hear(happened, found.at)
                if self.found:
                    yield from self.taken()
        for happened in self.flows.finish():
            self.hear(happened, self.last)
        yield from self.taken()

    def taken(self) -> list[Found]:
        found, self.found = self.found, []
        return found

    def count(self, packet: Packet) -> None:
        self.packets += 1
        self.bytes += packet.size
        if not self.first:
            self.first = packet.at
        elif packet.at + BACK < self.last:
            self.note("the clock went back by more than a second")
        self.last = packet.at

    def hear(self, happened: Happened, at: int) -> None:
        flow = happened.flow
        pairs = self.pairs.get(flow.number)
        if pairs is None:
            if happened.over:
                return
            pairs = self.pairs[flow.number] = Pairs(lambda message: self.found.append(Found(flow, message)))
            if not flow.opened:
                self.note("a connection begins before the capture")
        for part in happened.parts:
            pairs.sides[happened.side].feed(part)
        if happened.over:
            pairs.end(at, happened.over)
            del self.pairs[flow.number]


def decimal(at: int) -> str:
    """ns as seconds with nine decimals, exactly."""
    return f"{at // SECOND}.{at % SECOND:09d}"


def address(end: tuple[bytes, int]) -> str:
    """`host:port`; IPv6 in brackets."""
    host = ipaddress.ip_address(end[0])
    return f"[{host}]:{end[1]}" if host.version == 6 else f"{host}:{end[1]}"


def as_json(found: Found) -> dict[str, Any]:
    """The form in which messages are printed, one object a line."""
    flow, message = found
    told: dict[str, Any] = {
        "at": decimal(message.at),
        "until": decimal(message.until),
        "connection": flow.number,
        "client": address(flow.ends[0]),
        "server": address(flow.ends[1]),
        "number": message.number,
    }
    if message.status:
        told |= {"status": message.status, "answers": message.answers}
    else:
        told |= {"method": message.method, "target": message.target}
    body = base64.b64encode(message.body).decode()
    return told | {"headers": message.headers, "body": body, "whole": message.whole, "notes": message.notes}


def requests(streams: Sequence[BinaryIO]) -> Iterator[Found]:
    """The requests alone."""
    return (each for each in Capture(*streams).messages() if not each.message.status)
