"""What was taken on outlives the process: replay, torn records, room."""

from pathlib import Path

import pytest
from peers import handed_in

from message_sender.journal import process_journal as module
from message_sender.journal.entries import AttemptRecord
from message_sender.journal.process_journal import Journal
from message_sender.policy.model import Outcome

LIMIT = 3_000_000


def used(folder: Path) -> int:
    return sum(-(-each.stat().st_size // 512) * 512 for each in folder.iterdir())


def test_what_is_owed_is_replayed_in_the_order_taken(tmp_path: Path) -> None:
    first = Journal(tmp_path, LIMIT)
    for name in ("a", "b", "c"):
        assert first.record_accepted(handed_in(name, body=bytes(range(256)), until=7))
    first.record_attempt("a", 0, AttemptRecord(5, "r", "z"))
    first.record_outcome("a", 0, Outcome.FULL)
    first.record_attempt("a", 1, AttemptRecord(6, "s", "y"))
    first.record_attempt("c", 0, AttemptRecord(7, "r", "z"))
    first.record_end("b")
    # No close: a process that is killed does none.
    second = Journal(tmp_path, LIMIT)
    assert list(second.entries) == ["a", "c"]
    assert second.entries["a"].message == handed_in("a", body=bytes(range(256)), until=7)
    risk = second.entries["a"].first_risky_attempt()
    assert risk is not None and (risk.started_us, risk.endpoint, risk.zone) == (6, "s", "y")


@pytest.mark.parametrize("cut", [1, 10, 60])
def test_a_torn_last_record_is_dropped_with_a_log_line(
    tmp_path: Path, cut: int, caplog: pytest.LogCaptureFixture
) -> None:
    first = Journal(tmp_path, LIMIT)
    first.record_accepted(handed_in("a"))
    first.record_accepted(handed_in("b"))
    file = tmp_path / module.JOURNAL_FILE
    file.write_bytes(file.read_bytes()[:-cut])
    second = Journal(tmp_path, LIMIT)
    assert list(second.entries) == ["a"] and "dropped" in caplog.text
    # What is written next stands on a line of its own.
    second.record_accepted(handed_in("c"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "c"]


@pytest.mark.parametrize(
    "text", [b"[]\n", b"{}\n", b'{"sent":"nobody","at":1,"endpoint":"r","zone":"z","number":0}\n']
)
def test_a_record_that_cannot_be_read_does_not_take_the_others_with_it(tmp_path: Path, text: bytes) -> None:
    first = Journal(tmp_path, LIMIT)
    first.record_accepted(handed_in("a"))
    with open(tmp_path / module.JOURNAL_FILE, "ab") as file:
        file.write(text)
    first.record_accepted(handed_in("b"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "b"]


def test_compacting_leaves_out_what_is_over(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 400_000)
    journal.record_accepted(handed_in("kept", body=b"k" * 100))
    journal.record_attempt("kept", 0, AttemptRecord(5, "r", "z"))
    journal.record_outcome("kept", 0, Outcome.FULL)
    for number in range(2000):
        assert journal.record_accepted(handed_in(f"m{number}"))
        journal.record_end(f"m{number}")
        assert used(tmp_path) <= 400_000
    replayed = Journal(tmp_path, 400_000).entries
    assert list(replayed) == ["kept"] and replayed["kept"] == journal.entries["kept"]
    assert replayed["kept"].attempts[0].outcome is Outcome.FULL


def test_both_files_stay_under_the_limit_and_more_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit, most = 200_000, 0
    replace = module.os.replace

    def seen(source: Path, target: Path) -> None:
        nonlocal most
        most = max(most, used(tmp_path))
        replace(source, target)

    monkeypatch.setattr(module.os, "replace", seen)
    journal = Journal(tmp_path, limit)
    taken = [each for each in range(100) if journal.record_accepted(handed_in(f"m{each}", body=b"x" * 5000))]
    assert 5 < len(taken) < 100
    for each in taken:
        for number in range(6):
            assert journal.record_attempt(f"m{each}", number, AttemptRecord(1, "r", "z"))
    assert not journal.compact()  # nothing of it is over: no work for each message that is refused
    for each in taken[:-1]:
        journal.record_end(f"m{each}")
    assert journal.record_accepted(handed_in("later", body=b"x" * 5000))
    assert journal.compact()
    assert 0 < most <= limit and used(tmp_path) <= limit


def test_what_a_process_left_that_died_while_compacting_is_cleared(tmp_path: Path) -> None:
    Journal(tmp_path, LIMIT).record_accepted(handed_in("a"))
    (tmp_path / module.COMPACTED_FILE).write_bytes(b"half")
    assert list(Journal(tmp_path, LIMIT).entries) == ["a"]
    assert not (tmp_path / module.COMPACTED_FILE).exists()


def test_a_failed_or_short_write_refuses_and_leaves_the_file_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, write = Journal(tmp_path, LIMIT), module.os.write
    journal.record_accepted(handed_in("a"))
    monkeypatch.setattr(module.os, "write", lambda file, data: write(file, data[:20]))
    assert not journal.record_accepted(handed_in("b"))

    def full(file: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(module.os, "write", full)
    assert not journal.record_attempt("a", 0, AttemptRecord(1, "r", "z"))
    monkeypatch.setattr(module.os, "write", write)
    journal.record_accepted(handed_in("c"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "c"]
