"""The in-memory network of the emulator, and complete senders over it: real servers, transports and bytes."""

import asyncio
import errno
import os
import select
import socket
import subprocess
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.cli import main
from message_sender.emulator import fuzzing, scenario
from message_sender.emulator.fleet import Outcomes
from message_sender.emulator.loop import DeadlockError, VirtualLoop
from message_sender.emulator.memory_network import BUFFER_BYTES, HOST, REFUSED, SILENT, Net
from message_sender.emulator.scenario_run import play
from message_sender.policy.pending import PendingQueue

ROOT = Path(__file__).parent.parent
SERVER_ADDRESS = ("there", 80)


def on_net(
    work: Callable[[Net, VirtualLoop], Coroutine[Any, Any, Any]],
    segment: int = BUFFER_BYTES,
    delay_s: float = 0.01,
) -> Any:  # noqa: ANN401
    """Runs `work` on a virtual loop whose network delivers bytes after `delay_s` seconds."""
    loop = VirtualLoop()
    net = loop.virtual.net = Net(loop.time, lambda host, address, now: delay_s, segment)
    try:
        with net.installed():
            return loop.run_until_complete(work(net, loop))
    finally:
        loop.close()


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()


@given(st.lists(st.binary(min_size=1, max_size=5000), max_size=12), st.integers(1, 3000))
@settings(max_examples=40, deadline=None, derandomize=True)
def test_written_bytes_arrive_complete_and_in_order_up_to_the_end_of_file(
    pieces: list[bytes], segment: int
) -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        await asyncio.start_server(echo, *SERVER_ADDRESS)
        reader, writer = await asyncio.open_connection(*SERVER_ADDRESS)
        for each in pieces:
            writer.write(each)
        writer.write_eof()
        assert await reader.read() == b"".join(pieces)
        writer.close()
        await asyncio.sleep(1)
        assert net.count_open("world") == 1  # the listener

    on_net(work, segment)


def test_bytes_take_the_path_delay_and_a_connection_takes_one_round_trip() -> None:
    async def work(net: Net, loop: VirtualLoop) -> tuple[float, float]:
        await asyncio.start_server(echo, *SERVER_ADDRESS)
        reader, writer = await asyncio.open_connection(*SERVER_ADDRESS)
        connected_at = loop.time()
        writer.write(b"x")
        await reader.readexactly(1)
        return connected_at, loop.time() - connected_at

    assert on_net(work) == pytest.approx((0.02, 0.02), abs=1e-6)


@pytest.mark.parametrize("path", [REFUSED, SILENT])
def test_a_connection_is_refused_or_times_out(path: float) -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        await asyncio.start_server(echo, *SERVER_ADDRESS)
        net.path_delay = lambda host, address, now: path
        async with asyncio.timeout(3):
            await asyncio.open_connection(*SERVER_ADDRESS)

    with pytest.raises(ConnectionRefusedError if path == REFUSED else TimeoutError):
        on_net(work)

    async def connect_without_listener(net: Net, loop: VirtualLoop) -> None:
        await asyncio.open_connection("nowhere", 1)

    with pytest.raises(ConnectionRefusedError):
        on_net(connect_without_listener)


def test_a_partition_leaves_both_ends_half_open() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        await asyncio.start_server(echo, *SERVER_ADDRESS)
        _, writer = await asyncio.open_connection(*SERVER_ADDRESS)
        net.path_delay = lambda host, address, now: SILENT
        writer.write(b"lost")
        writer.close()
        await asyncio.sleep(10)
        assert net.count_open("world") == 2  # the listener, and the peer, which received no end of file

    on_net(work)


