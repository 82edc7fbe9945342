"""What a damaged journal still tells: each byte of small ones flipped, gaps, power losses, proofs."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest
from click.testing import CliRunner
from faults import until
from peers import handed_in

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
GROUP = 0.005  # s, as `sync = "group"` has it
PROOF_MOST = 120  # bytes


class Counting(SystemDisk):
    """Notes how long the file was at each sync, by the file."""

    def __init__(self) -> None:
        super().__init__()
        self.syncs = 0

    def sync(self, file: int) -> None:
        super().sync(file)
        self.syncs += 1


class Instant(MemoryDisk):
    """A disk in memory whose syncs take no time."""

    async def run(self, job: Callable[[], None]) -> None:
        job()


def opened(folder: Path, disk: SystemDisk | Instant | None = None) -> DurableJournal:
    return DurableJournal(folder, LIMIT, GROUP, disk, "boot 1", lambda: 100)


async def durable(journal: DurableJournal) -> None:
    done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    journal.when_durable(done.set_result)
    assert await done


async def at_rest(journal: DurableJournal) -> None:
    """Until it has nothing more to write or to sync."""
    while journal.sync_task or journal.sync_timer:
        if journal.sync_task is None and journal.sync_timer:
            journal.sync_timer.cancel()
            journal.begin_sync()
        await until(lambda: journal.sync_task is None)


async def burst(journal: DurableJournal, names: Iterable[str]) -> None:
    """All in one group."""
    for name in names:
        assert journal.record_accepted(handed_in(name, until=7))
    await durable(journal)


async def trickle(journal: DurableJournal, names: Iterable[str]) -> None:
    """One after the other, each with an attempt; every second one's is known to have failed."""
    for number, name in enumerate(names):
        assert journal.record_accepted(handed_in(name, until=7))
        await durable(journal)
        assert journal.record_attempt(name, 0, AttemptRecord(5, "r", "z"))
        await durable(journal)
        if number % 2:
            journal.record_outcome(name, 0, Outcome.FULL)
        await at_rest(journal)


async def rewritten(journal: DurableJournal, names: Iterable[str]) -> None:
    """A trickle, and a burst while all of it is written anew in steps."""
    await trickle(journal, ["a", "b", "c"])
    journal.record_end("c", "delivered")
    journal.step_bytes = 1
    journal.compact()
    assert journal.replacement
    await burst(journal, ["d", "e"])
    await until(lambda: journal.replacement is None)
    await at_rest(journal)


async def closed(journal: DurableJournal, names: Iterable[str]) -> None:
    """A clean stop, just after an end that nobody waited for."""
    await trickle(journal, names)
    await burst(journal, "fg")
    journal.record_end("f", "delivered")
    journal.record_end("g", "delivered")
    journal.close()


Play = Callable[[DurableJournal, Iterable[str]], object]
PLAYS = [burst, trickle, rewritten, closed]


def written(folder: Path, play: Play, names: Iterable[str] = "abcde") -> bytes:
    """The journal's file after a process has ended without a word, as soon as the last one was answered."""

    async def write() -> None:
        journal = opened(folder)
        await play(journal, names)  # type: ignore[misc]
        journal.release()

    asyncio.run(write())
    return (folder / JOURNAL_FILE).read_bytes()


@dataclass(frozen=True)
class Found:
    names: set[str]  # owed
    doubtful: set[str]
    known: dict[str, int]  # attempts that may have run, by message
    journal: InspectedJournal


def started(folder: Path, data: bytes) -> Found:
    """What the next start reads, of which it writes nothing here."""

    (folder / JOURNAL_FILE).write_bytes(data)
    journal = InspectedJournal(folder)
    entries = journal.entries
    return Found(
        set(entries),
        {name for name, entry in entries.items() if entry.is_doubtful},
        {name: sum(x.may_have_run() for x in entry.attempts.values()) for name, entry in entries.items()},
        journal,
    )


