"""Recovery of damaged journals: a flip of each byte of small journals, gaps, power losses, sync records."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest
from click.testing import CliRunner
from peers import sample_message
from socket_faults import until

from message_sender.cli.journal import journal as command
from message_sender.journal import records
from message_sender.journal.checkpoints import DigestComparison
from message_sender.journal.disk import SystemDisk
from message_sender.journal.durable import DurableJournal
from message_sender.journal.entries import AttemptRecord
from message_sender.journal.inspection import InspectedJournal
from message_sender.journal.process_journal import JOURNAL_FILE
from message_sender.journal.records import GapKind
from message_sender.policy.model import Outcome
from message_sender.testbed.simulated_disk import MemoryDisk, SimulatedDisk

LIMIT = 3_000_000
SYNC_INTERVAL_S = 0.005  # that of the setting `sync = "group"`
MAX_SYNC_RECORD_BYTES = 120


class SyncCountingDisk(SystemDisk):
    """Counts the syncs of files."""

    def __init__(self) -> None:
        super().__init__()
        self.syncs = 0

    def sync(self, file: int) -> None:
        super().sync(file)
        self.syncs += 1


class InstantDisk(MemoryDisk):
    """A disk in memory whose syncs take no time."""

    async def run(self, job: Callable[[], None]) -> None:
        job()


def open_journal(folder: Path, disk: SystemDisk | InstantDisk | None = None) -> DurableJournal:
    return DurableJournal(folder, LIMIT, SYNC_INTERVAL_S, disk, "boot 1", lambda: 100)


async def wait_until_durable(journal: DurableJournal) -> None:
    done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    journal.when_durable(done.set_result)
    assert await done


async def wait_until_idle(journal: DurableJournal) -> None:
    """Waits until the journal has nothing more to write or to sync."""
    while journal.sync_task or journal.sync_timer:
        if journal.sync_task is None and journal.sync_timer:
            journal.sync_timer.cancel()
            journal.begin_sync()
        await until(lambda: journal.sync_task is None)


async def burst(journal: DurableJournal, names: Iterable[str]) -> None:
    """Writes all messages in one group."""
    for name in names:
        assert journal.record_accepted(sample_message(name, until=7))
    await wait_until_durable(journal)


async def one_by_one(journal: DurableJournal, names: Iterable[str]) -> None:
    """Writes one message after the other, each with an attempt; every second attempt has a known failure."""
    for number, name in enumerate(names):
        assert journal.record_accepted(sample_message(name, until=7))
        await wait_until_durable(journal)
        assert journal.record_attempt(name, 0, AttemptRecord(5, "r", "z"))
        await wait_until_durable(journal)
        if number % 2:
            journal.record_outcome(name, 0, Outcome.FULL)
        await wait_until_idle(journal)


async def compacted(journal: DurableJournal, names: Iterable[str]) -> None:
    """Writes messages one by one, then a burst during a compaction in steps."""
    await one_by_one(journal, ["a", "b", "c"])
    journal.record_end("c", "delivered")
    journal.step_bytes = 1
    journal.compact()
    assert journal.replacement
    await burst(journal, ["d", "e"])
    await until(lambda: journal.replacement is None)
    await wait_until_idle(journal)


async def closed(journal: DurableJournal, names: Iterable[str]) -> None:
    """Closes the journal right after two end records whose sync no callback waits for."""
    await one_by_one(journal, names)
    await burst(journal, "fg")
    journal.record_end("f", "delivered")
    journal.record_end("g", "delivered")
    journal.close()


Scenario = Callable[[DurableJournal, Iterable[str]], object]
SCENARIOS = [burst, one_by_one, compacted, closed]


def write_journal(folder: Path, scenario: Scenario, names: Iterable[str] = "abcde") -> bytes:
    """Runs a scenario; returns the file as a process leaves it that is killed right after the last answer."""

    async def write() -> None:
        journal = open_journal(folder)
        await scenario(journal, names)  # type: ignore[misc]
        journal.release()

    asyncio.run(write())
    return (folder / JOURNAL_FILE).read_bytes()


@dataclass(frozen=True)
class ReplayResult:
    names: set[str]  # of pending messages
    doubtful: set[str]
    risky_attempts: dict[str, int]  # number of attempts that may have run, by message
    journal: InspectedJournal


def replay(folder: Path, data: bytes) -> ReplayResult:
    """Replays a file as the next start does, without writing to it afterwards."""
    (folder / JOURNAL_FILE).write_bytes(data)
    journal = InspectedJournal(folder)
    entries = journal.entries
    return ReplayResult(
        set(entries),
        {name for name, entry in entries.items() if entry.is_doubtful},
        {name: sum(x.may_have_run() for x in entry.attempts.values()) for name, entry in entries.items()},
        journal,
    )


def message_at(data: bytes, at: int) -> str | None:
    """Returns the name of the message whose record contains byte `at`; None if there is none."""
    payload = next(
        (x.payload for x in records.scan_records(data).records if x.offset <= at < x.offset + x.size_bytes),
        {},
    )
    if "taken" in payload:
        return str(payload["taken"]["id"])
    name = payload.get("of", payload.get("sent", payload.get("over", payload.get("end"))))
    return None if name is None else str(name)


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_one_damaged_byte_affects_only_the_message_of_its_record(tmp_path: Path, scenario: Scenario) -> None:
    """Each byte of the file in turn: no other message is lost or in doubt, and no attempt is forgotten."""
    data = write_journal(tmp_path, scenario)
    intact = replay(tmp_path, data)
    assert not intact.doubtful and len(intact.names) >= 4
    for at in range(len(data)):
        damaged = bytearray(data)
        damaged[at] ^= 1 << at % 8
        result, name = replay(tmp_path, bytes(damaged)), message_at(data, at)
        assert intact.names - result.names <= {name}, f"byte {at}"
        assert result.doubtful <= {name}, f"byte {at}"
        for other in result.names & intact.names:
            risks = result.risky_attempts[other] + (other in result.doubtful)
            assert risks >= intact.risky_attempts[other], f"byte {at}: an attempt of {other} is forgotten"


def test_an_idle_journal_proves_a_burst_durable_as_soon_as_it_is_answered(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    names = [f"m{number}" for number in range(120)]
    data = bytearray(write_journal(tmp_path, burst, names))
    at = len(data) // 2
    name = message_at(bytes(data), at)
    data[at] ^= 1
    result = replay(tmp_path, bytes(data))
    assert result.names == {*names} - {name} and not result.doubtful

    async def start() -> set[str]:
        journal = open_journal(tmp_path)
        journal.release()
        return {*journal.entries}

    assert asyncio.run(start()) == result.names
    (gap,) = result.journal.previous_run.damage
    assert gap.kind is GapKind.DURABLE and not result.journal.previous_run.dropped_bytes
    assert f"offset={gap.offset} bytes={gap.size_bytes} reason=unreadable may_have_run=none\n" in caplog.text


def test_an_idle_journal_is_neither_written_nor_synced(tmp_path: Path) -> None:
    """A burst of any size is followed by one sync record and one more sync, and then by nothing."""

    async def play(count: int, folder: Path) -> tuple[int, int]:
        folder.mkdir()
        disk = SyncCountingDisk()
        journal = open_journal(folder, disk)
        syncs_before = disk.syncs
        await burst(journal, [f"m{number}" for number in range(count)])
        size = journal.size_bytes
        await wait_until_idle(journal)
        sync_records = [
            x
            for x in records.scan_records((folder / JOURNAL_FILE).read_bytes()).records
            if x.payload == SYNC_RECORD | x.payload
        ]
        assert len(sync_records) == 2, "the header and one sync record"
        assert journal.size_bytes == size and journal.sync_timer is None and journal.sync_task is None
        assert sync_records[1].size_bytes < MAX_SYNC_RECORD_BYTES
        journal.release()
        return disk.syncs - syncs_before, sync_records[1].durable_bytes

    SYNC_RECORD = {"journal": 2}  # noqa: N806
    for count in (1, 40):
        syncs, _ = asyncio.run(play(count, tmp_path / str(count)))
        assert syncs == 2


def test_a_compacted_file_proves_records_durable_that_were_added_before_its_rename(tmp_path: Path) -> None:
    data = write_journal(tmp_path, compacted)
    valid_records = records.scan_records(data).records
    at = next(x.offset for x in valid_records if x.payload.get("taken", {}).get("id") == "e")
    assert max(records.proven_bytes_after(x) for x in valid_records) > at


def records_of(data: bytes, key: str) -> list[records.Record]:
    return [record for record in records.scan_records(data).records if key in record.payload]


def overwrite(data: bytes, *targets: records.Record, junk: bytes = b"?") -> bytes:
    """Returns the file with all bytes of these records overwritten, including their line ends."""
    damaged = bytearray(data)
    for record in targets:
        damaged[record.offset : record.offset + record.size_bytes] = junk * record.size_bytes
    return bytes(damaged)


def test_two_gaps_affect_only_the_messages_of_the_lost_records(tmp_path: Path) -> None:
    data = write_journal(tmp_path, one_by_one)
    taken, sent = records_of(data, "taken"), records_of(data, "sent")
    result = replay(tmp_path, overwrite(data, taken[1], sent[3]))
    assert result.names == {"a", "c", "d", "e"} and result.doubtful == {"d"}
    assert list(result.journal.lost_ids) == ["b"], "its other records contain its id"


def test_two_lost_attempts_between_two_sync_records_put_all_pending_messages_in_doubt(tmp_path: Path) -> None:
    async def play(journal: DurableJournal, names: Iterable[str]) -> None:
        await burst(journal, names)
        for name in ("a", "b"):
            assert journal.record_attempt(name, 0, AttemptRecord(5, "r", "z"))
        await wait_until_durable(journal)
        await burst(journal, "f")

    data = write_journal(tmp_path, play)
    result = replay(tmp_path, overwrite(data, *records_of(data, "sent")))
    assert result.doubtful == set("abcde") and result.names == set("abcdef")


def test_a_gap_without_a_following_sync_record_puts_all_pending_messages_in_doubt(tmp_path: Path) -> None:
    """Without a sync record after a gap, the lost records are unknown.

    Valid records after the gap are replayed, and any message before it may have an unknown attempt that ran.
    """

    async def play(journal: DurableJournal, names: Iterable[str]) -> None:
        await burst(journal, names)
        journal.record_attempt("a", 0, AttemptRecord(5, "r", "z"))
        await burst(journal, "f")

    data = write_journal(tmp_path, play)
    sync_record = records_of(data, "journal")[-1]
    result = replay(tmp_path, overwrite(data, records_of(data, "sent")[0], sync_record))
    assert result.names == set("abcdef") and result.doubtful == set("abcde")
    assert result.journal.scan_result.gaps[0].kind is GapKind.UNPROVEN


def test_a_lost_verdict_puts_its_message_in_doubt(tmp_path: Path) -> None:
    async def play(journal: DurableJournal, names: Iterable[str]) -> None:
        await burst(journal, names)
        journal.record_completion("b", "refused", 3)
        await wait_until_durable(journal)

    data = write_journal(tmp_path, play)
    result = replay(tmp_path, overwrite(data, *records_of(data, "verdict")))
    assert result.names == set("abcde") and result.doubtful == {"b"}


def test_a_damaged_length_does_not_hide_the_next_record(tmp_path: Path) -> None:
    data = write_journal(tmp_path, burst)
    second = records_of(data, "taken")[1]
    for digit in range(8):
        damaged = bytearray(data)
        damaged[second.offset + 2 + digit] ^= 1
        damaged[second.offset + second.size_bytes - 1] ^= 1  # nor does a line end mark the next record
        assert replay(tmp_path, bytes(damaged)).names == set("acde")


def replay_torn_group(
    folder: Path, select_lost: Callable[[list[records.Record]], list[records.Record]]
) -> ReplayResult:
    """Replays an answered burst and a group that lost some records in a power loss before its sync."""

    async def play(journal: DurableJournal, names: Iterable[str]) -> None:
        await burst(journal, names)
        journal.record_attempt("a", 0, AttemptRecord(5, "r", "z"))
        journal.record_accepted(sample_message("f", until=7))
        journal.record_attempt("b", 0, AttemptRecord(6, "r", "z"))
        journal.record_accepted(sample_message("g", until=7))

    data = write_journal(folder, play)
    last_group = [
        x for x in records.scan_records(data).records if x.offset > records_of(data, "journal")[-1].offset
    ]
    return replay(folder, overwrite(data, *select_lost(last_group), junk=b"\0"))


def test_a_power_loss_that_tears_the_last_group_puts_no_message_in_doubt(tmp_path: Path) -> None:
    """The lost records were never durable, so no action depends on them; later valid records are replayed."""
    for number, lost in enumerate(([0], [1], [0, 1], [0, 2], [3])):
        folder = tmp_path / str(number)
        folder.mkdir()

        def select_lost(group: list[records.Record], lost: list[int] = lost) -> list[records.Record]:
            return [group[index] for index in lost]

        result = replay_torn_group(folder, select_lost)
        assert not result.doubtful and result.names >= set("abcde")
        assert ("f" in result.names) == (1 not in lost) and ("g" in result.names) == (3 not in lost)
        assert result.risky_attempts["a"] == (0 not in lost) and result.risky_attempts["b"] == (2 not in lost)
        assert not result.journal.previous_run.damage


@pytest.mark.parametrize("scenario", [burst, one_by_one])
def test_no_power_loss_loses_an_answered_message(tmp_path: Path, scenario: Scenario) -> None:
    """Random losses of unsynced data, each then combined with a flipped bit in the durable data."""
    answered: set[str] = set()

    async def write() -> SimulatedDisk:
        disk = SimulatedDisk()
        journal = open_journal(tmp_path, InstantDisk(disk))
        await scenario(journal, "abcde")  # type: ignore[misc]
        answered.update(journal.entries)
        await wait_until_idle(journal)
        for name in ("f", "g", "h", "i"):
            journal.record_accepted(sample_message(name, until=7))
            journal.record_attempt(name, 0, AttemptRecord(5, "r", "z"))
        journal.release()
        return disk

    disk, rng = asyncio.run(write()), random.Random(1)
    for _ in range(300):
        data = disk.cut(rng)[JOURNAL_FILE]
        result = replay(tmp_path, data)
        assert result.names >= answered and not result.doubtful
        damaged = bytearray(data)
        at = rng.randrange(len(disk.contents[disk.now[JOURNAL_FILE]].stable))
        damaged[at] ^= 1 << rng.randrange(8)
        result, name = replay(tmp_path, bytes(damaged)), message_at(data, at)
        assert answered - result.names <= {name}
        assert not result.doubtful & answered - {name}


def test_a_gap_in_a_journal_without_sync_records_puts_all_earlier_messages_in_doubt(tmp_path: Path) -> None:
    """Earlier versions wrote no counts, and no durable size beyond that of the last record."""
    data = write_journal(tmp_path, one_by_one)
    others = [x for x in records.scan_records(data).records if "journal" not in x.payload]
    plain = b"".join(data[x.offset : x.offset + x.size_bytes] for x in others)
    old = records.frame_record(b'{"journal":2,"whole":%12d}' % 0, 0) + plain
    assert replay(tmp_path, old).names == set("abcde")
    result = replay(tmp_path, overwrite(old, records_of(old, "taken")[2]))
    assert result.names == set("abde") and result.doubtful == set("ab")


def test_a_checkpoint_that_counts_fewer_records_than_were_found_is_not_used() -> None:
    """The file holds more valid decisive records than the checkpoint says were written."""
    sent = records.Record(0, 10, 0, {"sent": "a"})
    wrong = records.Record(30, 10, 0, {"journal": 2, "decisive": 0, "names": 0})
    assert DigestComparison(b"", [sent, wrong]).missing_in(records.Gap(10, 20)) is None


def test_verify_and_repair_report_damage_and_lost_messages(tmp_path: Path) -> None:
    data = write_journal(tmp_path, one_by_one)
    taken = records_of(data, "taken")
    (tmp_path / JOURNAL_FILE).write_bytes(overwrite(data, taken[1]))
    run = CliRunner().invoke
    verified = run(command, ["verify", str(tmp_path)])
    assert verified.exit_code == 1 and "4 messages not completed, 0 doubtful" in verified.output
    assert (
        f"damaged: {taken[1].size_bytes} bytes at byte {taken[1].offset}, which were durable"
        in verified.output
    )
    repaired = run(command, ["repair", str(tmp_path), "--to", str(tmp_path / "new")])
    assert repaired.exit_code == 1 and "lost: b, whose own record cannot be read" in repaired.output
    result = replay(tmp_path / "new", (tmp_path / "new" / JOURNAL_FILE).read_bytes())
    assert result.names == set("acde") and not result.doubtful
