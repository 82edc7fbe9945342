"""Captures: reading beside dpkt and scapy, memory on a long one, and what writing costs a sender.

    python benchmarks/pcap.py [--packets N] [--megabytes N]

All figures of one run on one core; speeds are ratios to dpkt, which only reads and decodes here, while ours
also puts streams and HTTP messages together.
"""

import argparse
import asyncio
import io
import logging
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import dpkt

from message_sender.configuration import general
from message_sender.pcap.capture import Capture
from message_sender.pcap.files import PcapWriter, read_packets
from message_sender.pcap.flows import FlowTable
from message_sender.pcap.layers import SegmentDecoder
from message_sender.pcap.traffic_tap import TrafficTap
from message_sender.pcap.writer import ConnectionWriter
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.history import History
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.running import running
from message_sender.testbed.script import Script

REQUEST = b"POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
ANSWER = b"HTTP/1.1 202 \r\nContent-Length: 0\r\n\r\n"
MESSAGES, CLIENTS, PAIRS = 1500, 8, 5


def traffic(talks: int, rounds: int, body: bytes) -> Iterator[bytes]:
    """A capture in parts: so many connections at a time, each with so many requests."""
    out = io.BytesIO()
    writer, at = PcapWriter(out), 10**18
    while True:
        open_now = [
            ConnectionWriter(writer, ("10.0.0.1", 1024 + each), ("10.0.0.2", 80), at, at // 10**6)
            for each in range(talks)
        ]
        for _ in range(rounds):
            for connection in open_now:
                at += 10_000
                connection.write_data(0, at, REQUEST % (len(body), body))
                connection.write_data(1, at + 5_000, ANSWER)
            yield out.getvalue()
            out.seek(0)
            out.truncate()
        for connection in open_now:
            connection.end(0, at)


def capture_of(packets: int, body: bytes) -> bytes:
    """At least so many packets."""
    parts, count = [], 0
    for part in traffic(50, 20, body):
        parts.append(part)
        count += 50 * (4 + len(body) // 1460)
        if count >= packets:
            return b"".join(parts)
    raise AssertionError


def ours(data: bytes) -> int:
    capture = Capture(io.BytesIO(data))
    for _ in capture.messages():
        pass
    return capture.packets


def ours_streams(data: bytes) -> int:
    layers, flows, count = SegmentDecoder(), FlowTable(), 0
    for packet in read_packets(io.BytesIO(data)):
        count += 1
        if segment := layers.decode(packet):
            for _ in flows.process(segment):
                pass
    return count


def with_dpkt(data: bytes) -> int:
    count = 0
    for _, frame in dpkt.pcap.Reader(io.BytesIO(data)):
        packet = dpkt.ip.IP(frame)
        count += isinstance(packet.data, dpkt.tcp.TCP)
    return count


def with_scapy(data: bytes) -> int:
    logging.getLogger("scapy").setLevel(logging.ERROR)
    from scapy.utils import PcapReader

    return sum(1 for _ in PcapReader(io.BytesIO(data)))


def speed(read_all: Callable[[bytes], int], data: bytes) -> float:
    """Packets a second, the median of three."""
    rates = []
    for _ in range(3):
        began = time.process_time()
        count = read_all(data)
        rates.append(count / (time.process_time() - began))
    return statistics.median(rates)


def reading(packets: int) -> None:
    for name, body in (("commands of 200 bytes", b"x" * 200), ("bodies of 60 KB", b"x" * 60_000)):
        data = capture_of(packets, body)
        base = speed(with_dpkt, data)
        size = len(data) / ours(data)
        print(f"{name}: dpkt, reading alone {base:,.0f} packets/s")
        for label, reader in (("streams", ours_streams), ("streams and messages", ours)):
            rate = speed(reader, data)
            told = f"{rate:10,.0f} packets/s {rate * size / 1e6:8.1f} MB/s {rate / base:6.2f} of dpkt's"
            print(f"  ours, {label:21}{told}")
    small = capture_of(5_000, b"x" * 200)
    print(f"  scapy, reading alone {with_scapy(small) and speed(with_scapy, small) / base:.3f} of dpkt's")


def memory(megabytes: int) -> None:
    """Peak memory of `pcap info` on a stream that is never whole anywhere."""
    words = [sys.executable, "-m", "message_sender", "pcap", "info", "-"]
    process = subprocess.Popen(
        words, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    assert process.stdin
    sent = 0
    for part in traffic(200, 20, b"x" * 20_000):
        process.stdin.write(part)
        sent += len(part)
        if sent > megabytes * 1e6:
            break
    process.stdin.close()
    process.wait()
    peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
    print(f"pcap info on {sent / 1e6:.0f} MB from a pipe: {peak:.1f} MB at the peak")


async def deliver(folder: Path, tap: TrafficTap | None) -> float:
    """CPU seconds of this process for MESSAGES taken on and delivered; stand-ins and clients included."""
    async with HttpEndpoint("e", Script(), History()) as endpoint:
        told = {
            "classes": {"c": {"effect": "safe", "aim_ms": 4000, "deadline_ms": 8000}},
            "limits": {"slots": 200},
            "endpoints": [{"id": "e", "destination": 1, "dial": f"127.0.0.1:{endpoint.port}"}],
        }
        sender = StandaloneSender(general.read(told), folder, CompletionWriter(io.StringIO()), tap)
        async with running(sender):
            address = sender.server.address()[:2]
            began = time.process_time()

            async def client(number: int) -> None:
                line = HttpClient(address)
                for each in range(MESSAGES // CLIENTS):
                    fields = {
                        "X-Correlation-Id": f"{number}-{each}",
                        "X-Service-Class": "c",
                        "X-Time-Left": "5",
                    }
                    await line.post("/c", fields | {"X-Route-To": "dest=1"}, b"x" * 200)
                line.close()

            await asyncio.gather(*(client(number) for number in range(CLIENTS)))
            while sender.engine.journal.entries:
                await asyncio.sleep(0.01)
            spent = time.process_time() - began
        return spent


def one_delivery(capturing: bool) -> float:
    with tempfile.TemporaryDirectory() as folder:
        tap = TrafficTap(Path(folder) / "c", 16_000_000) if capturing else None
        state = Path(folder) / "s"
        state.mkdir()
        spent = asyncio.run(deliver(state, tap))
        if tap:
            tap.close()
            assert not tap.dropped_records, tap.dropped_records
        return spent


def writing() -> None:
    one_delivery(False)
    ratios = [one_delivery(True) / one_delivery(False) for _ in range(PAIRS)]
    middle = statistics.median(ratios)
    print(f"CPU a message with the capture written, in the sender: {middle:.3f} times that without "
          f"({min(ratios):.3f} to {max(ratios):.3f}, {PAIRS} pairs of {MESSAGES} messages)")  # fmt: skip


def main() -> None:
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    options.add_argument("--packets", type=int, default=100_000)
    options.add_argument("--megabytes", type=int, default=300)
    told = options.parse_args()
    logging.disable(logging.WARNING)
    memory(told.megabytes)  # first: a child's peak counts what its parent had as it began
    reading(told.packets)
    writing()


if __name__ == "__main__":
    main()
