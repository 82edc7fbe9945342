"""The process journal: replay, torn records, compaction and the size limit."""

import errno
import os
from pathlib import Path

import pytest
from peers import sample_message

from message_sender.journal import process_journal as module
from message_sender.journal.entries import AttemptRecord, RecordedCompletion
from message_sender.journal.process_journal import Journal
from message_sender.policy.model import Outcome

LIMIT = 3_000_000


def disk_usage(folder: Path) -> int:
    return sum(-(-file.stat().st_size // 512) * 512 for file in folder.iterdir())


def test_pending_messages_are_replayed_in_the_order_of_acceptance(tmp_path: Path) -> None:
    first = Journal(tmp_path, LIMIT)
    for name in ("a", "b", "c"):
        assert first.record_accepted(sample_message(name, body=bytes(range(256)), until=7))
    first.record_attempt("a", 0, AttemptRecord(5, "r", "z"))
    first.record_outcome("a", 0, Outcome.FULL)
    first.record_attempt("a", 1, AttemptRecord(6, "s", "y"))
    first.record_attempt("c", 0, AttemptRecord(7, "r", "z"))
    first.record_end("b")
    # The first journal is not closed, as in a process that is killed.
    second = Journal(tmp_path, LIMIT)
    assert list(second.entries) == ["a", "c"]
    assert second.entries["a"].message == sample_message("a", body=bytes(range(256)), until=7)
    risk = second.entries["a"].first_uncertain_attempt()
    assert risk is not None and (risk.started_us, risk.endpoint, risk.zone) == (6, "s", "y")


@pytest.mark.parametrize("cut_bytes", [1, 10, 60])
def test_a_torn_last_record_is_dropped_with_a_log_line(
    tmp_path: Path, cut_bytes: int, caplog: pytest.LogCaptureFixture
) -> None:
    first = Journal(tmp_path, LIMIT)
    first.record_accepted(sample_message("a"))
    first.record_accepted(sample_message("b"))
    file = tmp_path / module.JOURNAL_FILE
    file.write_bytes(file.read_bytes()[:-cut_bytes])
    second = Journal(tmp_path, LIMIT)
    assert list(second.entries) == ["a"] and "dropped" in caplog.text
    # The next record begins on a new line.
    second.record_accepted(sample_message("c"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "c"]


def test_a_completion_that_may_have_been_reported_is_kept_over_a_kill(tmp_path: Path) -> None:
    """Otherwise the next process sends a message whose end the platform has on record."""
    first = Journal(tmp_path, LIMIT)
    first.record_accepted(sample_message("a"))
    first.record_completion("a", "refused", 500)
    assert Journal(tmp_path, LIMIT).entries["a"].completion == RecordedCompletion("refused", 500)


def test_a_start_succeeds_while_a_torn_record_cannot_be_truncated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(file: int, size: int) -> None:
        raise OSError(errno.EIO, "input/output error")

    first = Journal(tmp_path, LIMIT)
    first.record_accepted(sample_message("a"))
    first.record_accepted(sample_message("b"))
    file = tmp_path / module.JOURNAL_FILE
    file.write_bytes(file.read_bytes()[:-5])
    with monkeypatch.context() as patch:
        patch.setattr(os, "ftruncate", fail)
        second = Journal(tmp_path, LIMIT)
        assert list(second.entries) == ["a"] and not second.record_accepted(sample_message("c"))
    assert second.record_accepted(sample_message("d"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "d"]


@pytest.mark.parametrize("failed_truncations", [1, 3])
def test_a_short_write_that_cannot_be_truncated_loses_no_later_record(
    failed_truncations: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write, truncate = os.write, os.ftruncate
    failures = iter([True] * failed_truncations)

    def truncate_after_failures(file: int, size: int) -> None:
        if next(failures, False):
            raise OSError(errno.EIO, "input/output error")
        truncate(file, size)

    journal = Journal(tmp_path, LIMIT)
    assert journal.record_accepted(sample_message("a"))
    monkeypatch.setattr(os, "ftruncate", truncate_after_failures)
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda file, data: write(file, data[:10]))
        assert not journal.record_accepted(sample_message("b"))
    accepted = ["a", *(name for name in "cdef" if journal.record_accepted(sample_message(name)))]
    assert len(accepted) == 6 - failed_truncations
    assert list(Journal(tmp_path, LIMIT).entries) == accepted


@pytest.mark.parametrize(
    "text", [b"[]\n", b"{}\n", b'{"sent":"unknown","at":1,"endpoint":"r","zone":"z","number":0}\n']
)
def test_an_unreadable_record_does_not_affect_the_others(tmp_path: Path, text: bytes) -> None:
    first = Journal(tmp_path, LIMIT)
    first.record_accepted(sample_message("a"))
    with open(tmp_path / module.JOURNAL_FILE, "ab") as file:
        file.write(text)
    first.record_accepted(sample_message("b"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "b"]


def test_compaction_drops_finished_messages(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 400_000)
    journal.record_accepted(sample_message("kept", body=b"k" * 100))
    journal.record_attempt("kept", 0, AttemptRecord(5, "r", "z"))
    journal.record_outcome("kept", 0, Outcome.FULL)
    for number in range(2000):
        assert journal.record_accepted(sample_message(f"m{number}"))
        journal.record_end(f"m{number}")
        assert disk_usage(tmp_path) <= 400_000
    replayed = Journal(tmp_path, 400_000).entries
    assert list(replayed) == ["kept"] and replayed["kept"] == journal.entries["kept"]
    assert replayed["kept"].attempts[0].outcome is Outcome.FULL


def test_both_files_stay_within_the_limit_and_further_messages_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit, max_usage = 200_000, 0
    replace = module.os.replace

    def measuring_replace(source: Path, target: Path) -> None:
        nonlocal max_usage
        max_usage = max(max_usage, disk_usage(tmp_path))
        replace(source, target)

    monkeypatch.setattr(module.os, "replace", measuring_replace)
    journal = Journal(tmp_path, limit)
    accepted = [n for n in range(100) if journal.record_accepted(sample_message(f"m{n}", body=b"x" * 5000))]
    assert 5 < len(accepted) < 100
    for n in accepted:
        for number in range(6):
            assert journal.record_attempt(f"m{n}", number, AttemptRecord(1, "r", "z"))
    assert not journal.compact()  # no message has finished: a rejected message must not cause a compaction
    for n in accepted[:-1]:
        journal.record_end(f"m{n}")
    assert journal.record_accepted(sample_message("later", body=b"x" * 5000))
    assert journal.compact()
    assert 0 < max_usage <= limit and disk_usage(tmp_path) <= limit


def test_the_incomplete_file_of_an_interrupted_compaction_is_removed(tmp_path: Path) -> None:
    Journal(tmp_path, LIMIT).record_accepted(sample_message("a"))
    (tmp_path / module.COMPACTED_FILE).write_bytes(b"half")
    assert list(Journal(tmp_path, LIMIT).entries) == ["a"]
    assert not (tmp_path / module.COMPACTED_FILE).exists()


def test_a_failed_or_short_write_rejects_the_record_and_leaves_the_file_intact(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, write = Journal(tmp_path, LIMIT), module.os.write
    journal.record_accepted(sample_message("a"))
    monkeypatch.setattr(module.os, "write", lambda file, data: write(file, data[:20]))
    assert not journal.record_accepted(sample_message("b"))

    def write_to_full_disk(file: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(module.os, "write", write_to_full_disk)
    assert not journal.record_attempt("a", 0, AttemptRecord(1, "r", "z"))
    monkeypatch.setattr(module.os, "write", write)
    journal.record_accepted(sample_message("c"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "c"]
