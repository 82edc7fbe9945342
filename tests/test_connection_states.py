"""How a client connection ends: the table of the state machine, and races on real sockets. A client's action
here has taken effect in the operating system when its call returns; the server's action is then called
directly, before its loop has read the socket."""

import asyncio
import socket
from itertools import product
from pathlib import Path

import pytest
from peers import READY, World, ask, message, read_reply, run_async_test, with_timeout
from socket_faults import next_iteration, until
from test_server import serving

from message_sender.handover.drain import GRACE_S
from message_sender.http.connection_state import (
    IDLE_TIMEOUT_S,
    LINGER_TIMEOUT_S,
    READ_TIMEOUT_S,
    ConnectionAction,
    ConnectionEvent,
    ConnectionState,
    decide,
    timeout_s,
)
from message_sender.http.server import Server


@pytest.mark.parametrize(
    ("state", "event", "busy"), list(product(ConnectionState, ConnectionEvent, (False, True)))
)
def test_the_action_for_each_state_and_event_follows_the_rules(
    state: ConnectionState, event: ConnectionEvent, busy: bool
) -> None:
    """Checks the numbered rules of connection_state for every combination."""
    action = decide(state, event, busy)
    if event is ConnectionEvent.MEMORY_NEEDED:
        is_unfinished = state is ConnectionState.READING
        assert action is (ConnectionAction.REJECT if is_unfinished else ConnectionAction.KEEP)  # 7
        return
    open_to_requests = state in (ConnectionState.SILENT, ConnectionState.IDLE)
    if event is ConnectionEvent.DISCONNECTED:
        assert action is ConnectionAction.CLOSE
        return
    if state is ConnectionState.ANSWERING:
        assert action is ConnectionAction.KEEP  # 1
    if open_to_requests and busy:
        assert action is ConnectionAction.KEEP  # 2
    if open_to_requests and not busy:
        assert action is (
            ConnectionAction.CLOSE if event is ConnectionEvent.CAPACITY_NEEDED else ConnectionAction.SHUT_DOWN
        )  # 3, 6
    if state is ConnectionState.READING:
        assert action is (
            ConnectionAction.KEEP if event is ConnectionEvent.CAPACITY_NEEDED else ConnectionAction.REJECT
        )  # 5
    if state is ConnectionState.LINGERING:
        assert action is (
            ConnectionAction.KEEP if event is ConnectionEvent.PROCESS_EXIT else ConnectionAction.CLOSE
        )  # 3, 6


@pytest.mark.parametrize("is_draining", [False, True])
def test_only_a_pending_response_has_no_time_limit_and_closing_idle_shortens_limits(
    is_draining: bool,
) -> None:
    limits = {each: timeout_s(each, is_draining) for each in ConnectionState}
    assert [each for each, s in limits.items() if s == float("inf")] == [ConnectionState.ANSWERING]
    assert (
        limits[ConnectionState.READING] == READ_TIMEOUT_S
        and limits[ConnectionState.LINGERING] == LINGER_TIMEOUT_S
    )
    assert limits[ConnectionState.IDLE] == (0 if is_draining else IDLE_TIMEOUT_S)
    assert limits[ConnectionState.SILENT] == (LINGER_TIMEOUT_S if is_draining else READ_TIMEOUT_S)


