"""Captures compared, replayed at their times, and written by a running sender."""

import asyncio
import itertools
import json
import re
from pathlib import Path

import pytest
from captures import MS, T0, Made, answer, read, request, summarize
from faults import turn, until
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import World, message, play, read_reply, soon

from message_sender.cli import main
from message_sender.cli.recorded_commands import read_recorded_commands
from message_sender.configuration.general import ConfigError, load
from message_sender.emulator.loop import VirtualLoop
from message_sender.pcap import replay as module
from message_sender.pcap.capture_writer import CaptureWriter, HeaderBlanker, RecordKind
from message_sender.pcap.capture_writer import main as capture_writer_main
from message_sender.pcap.compare import compare
from message_sender.pcap.replay import IdReplacer, PlannedRequest, Replay, plan
from message_sender.pcap.traffic_tap import TrafficTap
from message_sender.testbed.demo import Demo

IDS = {"X_Correlation_Id": "a1", "Idempotency_Key": "k1"}


def made(*after_ms: float, **fields: str) -> Made:
    capture = Made()
    for number, after in enumerate(after_ms):
        capture.says(0, after, request(f"/{number}", b"x", **fields)).says(1, after + 1, answer())
    return capture.ends(10_000)


def test_the_same_requests_are_the_same_and_how_far_apart() -> None:
    one, other = made(0, 20, 40).messages(), made(5, 25.25, 45).messages()
    comparison = compare(one[::2], other[::2])
    assert comparison.is_same() and comparison.requests == (3, 3)
    assert (comparison.max_apart_ns, comparison.max_apart_request) == (250_000, 1)
    assert not compare(one[::2], made(0, 20).messages()[::2]).is_same()
    other = made(0, 20, 40, **IDS).messages()
    assert not compare(one[::2], other[::2]).is_same()
    assert compare(one[::2], other[::2], ["x-correlation-id", "idempotency-key"]).is_same()


class FakeConnection:
    """Answers after a while of the loop's own time."""

    def __init__(self, world: "Wire") -> None:
        self.world = world

    async def exchange(self, planned: PlannedRequest) -> int:
        self.world.sent.append((asyncio.get_running_loop().time(), planned.data))
        await asyncio.sleep(self.world.takes)
        return 200

    def is_usable(self) -> bool:
        return True

    def close(self) -> None:
        self.world.closed += 1


class Wire:
    def __init__(self, takes: float) -> None:
        self.takes, self.sent, self.opened, self.closed = takes, [], 0, 0  # type: float, list[tuple[float, bytes]], int, int
        self.latencies: list[int] = []

    async def open(self) -> FakeConnection:
        self.opened += 1
        return FakeConnection(self)

    def record_value(self, value: int) -> bool:
        self.latencies.append(value)
        return True

    def play(self, planned: list[PlannedRequest]) -> module.ReplayOutcome:
        loop = VirtualLoop(100.0)
        try:
            return loop.run_until_complete(Replay(self.open, self).run(planned))
        finally:
            loop.close()


@pytest.mark.parametrize("speed", [1.0, 0.5, 10.0])
def test_requests_go_at_their_recorded_times_though_no_answer_comes(speed: float) -> None:
    """Open loop: three seconds an answer, and no request waits for one."""
    wire = Wire(takes=3.0)
    capture = made(0, 20, 40, 1040, 1040.5)
    outcome = wire.play(list(plan(capture.messages()[::2], speed)))
    times = [at - 100.0 for at, _ in wire.sent]
    assert times == pytest.approx([each / 1000 / speed for each in (0, 20, 40, 1040, 1040.5)], abs=1e-5)
    assert outcome.responses == {"200": 5} and wire.closed == wire.opened
    assert wire.latencies == pytest.approx([3_000_000] * 5, abs=20)


def test_a_connection_is_used_again_and_none_is_opened_beyond_the_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "CONNECTIONS_LIMIT", 2)
    wire = Wire(takes=0.001)
    wire.play(list(plan(made(0, 20, 40).messages()[::2])))
    assert wire.opened == 1
    wire = Wire(takes=9.0)
    outcome = wire.play(list(plan(made(0, 20, 40).messages()[::2])))
    assert (outcome.sent, outcome.not_sent) == (2, 1)


def test_a_clock_that_went_back_sends_with_the_one_before_and_the_spoilt_are_left_out() -> None:
    messages = made(0, 20, 40).messages()[::2]
    messages[1].message.first_at_ns = T0 - 60_000 * MS
    messages[0].message.is_complete = False
    assert [planned.due_s for planned in plan(messages)] == [0.0, pytest.approx(60.04)]


