"""Sockets in memory, and whole senders over them: real doors, transports and bytes in emulated time."""

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
THERE = ("there", 80)


def on_net(
    work: Callable[[Net, VirtualLoop], Coroutine[Any, Any, Any]],
    segment: int = BUFFER_BYTES,
    way: float = 0.01,
) -> Any:  # noqa: ANN401
    """Runs it on a loop with a network whose ways take `way` seconds."""
    loop = VirtualLoop()
    net = loop.virtual.net = Net(loop.time, lambda host, address, now: way, segment)
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
def test_what_is_written_comes_whole_in_order_and_to_its_end(pieces: list[bytes], segment: int) -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        await asyncio.start_server(echo, *THERE)
        reader, writer = await asyncio.open_connection(*THERE)
        for each in pieces:
            writer.write(each)
        writer.write_eof()
        assert await reader.read() == b"".join(pieces)
        writer.close()
        await asyncio.sleep(1)
        assert net.count_open("world") == 1  # the listener

    on_net(work, segment)


def test_a_way_takes_its_time_and_a_connection_one_round() -> None:
    async def work(net: Net, loop: VirtualLoop) -> tuple[float, float]:
        await asyncio.start_server(echo, *THERE)
        reader, writer = await asyncio.open_connection(*THERE)
        up = loop.time()
        writer.write(b"x")
        await reader.readexactly(1)
        return up, loop.time() - up

    assert on_net(work) == pytest.approx((0.02, 0.02), abs=1e-6)


@pytest.mark.parametrize("way", [REFUSED, SILENT])
def test_nobody_listens_or_nobody_answers(way: float) -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        await asyncio.start_server(echo, *THERE)
        net.path_delay = lambda host, address, now: way
        async with asyncio.timeout(3):
            await asyncio.open_connection(*THERE)

    with pytest.raises(ConnectionRefusedError if way == REFUSED else TimeoutError):
        on_net(work)

    async def nobody(net: Net, loop: VirtualLoop) -> None:
        await asyncio.open_connection("nowhere", 1)

    with pytest.raises(ConnectionRefusedError):
        on_net(nobody)


def test_a_partition_leaves_both_ends_half_open() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        await asyncio.start_server(echo, *THERE)
        _, writer = await asyncio.open_connection(*THERE)
        net.path_delay = lambda host, address, now: SILENT
        writer.write(b"lost")
        writer.close()
        await asyncio.sleep(10)
        assert net.count_open("world") == 2  # the listener, and the other end, which heard of nothing

    on_net(work)


def test_a_full_buffer_holds_the_writer_back() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        accepted: list[Any] = []
        await asyncio.start_server(lambda reader, writer: accepted.append((reader, writer)), *THERE, limit=1)
        _, writer = await asyncio.open_connection(*THERE)
        writer.write(b"x" * 3 * BUFFER_BYTES)
        await asyncio.sleep(1)
        left = writer.transport.get_write_buffer_size()
        assert BUFFER_BYTES <= left < 3 * BUFFER_BYTES
        (reader, _), read = accepted[0], 0
        while read < 3 * BUFFER_BYTES:
            read += len(await reader.read(BUFFER_BYTES))
        assert writer.transport.get_write_buffer_size() == 0

    on_net(work)


def raw(listening: bool = True) -> tuple[socket.socket, socket.socket]:
    here, there = socket.socket(), socket.socket()
    if listening:
        there.bind(THERE)
        there.listen(1)
    with pytest.raises(BlockingIOError):
        here.connect(THERE)
    return here, there


def test_a_close_over_unread_bytes_and_a_death_are_resets_and_a_clean_one_is_not() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        for how, number in (("close", errno.ECONNRESET), ("kill", errno.ECONNRESET), ("clean", 0)):
            HOST.set("there")
            listener = socket.create_server(THERE)
            HOST.set("here")
            here = socket.socket()
            with pytest.raises(BlockingIOError):
                here.connect(THERE)
            await asyncio.sleep(1)
            there, _ = listener.accept()
            if how != "clean":
                here.send(b"unread")
            await asyncio.sleep(1)
            watch = select.poll()
            watch.register(here.fileno(), select.POLLIN | select.POLLRDHUP)
            assert watch.poll(0) == []
            if how == "kill":
                net.kill("there")
            else:
                there.close()
            listener.close()
            await asyncio.sleep(1)
            assert watch.poll(0) == [(here.fileno(), select.POLLIN | select.POLLRDHUP)]
            if number:
                with pytest.raises(ConnectionResetError):
                    here.recv(1)
            assert here.recv(1) == b"" and there.fileno() == -1
            here.close()
            assert not net.count_open("there") and not net.count_open("here")

    on_net(work)


