"""Dimension `held`: what a backlog costs a sender, by the number of messages that it holds.

The journal is the durable one, with group syncs; the messages are for destinations that are down. Restoring
is measured as the engine does it at a start: the journal is replayed, then the decision module hears of each
message.
"""

import asyncio
import gc
import itertools
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale import plan, policy
from benchmarks.scale.memory import traced_memory
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.results import Allowance, Effort, Figure, Measured, Point, Quantity, Source
from message_sender.journal.disk import SystemDisk
from message_sender.journal.durable import DurableJournal
from message_sender.journal.entries import AttemptRecord
from message_sender.journal.process_journal import JOURNAL_FILE
from message_sender.message import Message
from message_sender.policy.events import PolicyEvent
from message_sender.policy.model import Outcome

BODY_BYTES = 300
DESTINATIONS = 100  # that the held messages are for
JOURNAL_LIMIT_BYTES = 2_000_000_000
GATHER_S = 0.005  # between the beginnings of two syncs
UNTIL_US = 10**16  # far away
CHURN_PER_S = 500  # messages that come and go in a second of CPU time while the journal is compacted
LONGEST_COMPACTION_S = 60.0
CHURN_FACTOR = 4  # messages that come and go for each held one, where written bytes are counted
ENDPOINT, ZONE = "e1", "z1"
HALF_OF_MEMORY_BYTES = 12_000_000_000  # of a machine of 24 GB


@dataclass(frozen=True, slots=True)
class Sizes:
    """Numbers of held messages."""

    memory: tuple[int, ...]
    ready: tuple[int, ...]
    pause: tuple[int, ...]
    written: tuple[int, ...]


SIZES = {
    Effort.SMALL: Sizes((200, 400, 800), (200, 400, 800), (), (200, 400)),
    Effort.FULL: Sizes(
        (2_000, 8_000, 16_000, 30_000),
        (2_000, 10_000, 25_000, 50_000),
        (2_000, 10_000, 25_000, 50_000),
        (1_000, 2_000, 4_000),
    ),
}


class CountingDisk(SystemDisk):
    """The system's disk, without its syncs, that counts what is written."""

    written_bytes = 0

    def write(self, file: int, data: bytes) -> None:
        self.written_bytes += len(data)
        super().write(file, data)

    def sync(self, file: int) -> None:
        """Nothing: bytes are counted, and the run shall not wait for the disk."""


def message(number: int) -> Message:
    name = f"m{number}"
    key = f"k{number}"
    return Message(
        name, policy.MESSAGE_CLASS.name, number % DESTINATIONS, UNTIL_US, "", key, name, False, body()
    )


def body() -> bytes:
    """A body of its own for each message, as they come from a socket."""
    return b"%0*d" % (BODY_BYTES, 0)


def open_journal(folder: Path, disk: SystemDisk | None = None) -> DurableJournal:
    return DurableJournal(folder, JOURNAL_LIMIT_BYTES, GATHER_S, disk)


def fill(journal: DurableJournal, count: int) -> None:
    for number in range(count):
        if not journal.record_accepted(message(number)):
            raise RuntimeError(f"the journal did not take message {number}")


# Memory and disk.


async def journal_memory(count: int, folder: Path) -> int:
    journal = open_journal(folder)
    with traced_memory() as traced:
        fill(journal, count)
    journal.release()
    return traced.allocated


async def journal_file(count: int, folder: Path) -> int:
    """Bytes of the file."""
    journal = open_journal(folder)
    fill(journal, count)
    journal.release()
    return (folder / JOURNAL_FILE).stat().st_size


async def policy_memory(count: int, folder: Path) -> int:
    """Traced bytes of the decision module. Its destinations are listed and do not answer, so all is held."""
    dispatcher = policy.make_dispatcher(slots=1, max_open=count + 1)
    dispatcher.handle(0, [policy.full_list(DESTINATIONS)])
    with traced_memory() as traced:
        for number in range(count):
            dispatcher.handle(number, [policy.taken(f"m{number}", number % DESTINATIONS)])
    if policy.held_count(dispatcher) != count:
        raise RuntimeError("not all messages are held")
    return traced.allocated


# Time to ready.


async def replay_s(count: int, folder: Path) -> float:
    """CPU seconds to open a journal that holds so many."""
    journal = open_journal(folder)
    fill(journal, count)
    journal.release()
    gc.collect()
    began = time.process_time()
    again = open_journal(folder)
    spent = time.process_time() - began
    if len(again.entries) != count:
        raise RuntimeError("the journal lost messages")
    again.release()
    return spent


async def restore_s(count: int, folder: Path) -> float:
    """CPU seconds in which the decision module hears of so many held messages, in one iteration as the
    engine tells it."""
    dispatcher = policy.make_dispatcher(slots=1, max_open=count + 1)
    dispatcher.handle(0, [policy.full_list(DESTINATIONS)])
    gc.collect()
    began = time.process_time()
    told: list[PolicyEvent] = [
        policy.restored(f"m{number}", number % DESTINATIONS) for number in range(count)
    ]
    dispatcher.handle(1, told)
    spent = time.process_time() - began
    if policy.held_count(dispatcher) != count:
        raise RuntimeError("not all messages are held")
    return spent


# The journal written anew.


