"""Endpoint lists from files: accepting, merging, shrink protection and staleness."""

import asyncio
import io
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import run_async_test

from message_sender.configuration.general import read, read_endpoints
from message_sender.control_socket import send_request
from message_sender.discovery.file import LAST_GOOD_FILE, STALE_AFTER_US, FileDirectory
from message_sender.discovery.list_merging import MIN_PROTECTED_SIZE, ShrinkProtectedList, merge_lists
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import ListingKind
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.in_process_sender import running

SECOND = 1_000_000


def names(*endpoint_ids: str) -> dict[str, int]:
    return dict.fromkeys(endpoint_ids, 1)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sets(st.sampled_from("abcdefgh")), st.integers(0, 40)), max_size=12))
def test_accepted_entries_are_the_listed_and_the_retained_ones(lists: list[tuple[set[str], int]]) -> None:
    """All listed entries are accepted. Missing entries are retained for less than the retention time, and
    only if more than the allowed share went missing at once."""
    accepted, now, missing_since = ShrinkProtectedList[int](0.5, 30), 0, dict[str, int]()
    for listed, elapsed in lists:
        now += elapsed
        before = set(accepted.entries)
        accepted.update(names(*listed), now)
        entries = set(accepted.entries)
        assert listed <= entries and entries == listed | set(accepted.retained)
        assert set(accepted.retained) <= before
        missing_since = {name: missing_since.get(name, now) for name in entries - listed}
        assert all(now - since < 30 for since in missing_since.values())
        if not accepted.retained and len(before) < MIN_PROTECTED_SIZE:
            assert entries == listed


def test_missing_entries_are_retained_until_expiry_or_confirmation() -> None:
    accepted = ShrinkProtectedList[int](0.5, 60)
    accepted.update(names("a", "b", "c", "d"), 0)
    accepted.update(names("a"), 10)
    assert set(accepted.entries) == {"a", "b", "c", "d"} and not accepted.expire_retained(69)
    assert accepted.expire_retained(70) and set(accepted.entries) == {"a"}
    accepted.update(names("a", "b", "c", "d"), 80)
    accepted.update({}, 90)
    assert accepted.confirm() and not accepted.entries and not accepted.confirm()
    accepted.update(names("a", "b", "c", "d"), 100)
    accepted.update(names("a", "b", "c"), 110)
    assert set(accepted.entries) == {"a", "b", "c"}  # the loss of one of four entries is accepted at once


def test_first_of_two_lists_takes_precedence() -> None:
    assert merge_lists([{"a": 1}, {"a": 2, "b": 2}, {"b": 3, "c": 3}]) == {"a": 1, "b": 2, "c": 3}


class EndpointFiles:
    """Two endpoint files, a clock, and the recorded updates."""

    def __init__(self, folder: Path) -> None:
        self.paths, self.folder, self.now = (folder / "one.toml", folder / "two.toml"), folder, 0
        self.updates: list[EndpointsUpdated] = []

    def write(self, number: int, *endpoint_ids: str, port: int = 9000) -> None:
        rows = [
            f'[[endpoints]]\nid = "{name}"\ndestination = 1\ndial = "h:{port}"\n' for name in endpoint_ids
        ]
        self.paths[number].write_text("\n".join(rows))

    def directory(self, **options: Any) -> FileDirectory:  # noqa: ANN401
        directory = FileDirectory(self.paths, read_endpoints, self.folder, lambda: self.now, **options)
        directory.on_update = self.updates.append
        return directory


def test_files_are_merged_and_the_last_valid_list_is_saved(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    files = EndpointFiles(tmp_path)
    files.write(0, "a", port=1)
    files.write(1, "a", "b", port=2)
    directory = files.directory()
    assert directory.dials() == {"a": ("h", 1), "b": ("h", 2)}
    assert not directory.check_files()  # nothing has changed
    files.write(1, "b", "c", port=3)
    assert directory.check_files() and directory.dials() == {"a": ("h", 1), "b": ("h", 3), "c": ("h", 3)}
    assert files.updates[-1].listing is ListingKind.FULL and {
        each.id for each in files.updates[-1].endpoints
    } == {*"abc"}
    files.paths[1].write_text('[[endpoints]]\nid = "b"\n')
    assert not directory.check_files() and len(directory.dials()) == 3 and "dial: is missing" in caplog.text
    files.now += STALE_AFTER_US + 1
    directory.check_files()
    assert "endpoint list is stale" in caplog.text and "age_s=60" in caplog.text
    for path in files.paths:
        path.unlink()
    assert files.directory().dials() == directory.dials() and "the saved list is used" in caplog.text
    (tmp_path / LAST_GOOD_FILE).write_text("[[1]]")
    assert files.directory().dials() == {}


@run_async_test
async def test_sender_uses_endpoint_files_and_retains_endpoints_missing_from_them(state: Path) -> None:
    """The configuration's list takes precedence over files; a start without a file uses the saved list."""
    config_values = {
        "classes": {"c": {"effect": "safe", "aim_ms": 4000, "deadline_ms": 8000}},
        "directory": {"files": ["one.toml"], "patience_s": 60},
        "endpoints": [{"id": "a", "destination": 1, "dial": "127.0.0.1:1"}],
    }
    files = EndpointFiles(state)
    files.write(0, *"abcde")
    for number in (0, 1):
        sender = StandaloneSender(read(config_values, state), state, CompletionWriter(io.StringIO()))
        async with running(sender):
            assert sender.dial_addresses()["a"] == ("127.0.0.1", 1) and set(
                sender.engine.dispatcher.endpoints
            ) == {*"abcde"}
            if number == 0:
                files.write(0, "a")
                assert isinstance(sender.directory, FileDirectory) and not sender.directory.check_files()
                rows = (await asyncio.to_thread(send_request, state, {"do": "endpoints"}))["value"]
                assert rows["lists"][0]["doubted"] == [*"bcde"] and len(rows["endpoints"]) == 5
                files.paths[0].unlink()


def test_endpoints_of_an_emptied_file_are_retained_until_expiry_or_confirmation(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    files = EndpointFiles(tmp_path)
    files.write(0, "a", "b", "c", "d")
    files.write(1)
    directory = files.directory(retention_us=60 * SECOND)
    files.write(0)
    directory.check_files()
    assert len(directory.dials()) == 4
    assert "missing endpoints retained" in caplog.text and "missing=4 retained_s=60" in caplog.text
    files.now += 59 * SECOND
    assert not directory.check_files()
    files.now += SECOND
    assert directory.check_files() and not directory.dials()
    files.write(0, "a", "b", "c", "d")
    directory.check_files()
    files.write(0, "a")
    directory.check_files()
    assert directory.confirm() and set(directory.dials()) == {"a"} and not directory.confirm()
    assert json.loads((tmp_path / LAST_GOOD_FILE).read_text())[0][0] == "a"


def test_a_retained_endpoint_is_not_called_at_an_address_that_another_destination_has(tmp_path: Path) -> None:
    files = EndpointFiles(tmp_path)
    directory = None
    rows = [("a", 1, 1), ("b", 1, 2), ("c", 1, 3), ("d", 1, 4)]
    for listed in (rows, [("new", 2, 1)]):
        text = "".join(
            f'[[endpoints]]\nid = "{name}"\ndestination = {destination}\ndial = "h:{port}"\n'
            for name, destination, port in listed
        )
        files.paths[0].write_text(text)
        directory = directory or files.directory(retention_us=60 * SECOND)
        directory.check_files()
    assert directory is not None
    assert directory.dials() == {"new": ("h", 1), "b": ("h", 2), "c": ("h", 3), "d": ("h", 4)}