def test_new_ids_are_the_same_for_the_same_and_for_one_seed() -> None:
    messages = [*made(0, 20, **IDS).messages()[::2]]
    first, second = (each.data for each in plan(messages, id_replacer=IdReplacer(3)))
    ids = [re.findall(rb"X-Correlation-Id: (\S+)", each)[0] for each in (first, second)]
    assert ids[0] == ids[1] != b"a1" and b"k1" not in first
    assert (
        first
        == next(plan(messages, id_replacer=IdReplacer(3))).data
        != next(plan(messages, id_replacer=IdReplacer(4))).data
    )


# The witness.


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 130), max_size=20))
def test_secrets_are_blanked_wherever_the_bytes_are_cut(cuts: list[int]) -> None:
    data = b"GET / HTTP/1.1\r\nAuthorization: Bearer s3cret\r\n folded s3cret\r\nAuthor: me\r\n"
    data += b"cookie:s3cret\r\n\r\nAuth"
    blanker, out = HeaderBlanker(["Authorization", "cookie"]), b""
    places = sorted({0, len(data), *(min(each, len(data)) for each in cuts)})
    for start, end in itertools.pairwise(places):
        out += blanker.blank(data[start:end])
    out += blanker.flush()
    assert len(out) == len(data) and b"s3cret" not in out
    assert out.replace(b"x", b"") == re.sub(rb"(?<=n:) Bearer s3cret| folded s3cret|(?<=e:)s3cret", b"", data)


ENDS = b"127.0.0.1:1 127.0.0.1:2"


def test_files_rotate_and_only_so_many_are_kept(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path, file_bytes_limit=2000, files_limit=3)
    writer.write(RecordKind.OPENED, 1, 0, T0, ENDS)
    for each in range(40):
        writer.write(RecordKind.DATA, 1, 0, T0 + each, request(f"/{each}", b"y" * 300))
    writer.close()
    kept = writer.list_files()
    assert len(kept) == 3 and all(each.stat().st_size < 3000 for each in kept)
    seen = [each[0] for path in kept for each in summarize(read(path.read_bytes()))]
    assert seen and seen == [f"/{each}" for each in range(40 - len(seen), 40)]  # each file can be read alone
    assert CaptureWriter(tmp_path, 2000, 3).number == writer.number + 1


def test_what_the_capture_writer_was_not_told_is_a_gap_in_its_file(tmp_path: Path) -> None:
    writer, data = CaptureWriter(tmp_path, 10**6), request("/a", b"y" * 300)
    for what, some in (
        (RecordKind.OPENED, ENDS),
        (RecordKind.DATA, data[:150]),
        (RecordKind.LOST, b"100"),
        (RecordKind.DATA, data[250:]),
        (RecordKind.ENDED, b""),
    ):
        writer.write(what, 1, 0, T0, some)
    writer.close()
    (found,) = read(writer.list_files()[0].read_bytes())
    assert not found.message.is_complete and "100 bytes" in found.message.notes[0]


def test_a_capture_writer_that_falls_behind_costs_records_and_no_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("message_sender.pcap.traffic_tap.PENDING_BYTES_LIMIT", 1000)

    async def test() -> TrafficTap:
        tap = TrafficTap(tmp_path, 10**6)
        monkeypatch.setattr("message_sender.pcap.traffic_tap.os.write", blocked)
        number = tap.opened(("127.0.0.1", 1), ("127.0.0.1", 2))
        for _ in range(3):
            tap.passed(number, 0, b"x" * 700)
            await turn()
        assert (tap.dropped_records, tap.dropped_bytes) == (1, {(number, 0): 700})
        monkeypatch.undo()
        tap.flush()
        tap.passed(number, 0, b"end")
        return tap

    def blocked(pipe: int, data: bytes) -> int:
        raise BlockingIOError

    asyncio.run(test()).close()
    (found,) = tmp_path.iterdir()
    assert b"x" * 700 in found.read_bytes() and b"end" in found.read_bytes()


def test_a_capture_writer_that_has_ended_ends_the_capture_and_nothing_else(tmp_path: Path) -> None:
    async def test() -> TrafficTap:
        tap = TrafficTap(tmp_path, 10**6)
        tap.process.kill()
        tap.process.wait()
        tap.opened(("127.0.0.1", 1), ("127.0.0.1", 2))
        tap.flush()
        tap.passed(1, 0, b"x")
        return tap

    tap = asyncio.run(test())
    tap.close()
    assert "Broken pipe" in tap.failure and tap.dropped_records == 1


def test_a_disk_that_fails_ends_the_capture_writer_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "file").write_text("")
    assert capture_writer_main([str(tmp_path / "file"), "1000", "4"]) == 1
    assert capsys.readouterr().err.startswith("message-sender: nothing more is captured: ")


