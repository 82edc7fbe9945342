"""The cost of a journal that survives a machine failure, and the recovery of service after a power loss.

The sync modes (none, group, each) are compared within one run.

cost: the durable messages per second of one journal on a real file system, their latency and the CPU time per
message, by the number of closed-loop clients. acceptance: the rate and the latency of a complete sender, up
to the answer 202. compaction: the longest loop iteration while the journal is compacted with --count held
messages and other messages are accepted. recovery: five senders (--size) hold 600 messages for a destination
that is down; then the power fails, the senders restart and the destination is up again; with and without the
link.

    ./with-env python -m benchmarks.power cost --folder DIR
    ./with-env python -m benchmarks.power acceptance --folder DIR
    ./with-env python -m benchmarks.power compaction --folder DIR --count 20000
    ./with-env python -m benchmarks.power recovery
"""

import argparse
import asyncio
import itertools
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from message_sender.journal.durable import DurableJournal
from message_sender.journal.process_journal import Journal
from message_sender.message import Message
from message_sender.testbed.cluster import Cluster
from message_sender.testbed.http import HttpClient
from message_sender.testbed.receiver_stub import ReceiverStub

JOURNAL_LIMIT = 200_000_000  # bytes
HELD = 600  # messages that all senders together hold when the power fails
CONFIG = """
[limits]
max_open = 700
max_attempts = 100
[rules]
rates_told = true
fleet_size = {size}
[classes.charge]
aim_ms = 4000
deadline_ms = 60000
effect = "keyed"
window_ms = 50000
in_order = true
"""


def message(number: int) -> Message:
    """Returns a message whose name and key follow from its number."""
    return Message(f"m{number}", "charge", 1, 10**16, "", f"k{number}", f"m{number}", False, b"x" * 300)


def open_journal(folder: Path, sync: str) -> Journal:
    """Opens a journal with the given sync mode: none, group or each."""
    if sync == "none":
        return Journal(folder, JOURNAL_LIMIT)
    return DurableJournal(folder, JOURNAL_LIMIT, {"group": 0.005, "each": 0.0}[sync])


async def measure_cost(folder: Path, sync: str, count: int, clients: int) -> str:
    """Measures the journal with closed-loop clients, each of which records one message after the other."""
    journal, latencies_s, numbers = open_journal(folder, sync), list[float](), iter(range(count))
    loop = asyncio.get_running_loop()

    async def durable() -> None:
        done = loop.create_future()
        journal.when_durable(done.set_result)
        await done

    async def client() -> None:
        for number in numbers:
            started_at = time.perf_counter()
            journal.record_accepted(message(number))
            await durable()
            latencies_s.append(time.perf_counter() - started_at)
            journal.record_end(f"m{number}", "delivered")
            await asyncio.sleep(0)

    started_at, cpu = time.perf_counter(), time.process_time()
    await asyncio.gather(*(client() for _ in range(clients)))
    elapsed, cpu = time.perf_counter() - started_at, time.process_time() - cpu
    journal.close()
    cuts = statistics.quantiles(latencies_s, n=100)
    return (
        f"{sync:<6} {clients:4d} clients: {count / elapsed:8.0f} messages/s, p50 {cuts[49] * 1e3:6.2f} ms, "
        f"p99 {cuts[98] * 1e3:6.2f} ms, CPU {cpu / count * 1e6:5.0f} us per message"
    )


BUDGET = """
[[budgets]]
name = "rate"
of = "calls"
destination = "each"
whole = "told"
per_ms = 1000
lease_ms = 1000
"""


async def measure_recovery(folder: Path, sync: str, link: bool, size: int = 5, budget: bool = False) -> str:
    """Measures the delivery of held messages after a power loss, from the restart of the processes on."""
    cluster = Cluster(folder, size, 1, sync, link)
    async with ReceiverStub("hub", cluster.history, 60) as hub:
        hub.is_down = True
        cluster.extra_config = CONFIG.format(size=size) + BUDGET * budget + hub.to_config()
        async with cluster:
            await cluster.start()
            held = HELD
            for number in range(held):
                name = f"m{number}"
                assert await cluster.submit(name, "charge", 1, 60, f"k{number}", [f"n{number % size}"])
            await cluster.cut(keeps=0.0)
            hub.is_down = False
            hub.call_times.clear()
            started_at = time.monotonic()
            await cluster.start()
            while time.monotonic() < started_at + 33 and len(hub.served_at) < held * 0.97:
                await asyncio.sleep(0.1)
            delivered = sorted(each[0] - started_at for each in hub.served_at.values())
            times = (
                f"first {delivered[0]:.2f} s, 90% {delivered[int(len(delivered) * 0.9)]:.1f} s"
                if delivered
                else "none delivered"
            )
            repeated = sum(len(each) > 1 for each in hub.served_at.values())
            elapsed, variant = time.monotonic() - started_at, "with link" if link else "without link"
            variant += ", budget" * budget
            summary = (
                f"{len(delivered)} of {held} delivered within {elapsed:.1f} s; "
                f"{times}; more than once {repeated}; refused {hub.rejected}"
            )
            return f"{sync:<6} {variant}: {summary}; peak per 100 ms {hub.max_count_within(0.1)}"