def test_a_full_buffer_blocks_the_writer() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        accepted: list[Any] = []
        await asyncio.start_server(
            lambda reader, writer: accepted.append((reader, writer)), *SERVER_ADDRESS, limit=1
        )
        _, writer = await asyncio.open_connection(*SERVER_ADDRESS)
        writer.write(b"x" * 3 * BUFFER_BYTES)
        await asyncio.sleep(1)
        left = writer.transport.get_write_buffer_size()
        assert BUFFER_BYTES <= left < 3 * BUFFER_BYTES
        (reader, _), read = accepted[0], 0
        while read < 3 * BUFFER_BYTES:
            read += len(await reader.read(BUFFER_BYTES))
        assert writer.transport.get_write_buffer_size() == 0

    on_net(work)


def connecting_client(listening: bool = True) -> tuple[socket.socket, socket.socket]:
    """Returns a socket that is connecting, and the socket that listens at its address if `listening`."""
    client, listener = socket.socket(), socket.socket()
    if listening:
        listener.bind(SERVER_ADDRESS)
        listener.listen(1)
    with pytest.raises(BlockingIOError):
        client.connect(SERVER_ADDRESS)
    return client, listener


def test_closing_with_unread_bytes_or_killing_the_host_causes_a_reset_and_a_clean_close_does_not() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        for ending, number in (("close", errno.ECONNRESET), ("kill", errno.ECONNRESET), ("clean", 0)):
            HOST.set("there")
            listener = socket.create_server(SERVER_ADDRESS)
            HOST.set("here")
            client = socket.socket()
            with pytest.raises(BlockingIOError):
                client.connect(SERVER_ADDRESS)
            await asyncio.sleep(1)
            accepted, _ = listener.accept()
            if ending != "clean":
                client.send(b"unread")
            await asyncio.sleep(1)
            poll = select.poll()
            poll.register(client.fileno(), select.POLLIN | select.POLLRDHUP)
            assert poll.poll(0) == []
            if ending == "kill":
                net.kill("there")
            else:
                accepted.close()
            listener.close()
            await asyncio.sleep(1)
            assert poll.poll(0) == [(client.fileno(), select.POLLIN | select.POLLRDHUP)]
            if number:
                with pytest.raises(ConnectionResetError):
                    client.recv(1)
            assert client.recv(1) == b"" and accepted.fileno() == -1
            client.close()
            assert not net.count_open("there") and not net.count_open("here")

    on_net(work)


def test_descriptor_limits_are_per_host_and_a_full_accept_queue_delays_a_client() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        first, listener = connecting_client()
        await asyncio.sleep(0.1)
        second = socket.socket()
        with pytest.raises(BlockingIOError):
            second.connect(SERVER_ADDRESS)
        await asyncio.sleep(0.5)
        assert second.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0 and not second.is_established  # type: ignore[attr-defined]
        listener.accept()
        await asyncio.sleep(1.0)
        assert second.is_established and first.is_established  # type: ignore[attr-defined]
        net.descriptor_limits["world"] = net.count_open("world")
        with pytest.raises(OSError, match="open files"):
            socket.socket()
        with pytest.raises(OSError, match="in use"):
            listener.bind(SERVER_ADDRESS)

    on_net(work)


def test_bytes_that_arrive_during_a_pause_of_the_loop_are_readable_after_it() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        client, listener = connecting_client()
        await asyncio.sleep(1)
        accepted, _ = listener.accept()
        accepted.send(b"news")
        began = loop.time()
        with pytest.raises(BlockingIOError):
            client.recv(10)
        loop.pause(0.5)
        assert loop.time() == began + 0.5 and client.recv(10) == b"news"

    on_net(work)


def test_waiting_for_bytes_that_no_peer_will_send_is_a_deadlock() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        await asyncio.start_server(echo, *SERVER_ADDRESS)
        reader, _ = await asyncio.open_connection(*SERVER_ADDRESS)
        await reader.read()

    with pytest.raises(DeadlockError):
        on_net(work)


# Senders over the network.