def test_descriptors_run_out_by_host_and_a_full_queue_makes_a_client_wait() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        here, there = raw()
        await asyncio.sleep(0.1)
        second = socket.socket()
        with pytest.raises(BlockingIOError):
            second.connect(THERE)
        await asyncio.sleep(0.5)
        assert second.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0 and not second.is_established  # type: ignore[attr-defined]
        there.accept()
        await asyncio.sleep(1.0)
        assert second.is_established and here.is_established  # type: ignore[attr-defined]
        net.descriptor_limits["world"] = net.count_open("world")
        with pytest.raises(OSError, match="open files"):
            socket.socket()
        with pytest.raises(OSError, match="in use"):
            there.bind(THERE)

    on_net(work)


def test_what_comes_in_a_pause_lies_unread_and_time_has_passed() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        here, there = raw()
        await asyncio.sleep(1)
        far, _ = there.accept()
        far.send(b"news")
        began = loop.time()
        with pytest.raises(BlockingIOError):
            here.recv(10)
        loop.pause(0.5)
        assert loop.time() == began + 0.5 and here.recv(10) == b"news"

    on_net(work)


def test_a_network_with_nothing_under_way_is_a_deadlock() -> None:
    async def work(net: Net, loop: VirtualLoop) -> None:
        await asyncio.start_server(echo, *THERE)
        reader, _ = await asyncio.open_connection(*THERE)
        await reader.read()

    with pytest.raises(DeadlockError):
        on_net(work)


# Senders over it.


def told(name: str, seconds: float, **changes: Any) -> scenario.Scenario:  # noqa: ANN401
    found = scenario.load(ROOT / "scenarios" / f"{name}.toml")
    return scenario.changed(found, {"seconds": seconds, "clients.rate": 40.0} | changes)


@pytest.fixture(scope="module")
def played() -> dict[str, tuple[Outcomes, Outcomes]]:
    """The first ten seconds of some scenarios at either level; at bytes, in a smaller crowd."""
    names = ("calm", "told-waits", "gray-failure", "kill-between-writes")
    return {
        name: (play(told(name, 10.0)), play(told(name, 10.0), traced=True, level="bytes")) for name in names
    }


@pytest.mark.parametrize("name", ["calm", "told-waits", "gray-failure", "kill-between-writes"])
def test_both_levels_agree_and_break_no_rule(name: str, played: dict[str, tuple[Outcomes, Outcomes]]) -> None:
    """Within 3% of worth, 6% of calls, 5% of the median: bytes add handshakes and passes of the loop."""
    ports, wire = played[name]
    assert not ports.breaches and not wire.breaches and not wire.owed
    assert wire.figures.offered == ports.figures.offered and wire.figures.kills == ports.figures.kills
    one, other = ports.figures.measures(), wire.figures.measures()
    assert other["goodput"] == pytest.approx(one["goodput"], abs=0.03)
    assert other["attempts"] == pytest.approx(one["attempts"], rel=0.06)
    assert other["p50_ms"] == pytest.approx(one["p50_ms"], rel=0.05)


def test_bytes_are_the_same_again_under_another_seed_of_hashes(
    played: dict[str, tuple[Outcomes, Outcomes]],
) -> None:
    code = (
        "from message_sender.emulator import scenario, scenario_run; import pathlib; "
        "told = scenario.load(pathlib.Path('scenarios/gray-failure.toml')); "
        "told = scenario.changed(told, {'seconds': 10.0, 'clients.rate': 40.0}); "
        "print('\\n'.join(scenario_run.play(told, traced=True, level='bytes').trace))"
    )
    out = subprocess.run(
        [sys.executable, "-c", code],
        env=os.environ | {"PYTHONHASHSEED": "7"},
        capture_output=True,
        check=True,
        text=True,
        cwd=ROOT,
    ).stdout
    assert out.splitlines() == played["gray-failure"][1].trace


# Scenarios drawn at random.


@pytest.mark.parametrize("level", ["ports", "bytes"])
def test_drawn_scenarios_break_no_rule(level: str) -> None:
    found = list(fuzzing.hunt(0, 24, min(os.cpu_count() or 1, 4), level))
    assert [(each.seed, each.breaches, each.error) for each in found if each.breaches or each.error] == []
    assert sum(each.calls for each in found) > 3000 and sum(each.kills for each in found) > 8


def anything_goes(self: PendingQueue, now: float, message: object, sent: object) -> bool:
    return True


def test_a_planted_defect_is_found_and_cut_to_a_scenario_that_shows_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(PendingQueue, "may_repeat_at", anything_goes)
    assert main(["emulate", "hunt", "--count", "3", "--keep", str(tmp_path)]) == 1
    assert "no effect twice" in capsys.readouterr().out
    file = next(iter(sorted(tmp_path.glob("no-effect-twice-*.toml"))))
    told = scenario.load(file)
    assert len(told.troubles) + len(told.incidents) <= 2 and len(told.classes) == 1
    assert main(["emulate", "run", str(file)]) == 1
    monkeypatch.undo()
    assert main(["emulate", "run", str(file)]) == 0
    with pytest.raises(ValueError, match="does not violate the rule 'waits'"):
        fuzzing.reduce_scenario(fuzzing.draw(0), "waits", "ports")
