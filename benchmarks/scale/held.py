"""Dimension `held`: the cost of a backlog for a sender, by the number of held messages.

The journal is the durable one, with group syncs; the messages are for destinations that are down. Recovery is
measured in the steps of the engine's start: the journal is replayed, then each message is restored in the
decision module.
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
DESTINATIONS = 100  # of the held messages
JOURNAL_LIMIT_BYTES = 2_000_000_000
GATHER_S = 0.005  # between the starts of two syncs
DEADLINE_US = 10**16  # never reached
CHURN_PER_S = 500  # messages accepted and delivered per second of CPU time during a compaction
LONGEST_COMPACTION_S = 60.0
CHURN_FACTOR = 4  # messages accepted and delivered per held one, in the count of written bytes
ENDPOINT, ZONE = "e1", "z1"
HALF_OF_MEMORY_BYTES = 12_000_000_000  # of a machine with 24 GB


@dataclass(frozen=True, slots=True)
class Sizes:
    """The numbers of held messages at which each cost is measured."""

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
    """The system's disk that counts the written bytes and skips syncs."""

    written_bytes = 0

    def write(self, file: int, data: bytes) -> None:
        """Counts and writes the data."""
        self.written_bytes += len(data)
        super().write(file, data)

    def sync(self, file: int) -> None:
        """Does nothing: only bytes are counted, and the run must not wait for the disk."""


def message(number: int) -> Message:
    """Returns a message whose name, key and destination follow from its number."""
    name = f"m{number}"
    key = f"k{number}"
    return Message(
        name, policy.MESSAGE_CLASS.name, number % DESTINATIONS, DEADLINE_US, "", key, name, False, body()
    )


def body() -> bytes:
    """Returns a new bytes object for each message, as a socket does, so that bodies share no memory."""
    return b"%0*d" % (BODY_BYTES, 0)


def open_journal(folder: Path, disk: SystemDisk | None = None) -> DurableJournal:
    """Opens the journal in `folder`; replays it if it exists."""
    return DurableJournal(folder, JOURNAL_LIMIT_BYTES, GATHER_S, disk)


def fill(journal: DurableJournal, count: int) -> None:
    """Records `count` accepted messages.

    Raises:
        RuntimeError: The journal rejected a message.
    """
    for number in range(count):
        if not journal.record_accepted(message(number)):
            raise RuntimeError(f"the journal rejected message {number} of {count}")


# Memory and disk.


async def journal_memory(count: int, folder: Path) -> int:
    """Returns the traced bytes of a journal with `count` messages."""
    journal = open_journal(folder)
    with traced_memory() as traced:
        fill(journal, count)
    journal.release()
    return traced.allocated


async def journal_file(count: int, folder: Path) -> int:
    """Returns the size in bytes of the file of a journal with `count` messages."""
    journal = open_journal(folder)
    fill(journal, count)
    journal.release()
    return (folder / JOURNAL_FILE).stat().st_size


async def policy_memory(count: int, folder: Path) -> int:
    """Returns the traced bytes of the decision module with `count` held messages.

    Its destinations are listed but never answer, so that every message is held.
    """
    dispatcher = policy.make_dispatcher(slots=1, max_open=count + 1)
    dispatcher.handle(0, [policy.full_list(DESTINATIONS)])
    with traced_memory() as traced:
        for number in range(count):
            dispatcher.handle(number, [policy.accepted(f"m{number}", number % DESTINATIONS)])
    if policy.held_count(dispatcher) != count:
        raise RuntimeError(f"{policy.held_count(dispatcher)} of {count} messages are held")
    return traced.allocated


# Recovery time.


async def replay_s(count: int, folder: Path) -> float:
    """Returns the CPU seconds to open a journal with `count` messages."""
    journal = open_journal(folder)
    fill(journal, count)
    journal.release()
    gc.collect()
    started_at = time.process_time()
    reopened = open_journal(folder)
    cpu_s = time.process_time() - started_at
    if len(reopened.entries) != count:
        raise RuntimeError(f"the journal restored {len(reopened.entries)} of {count} messages")
    reopened.release()
    return cpu_s


async def restore_s(count: int, folder: Path) -> float:
    """Returns the CPU seconds in which the decision module restores `count` held messages.

    All are restored in one loop iteration, as the engine does it.
    """
    dispatcher = policy.make_dispatcher(slots=1, max_open=count + 1)
    dispatcher.handle(0, [policy.full_list(DESTINATIONS)])
    gc.collect()
    started_at = time.process_time()
    events: list[PolicyEvent] = [
        policy.restored(f"m{number}", number % DESTINATIONS) for number in range(count)
    ]
    dispatcher.handle(1, events)
    cpu_s = time.process_time() - started_at
    if policy.held_count(dispatcher) != count:
        raise RuntimeError(f"{policy.held_count(dispatcher)} of {count} messages are held")
    return cpu_s


