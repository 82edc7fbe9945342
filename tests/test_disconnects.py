"""Clients and receivers that disconnect while the sender's loop runs late.

Every action of a peer here has taken effect in the operating system when its call returns; the sender's loop
sees it at its next poll. A late iteration is a jump of the loop's clock between two polls, so that no test
waits for real time.
"""

import asyncio
import errno
import itertools
import os
import socket
import struct
import tempfile
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest
from peers import (
    READY,
    HeldConnection,
    Permission,
    World,
    host,
    message,
    read_reply,
    run_async_test,
    sample_message,
    send_watch_line,
    with_timeout,
)
from socket_faults import next_iteration, until

from message_sender.core.line_limit import INTERVAL_S, LINES_LIMIT
from message_sender.core.socket_errors import Cause, ErrorReports, cause_of, describe_defect
from message_sender.http.client import HttpTransport as Transport
from message_sender.http.common import Address
from message_sender.http.server_connection import ServerConnection
from message_sender.policy.events import WakeUp
from message_sender.policy.model import NEVER_RAN, Outcome
from message_sender.service.daemon import log

LATE = (0.05, 0.4, 2.1, 3.0)  # seconds that a loop iteration takes


class BlockingClient:
    """A client whose calls return when the operating system has done them; the loop sees them later."""

    def __init__(self, address: Address, data: bytes = b"", sock: socket.socket | None = None) -> None:
        self.sock = sock or socket.socket()
        self.sock.connect(address)
        if data:
            self.sock.sendall(data)

    def nothing(self) -> None:
        pass

    def close(self) -> None:
        self.sock.close()

    def half_close(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def pipeline(self) -> None:
        self.sock.sendall(message("p1") + message("p2") + b"noise")


class LateSender:
    """A sender whose loop can run late: `clock_offset` seconds are added to its clocks."""

    def __init__(self, world: World) -> None:
        self.world, self.sender, self.server = world, world.sender, world.sender.server
        self.clock_offset, self.loop = 0.0, asyncio.get_running_loop()
        self.accepted: list[socket.socket] = []
        add_accepted = self.server.add_accepted
        self.server.add_accepted = lambda sock: (self.accepted.append(sock), add_accepted(sock))  # type: ignore
        time, now = self.loop.time, self.sender.engine.now
        self.loop.time = lambda: time() + self.clock_offset  # type: ignore[method-assign]
        self.sender.engine.now = self.server.now = lambda: now() + int(self.clock_offset * 1e6)

    async def client_in_stage(self, stage: str) -> BlockingClient:
        """Returns a client whose connection is in this stage and no further."""
        client = BlockingClient(self.world.running.address)
        if stage == "in the backlog":
            return client
        await until(lambda: len(self.server.connections) == 2)
        connection = self.connection()
        await until(lambda: connection.transport is not None)
        await next_iteration()
        await getattr(self, stage.replace(" ", "_"))(client, connection)
        return client

    def connection(self) -> ServerConnection:
        """The only connection without a submitted message."""
        (connection,) = [each for each in self.server.connections if not each.has_submitted]
        return connection

    async def silent(self, client: BlockingClient, connection: ServerConnection) -> None:
        assert connection in self.server.table.silent

    async def partial_head(self, client: BlockingClient, connection: ServerConnection) -> None:
        client.sock.sendall(message("m")[:30])
        await until(lambda: connection.began is not None)

    async def partial_body(self, client: BlockingClient, connection: ServerConnection) -> None:
        client.sock.sendall(message("m", b"x" * 1000)[:-500])
        await until(lambda: connection.reader.request is not None)

    async def queued(self, client: BlockingClient, connection: ServerConnection) -> None:
        self.server.read_queue.run = lambda: None  # type: ignore[method-assign]
        client.sock.sendall(message("m"))
        await until(lambda: connection.is_queued)

    async def submitted(self, client: BlockingClient, connection: ServerConnection) -> None:
        self.sender.engine.run_iteration = lambda: None  # type: ignore[method-assign]
        client.sock.sendall(message("m"))
        await until(lambda: "m" in self.sender.engine.table.arrivals)

    async def paused(self, client: BlockingClient, connection: ServerConnection) -> None:
        await self.submitted(client, connection)
        client.sock.sendall(message("n") * 3)
        await until(lambda: not connection.transport.is_reading())

    async def answered(self, client: BlockingClient, connection: ServerConnection) -> None:
        client.sock.sendall(message("m"))
        await until(lambda: connection in self.server.table.idle)

    async def closing(self, client: BlockingClient, connection: ServerConnection) -> None:
        client.sock.sendall(b"noise\r\n\r\n")
        await until(lambda: connection in self.server.table.closing)

    async def closing_and_paused(self, client: BlockingClient, connection: ServerConnection) -> None:
        await self.closing(client, connection)
        client.sock.setblocking(False)

        def is_reading_paused() -> bool:
            with suppress(BlockingIOError):
                client.sock.send(b"x" * 65536)
            return not connection.transport.is_reading()

        await until(is_reading_paused)
        client.sock.setblocking(True)

    def run_late_iteration(self, seconds: float, sweep_first: bool) -> None:
        """Runs what an iteration runs before the next poll, `seconds` late, with the sweep first or last."""
        self.clock_offset += seconds
        engine = self.sender.engine
        read, iterate = type(self.server.read_queue).run, type(engine).run_iteration
        steps: list[Callable[[], object]] = [lambda: read(self.server.read_queue), lambda: iterate(engine)]
        for each in (self.server.expire, *steps) if sweep_first else (*steps, self.server.expire):
            each()
        if self.server.table.closing or self.server.table.probing:
            self.server.close_unused()  # otherwise it would close the idle connection of the other client
        self.server.read_queue.run = lambda: read(self.server.read_queue)  # type: ignore[method-assign]
        self.sender.engine.run_iteration = lambda: iterate(engine)  # type: ignore[method-assign]

    async def answer_all_calls(self, *, max_deliveries: int = 1) -> None:
        """Answers calls until none is pending, and checks that no message is delivered too often."""
        seen: dict[str, int] = {}
        requests = self.world.receiver.requests
        while self.sender.engine.journal.entries or self.sender.engine.attempts.calls:
            while not requests.empty():
                request = requests.get_nowait()
                seen[request.id] = seen.get(request.id, 0) + 1
                request.answer(200)
            await next_iteration()
        assert max(seen.values(), default=0) <= max_deliveries, seen


CONNECTION_STAGES = [
    "in the backlog",
    "silent",
    "partial head",
    "partial body",
    "queued",
    "submitted",
    "paused",
    "answered",
    "closing",
    "closing and paused",
]
CLIENT_ACTIONS = ["nothing", "close", "half_close", "reset"]
MATRIX = [
    *itertools.product(CONNECTION_STAGES, CLIENT_ACTIONS, LATE),
    *itertools.product(CONNECTION_STAGES[1:8], ["pipeline"], LATE),
]


@pytest.mark.parametrize("sweep_first", [True, False], ids=["sweep first", "sweep last"])
@pytest.mark.parametrize(("stage", "act", "late"), MATRIX)
def test_a_client_action_while_the_loop_is_late_harms_no_other_client(
    stage: str, act: str, late: float, sweep_first: bool
) -> None:
    """The process survives, another client on an open connection is served, and all descriptors are freed."""

    async def test(state: Path) -> None:
        async with World(state) as world:
            world.sender.engine.dispatcher.stops_at = float("inf")
            late_sender = LateSender(world)
            bystander = await HeldConnection.open(world.sender.server, message("b"))
            assert (await read_reply(bystander.reader)).status == 202
            (await world.receiver.next()).answer(200)
            client = await late_sender.client_in_stage(stage)
            getattr(client, act)()
            late_sender.run_late_iteration(late, sweep_first)
            await late_sender.answer_all_calls()
            if late > 2:  # its connection has exceeded the idle time-out
                bystander.writer.close()
                bystander = await HeldConnection.open(world.sender.server)
            bystander.writer.write(message("after"))
            assert (await read_reply(bystander.reader)).status == 202
            await late_sender.answer_all_calls()
            assert not world.sender.engine.defect and not world.sender.engine.stopped.done()
            client.sock.close()
            bystander.writer.close()
            while world.sender.server.connections:
                late_sender.clock_offset += 1.0
                world.sender.server.expire()
                await next_iteration()
            await until(lambda: all(each.fileno() < 0 for each in late_sender.accepted))
            assert len(late_sender.accepted) >= 2

    with_folder(test)


def with_folder(test: Callable[[Path], object]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        run_async_test(test)(Path(folder))  # type: ignore[arg-type]


@run_async_test
async def test_a_client_that_closes_as_the_sweep_rejects_it_affects_no_other(state: Path) -> None:
    """Guards against a failure seen at 1,600 messages per second: the response 408 reaches a client that has
    closed, its reset arrives at once, and shutdown raises ENOTCONN in the sweep, whose task ended the
    process."""
    async with World(state) as world:
        partial = BlockingClient(world.running.address, message("m")[:30])
        await until(lambda: any(each.began for each in world.sender.server.connections))
        partial.close()  # the loop reads nothing between this call and the sweep
        for each in list(world.sender.server.connections):
            each.since -= 60.0
        world.sender.server.expire()
        assert (await world.submit("after")).status == 202
        assert (await world.receiver.next()).id == "after"


@run_async_test
async def test_a_response_to_a_closed_client_does_not_lose_the_rest_of_the_iteration(state: Path) -> None:
    """Guards against the same error within an iteration: it was only logged, and the messages after it were
    neither answered nor sent."""
    async with World(state) as world:
        late = LateSender(world)
        late.sender.engine.run_iteration = lambda: None  # type: ignore[method-assign]
        first = BlockingClient(world.running.address, message("m", Connection="close"))
        await until(lambda: "m" in world.sender.engine.table.arrivals)
        second = await HeldConnection.open(world.sender.server, message("n"))
        await until(lambda: "n" in world.sender.engine.table.arrivals)
        closed, _ = world.sender.engine.table.arrivals["m"][1], first.close()
        closed.is_gone = lambda: False  # type: ignore[method-assign]  # it closes between check and response
        late.run_late_iteration(0.0, sweep_first=False)
        assert (await read_reply(second.reader)).status == 202
        assert {(await world.receiver.next()).id, (await world.receiver.next()).id} == {"m", "n"}
        second.writer.close()


@run_async_test
async def test_a_connection_with_an_unwritten_response_is_not_closed_for_capacity(state: Path) -> None:
    """Closing it in the iteration of its response would lose the response to a message just accepted."""
    async with World(state) as world:
        client = BlockingClient(world.running.address, message("m"))
        await until(lambda: bool(world.sender.server.table.idle))
        (connection,) = world.sender.server.table.idle
        connection.transport.get_write_buffer_size = lambda: 1  # type: ignore[method-assign]
        world.sender.server.close_unused()
        assert connection in world.sender.server.connections
        del connection.transport.get_write_buffer_size  # type: ignore[attr-defined]
        world.sender.server.close_unused()
        assert connection not in world.sender.server.connections
        client.close()


@run_async_test
async def test_late_calls_on_a_closed_connection_do_not_affect_one_that_reuses_its_descriptor(
    state: Path,
) -> None:
    async with World(state) as world:
        server = world.sender.server
        probes = [BlockingClient(world.running.address, READY) for _ in range(8)]
        await until(lambda: len(server.table.probing) == 8)
        old = list(server.table.probing)
        descriptors = {each.sock.fileno() for each in old}
        sockets = [socket.socket() for _ in old]  # created first, so that they use none of those numbers
        for each in old:
            each.close()
        await until(lambda: all(each.sock.fileno() < 0 for each in old))
        fresh = [BlockingClient(world.running.address, sock=each) for each in sockets]
        await until(lambda: len(server.connections) == 8)
        assert descriptors & {each.sock.fileno() for each in server.connections}
        for each in old:  # late calls on the old connections
            assert each.is_gone() and each.is_busy() in (True, False)
            each.expire()
            each.answer(202)
            each.close()
        for each in fresh:
            each.sock.sendall(message(f"m{id(each)}"))
        await until(lambda: len(server.table.idle) == 8)
        for each in (*probes, *fresh):
            each.close()


@run_async_test
async def test_slow_requests_and_a_reconnect_storm_together_leave_the_sender_working(state: Path) -> None:
    """Forty clients send a byte per iteration while others connect, reset and reconnect; iterations take 0 to
    3 s."""
    async with World(state) as world:
        late = LateSender(world)
        await with_timeout(world.platform.watches.get())
        slow_clients = [(BlockingClient(world.running.address), message(f"d{each}")) for each in range(40)]
        acts = itertools.cycle(CLIENT_ACTIONS)
        for step in range(60):
            for client, data in slow_clients:
                with suppress(OSError):
                    client.sock.send(data[step : step + 1])
            storm = [
                BlockingClient(world.running.address, message(f"s{step}-{n}")[: 40 * n]) for n in range(4)
            ]
            for client in storm:
                getattr(client, next(acts))()
            await next_iteration()
            late.run_late_iteration((0.0, 0.05, 0.4, 3.0)[step % 4] if step % 10 == 9 else 0.0, step % 2 == 0)
        await late.answer_all_calls()
        assert not world.sender.engine.defect
        late.clock_offset += 4.0
        world.sender.server.expire()
        assert (await world.submit("after")).status == 202


# Receivers.

RECEIVER_ACTIONS = {
    "responds 200": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "responds 500": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    "responds 503": b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    "responds 503 in part": b"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\n",
    "sends noise": b"noise\r\n\r\n",
    "closes": b"",
    "resets": b"",
}


class RawReceiver:
    """A receiver whose actions have taken effect in the operating system when their calls return."""

    def __init__(self, buffer: int = 0) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        if buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.listener.setblocking(False)
        self.address: Address = self.listener.getsockname()
        self.received = b""

    def accept_call(self) -> bool:
        try:
            self.sock = self.listener.accept()[0]
        except BlockingIOError:
            return False
        self.sock.setblocking(False)
        return True

    def read_request(self) -> bool:
        """Reads available bytes; returns whether a complete request has been received."""
        with suppress(BlockingIOError):
            while data := self.sock.recv(1 << 20):
                self.received += data
        head, separator, body = self.received.partition(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        return bool(separator) and len(body) >= int(length or 0)

    def act(self, name: str) -> None:
        if data := RECEIVER_ACTIONS[name]:
            self.sock.sendall(data)
            return
        if name == "resets":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


@pytest.mark.parametrize("late", [0.0, *LATE])
@pytest.mark.parametrize("act", RECEIVER_ACTIONS)
def test_a_receiver_action_while_the_loop_is_late_yields_a_safe_outcome(act: str, late: float) -> None:
    """Once the last byte was received, only a complete response can prove that the request did not run."""

    async def test(_: Path) -> None:
        receiver, clock_offset = RawReceiver(), 0.0
        loop = asyncio.get_running_loop()
        time = loop.time
        loop.time = lambda: time() + clock_offset  # type: ignore[method-assign]
        transport = Transport(10, 10, 4, lambda: {"r": receiver.address})
        pending_call = asyncio.create_task(transport.call("r", sample_message(), 2.0, Permission()))
        await until(receiver.accept_call)
        await until(receiver.read_request)
        receiver.act(act)
        clock_offset = late
        outcome = (await with_timeout(pending_call)).outcome
        allowed = {
            "responds 200": {Outcome.OK},
            "responds 500": {Outcome.ERROR},
            "responds 503": {Outcome.FULL},
            "sends noise": {Outcome.MALFORMED},
        }.get(act, {Outcome.RESET, Outcome.MALFORMED, Outcome.TIMEOUT})
        assert outcome in allowed | ({Outcome.TIMEOUT} if late >= 2.0 else set())
        assert act == "responds 503" or outcome not in NEVER_RAN
        transport.close()
        receiver.listener.close()

    with_folder(test)


@run_async_test
async def test_a_call_whose_last_bytes_are_written_at_its_deadline_has_a_reliable_outcome(_: Path) -> None:
    """Guards against the loop's own sock_sendall: it wrote the last bytes in the iteration of the time-out
    and raised only a cancellation, which counted as never run."""
    receiver, clock_offset = RawReceiver(buffer=4096), 0.0
    loop = asyncio.get_running_loop()
    time = loop.time
    loop.time = lambda: time() + clock_offset  # type: ignore[method-assign]
    transport = Transport(10, 10, 4, lambda: {"r": receiver.address})
    connect = transport.connect

    async def connect_with_small_buffer(address: Address) -> object:
        connection = await connect(address)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return connection

    transport.connect = connect_with_small_buffer  # type: ignore[assignment]
    pending_call = asyncio.create_task(
        transport.call("r", sample_message(body=b"x" * 65_000), 2.0, Permission())
    )
    await until(receiver.accept_call)

    def has_unsent_bytes() -> bool:
        return any(each.unsent for each in transport.connections)

    await until(has_unsent_bytes)
    # Reading frees buffer space, so that the loop can write the rest.
    while not receiver.read_request() and has_unsent_bytes():
        if len(receiver.received) > 50_000:
            clock_offset = 3.0  # the call times out in that iteration
        await next_iteration()
    outcome = (await with_timeout(pending_call)).outcome
    assert (outcome not in NEVER_RAN) == receiver.read_request()
    transport.close()
    receiver.listener.close()


# Classification and logging of errors.


def test_errors_are_classified_as_peer_shortage_or_defect() -> None:
    def cause(number: int) -> Cause:
        return cause_of(OSError(number, os.strerror(number)))

    for number in (errno.ENOTCONN, errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH):
        assert cause(number) is Cause.PEER
    for number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL):
        assert cause(number) is Cause.SHORTAGE
    for number in (errno.EBADF, errno.ENOTSOCK, errno.EINVAL):
        assert cause(number) is Cause.DEFECT
    assert cause_of(TimeoutError()) is Cause.PEER
    assert cause_of(ValueError("a descriptor of -1")) is Cause.DEFECT


def test_errors_of_many_broken_connections_are_logged_at_a_limited_rate(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now = 0.0
    reports = ErrorReports(lambda: now)
    caplog.set_level("INFO")
    for _ in range(10 * LINES_LIMIT):
        reports.report(ConnectionResetError(errno.ECONNRESET, "reset"), "reading")
    assert len(caplog.records) == LINES_LIMIT
    now = INTERVAL_S
    reports.report(ConnectionResetError(errno.ECONNRESET, "reset"), "reading")
    assert [each.getMessage() for each in caplog.records[LINES_LIMIT:]] == [
        f"connections closed on errors: unreported={9 * LINES_LIMIT}",
        "connection closed: cause=peer operation=reading error=[Errno 104] reset",
    ]


def test_the_log_line_of_a_defect_names_its_place_in_the_code() -> None:
    def inner() -> None:
        raise ValueError("two\nlines")

    try:
        inner()
    except ValueError as error:
        line = describe_defect(error, "an iteration")
    assert (
        line.startswith("an iteration: ValueError: two lines (at test_disconnects.py:") and "inner < " in line
    )


@run_async_test
async def test_a_defect_closes_the_journal_logs_one_line_and_ends_the_process(state: Path) -> None:
    """Nothing else is done after it, since the state may have been changed only in part."""
    async with World(state) as world:
        sender = world.sender
        await world.submit("m1")
        order: list[str] = []
        close = sender.engine.journal.close
        sender.engine.journal.close = lambda: (order.append("closed"), close())  # type: ignore[method-assign]
        critical, log.critical = log.critical, lambda *line: order.append(line[0] % line[1:])
        handle = sender.engine.dispatcher.handle
        sender.engine.dispatcher.handle = lambda *_: 1 / 0  # type: ignore[method-assign]
        try:
            reply = asyncio.ensure_future(world.submit("m2"))
            assert await with_timeout(asyncio.shield(world.running.task)) == 1
        finally:
            log.critical, sender.engine.dispatcher.handle = critical, handle
        assert order[0] == "closed" and len(order) == 2
        assert order[1].startswith("n0: ended by a defect: ") and "ZeroDivisionError" in order[1]
        assert "\n" not in order[1]
        reply.cancel()
        world.running.has_ended = True


@run_async_test
async def test_an_os_error_of_an_iteration_is_a_defect_and_one_of_a_transport_is_not(state: Path) -> None:
    async with World(state) as world:
        client = BlockingClient(world.running.address, READY)
        await until(lambda: bool(world.sender.server.table.probing))
        (connection,) = world.sender.server.table.probing
        broken = ConnectionResetError(errno.ECONNRESET, "reset")
        handle = asyncio.Handle(connection.transport.abort, (), asyncio.get_running_loop())
        world.sender.handle_loop_exception(
            {"message": "a callback raised", "exception": broken, "handle": handle}
        )
        assert not world.sender.engine.defect and connection.transport.is_closing()
        world.sender.handle_loop_exception({"message": "a callback raised", "exception": broken})
        assert "ConnectionResetError" in world.sender.engine.defect
        client.close()
        assert await with_timeout(asyncio.shield(world.running.task)) == 1
        world.running.has_ended = True


@run_async_test
async def test_a_discovery_line_with_values_of_wrong_types_changes_nothing(state: Path) -> None:
    async with World(state) as world:
        watch = await with_timeout(world.platform.watches.get())
        for wrong in ({"class": ["k"]}, {"site": {}}, {"host": 7}):
            send_watch_line(watch, 50, host(world.receiver.dial) | wrong, whole=True)
            tries = len(world.platform.watched)
            late = LateSender(world)
            while len(world.platform.watched) == tries:
                late.clock_offset += 0.25
                world.sender.engine.post(WakeUp())
                await next_iteration()
            watch = world.platform.watched[-1]
        assert not world.sender.engine.defect and list(world.sender.engine.dispatcher.endpoints) == ["r"]
