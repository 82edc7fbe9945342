"""No peer's bytes hold up the event loop, whatever their framing is, and all of them are read in the end."""

import asyncio
import json
import socket
import threading
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from pathlib import Path
from typing import Any

import h11
import pytest
from peers import Peer, Permission, World, host, run_async_test, sample_message, send_watch_line, with_timeout
from socket_faults import until
from test_discovery import watching
from test_json_stream import list_text

from message_sender.core.read_turns import TURN_UNITS, TURNS_PER_ITERATION, ReadTurn, ReadTurns
from message_sender.http.client import HttpTransport
from message_sender.management.calls import ManagementCall, ManagementReply
from message_sender.management.server import ManagementServer
from message_sender.policy.model import Outcome

HEAD = "HTTP/1.1 {} x\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = "1\r\nx\r\n"
#: Bodies whose parsing takes longest, of a size that has to be read to its end.
BODIES = {
    "chunks of one byte": CHUNK * 20_000,
    "chunks with extensions": ("1;" + "e" * 1000 + "\r\nx\r\n") * 1000,
    "chunks of four bytes": "4\r\nxxxx\r\n" * 10_000,
}
PIECE = b"1\r\nx\r\n" * 10_000


class IterationMeter:
    """Counts the events that h11 parses in each loop iteration."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.events = self.most_events = self.all_events = 0
        next_event = h11.Connection.next_event

        def count_event(connection: h11.Connection) -> Any:  # noqa: ANN401
            self.events += 1
            return next_event(connection)

        monkeypatch.setattr(h11.Connection, "next_event", count_event)

    async def run(self) -> None:
        """Notes each iteration until cancelled."""
        while True:
            self.most_events = max(self.most_events, self.events)
            self.all_events += self.events
            self.events = 0
            await asyncio.sleep(0)


@asynccontextmanager
async def metered(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[IterationMeter]:
    meter = IterationMeter(monkeypatch)
    task = asyncio.create_task(meter.run())
    yield meter
    task.cancel()


def run_test(test: Callable[[], Any]) -> None:
    run_async_test(lambda _: test())(Path())


@pytest.mark.parametrize("status", ["200", "503"])
@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
def test_a_response_in_many_chunks_does_not_hold_up_the_loop(
    body: str, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with Peer() as receiver, metered(monkeypatch) as meter:
            transport = HttpTransport(10, 10, 4, lambda: {"r": receiver.address})
            call = asyncio.create_task(transport.call("r", sample_message(), 10, Permission()))
            (await receiver.next()).write(HEAD.format(status) + body + "0\r\n\r\n")
            expected = {"200": Outcome.OK, "503": Outcome.FULL}[status]
            assert (await with_timeout(call)).outcome is expected
            while transport.body_tasks:
                await asyncio.sleep(0.005)
            assert list(transport.idle.values()) == ["r"]  # read to its end
            assert meter.all_events >= 900 and meter.most_events <= 2 * TURN_UNITS
            transport.close()

    run_test(test)


def test_many_responses_that_never_end_share_each_iteration(monkeypatch: pytest.MonkeyPatch) -> None:
    calls = 12

    async def test() -> None:
        async with Peer() as receiver, metered(monkeypatch) as meter:
            transport = HttpTransport(10, 10, calls, lambda: {"r": receiver.address})
            works = [
                asyncio.create_task(transport.call("r", sample_message(), 10, Permission()))
                for _ in range(calls)
            ]
            for _ in range(calls):
                request = await receiver.next()
                request.write(HEAD.format("200"))
                request.writer.write(PIECE)
            assert {each.outcome for each in await with_timeout(asyncio.gather(*works))} == {Outcome.OK}
            while transport.body_tasks:
                await asyncio.sleep(0)
            # The first turns may fall into one iteration; from then on connections take turns.
            assert meter.most_events <= (calls + TURNS_PER_ITERATION) * TURN_UNITS
            assert not transport.idle
            transport.close()

    run_test(test)


def test_interim_responses_without_end_do_not_hold_up_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Peer() as receiver, metered(monkeypatch) as meter:
            transport = HttpTransport(10, 10, 4, lambda: {"r": receiver.address})
            call = asyncio.create_task(transport.call("r", sample_message(), 10, Permission()))
            interim = "HTTP/1.1 103 x\r\n" + "a:\r\n" * 3000 + "\r\n"
            (await receiver.next()).write(interim * 12 + "HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n")
            assert (await with_timeout(call)).outcome is Outcome.OK
            assert meter.all_events >= 13 and meter.most_events <= 3  # each takes the turn of many chunks
            transport.close()

    run_test(test)


def in_chunks(text: str, size: int) -> str:
    """Encodes the text in chunks of this size."""
    parts = (text[start : start + size] for start in range(0, len(text), size))
    return "".join(f"{len(part):x}\r\n{part}\r\n" for part in parts)


def test_a_watch_whose_list_comes_in_chunks_of_one_byte_does_not_hold_up_the_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with watching() as (_discovery, platform, updates, _acknowledged):
            watch = await with_timeout(platform.watches.get())
            async with metered(monkeypatch) as meter:
                watch.write(in_chunks(list_text(60), 1))
                assert len((await with_timeout(updates.get())).endpoints) == 60
                assert meter.all_events >= 6000 and meter.most_events <= 2 * TURN_UNITS

    run_test(test)


def test_many_changes_at_once_are_applied_over_several_iterations_and_in_order() -> None:
    async def test() -> None:
        async with watching() as (discovery, platform, updates, _acknowledged):
            watch = await with_timeout(platform.watches.get())
            lines = [json.dumps({"seq": 42 + each, "whole": False, "hosts": []}) for each in range(200)]
            text = "\n".join(lines) + "\n"
            watch.write(f"{len(text):x}\r\n{text}\r\n")
            while updates.empty():
                await asyncio.sleep(0)
            assert updates.qsize() <= TURN_UNITS // 8
            for _ in lines:
                await with_timeout(updates.get())
            assert discovery.version == 241

    run_test(test)


def test_a_management_call_in_many_chunks_does_not_hold_up_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    def answer(call: ManagementCall) -> ManagementReply:
        return ManagementReply(200, "")

    async def test() -> None:
        server = ManagementServer(answer)
        server.listen("127.0.0.1", 0)
        async with metered(monkeypatch) as meter:
            reader, writer = await asyncio.open_connection(*server.address())
            head = "POST /healthcheck/ok HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write((head + CHUNK * 1300 + "0\r\n\r\n").encode())
            assert (await with_timeout(reader.readline())).startswith(b"HTTP/1.1 200")
            assert meter.all_events >= 1300 and meter.most_events <= 2 * TURN_UNITS
            writer.close()
        server.close()

    run_test(test)


def test_a_connection_with_more_to_parse_waits_for_its_turn() -> None:
    async def test() -> None:
        turns, order = ReadTurns(), []

        async def read(name: str) -> None:
            turn = ReadTurn(turns)
            for step in range(2):
                turn.spend(TURN_UNITS)
                assert turn.is_over()
                await turn.next()
                assert not turn.is_over()
                order.append((name, step))

        await asyncio.gather(*(read(name) for name in "abcd"))
        assert order == [(name, step) for step in range(2) for name in "abcd"]

    run_test(test)


@contextmanager
def endless_receiver() -> Iterator[str]:
    """A receiver in threads of its own whose responses do not end; yields its address."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer(sock: socket.socket) -> None:
        with sock, suppress(OSError):
            sock.recv(65_536)
            sock.sendall(HEAD.format("200").encode())
            while True:
                sock.sendall(PIECE)

    def serve() -> None:
        with suppress(OSError):
            while True:
                threading.Thread(target=answer, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


def test_a_notice_is_not_late_beside_responses_that_never_end(tmp_path: Path) -> None:
    @run_async_test
    async def test(state: Path) -> None:
        async with World(state) as world:
            with endless_receiver() as dial:
                watch = await with_timeout(world.platform.watches.get())
                send_watch_line(watch, 42, host(dial, "s"), host(world.receiver.dial, health="draining"))
                await until(lambda: "s" in world.sender.engine.dispatcher.endpoints)
                due = asyncio.get_running_loop().time() + 0.3
                await world.submit("late", X_Time_Left="0.3", X_Route_To="dest=9")
                for number in range(6):
                    assert (await world.submit(f"spoilt {number}")).status == 202
                notice = await world.platform.next()
                assert notice.target == "/v1/notices" and b"late" in notice.body
                assert asyncio.get_running_loop().time() < due + 0.3
                notice.answer(204)
                while world.sender.transport.connections:
                    await asyncio.sleep(0.01)

    test(tmp_path)