# Compaction of the journal.


async def longest_pause_ms(count: int, folder: Path) -> float:
    """Returns the longest loop iteration in ms of CPU time while the journal is compacted.

    Other messages are accepted and delivered meanwhile.
    """
    journal = open_journal(folder)
    fill(journal, count)
    journal.record_end(f"m{count - 1}", "delivered")  # leaves a record that the compaction drops
    loop, numbers = asyncio.get_running_loop(), itertools.count(count)
    while journal.sync_task or journal.sync_timer:
        await asyncio.sleep(0.01)
    gc.collect()
    started_at = loop.time()
    last = next_message_at = time.thread_time()
    journal.compact()
    longest = 0.0
    while journal.replacement and loop.time() < started_at + LONGEST_COMPACTION_S:
        now = time.thread_time()
        longest, last = max(longest, now - last), now
        while next_message_at < last:
            record_delivered_message(journal, next(numbers))
            next_message_at += 1 / CHURN_PER_S
        await asyncio.sleep(0)
    journal.close()
    return longest * 1000


def record_delivered_message(journal: DurableJournal, number: int) -> None:
    """Writes all records of a message that is delivered at the first attempt."""
    each = message(number)
    journal.record_accepted(each)
    journal.record_attempt(each.id, 0, AttemptRecord(DEADLINE_US, ENDPOINT, ZONE))
    journal.record_outcome(each.id, 0, Outcome.OK)
    journal.record_end(each.id, "delivered")


async def written_per_message(count: int, folder: Path) -> float:
    """Returns the bytes written per delivered message while `count` others are held, including compactions.

    Compactions are as frequent as possible because the journal reserves no spare room.
    """
    disk = CountingDisk()
    journal = open_journal(folder, disk)
    journal.reserve_bytes = 0
    fill(journal, count)
    before, churn = disk.written_bytes, CHURN_FACTOR * count
    for number in range(count, count + churn):
        record_delivered_message(journal, number)
        if number % 16 == 0:
            await asyncio.sleep(0)  # lets a compaction proceed
    written = disk.written_bytes - before
    journal.close()
    return written / churn


def in_folder(measure: Callable[..., object], count: int) -> float:
    """Runs a measurement in a new event loop and a temporary folder."""
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
            f"bytes written to the journal for each delivered message of {BODY_BYTES} B",
            "B",
            Source.COUNT,
            round(max(written)),
        ),
        Figure(
            "write_amplification",
            "the same, relative to the size of its body",
            "",
            Source.COUNT,
            round(max(written) / BODY_BYTES, 2),
        ),
    )
    return Measured(tuple(quantities), figures)


def memory_quantities(sizes: Sizes) -> list[Quantity]:
    """Returns the memory of held messages in the journal, in the decision module and in both, and on disk."""
    in_journal = [Point(count, in_folder(journal_memory, count)) for count in sizes.memory]
    in_policy = [Point(count, in_folder(policy_memory, count)) for count in sizes.memory]
    both = [Point(a.size, a.value + b.value) for a, b in zip(in_journal, in_policy, strict=True)]
    on_disk = [Point(count, in_folder(journal_file, count)) for count in sizes.memory]
    most = Allowance("held messages in memory", HALF_OF_MEMORY_BYTES, "half of a machine's 24 GB")
    title = f"of held messages, bodies of {BODY_BYTES} B"
    return [
        bytes_quantity("journal_bytes", f"bytes in the journal's memory {title}", in_journal),
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
    """Returns a number of bytes by the number of held messages."""
    size = plan.BACKLOG_PER_SENDER
    return quantity_of(name, title, "B", "held messages", source, points, size, allowance)


def ready_quantity(sizes: tuple[int, ...]) -> Quantity:
    """Returns the time of replay and restore."""
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
    """Returns the longest loop iteration during a compaction."""
    points = [Point(count, round(in_folder(longest_pause_ms, count), 2)) for count in sizes]
    return quantity_of(
        "pause_ms",
        "longest iteration of the event loop while the journal is compacted",
        "ms",
        "held messages",
        Source.CPU_TIME,
        points,
        plan.BACKLOG_PER_SENDER,
        Allowance("pause while compacting", plan.LOOP_PAUSE_S * 1e3, "own target: 50 ms"),
    )
