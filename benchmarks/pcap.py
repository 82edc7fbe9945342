"""Captures: reading speed compared with dpkt and scapy, memory on a long capture, and the cost of writing.

    python benchmarks/pcap.py [--packets N] [--megabytes N]

All figures are from one run on one core. Speeds are also given relative to dpkt, which only reads and
decodes packets here; the reader of message_sender also reassembles streams and HTTP messages.
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
from message_sender.testbed.in_process_sender import running
from message_sender.testbed.script import Script

REQUEST = b"POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
ANSWER = b"HTTP/1.1 202 \r\nContent-Length: 0\r\n\r\n"
MESSAGES, CLIENTS, PAIRS = 1500, 8, 5


def traffic(connections: int, rounds: int, body: bytes) -> Iterator[bytes]:
    """Yields the parts of an endless capture.

    Args:
        connections: The number of connections that are open at the same time.
        rounds: The number of requests on each connection.
        body: The body of each request.
    """
    buffer = io.BytesIO()
    writer, now_ns = PcapWriter(buffer), 10**18
    while True:
        open_now = [
            ConnectionWriter(writer, ("10.0.0.1", 1024 + each), ("10.0.0.2", 80), now_ns, now_ns // 10**6)
            for each in range(connections)
        ]
        for _ in range(rounds):
            for connection in open_now:
                now_ns += 10_000
                connection.write_data(0, now_ns, REQUEST % (len(body), body))
                connection.write_data(1, now_ns + 5_000, ANSWER)
            yield buffer.getvalue()
            buffer.seek(0)
            buffer.truncate()
        for connection in open_now:
            connection.end(0, now_ns)


def capture_of(packets: int, body: bytes) -> bytes:
    """Returns a capture of at least `packets` packets."""
    parts, count = [], 0
    for part in traffic(50, 20, body):
        parts.append(part)
        count += 50 * (4 + len(body) // 1460)
        if count >= packets:
            return b"".join(parts)
    raise AssertionError


def read_messages(data: bytes) -> int:
    """Reads packets, streams and HTTP messages with message_sender; returns the number of packets."""
    capture = Capture(io.BytesIO(data))
    for _ in capture.messages():
        pass
    return capture.packets


def read_streams(data: bytes) -> int:
    """Reads packets and streams with message_sender; returns the number of packets."""
    layers, flows, count = SegmentDecoder(), FlowTable(), 0
    for packet in read_packets(io.BytesIO(data)):
        count += 1
        if segment := layers.decode(packet):
            for _ in flows.process(segment):
                pass
    return count


def read_dpkt(data: bytes) -> int:
    """Reads and decodes packets with dpkt; returns the number of TCP packets."""
    count = 0
    for _, frame in dpkt.pcap.Reader(io.BytesIO(data)):
        packet = dpkt.ip.IP(frame)
        count += isinstance(packet.data, dpkt.tcp.TCP)
    return count


def read_scapy(data: bytes) -> int:
    """Reads packets with scapy; returns their number."""
    logging.getLogger("scapy").setLevel(logging.ERROR)
    from scapy.utils import PcapReader

    return sum(1 for _ in PcapReader(io.BytesIO(data)))


def speed(read_all: Callable[[bytes], int], data: bytes) -> float:
    """Returns the packets per CPU second, the median of three runs."""
    rates = []
    for _ in range(3):
        started_at = time.process_time()
        count = read_all(data)
        rates.append(count / (time.process_time() - started_at))
    return statistics.median(rates)


def measure_reading(packets: int) -> None:
    """Prints the reading speeds."""
    for name, body in (("messages of 200 bytes", b"x" * 200), ("messages of 60 KB", b"x" * 60_000)):
        data = capture_of(packets, body)
        base = speed(read_dpkt, data)
        size = len(data) / read_messages(data)
        print(f"{name}: dpkt, packets only {base:,.0f} packets/s")
        for label, reader in (("streams", read_streams), ("streams and messages", read_messages)):
            rate = speed(reader, data)
            speeds = f"{rate:10,.0f} packets/s {rate * size / 1e6:8.1f} MB/s {rate / base:6.2f} times dpkt"
            print(f"  message_sender, {label:21}{speeds}")
    small = capture_of(5_000, b"x" * 200)
    print(f"  scapy, packets only {read_scapy(small) and speed(read_scapy, small) / base:.3f} times dpkt")


def measure_memory(megabytes: int) -> None:
    """Prints the peak memory of `pcap info` on a piped capture that is never stored completely."""
    command = [sys.executable, "-m", "message_sender", "pcap", "info", "-"]
    process = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
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
    print(f"pcap info on {sent / 1e6:.0f} MB from a pipe: peak memory {peak:.1f} MB")


async def deliver(folder: Path, tap: TrafficTap | None) -> float:
    """Returns the CPU seconds of this process for MESSAGES deliveries, including endpoint and clients."""
    async with HttpEndpoint("e", Script(), History()) as endpoint:
        settings = {
            "classes": {"c": {"effect": "safe", "aim_ms": 4000, "deadline_ms": 8000}},
            "limits": {"slots": 200},
            "endpoints": [{"id": "e", "destination": 1, "dial": f"127.0.0.1:{endpoint.port}"}],
        }
        sender = StandaloneSender(general.read(settings), folder, CompletionWriter(io.StringIO()), tap)
        async with running(sender):
            address = sender.server.address()[:2]
            started_at = time.process_time()

            async def client(number: int) -> None:
                http_client = HttpClient(address)
                for each in range(MESSAGES // CLIENTS):
                    fields = {
                        "X-Correlation-Id": f"{number}-{each}",
                        "X-Service-Class": "c",
                        "X-Time-Left": "5",
                    }
                    await http_client.post("/c", fields | {"X-Route-To": "dest=1"}, b"x" * 200)
                http_client.close()

            await asyncio.gather(*(client(number) for number in range(CLIENTS)))
            while sender.engine.journal.entries:
                await asyncio.sleep(0.01)
            cpu_s = time.process_time() - started_at
        return cpu_s


def run_delivery(capturing: bool) -> float:
    """Returns the CPU seconds of `deliver` in a new folder, with or without a capture."""
    with tempfile.TemporaryDirectory() as folder:
        tap = TrafficTap(Path(folder) / "c", 16_000_000) if capturing else None
        state = Path(folder) / "s"
        state.mkdir()
        cpu_s = asyncio.run(deliver(state, tap))
        if tap:
            tap.close()
            assert not tap.dropped_records, tap.dropped_records
        return cpu_s


def measure_writing() -> None:
    """Prints the ratio of the CPU time with a capture to that without."""
    run_delivery(False)
    ratios = [run_delivery(True) / run_delivery(False) for _ in range(PAIRS)]
    median = statistics.median(ratios)
    print(f"CPU time per message with a capture: {median:.3f} times that without "
          f"({min(ratios):.3f} to {max(ratios):.3f}, {PAIRS} pairs of {MESSAGES} messages)")  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--packets", type=int, default=100_000)
    parser.add_argument("--megabytes", type=int, default=300)
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    # First, because the peak memory of a child includes the memory of its parent at the time of the fork.
    measure_memory(options.megabytes)
    measure_reading(options.packets)
    measure_writing()


if __name__ == "__main__":
    main()