@play
async def test_a_sender_s_traffic_is_written_on_both_sides(state: Path) -> None:
    (state / "s").mkdir()
    async with World(state / "s") as world:
        tap = TrafficTap(state / "c", 1_000_000, blanked_headers=["idempotency-key"])
        world.sender.server.observer = world.sender.transport.observer = tap
        reader, writer = await asyncio.open_connection(*world.running.address)
        for name in ("m1", "m2"):
            writer.write(message(name, b"body"))
            assert (await read_reply(reader)).status == 202
            (await world.receiver.next()).answer(200)
        await until(lambda: not world.sender.engine.journal.entries)
        writer.close()
    tap.close()
    found = read((state / "c" / "capture-1.pcap").read_bytes())
    assert sorted(each[0] for each in summarize(found) if isinstance(each[0], str)) == [
        "/c",
        "/c",
        "/hook",
        "/hook",
    ]
    assert sorted(each[0] for each in summarize(found) if isinstance(each[0], int)) == [200, 200, 202, 202]
    secrets = {
        value
        for captured in found
        for name, value in captured.message.headers
        if name.lower() == "idempotency-key"
    }
    assert len(secrets) == 1 and set(secrets.pop()) == {"x"}
    assert all(captured.message.is_complete for captured in found)


def test_the_commands_of_a_capture_for_the_demonstration(tmp_path: Path) -> None:
    named = {"X_Service_Class": "c", "X_Session_Key": "k"}
    capture = Made().says(0, 1, request("/c", b"1", X_Route_To="dest=7", **named))
    capture.says(0, 21, request("/other", b"2"))
    capture.says(0, 31, request("/c", b"3", X_Route_To="dest=8", **named))
    path = tmp_path / "f.pcap"
    path.write_bytes(capture.ends().out.getvalue())
    given = read_recorded_commands(path)
    assert [(each.due, each.destination, each.key, each.body) for each in given] == [
        (0.0, 7, "k", b"1"),
        (0.03, 8, "k", b"3"),
    ]
    shown = Demo(0.1, 40, 1, given)
    assert asyncio.run(shown.run(lambda count: None)) == []
    assert shown.counters.sent == 2 == shown.counters.ends["delivered"]


# The command line.


def run(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, str]:
    code = main(["pcap", *words])
    return code, capsys.readouterr().out


def test_the_commands(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    one, other = tmp_path / "one.pcap", tmp_path / "other.pcap"
    one.write_bytes(made(0, 20, 40).out.getvalue())
    other.write_bytes(made(0, 22, 40).out.getvalue())
    code, out = run(capsys, "info", str(one), "--json")
    assert (code, json.loads(out)["requests"], json.loads(out)["connections"]) == (0, 3, 1)
    lines = run(capsys, "requests", str(one), "--json", "--answers")[1].splitlines()
    assert [json.loads(each).get("target") for each in lines] == ["/0", None, "/1", None, "/2", None]
    assert run(capsys, "diff", str(one), str(other))[0] == 0
    assert run(capsys, "diff", str(one), str(other), "--within", "1")[0] == 1
    other.write_bytes(made(0, 22).out.getvalue())
    assert run(capsys, "diff", str(one), str(other))[0] == 1
    other.write_bytes(b"no capture")
    assert run(capsys, "info", str(other))[0] == 1
    assert run(capsys, "replay", str(one))[0] == 2
    assert run(capsys, "replay", str(one), "--to", "nowhere")[0] == 2


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.readuntil(b"\r\n\r\nx"):
        writer.write(answer())


def test_a_replay_over_real_sockets(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> tuple[int, str]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        path = tmp_path / "one.pcap"
        path.write_bytes(made(0, 1, 2).out.getvalue())
        words = ("replay", str(path), "--to", f"127.0.0.1:{port}", "--new-ids")
        return await soon(asyncio.to_thread(run, capsys, *words))

    code, out = asyncio.run(test())
    assert code == 0 and "sent 3" in out and re.search(r"200 3", out)


def test_the_switch_in_the_configuration(tmp_path: Path) -> None:
    plain = '[classes.c]\neffect = "safe"\naim_ms = 1\ndeadline_ms = 2\n'
    path = tmp_path / "f.toml"
    path.write_text(plain + '[capture]\nfolder = "c"\nmost_mb = 2\nblank = ["X-Key"]\n')
    found = load(path).capture
    assert found and (found.folder, found.file_bytes_limit, found.files_limit, found.blanked_headers) == (
        tmp_path / "c",
        2_000_000,
        4,
        ("X-Key",),
    )
    path.write_text(plain + "[capture]\nmost_mb = 0\nblank = [1]\nwhat = 1\n")
    with pytest.raises(ConfigError) as error:
        load(path)
    assert sorted(each.path for each in error.value.faults) == [
        f"capture.{x}" for x in ("blank", "folder", "most_mb", "what")
    ]
