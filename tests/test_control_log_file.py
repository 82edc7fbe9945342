"""The log file of a control node: truncation, flipped bits, full disks and power losses."""

import random
from pathlib import Path

import pytest

from message_sender.control.log_file import (
    LOG_FILE,
    MAGIC,
    LoadedLog,
    LogFile,
    encode_frame,
    make_batch,
    read_log,
)
from message_sender.control.messages import LogEntry
from message_sender.control.raft_types import HardState
from message_sender.testbed.simulated_disk import MemoryDisk, SimulatedDisk

FOLDER = Path("state")


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index, term, f"change {index} of term {term}".encode())


BATCHES = (
    make_batch(HardState(1, "c1"), None, ()),
    make_batch(None, None, (entry(1), entry(2))),
    make_batch(HardState(2, ""), 2, (entry(2, 2), entry(3, 2))),
    make_batch(None, None, (entry(4, 2),)),
)
#: The content of the log after the first 0, 1, 2, ... batches.
AFTER = (
    (HardState(), ()),
    (HardState(1, "c1"), ()),
    (HardState(1, "c1"), (entry(1), entry(2))),
    (HardState(2, ""), (entry(1), entry(2, 2), entry(3, 2))),
    (HardState(2, ""), (entry(1), entry(2, 2), entry(3, 2), entry(4, 2))),
)
FRAMES = [encode_frame(batch) for batch in BATCHES]
COMPLETE_LOG = MAGIC + b"".join(FRAMES)
ENDS = [len(MAGIC) + sum(map(len, FRAMES[:count])) for count in range(len(FRAMES) + 1)]


def load(data: bytes) -> tuple[LoadedLog, SimulatedDisk]:
    disk = SimulatedDisk({LOG_FILE: data})
    log = LogFile(FOLDER, MemoryDisk(disk))
    loaded = log.load()
    if loaded.damage is not None:
        log.replace_damaged(loaded)
    return loaded, disk


def test_stored_batches_are_loaded_unchanged() -> None:
    disk = SimulatedDisk()
    log = LogFile(FOLDER, MemoryDisk(disk))
    log.create()
    assert log.load() == LoadedLog(HardState(), ())
    for batch in BATCHES:
        log.store(batch)
    assert disk.cut(random.Random(0), keeps=0.0)[LOG_FILE] == COMPLETE_LOG
    loaded, _ = load(COMPLETE_LOG)
    assert (loaded.hard_state, loaded.entries) == AFTER[-1]
    assert loaded.damage is None and loaded.torn_bytes == 0


@pytest.mark.parametrize("size", range(len(COMPLETE_LOG)))
def test_a_log_cut_at_any_byte_keeps_the_complete_batches_before_it(size: int) -> None:
    loaded, disk = load(COMPLETE_LOG[:size])
    if size < len(MAGIC):
        assert loaded.damage is not None and loaded.damage.offset == 0
        return
    count = max(count for count, end in enumerate(ENDS) if end <= size)
    assert (loaded.hard_state, loaded.entries) == AFTER[count]
    assert loaded.damage is None and loaded.torn_bytes == size - ENDS[count]
    assert disk.cut(random.Random(0), keeps=0.0)[LOG_FILE] == COMPLETE_LOG[: ENDS[count]]


@pytest.mark.parametrize("at", range(len(COMPLETE_LOG)))
def test_a_flip_of_any_bit_is_reported_as_damage_at_the_offset_of_its_batch(at: int) -> None:
    for bit in range(8):
        damaged = bytearray(COMPLETE_LOG)
        damaged[at] ^= 1 << bit
        loaded, disk = load(bytes(damaged))
        count = max((count for count, end in enumerate(ENDS) if end <= at), default=0)
        assert loaded.damage is not None
        assert loaded.damage.offset == (ENDS[count] if at >= len(MAGIC) else 0)
        assert (loaded.hard_state, loaded.entries) == AFTER[count if at >= len(MAGIC) else 0]
        left = disk.cut(random.Random(0), keeps=0.0)
        assert left["log.damaged"] == bytes(damaged)
        assert read_log(left[LOG_FILE]).damage is None


def test_a_batch_whose_sectors_never_reached_the_disk_is_a_torn_write() -> None:
    entries = tuple(LogEntry(index, 3, b"x" * 400) for index in range(5, 10))
    frame = encode_frame(make_batch(None, None, entries))
    begin = len(COMPLETE_LOG)
    for sector in range(begin // 512, (begin + len(frame)) // 512):
        data = bytearray(COMPLETE_LOG + frame)
        first, end = max(sector * 512, begin), (sector + 1) * 512
        data[first:end] = bytes(end - first)
        loaded, _ = load(bytes(data))
        assert loaded.damage is None and loaded.torn_bytes == len(frame)
        assert loaded.entries == AFTER[-1][1]
        loaded, _ = load(bytes(data) + encode_frame(make_batch(HardState(9, "x"), None, ())))
        assert loaded.damage is not None and loaded.damage.offset == begin


@pytest.mark.parametrize("seed", range(40))
def test_a_power_loss_keeps_the_stored_batches(seed: int) -> None:
    rng = random.Random(seed)
    disk = SimulatedDisk()
    stored = 0
    countdown = rng.randrange(4, 16)

    def lose_power(operation: str) -> None:
        nonlocal countdown
        countdown -= 1
        if countdown < 0:
            raise EOFError(operation)

    log = LogFile(FOLDER, MemoryDisk(disk))
    log.create()
    log.load()
    log.disk = MemoryDisk(disk, lose_power)
    log.disk.files = {log._file: disk.now[LOG_FILE]}  # type: ignore[dict-item]
    try:
        for batch in BATCHES:
            log.store(batch)
            stored += 1
    except EOFError:
        pass
    loaded, _ = load(disk.cut(rng)[LOG_FILE])
    assert loaded.damage is None
    assert (loaded.hard_state, loaded.entries) in AFTER[stored : stored + 2]


@pytest.mark.parametrize("operation", ["write", "sync"])
def test_a_batch_that_failed_on_a_full_disk_is_stored_later_exactly_once(operation: str) -> None:
    disk = SimulatedDisk({LOG_FILE: COMPLETE_LOG})
    is_full = False

    def refuse(attempted: str) -> None:
        if is_full and attempted == operation:
            raise OSError(28, "No space left on device")

    log = LogFile(FOLDER, MemoryDisk(disk, refuse))
    log.load()
    is_full = True
    batch = make_batch(HardState(3, "c2"), None, (entry(5, 3),))
    for _ in range(3):
        with pytest.raises(OSError, match="No space"):
            log.store(batch)
    is_full = False
    log.store(batch)
    assert disk.cut(random.Random(0), keeps=0.0)[LOG_FILE] == COMPLETE_LOG + encode_frame(batch)


def test_entries_that_leave_a_gap_are_damage() -> None:
    gap = encode_frame(make_batch(None, None, (entry(6, 2),)))
    loaded, _ = load(COMPLETE_LOG + gap)
    assert loaded.damage is not None and loaded.damage.offset == len(COMPLETE_LOG)
    assert "entry 6 follows entry 4" in loaded.damage.reason