async def measure_acceptance(folder: Path, sync: str, clients: int, seconds: float = 4.0) -> str:
    """Measures the rate and the latency at which a complete sender accepts messages, up to the answer 202.

    The sender runs as a process, its destination is down, and `clients` closed-loop clients submit messages.
    """
    cluster = Cluster(folder, 1, 1, sync, has_link=False)
    async with ReceiverStub("hub", cluster.history, 60) as hub:
        hub.is_down = True
        config = CONFIG.replace("max_open = 700", "max_open = 100000\nslots = 1")
        cluster.extra_config = config.format(size=1) + hub.to_config()
        async with cluster:
            await cluster.start()
            (member,) = cluster.members.values()
            latencies_s, numbers = list[float](), itertools.count()
            until = time.perf_counter() + seconds

            async def client() -> None:
                http_client = HttpClient(("127.0.0.1", member.port))
                while (started_at := time.perf_counter()) < until:
                    number = next(numbers)
                    name = f"m{number}"
                    fields = {
                        "X-Correlation-Id": name, "X-Service-Class": "charge", "X-Time-Left": "60",
                        "X-Route-To": "dest=1", "X-Session-Key": f"k{number}", "Idempotency-Key": name,
                    }  # fmt: skip
                    status, _ = await http_client.post("/charge", fields, b"x" * 300)
                    if status == 202:
                        latencies_s.append(time.perf_counter() - started_at)
                http_client.close()

            await asyncio.gather(*(client() for _ in range(clients)))
            cuts = statistics.quantiles(latencies_s, n=100)
            return (
                f"{sync:<6} {clients:4d} clients: {len(latencies_s) / seconds:6.0f} messages/s, "
                f"p50 {cuts[49] * 1e3:6.2f} ms, p99 {cuts[98] * 1e3:6.2f} ms"
            )


async def measure_compaction(folder: Path, count: int) -> str:
    """Measures the longest loop iterations during a compaction of the journal, and before it for comparison.

    The journal holds `count` messages; 500 other messages per second are accepted and end at once.
    """
    journal = DurableJournal(folder, JOURNAL_LIMIT, 0.005)
    for number in range(count):
        journal.record_accepted(message(number))
    loop, numbers, gaps = asyncio.get_running_loop(), itertools.count(count), list[float]()
    compact, journal.compact = journal.compact, lambda: False  # type: ignore[method-assign]  # prevents automatic compactions

    async def measure_gaps(is_over: Callable[[], bool]) -> tuple[float, float, float]:
        """Returns the duration in s, and the longest and the 99.9th percentile iteration in ms."""
        gaps.clear()
        started_at = last = loop.time()
        next_message_at = started_at
        while not is_over():
            await asyncio.sleep(0)
            now = loop.time()
            gaps.append(now - last)
            last = now
            while next_message_at < now:
                each = message(next(numbers))
                journal.record_accepted(each)
                journal.record_end(each.id, "delivered")
                next_message_at += 0.002
        return loop.time() - started_at, max(gaps) * 1000, statistics.quantiles(gaps, n=1000)[-1] * 1000

    end = loop.time() + 2
    before = await measure_gaps(lambda: loop.time() > end)
    started_at = loop.time()
    while not journal.replacement:
        await asyncio.sleep(0.001)
        started_at = loop.time()
        compact()
    first = (loop.time() - started_at) * 1000
    during = await measure_gaps(lambda: journal.replacement is None)
    journal.release()
    longest = max(first, during[1])
    return (
        f"{count} held: compacted in {during[0]:.2f} s; longest loop iteration {longest:.1f} ms, "
        f"p99.9 {during[2]:.1f} ms; before the compaction {before[1]:.1f} and {before[2]:.1f} ms"
    )


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("what", choices=["cost", "acceptance", "compaction", "recovery"])
    parser.add_argument("--folder", type=Path, help="a folder on the file system to be measured")
    parser.add_argument("--count", type=int, default=6000, help="messages")
    parser.add_argument("--size", type=int, default=5, help="number of senders")
    options = parser.parse_args()
    if options.what == "cost":
        for clients in (1, 16, 128):
            for sync in ("none", "group", "each") * 2:
                with tempfile.TemporaryDirectory(dir=options.folder) as folder:
                    count = options.count if clients > 1 else options.count // 10
                    print(await measure_cost(Path(folder), sync, count, clients), flush=True)
        return
    if options.what == "compaction":
        with tempfile.TemporaryDirectory(dir=options.folder) as folder:
            print(await measure_compaction(Path(folder), options.count), flush=True)
        return
    if options.what == "acceptance":
        for clients in (8, 64):
            for sync in ("none", "group", "each") * 2:
                with tempfile.TemporaryDirectory(dir=options.folder) as folder:
                    print(await measure_acceptance(Path(folder), sync, clients), flush=True)
        return
    variants = (("none", False), ("group", False), ("each", True), ("group", True), ("group", True, True))
    for sync, link, *budget in variants:
        with tempfile.TemporaryDirectory(dir=options.folder) as folder:
            print(await measure_recovery(Path(folder), sync, link, options.size, *budget), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