async def longest_pause_ms(count: int, folder: Path) -> float:
    """The longest iteration of the event loop, in CPU time, while the journal is compacted beside messages
    that come and go."""
    journal = open_journal(folder)
    fill(journal, count)
    journal.record_end(f"m{count - 1}", "delivered")  # something to be dropped
    loop, numbers = asyncio.get_running_loop(), itertools.count(count)
    while journal.sync_task or journal.sync_timer:
        await asyncio.sleep(0.01)
    gc.collect()
    began = loop.time()
    last = work_due = time.thread_time()
    journal.compact()
    longest = 0.0
    while journal.replacement and loop.time() < began + LONGEST_COMPACTION_S:
        now = time.thread_time()
        longest, last = max(longest, now - last), now
        while work_due < last:
            come_and_go(journal, next(numbers))
            work_due += 1 / CHURN_PER_S
        await asyncio.sleep(0)
    journal.close()
    return longest * 1000


def come_and_go(journal: DurableJournal, number: int) -> None:
    """All records in the life of a message that is delivered at once."""
    each = message(number)
    journal.record_accepted(each)
    journal.record_attempt(each.id, 0, AttemptRecord(UNTIL_US, ENDPOINT, ZONE))
    journal.record_outcome(each.id, 0, Outcome.OK)
    journal.record_end(each.id, "delivered")


async def written_per_message(count: int, folder: Path) -> float:
    """Bytes written for each message that comes and goes beside `count` held ones, compactions included: the
    least spare room makes these as frequent as they get."""
    disk = CountingDisk()
    journal = open_journal(folder, disk)
    journal.reserve_bytes = 0
    fill(journal, count)
    before, churn = disk.written_bytes, CHURN_FACTOR * count
    for number in range(count, count + churn):
        come_and_go(journal, number)
        if number % 16 == 0:
            await asyncio.sleep(0)  # steps of a compaction
    written = disk.written_bytes - before
    journal.close()
    return written / churn


def in_folder(measure: Callable[..., object], count: int) -> float:
    """Runs a measurement on a loop and in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measure(count, Path(folder)))  # type: ignore[arg-type]


# Results.


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    sizes = SIZES[effort]
    quantities = [*memory_quantities(sizes), ready_quantity(sizes.ready)]
    if sizes.pause:
        quantities.append(pause_quantity(sizes.pause))
    written = [in_folder(written_per_message, count) for count in sizes.written]
    figures = (
        Figure(
            "written_per_message",
            f"bytes written to the journal for each message of {BODY_BYTES} B that comes and goes",
            "B",
            Source.COUNT,
            round(max(written)),
        ),
        Figure(
            "write_amplification",
            "the same over the bytes of its body",
            "",
            Source.COUNT,
            round(max(written) / BODY_BYTES, 2),
        ),
    )
    return Measured(tuple(quantities), figures)


def memory_quantities(sizes: Sizes) -> list[Quantity]:
    in_journal = [Point(count, in_folder(journal_memory, count)) for count in sizes.memory]
    in_policy = [Point(count, in_folder(policy_memory, count)) for count in sizes.memory]
    both = [Point(a.size, a.value + b.value) for a, b in zip(in_journal, in_policy, strict=True)]
    on_disk = [Point(count, in_folder(journal_file, count)) for count in sizes.memory]
    most = Allowance("held messages in memory", HALF_OF_MEMORY_BYTES, "half of a machine's 24 GB")
    title = f"of held messages, bodies of {BODY_BYTES} B"
    return [
        bytes_quantity("journal_bytes", f"bytes in the journal's table {title}", in_journal),
        bytes_quantity("policy_bytes", f"bytes in the decision module {title}", in_policy),
        bytes_quantity("held_bytes", f"bytes in both {title}", both, most),
        bytes_quantity("disk_bytes", f"bytes on disk {title}", on_disk, source=Source.COUNT),
    ]


def bytes_quantity(
    name: str,
    title: str,
    points: list[Point],
    allowance: Allowance | None = None,
    source: Source = Source.TRACED_MEMORY,
) -> Quantity:
    size = plan.BACKLOG_PER_SENDER
    return quantity_of(name, title, "B", "held messages", source, points, size, allowance)


def ready_quantity(sizes: tuple[int, ...]) -> Quantity:
    points = []
    for count in sizes:
        replay, restore = in_folder(replay_s, count), in_folder(restore_s, count)
        points.append(Point(count, round(replay + restore, 4)))
    return quantity_of(
        "ready_s",
        "time until a started sender is ready with its backlog: replay and restore",
        "s",
        "held messages",
        Source.CPU_TIME,
        points,
        plan.BACKLOG_PER_SENDER,
        Allowance("ready with the backlog", plan.READY_WITHIN_S, "issue 47: 10 s"),
    )


def pause_quantity(sizes: tuple[int, ...]) -> Quantity:
    points = [Point(count, round(in_folder(longest_pause_ms, count), 2)) for count in sizes]
    return quantity_of(
        "pause_ms",
        "longest iteration of the event loop while the journal is compacted",
        "ms",
        "held messages",
        Source.CPU_TIME,
        points,
        plan.BACKLOG_PER_SENDER,
        Allowance("pause while compacting", plan.LOOP_PAUSE_S * 1e3, "own aim: 50 ms"),
    )