def about(data: bytes, at: int) -> str | None:
    """The message of the record that holds this byte; None: of none."""
    payload = next(
        (x.payload for x in records.scan_records(data).records if x.offset <= at < x.offset + x.size_bytes),
        {},
    )
    if "taken" in payload:
        return str(payload["taken"]["id"])
    name = payload.get("of", payload.get("sent", payload.get("over", payload.get("end"))))
    return None if name is None else str(name)


@pytest.mark.parametrize("play", PLAYS)
def test_one_flipped_byte_costs_at_most_what_its_record_held(tmp_path: Path, play: Play) -> None:
    """Each byte of the file in turn. No other message is lost or comes into doubt, and no attempt is
    forgotten."""
    data = written(tmp_path, play)
    whole = started(tmp_path, data)
    assert not whole.doubtful and len(whole.names) >= 4
    for at in range(len(data)):
        damaged = bytearray(data)
        damaged[at] ^= 1 << at % 8
        found, name = started(tmp_path, bytes(damaged)), about(data, at)
        assert whole.names - found.names <= {name}, f"byte {at}"
        assert found.doubtful <= {name}, f"byte {at}"
        for each in found.names & whole.names:
            risks = found.known[each] + (each in found.doubtful)
            assert risks >= whole.known[each], f"byte {at}: an attempt at {each} is forgotten"


