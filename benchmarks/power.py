"""What surviving the machine costs, and how service returns: pairs in one run.

cost: one journal on a real file system, messages that come as fast as they are answered, so many at once:
how many a second have their 202, and how long it took, for none, group and each; door: the
same through a whole sender. anew: the longest that the loop stands still while the journal is written anew
with so many messages owed (--count), beside work that goes on. return: five senders (--size) hold
600 messages for a hub that is down, the power goes, the hub is back; with and without the link.

    ./with-env python -m benchmarks.power cost --folder DIR
    ./with-env python -m benchmarks.power door --folder DIR
    ./with-env python -m benchmarks.power anew --folder DIR --count 20000
    ./with-env python -m benchmarks.power return
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

LIMIT = 200_000_000  # bytes
HELD = 600  # messages that all senders hold as the power goes
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
    return Message(f"m{number}", "charge", 1, 10**16, "", f"k{number}", f"m{number}", False, b"x" * 300)


def opened(folder: Path, sync: str) -> Journal:
    if sync == "none":
        return Journal(folder, LIMIT)
    return DurableJournal(folder, LIMIT, {"group": 0.005, "each": 0.0}[sync])


async def cost(folder: Path, sync: str, count: int, at_once: int) -> str:
    """The life of each: taken, durable, sent, durable, outcome, end."""
    journal, took, numbers = opened(folder, sync), list[float](), iter(range(count))
    loop = asyncio.get_running_loop()

    async def durable() -> None:
        done = loop.create_future()
        journal.when_durable(done.set_result)
        await done

    async def client() -> None:
        for number in numbers:
            began = time.perf_counter()
            journal.record_accepted(message(number))
            await durable()
            took.append(time.perf_counter() - began)
            journal.record_end(f"m{number}", "delivered")
            await asyncio.sleep(0)

    began, cpu = time.perf_counter(), time.process_time()
    await asyncio.gather(*(client() for _ in range(at_once)))
    spent, cpu = time.perf_counter() - began, time.process_time() - cpu
    journal.close()
    cuts = statistics.quantiles(took, n=100)
    return (
        f"{sync:<6} {at_once:4d} at once: {count / spent:8.0f} a second, p50 {cuts[49] * 1e3:6.2f} ms, "
        f"p99 {cuts[98] * 1e3:6.2f} ms, cpu {cpu / count * 1e6:5.0f} us a message"
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


async def returned(folder: Path, sync: str, link: bool, size: int = 5, budget: bool = False) -> str:
    """Seconds are from the moment at which the processes are started again."""
    cluster = Cluster(folder, size, 1, sync, link)
    async with ReceiverStub("hub", cluster.history, 60) as hub:
        hub.is_down = True
        cluster.extra_config = CONFIG.format(size=size) + BUDGET * budget + hub.to_config()
        async with cluster:
            await cluster.start()
            whole = HELD
            for number in range(whole):
                name = f"m{number}"
                assert await cluster.submit(name, "charge", 1, 60, f"k{number}", [f"n{number % size}"])
            await cluster.cut(keeps=0.0)
            hub.is_down = False
            hub.call_times.clear()
            began = time.monotonic()
            await cluster.start()
            while time.monotonic() < began + 33 and len(hub.served_at) < whole * 0.97:
                await asyncio.sleep(0.1)
            ran = sorted(each[0] - began for each in hub.served_at.values())
            at = f"first {ran[0]:.2f} s, 90% {ran[int(len(ran) * 0.9)]:.1f} s" if ran else "nothing came"
            twice = sum(len(each) > 1 for each in hub.served_at.values())
            spent, how = time.monotonic() - began, "link" if link else "alone"
            how += ", budget" * budget
            told = f"{len(ran)} of {whole} ran by {spent:.1f} s; {at}; twice {twice}; refused {hub.rejected}"
            return f"{sync:<6} {how}: {told}; most in 100 ms {hub.max_count_within(0.1)}"


async def door(folder: Path, sync: str, clients: int, seconds: float = 4.0) -> str:
    """One sender as a process, clients that come again as soon as they have their 202, a hub that is down:
    what taking on costs through the whole sender."""
    cluster = Cluster(folder, 1, 1, sync, has_link=False)
    async with ReceiverStub("hub", cluster.history, 60) as hub:
        hub.is_down = True
        more = CONFIG.replace("max_open = 700", "max_open = 100000\nslots = 1")
        cluster.extra_config = more.format(size=1) + hub.to_config()
        async with cluster:
            await cluster.start()
            (member,) = cluster.members.values()
            took, numbers = list[float](), itertools.count()
            until = time.perf_counter() + seconds

            async def client() -> None:
                there = HttpClient(("127.0.0.1", member.port))
                while (began := time.perf_counter()) < until:
                    number = next(numbers)
                    name = f"m{number}"
                    fields = {
                        "X-Correlation-Id": name, "X-Service-Class": "charge", "X-Time-Left": "60",
                        "X-Route-To": "dest=1", "X-Session-Key": f"k{number}", "Idempotency-Key": name,
                    }  # fmt: skip
                    status, _ = await there.post("/charge", fields, b"x" * 300)
                    if status == 202:
                        took.append(time.perf_counter() - began)
                there.close()

            await asyncio.gather(*(client() for _ in range(clients)))
            cuts = statistics.quantiles(took, n=100)
            return (
                f"{sync:<6} {clients:4d} clients: {len(took) / seconds:6.0f} a second, "
                f"p50 {cuts[49] * 1e3:6.2f} ms, p99 {cuts[98] * 1e3:6.2f} ms"
            )


async def anew(folder: Path, count: int) -> str:
    """500 messages a second, which end at once, beside `count` that are owed; gaps between passes of the
    loop, apart from those of a stretch before."""
    journal = DurableJournal(folder, LIMIT, 0.005)
    for number in range(count):
        journal.record_accepted(message(number))
    loop, numbers, gaps = asyncio.get_running_loop(), itertools.count(count), list[float]()
    compact, journal.compact = journal.compact, lambda: False  # type: ignore[method-assign]  # not by itself

    async def stretch(is_over: Callable[[], bool]) -> tuple[float, float, float]:
        gaps.clear()
        began = last = loop.time()
        work = began
        while not is_over():
            await asyncio.sleep(0)
            now = loop.time()
            gaps.append(now - last)
            last = now
            while work < now:
                each = message(next(numbers))
                journal.record_accepted(each)
                journal.record_end(each.id, "delivered")
                work += 0.002
        return loop.time() - began, max(gaps) * 1000, statistics.quantiles(gaps, n=1000)[-1] * 1000

    end = loop.time() + 2
    calm = await stretch(lambda: loop.time() > end)
    began = loop.time()
    while not journal.replacement:
        await asyncio.sleep(0.001)
        began = loop.time()
        compact()
    first = (loop.time() - began) * 1000
    during = await stretch(lambda: journal.replacement is None)
    journal.release()
    most = max(first, during[1])
    return (
        f"{count} owed: written anew in {during[0]:.2f} s; a pass took {most:.1f} ms at the most, "
        f"p99.9 {during[2]:.1f} ms; in a calm stretch {calm[1]:.1f} and {calm[2]:.1f} ms"
    )


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["cost", "door", "anew", "return"])
    parser.add_argument("--folder", type=Path, help="on the file system to be measured")
    parser.add_argument("--count", type=int, default=6000)
    parser.add_argument("--size", type=int, default=5, help="senders")
    told = parser.parse_args()
    if told.what == "cost":
        for at_once in (1, 16, 128):
            for sync in ("none", "group", "each") * 2:
                with tempfile.TemporaryDirectory(dir=told.folder) as folder:
                    count = told.count if at_once > 1 else told.count // 10
                    print(await cost(Path(folder), sync, count, at_once), flush=True)
        return
    if told.what == "anew":
        with tempfile.TemporaryDirectory(dir=told.folder) as folder:
            print(await anew(Path(folder), told.count), flush=True)
        return
    if told.what == "door":
        for clients in (8, 64):
            for sync in ("none", "group", "each") * 2:
                with tempfile.TemporaryDirectory(dir=told.folder) as folder:
                    print(await door(Path(folder), sync, clients), flush=True)
        return
    ways = (("none", False), ("group", False), ("each", True), ("group", True), ("group", True, True))
    for sync, link, *budget in ways:
        with tempfile.TemporaryDirectory(dir=told.folder) as folder:
            print(await returned(Path(folder), sync, link, told.size, *budget), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
