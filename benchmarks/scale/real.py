"""The link of real processes over loopback UDP at rest, as the reference for the hollow senders."""

import asyncio
import base64
import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from message_sender.fleet import wire
from message_sender.fleet.seal import Seal
from message_sender.testbed.cluster import Cluster
from message_sender.testbed.relay import Relay

WINDOW_S = 10.0
ANNOUNCED_WITHIN_S = 20.0  # of the start, by which every member has announced itself
CLASSES = """
[classes.charge]
aim_ms = 4000
deadline_ms = 60000
effect = "safe"
[[endpoints]]
id = "e1"
zone = "a"
destination = 1
dial = "127.0.0.1:9"
"""


@dataclass(frozen=True, slots=True)
class RealRest:
    """The cost of one real member at rest, per second."""

    datagrams: float
    sent_bytes: float
    cpu_share: float  # of the whole process, including the engine
    announcement_bytes: int


class CountingRelay(Relay):
    """A relay that counts the datagrams of all members and keeps a sample of them."""

    datagrams = total_bytes = 0

    def __init__(self) -> None:
        super().__init__()
        self.sample: list[bytes] = []

    def handle_datagram(self, to: str, data: bytes, source: int) -> None:
        """Counts a datagram and relays it."""
        self.datagrams += 1
        self.total_bytes += len(data)
        self.sample.append(data)
        super().handle_datagram(to, data, source)


def process_cpu_s(process: int) -> float:
    """Returns the user and system time of a process so far, in s, from /proc/PID/stat (proc(5))."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def announcement_sizes(key: str, sample: list[bytes]) -> list[int]:
    """Returns the size in bytes of each announcement among these datagrams."""
    seal = Seal([base64.b64decode(key)])
    bodies = [wire.decode(seal.open(data)).body for data in sample]
    return [len(body.data) for body in bodies if isinstance(body, wire.AnnouncementPart)]


async def rest_cost(size: int, folder: Path) -> RealRest:
    """Runs `size` senders and measures their link at rest, with the files of the cluster in `folder`."""
    cluster = Cluster(folder, size, 1, extra_config=CLASSES)
    relay = CountingRelay()
    cluster.relay = relay
    async with cluster:
        await cluster.start()
        await asyncio.sleep(ANNOUNCED_WITHIN_S / 2)
        relay.sample.clear()
        processes = [member.pid for member in cluster.members.values() if member.pid]
        datagrams, total_bytes = relay.datagrams, relay.total_bytes
        cpu_s = sum(process_cpu_s(each) for each in processes)
        started_at = time.monotonic()
        await asyncio.sleep(WINDOW_S)
        member_seconds = size * (time.monotonic() - started_at)
        cpu_s = sum(process_cpu_s(each) for each in processes) - cpu_s
        sizes = announcement_sizes(cluster.key, relay.sample)
        return RealRest(
            (relay.datagrams - datagrams) / member_seconds,
            (relay.total_bytes - total_bytes) / member_seconds,
            cpu_s / member_seconds,
            round(sum(sizes) / len(sizes)),
        )


def measure_real_rest(size: int) -> RealRest:
    """Starts a fleet of `size` senders, waits until it is at rest and counts its traffic for ten seconds."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(rest_cost(size, Path(folder)))