class BlockingClient:
    """A client whose calls return when the operating system has done them; it reads on the loop."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address[:2])
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    async def reader(self) -> asyncio.StreamReader:
        self.sock.setblocking(False)
        self.stream, self.writer = await asyncio.open_connection(sock=self.sock)
        return self.stream

    async def read_to_end(self) -> bytes:
        """Reads until the server closes. Raises ConnectionResetError if the connection is reset."""
        data: bytes = await with_timeout((await self.reader()).read())
        self.writer.close()
        return data


async def idle_client(server: Server, name: str = "m0") -> BlockingClient:
    """Returns a client whose request was answered and whose connection is idle."""
    client, idle_before = BlockingClient(server.address()), len(server.table.idle)
    client.send(message(name))
    await until(lambda: len(server.table.idle) > idle_before)
    assert client.sock.recv(1000).startswith(b"HTTP/1.1 202")
    return client


def exceed_time_limits(server: Server) -> None:
    """Makes the time limit of every connection pass."""
    for each in server.connections:
        each.since -= 100


@run_async_test
async def test_a_request_that_arrives_as_the_idle_time_out_passes_is_answered(_: Path) -> None:
    async with serving() as (server, accepted):
        client, idle = await idle_client(server), await idle_client(server, "m1")
        exceed_time_limits(server)
        client.send(message("m2"))
        server.expire()
        assert (await read_reply(await client.reader())).status == 202
        assert await idle.read_to_end() == b""
        assert [each.id for each in accepted] == ["m0", "m1", "m2"]
        client.writer.close()


@run_async_test
async def test_a_first_request_that_arrives_as_the_read_time_out_passes_is_answered(_: Path) -> None:
    async with serving() as (server, accepted):
        client = BlockingClient(server.address())
        await until(lambda: any(each.transport for each in server.connections))
        exceed_time_limits(server)
        client.send(message("m1"))
        server.expire()
        assert (await read_reply(await client.reader())).status == 202 and len(accepted) == 1
        client.writer.close()


@run_async_test
async def test_a_request_that_crosses_the_shutdown_is_dropped_and_causes_no_reset(_: Path) -> None:
    """The previous response, which the client has not read yet, remains readable."""
    async with serving() as (server, accepted):
        client = BlockingClient(server.address())
        client.send(message("m0"))
        await until(lambda: len(server.table.idle) == 1)
        exceed_time_limits(server)
        server.expire()
        client.send(message("m1"))
        for _ in range(20):
            await next_iteration()
        exceed_time_limits(server)
        server.expire()
        client.send(b"x")  # a reset would raise here, or when the response is read
        text = await client.read_to_end()
        assert text.startswith(b"HTTP/1.1 202") and text.count(b"HTTP/1.1") == 1
        assert [each.id for each in accepted] == ["m0"]


@run_async_test
async def test_connections_not_accepted_yet_when_the_listener_closes_are_answered(_: Path) -> None:
    async with serving() as (server, accepted):
        clients = [BlockingClient(server.address()) for _ in range(5)]
        for number, each in enumerate(clients):
            each.send(message(f"m{number}"))
        server.start_drain()
        server.close()
        for each in clients:
            assert (await each.read_to_end()).startswith(b"HTTP/1.1 202")
        assert len(accepted) == 5


@run_async_test
async def test_requests_that_arrive_as_the_grace_period_ends_are_answered(_: Path) -> None:
    async with serving() as (server, accepted):
        client, idle = await idle_client(server), await idle_client(server, "m1")
        silent, fresh = BlockingClient(server.address()), BlockingClient(server.address())
        await until(lambda: len(server.table.silent) == 2)
        server.start_drain()
        client.send(message("m2"))
        fresh.send(message("m3"))
        server.close()
        for each in (client, fresh):
            text = await each.read_to_end()
            assert text.startswith(b"HTTP/1.1 202") and b"Connection: close" in text
        assert await idle.read_to_end() == b""
        exceed_time_limits(server)
        server.expire()
        assert await silent.read_to_end() == b""
        assert sorted(each.id for each in accepted) == ["m0", "m1", "m2", "m3"]


@run_async_test
async def test_the_process_ends_only_after_received_requests_are_answered(state: Path) -> None:
    """No response is pending, but one request has been received in part, and a complete one is unread."""
    async with World(state) as world:
        sender, server = world.sender, world.sender.server
        partial, complete = BlockingClient(server.address()), BlockingClient(server.address())
        partial.send(message("m1")[:40])
        await until(lambda: any(each.began for each in server.connections))
        sender.terminate()
        sender.drain.terminated_at_s -= GRACE_S  # type: ignore[operator]  # the grace period has passed
        sender.end_drain_grace()
        complete.send(message("m2", X_Route_To="dest=9"))
        sender.stop_if_drained()
        assert not sender.engine.stopped.done()
        sender.stop(0)  # the time to stop is over
        assert (await partial.read_to_end()).startswith(b"HTTP/1.1 503")
        assert (await complete.read_to_end()).startswith(b"HTTP/1.1 202")
        assert await with_timeout(world.running.task) == 0
    assert "m2" in (state / "journal").read_text()


@run_async_test
async def test_a_response_is_sent_before_the_previous_one_is_acknowledged_by_tcp(_: Path) -> None:
    async with serving() as (server, _taken):
        client = await idle_client(server)
        (connection,) = server.connections
        assert connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        client.sock.close()
        assert (await ask(server.address(), READY)).status == 200
