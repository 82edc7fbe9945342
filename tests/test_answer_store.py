"""The file of answers: a short write costs the answer that it belongs to, and no other."""

import os
from pathlib import Path

import pytest

from message_sender.journal.answer_store import AnswerStore


def test_a_short_write_loses_no_later_answer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write = os.write
    store = AnswerStore(tmp_path)
    store.add("a", "delivered", 0, b"1", "")
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda file, data: write(file, data[:10]))
        store.add("b", "delivered", 0, b"2", "")
    store.add("c", "delivered", 0, b"3", "")
    store.add("d", "delivered", 0, b"4", "")
    store.close()
    assert list(AnswerStore(tmp_path).answers) == ["a", "c", "d"]
