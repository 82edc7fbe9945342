"""Comparison and replay of captures, and captures written by a running sender."""

import asyncio
import itertools
import json
import re
from pathlib import Path

import pytest
from captures import MS, T0, CaptureBuilder, answer, read, request, summarize
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import World, message, read_reply, run_async_test, with_timeout
from socket_faults import next_iteration, until

from message_sender.cli import main
from message_sender.cli.recorded_commands import read_recorded_commands
from message_sender.configuration.general import ConfigError, load
from message_sender.emulator.loop import VirtualLoop
from message_sender.pcap import replay as replay_module
from message_sender.pcap.capture_writer import CaptureWriter, HeaderBlanker, RecordKind
from message_sender.pcap.capture_writer import main as capture_writer_main
from message_sender.pcap.compare import compare
from message_sender.pcap.replay import IdReplacer, PlannedRequest, Replay, plan
from message_sender.pcap.traffic_tap import TrafficTap
from message_sender.testbed.demo import Demo

IDS = {"X_Correlation_Id": "a1", "Idempotency_Key": "k1"}


def capture_of(*after_ms: float, **fields: str) -> CaptureBuilder:
    capture = CaptureBuilder()
    for number, after in enumerate(after_ms):
        capture.send(0, after, request(f"/{number}", b"x", **fields)).send(1, after + 1, answer())
    return capture.end(10_000)


def test_comparison_reports_differences_of_requests_and_their_times() -> None:
    one, other = capture_of(0, 20, 40).messages(), capture_of(5, 25.25, 45).messages()
    comparison = compare(one[::2], other[::2])
    assert comparison.is_same() and comparison.requests == (3, 3)
    assert (comparison.max_apart_ns, comparison.max_apart_request) == (250_000, 1)
    assert not compare(one[::2], capture_of(0, 20).messages()[::2]).is_same()
    other = capture_of(0, 20, 40, **IDS).messages()
    assert not compare(one[::2], other[::2]).is_same()
    assert compare(one[::2], other[::2], ["x-correlation-id", "idempotency-key"]).is_same()


class FakeConnection:
    """Responds after a delay on the virtual clock of the event loop."""

    def __init__(self, server: "FakeServer") -> None:
        self.server = server

    async def exchange(self, planned: PlannedRequest) -> int:
        self.server.sent.append((asyncio.get_running_loop().time(), planned.data))
        await asyncio.sleep(self.server.response_delay_s)
        return 200

    def is_usable(self) -> bool:
        return True

    def close(self) -> None:
        self.server.closed += 1


class FakeServer:
    def __init__(self, response_delay_s: float) -> None:
        self.response_delay_s, self.sent, self.opened, self.closed = response_delay_s, [], 0, 0  # type: float, list[tuple[float, bytes]], int, int
        self.latencies: list[int] = []

    async def open(self) -> FakeConnection:
        self.opened += 1
        return FakeConnection(self)

    def record_value(self, value: int) -> bool:
        self.latencies.append(value)
        return True

    def play(self, planned: list[PlannedRequest]) -> replay_module.ReplayOutcome:
        loop = VirtualLoop(100.0)
        try:
            return loop.run_until_complete(Replay(self.open, self).run(planned))
        finally:
            loop.close()


@pytest.mark.parametrize("speed", [1.0, 0.5, 10.0])
def test_requests_are_sent_at_their_recorded_times_without_waiting_for_responses(speed: float) -> None:
    """Open loop: each response takes three seconds, and no request waits for a response."""
    server = FakeServer(response_delay_s=3.0)
    capture = capture_of(0, 20, 40, 1040, 1040.5)
    outcome = server.play(list(plan(capture.messages()[::2], speed)))
    times = [at - 100.0 for at, _ in server.sent]
    assert times == pytest.approx(
        [after_ms / 1000 / speed for after_ms in (0, 20, 40, 1040, 1040.5)], abs=1e-5
    )
    assert outcome.responses == {"200": 5} and server.closed == server.opened
    assert server.latencies == pytest.approx([3_000_000] * 5, abs=20)


def test_connections_are_reused_and_their_number_is_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replay_module, "CONNECTIONS_LIMIT", 2)
    server = FakeServer(response_delay_s=0.001)
    server.play(list(plan(capture_of(0, 20, 40).messages()[::2])))
    assert server.opened == 1
    server = FakeServer(response_delay_s=9.0)
    outcome = server.play(list(plan(capture_of(0, 20, 40).messages()[::2])))
    assert (outcome.sent, outcome.not_sent) == (2, 1)


def test_plan_skips_incomplete_requests_and_handles_a_clock_that_went_back() -> None:
    messages = capture_of(0, 20, 40).messages()[::2]
    messages[1].message.first_at_ns = T0 - 60_000 * MS
    messages[0].message.is_complete = False
    assert [planned.due_s for planned in plan(messages)] == [0.0, pytest.approx(60.04)]