def load_shortened(name: str, seconds: float, **changes: Any) -> scenario.Scenario:  # noqa: ANN401
    """Returns a scenario of the library with this duration, 40 messages per second, and `changes`."""
    loaded = scenario.load(ROOT / "scenarios" / f"{name}.toml")
    return scenario.changed(loaded, {"seconds": seconds, "clients.rate": 40.0} | changes)


@pytest.fixture(scope="module")
def outcomes() -> dict[str, tuple[Outcomes, Outcomes]]:
    """The outcomes of the first ten seconds of some scenarios, at the level of ports and at that of bytes."""
    names = ("calm", "told-waits", "gray-failure", "kill-between-writes")
    return {
        name: (play(load_shortened(name, 10.0)), play(load_shortened(name, 10.0), traced=True, level="bytes"))
        for name in names
    }


@pytest.mark.parametrize("name", ["calm", "told-waits", "gray-failure", "kill-between-writes"])
def test_both_levels_agree_and_violate_no_rule(
    name: str, outcomes: dict[str, tuple[Outcomes, Outcomes]]
) -> None:
    """Goodput agrees to 0.03, attempts to 6% and the median latency to 5%.

    The level of bytes adds handshakes and iterations of the loop.
    """
    ports, wire = outcomes[name]
    assert not ports.breaches and not wire.breaches and not wire.owed
    assert wire.figures.offered == ports.figures.offered and wire.figures.kills == ports.figures.kills
    expected, measured = ports.figures.measures(), wire.figures.measures()
    assert measured["goodput"] == pytest.approx(expected["goodput"], abs=0.03)
    assert measured["attempts"] == pytest.approx(expected["attempts"], rel=0.06)
    assert measured["p50_ms"] == pytest.approx(expected["p50_ms"], rel=0.05)


def test_the_level_of_bytes_gives_the_same_trace_with_another_hash_seed(
    outcomes: dict[str, tuple[Outcomes, Outcomes]],
) -> None:
    code = (
        "from message_sender.emulator import scenario, scenario_run; import pathlib; "
        "loaded = scenario.load(pathlib.Path('scenarios/gray-failure.toml')); "
        "loaded = scenario.changed(loaded, {'seconds': 10.0, 'clients.rate': 40.0}); "
        "print('\\n'.join(scenario_run.play(loaded, traced=True, level='bytes').trace))"
    )
    out = subprocess.run(
        [sys.executable, "-c", code],
        env=os.environ | {"PYTHONHASHSEED": "7"},
        capture_output=True,
        check=True,
        text=True,
        cwd=ROOT,
    ).stdout
    assert out.splitlines() == outcomes["gray-failure"][1].trace


# Random scenarios.


@pytest.mark.parametrize("level", ["ports", "bytes"])
def test_random_scenarios_violate_no_rule(level: str) -> None:
    results = list(fuzzing.hunt(0, 24, min(os.cpu_count() or 1, 4), level))
    assert [(each.seed, each.breaches, each.error) for each in results if each.breaches or each.error] == []
    assert sum(each.calls for each in results) > 3000 and sum(each.kills for each in results) > 8


def allow_repeat(self: PendingQueue, now: float, message: object, sent: object) -> bool:
    return True


def test_a_planted_defect_is_found_and_its_scenario_is_reduced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(PendingQueue, "may_repeat_at", allow_repeat)
    assert main(["emulate", "hunt", "--count", "3", "--keep", str(tmp_path)]) == 1
    assert "no effect twice" in capsys.readouterr().out
    file = next(iter(sorted(tmp_path.glob("no-effect-twice-*.toml"))))
    reduced = scenario.load(file)
    assert len(reduced.troubles) + len(reduced.incidents) <= 2 and len(reduced.classes) == 1
    assert main(["emulate", "run", str(file)]) == 1
    monkeypatch.undo()
    assert main(["emulate", "run", str(file)]) == 0
    with pytest.raises(ValueError, match="does not violate the rule 'waits'"):
        fuzzing.reduce_scenario(fuzzing.draw(0), "waits", "ports")