def test_a_burst_followed_by_quiet_is_proven_as_soon_as_it_is_answered(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    names = [f"m{each}" for each in range(120)]
    data = bytearray(written(tmp_path, burst, names))
    at = len(data) // 2
    name = about(bytes(data), at)
    data[at] ^= 1
    found = started(tmp_path, bytes(data))
    assert found.names == {*names} - {name} and not found.doubtful

    async def start() -> set[str]:
        journal = opened(tmp_path)
        journal.release()
        return {*journal.entries}

    assert asyncio.run(start()) == found.names
    (gap,) = found.journal.previous_run.damage
    assert gap.kind is GapKind.DURABLE and not found.journal.previous_run.dropped_bytes
    assert f"offset={gap.offset} bytes={gap.size_bytes} reason=unreadable may_have_run=none\n" in caplog.text


def test_a_journal_at_rest_is_written_and_synced_no_more(tmp_path: Path) -> None:
    """A burst leaves one proof and one more sync, whatever its size, and then nothing."""

    async def play(count: int, folder: Path) -> tuple[int, int]:
        folder.mkdir()
        disk = Counting()
        journal = opened(folder, disk)
        began = disk.syncs
        await burst(journal, [f"m{each}" for each in range(count)])
        size = journal.size_bytes
        await at_rest(journal)
        proofs = [
            x
            for x in records.scan_records((folder / JOURNAL_FILE).read_bytes()).records
            if x.payload == PROOF | x.payload
        ]
        assert len(proofs) == 2, "the header and one proof"
        assert journal.size_bytes == size and journal.sync_timer is None and journal.sync_task is None
        assert proofs[1].size_bytes < PROOF_MOST
        journal.release()
        return disk.syncs - began, proofs[1].durable_bytes

    PROOF = {"journal": 2}  # noqa: N806
    for count in (1, 40):
        syncs, _ = asyncio.run(play(count, tmp_path / str(count)))
        assert syncs == 2


def test_a_file_written_anew_proves_what_came_to_it_before_it_was_named(tmp_path: Path) -> None:
    data = written(tmp_path, rewritten)
    found = records.scan_records(data).records
    at = next(x.offset for x in found if x.payload.get("taken", {}).get("id") == "e")
    assert max(records.proven_bytes_after(x) for x in found) > at


def records_of(data: bytes, key: str) -> list[records.Record]:
    return [each for each in records.scan_records(data).records if key in each.payload]


def spoiled(data: bytes, *which: records.Record, junk: bytes = b"?") -> bytes:
    """These records in whole made unreadable, with their line ends."""
    found = bytearray(data)
    for each in which:
        found[each.offset : each.offset + each.size_bytes] = junk * each.size_bytes
    return bytes(found)


def test_two_holes_cost_no_more_than_their_records(tmp_path: Path) -> None:
    data = written(tmp_path, trickle)
    taken, sent = records_of(data, "taken"), records_of(data, "sent")
    found = started(tmp_path, spoiled(data, taken[1], sent[3]))
    assert found.names == {"a", "c", "d", "e"} and found.doubtful == {"d"}
    assert list(found.journal.lost_ids) == ["b"], "what is whole of it names it"


def test_two_lost_attempts_between_two_proofs_put_all_that_is_held_in_doubt(tmp_path: Path) -> None:
    async def play(journal: DurableJournal, names: Iterable[str]) -> None:
        await burst(journal, names)
        for name in ("a", "b"):
            assert journal.record_attempt(name, 0, AttemptRecord(5, "r", "z"))
        await durable(journal)
        await burst(journal, "f")

    data = written(tmp_path, play)
    found = started(tmp_path, spoiled(data, *records_of(data, "sent")))
    assert found.doubtful == set("abcde") and found.names == set("abcdef")


def test_an_attempt_whose_message_and_proof_are_damaged_is_still_in_doubt(tmp_path: Path) -> None:
    """Without a proof behind a gap nobody knows what it held: whole records behind it are used, and all that
    was held counts as may have run."""

    async def play(journal: DurableJournal, names: Iterable[str]) -> None:
        await burst(journal, names)
        journal.record_attempt("a", 0, AttemptRecord(5, "r", "z"))
        await burst(journal, "f")

    data = written(tmp_path, play)
    proof = records_of(data, "journal")[-1]
    found = started(tmp_path, spoiled(data, records_of(data, "sent")[0], proof))
    assert found.names == set("abcdef") and found.doubtful == set("abcde")
    assert found.journal.reading.gaps[0].kind is GapKind.UNPROVEN


def test_a_lost_verdict_puts_its_message_in_doubt(tmp_path: Path) -> None:
    async def play(journal: DurableJournal, names: Iterable[str]) -> None:
        await burst(journal, names)
        journal.record_completion("b", "refused", 3)
        await durable(journal)

    data = written(tmp_path, play)
    found = started(tmp_path, spoiled(data, *records_of(data, "verdict")))
    assert found.names == set("abcde") and found.doubtful == {"b"}


def test_a_damaged_length_does_not_hide_the_record_behind(tmp_path: Path) -> None:
    data = written(tmp_path, burst)
    second = records_of(data, "taken")[1]
    for digit in range(8):
        damaged = bytearray(data)
        damaged[second.offset + 2 + digit] ^= 1
        damaged[second.offset + second.size_bytes - 1] ^= 1  # and no line end leads to the next one
        assert started(tmp_path, bytes(damaged)).names == set("acde")


def torn(folder: Path, lose: Callable[[list[records.Record]], list[records.Record]]) -> Found:
    """A burst that was answered, and a group that the power took a part of before its sync."""

    async def play(journal: DurableJournal, names: Iterable[str]) -> None:
        await burst(journal, names)
        journal.record_attempt("a", 0, AttemptRecord(5, "r", "z"))
        journal.record_accepted(handed_in("f", until=7))
        journal.record_attempt("b", 0, AttemptRecord(6, "r", "z"))
        journal.record_accepted(handed_in("g", until=7))

    data = written(folder, play)
    last = [
        x for x in records.scan_records(data).records if x.offset > records_of(data, "journal")[-1].offset
    ]
    return started(folder, spoiled(data, *lose(last), junk=b"\0"))


def test_a_power_loss_that_tore_the_last_group_casts_no_doubt(tmp_path: Path) -> None:
    """What it took was never durable, and nothing was done on its strength; what is whole behind it is
    used."""
    for number, lost in enumerate(([0], [1], [0, 1], [0, 2], [3])):
        folder = tmp_path / str(number)
        folder.mkdir()

        def lose(last: list[records.Record], lost: list[int] = lost) -> list[records.Record]:
            return [last[each] for each in lost]

        found = torn(folder, lose)
        assert not found.doubtful and found.names >= set("abcde")
        assert ("f" in found.names) == (1 not in lost) and ("g" in found.names) == (3 not in lost)
        assert found.known["a"] == (0 not in lost) and found.known["b"] == (2 not in lost)
        assert not found.journal.previous_run.damage


@pytest.mark.parametrize("play", [burst, trickle])
def test_any_power_loss_keeps_all_that_was_answered(tmp_path: Path, play: Play) -> None:
    """Drawn losses of what was not synced, and then each a flipped byte in what was answered."""
    answered: set[str] = set()

    async def write() -> SimulatedDisk:
        platter = SimulatedDisk()
        journal = opened(tmp_path, Instant(platter))
        await play(journal, "abcde")  # type: ignore[misc]
        answered.update(journal.entries)
        await at_rest(journal)
        for name in ("f", "g", "h", "i"):
            journal.record_accepted(handed_in(name, until=7))
            journal.record_attempt(name, 0, AttemptRecord(5, "r", "z"))
        journal.release()
        return platter

    platter, rng = asyncio.run(write()), random.Random(1)
    for _ in range(300):
        data = platter.cut(rng)[JOURNAL_FILE]
        found = started(tmp_path, data)
        assert found.names >= answered and not found.doubtful
        damaged = bytearray(data)
        at = rng.randrange(len(platter.contents[platter.now[JOURNAL_FILE]].stable))
        damaged[at] ^= 1 << rng.randrange(8)
        found, name = started(tmp_path, bytes(damaged)), about(data, at)
        assert answered - found.names <= {name}
        assert not found.doubtful & answered - {name}


def test_a_journal_without_proofs_is_read_the_careful_way(tmp_path: Path) -> None:
    """As earlier versions wrote it: no counts, and no mark beyond the last record."""
    data = written(tmp_path, trickle)
    others = [x for x in records.scan_records(data).records if "journal" not in x.payload]
    plain = b"".join(data[x.offset : x.offset + x.size_bytes] for x in others)
    old = records.frame_record(b'{"journal":2,"whole":%12d}' % 0, 0) + plain
    assert started(tmp_path, old).names == set("abcde")
    found = started(tmp_path, spoiled(old, records_of(old, "taken")[2]))
    assert found.names == set("abde") and found.doubtful == set("ab")


def test_a_comparison_that_contradicts_itself_tells_nothing() -> None:
    """More found whole than a checkpoint says were written: no number of it is believed."""
    sent = records.Record(0, 10, 0, {"sent": "a"})
    wrong = records.Record(30, 10, 0, {"journal": 2, "decisive": 0, "names": 0})
    assert DigestComparison(b"", [sent, wrong]).missing_in(records.Gap(10, 20)) is None


def test_people_are_told_what_is_damage_and_what_the_power_took(tmp_path: Path) -> None:
    data = written(tmp_path, trickle)
    taken = records_of(data, "taken")
    (tmp_path / JOURNAL_FILE).write_bytes(spoiled(data, taken[1]))
    run = CliRunner().invoke
    verified = run(command, ["verify", str(tmp_path)])
    assert verified.exit_code == 1 and "4 messages owed, 0 doubtful" in verified.output
    assert (
        f"damaged: {taken[1].size_bytes} bytes at byte {taken[1].offset}, which were durable"
        in verified.output
    )
    repaired = run(command, ["repair", str(tmp_path), "--to", str(tmp_path / "new")])
    assert repaired.exit_code == 1 and "lost: b, whose own record cannot be read" in repaired.output
    again = started(tmp_path / "new", (tmp_path / "new" / JOURNAL_FILE).read_bytes())
    assert again.names == set("acde") and not again.doubtful