def test_replaced_ids_depend_on_the_recorded_id_and_the_seed() -> None:
    messages = [*capture_of(0, 20, **IDS).messages()[::2]]
    first, second = (planned.data for planned in plan(messages, id_replacer=IdReplacer(3)))
    ids = [re.findall(rb"X-Correlation-Id: (\S+)", data)[0] for data in (first, second)]
    assert ids[0] == ids[1] != b"a1" and b"k1" not in first
    assert (
        first
        == next(plan(messages, id_replacer=IdReplacer(3))).data
        != next(plan(messages, id_replacer=IdReplacer(4))).data
    )


# Capture files written by a running sender.


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 130), max_size=20))
def test_header_values_are_blanked_however_the_bytes_are_split(split_positions: list[int]) -> None:
    data = b"GET / HTTP/1.1\r\nAuthorization: Bearer s3cret\r\n folded s3cret\r\nAuthor: me\r\n"
    data += b"cookie:s3cret\r\n\r\nAuth"
    blanker, written = HeaderBlanker(["Authorization", "cookie"]), b""
    positions = sorted({0, len(data), *(min(each, len(data)) for each in split_positions)})
    for start, end in itertools.pairwise(positions):
        written += blanker.blank(data[start:end])
    written += blanker.flush()
    assert len(written) == len(data) and b"s3cret" not in written
    assert written.replace(b"x", b"") == re.sub(
        rb"(?<=n:) Bearer s3cret| folded s3cret|(?<=e:)s3cret", b"", data
    )


ADDRESSES = b"127.0.0.1:1 127.0.0.1:2"


def test_files_rotate_and_their_number_is_limited(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path, file_bytes_limit=2000, files_limit=3)
    writer.write(RecordKind.OPENED, 1, 0, T0, ADDRESSES)
    for number in range(40):
        writer.write(RecordKind.DATA, 1, 0, T0 + number, request(f"/{number}", b"y" * 300))
    writer.close()
    paths = writer.list_files()
    assert len(paths) == 3 and all(path.stat().st_size < 3000 for path in paths)
    targets = [message[0] for path in paths for message in summarize(read(path.read_bytes()))]
    # Each file can be read without the others.
    assert targets and targets == [f"/{number}" for number in range(40 - len(targets), 40)]
    assert CaptureWriter(tmp_path, 2000, 3).number == writer.number + 1


def test_bytes_lost_before_the_capture_writer_are_a_gap_in_its_file(tmp_path: Path) -> None:
    writer, data = CaptureWriter(tmp_path, 10**6), request("/a", b"y" * 300)
    for kind, record_data in (
        (RecordKind.OPENED, ADDRESSES),
        (RecordKind.DATA, data[:150]),
        (RecordKind.LOST, b"100"),
        (RecordKind.DATA, data[250:]),
        (RecordKind.ENDED, b""),
    ):
        writer.write(kind, 1, 0, T0, record_data)
    writer.close()
    (captured,) = read(writer.list_files()[0].read_bytes())
    assert not captured.message.is_complete and "100 bytes" in captured.message.notes[0]


def test_records_are_dropped_if_the_capture_writer_falls_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("message_sender.pcap.traffic_tap.PENDING_BYTES_LIMIT", 1000)

    async def test() -> TrafficTap:
        tap = TrafficTap(tmp_path, 10**6)
        monkeypatch.setattr("message_sender.pcap.traffic_tap.os.write", blocked)
        connection = tap.connection_opened(("127.0.0.1", 1), ("127.0.0.1", 2))
        for _ in range(3):
            tap.data_sent(connection, 0, b"x" * 700)
            await next_iteration()
        assert (tap.dropped_records, tap.dropped_bytes) == (1, {(connection, 0): 700})
        monkeypatch.undo()
        tap.flush()
        tap.data_sent(connection, 0, b"end")
        return tap

    def blocked(pipe: int, data: bytes) -> int:
        raise BlockingIOError

    asyncio.run(test()).close()
    (path,) = tmp_path.iterdir()
    assert b"x" * 700 in path.read_bytes() and b"end" in path.read_bytes()


def test_the_end_of_the_capture_writer_stops_only_the_capture(tmp_path: Path) -> None:
    async def test() -> TrafficTap:
        tap = TrafficTap(tmp_path, 10**6)
        tap.process.kill()
        tap.process.wait()
        tap.connection_opened(("127.0.0.1", 1), ("127.0.0.1", 2))
        tap.flush()
        tap.data_sent(1, 0, b"x")
        return tap

    tap = asyncio.run(test())
    tap.close()
    assert "Broken pipe" in tap.failure and tap.dropped_records == 1


def test_an_unusable_folder_ends_the_capture_writer_with_an_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "file").write_text("")
    assert capture_writer_main([str(tmp_path / "file"), "1000", "4"]) == 1
    assert capsys.readouterr().err.startswith("message-sender: nothing more is captured: ")


@run_async_test
async def test_traffic_with_clients_and_endpoints_is_captured(state: Path) -> None:
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
    messages = read((state / "c" / "capture-1.pcap").read_bytes())
    assert sorted(each[0] for each in summarize(messages) if isinstance(each[0], str)) == [
        "/c",
        "/c",
        "/hook",
        "/hook",
    ]
    assert sorted(each[0] for each in summarize(messages) if isinstance(each[0], int)) == [200, 200, 202, 202]
    secrets = {
        value
        for captured in messages
        for name, value in captured.message.headers
        if name.lower() == "idempotency-key"
    }
    assert len(secrets) == 1 and set(secrets.pop()) == {"x"}
    assert all(captured.message.is_complete for captured in messages)


def test_the_demo_delivers_the_commands_of_a_capture(tmp_path: Path) -> None:
    fields = {"X_Service_Class": "c", "X_Session_Key": "k"}
    capture = CaptureBuilder().send(0, 1, request("/c", b"1", X_Route_To="dest=7", **fields))
    capture.send(0, 21, request("/other", b"2"))
    capture.send(0, 31, request("/c", b"3", X_Route_To="dest=8", **fields))
    path = tmp_path / "f.pcap"
    path.write_bytes(capture.end().file.getvalue())
    commands = read_recorded_commands(path)
    assert [(each.due, each.destination, each.key, each.body) for each in commands] == [
        (0.0, 7, "k", b"1"),
        (0.03, 8, "k", b"3"),
    ]
    demo = Demo(0.1, 40, 1, commands)
    assert asyncio.run(demo.run(lambda count: None)) == []
    assert demo.counters.sent == 2 == demo.counters.ends["delivered"]


# The command line.


def run_command(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str]:
    code = main(["pcap", *arguments])
    return code, capsys.readouterr().out


def test_the_pcap_commands_and_their_exit_codes(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    one, other = tmp_path / "one.pcap", tmp_path / "other.pcap"
    one.write_bytes(capture_of(0, 20, 40).file.getvalue())
    other.write_bytes(capture_of(0, 22, 40).file.getvalue())
    code, out = run_command(capsys, "info", str(one), "--json")
    assert (code, json.loads(out)["requests"], json.loads(out)["connections"]) == (0, 3, 1)
    lines = run_command(capsys, "requests", str(one), "--json", "--answers")[1].splitlines()
    assert [json.loads(each).get("target") for each in lines] == ["/0", None, "/1", None, "/2", None]
    assert run_command(capsys, "diff", str(one), str(other))[0] == 0
    assert run_command(capsys, "diff", str(one), str(other), "--within", "1")[0] == 1
    other.write_bytes(capture_of(0, 22).file.getvalue())
    assert run_command(capsys, "diff", str(one), str(other))[0] == 1
    other.write_bytes(b"no capture")
    assert run_command(capsys, "info", str(other))[0] == 1
    assert run_command(capsys, "replay", str(one))[0] == 2
    assert run_command(capsys, "replay", str(one), "--to", "nowhere")[0] == 2


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.readuntil(b"\r\n\r\nx"):
        writer.write(answer())


def test_the_replay_command_over_tcp(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> tuple[int, str]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        path = tmp_path / "one.pcap"
        path.write_bytes(capture_of(0, 1, 2).file.getvalue())
        arguments = ("replay", str(path), "--to", f"127.0.0.1:{port}", "--new-ids")
        return await with_timeout(asyncio.to_thread(run_command, capsys, *arguments))

    code, out = asyncio.run(test())
    assert code == 0 and "sent 3" in out and re.search(r"200 3", out)


def test_the_capture_section_of_the_configuration(tmp_path: Path) -> None:
    plain = '[classes.c]\neffect = "safe"\naim_ms = 1\ndeadline_ms = 2\n'
    path = tmp_path / "f.toml"
    path.write_text(plain + '[capture]\nfolder = "c"\nmost_mb = 2\nblank = ["X-Key"]\n')
    capture_settings = load(path).capture
    assert capture_settings and (
        capture_settings.folder,
        capture_settings.file_bytes_limit,
        capture_settings.files_limit,
        capture_settings.blanked_headers,
    ) == (
        tmp_path / "c",
        2_000_000,
        4,
        ("X-Key",),
    )
    path.write_text(plain + "[capture]\nmost_mb = 0\nblank = [1]\nwhat = 1\n")
    with pytest.raises(ConfigError) as error:
        load(path)
    assert sorted(each.path for each in error.value.faults) == [
        f"capture.{name}" for name in ("blank", "folder", "most_mb", "what")
    ]
