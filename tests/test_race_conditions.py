"""Race conditions on real sockets: each step of a message is combined with each event that can occur then.

At a step, the sender is held: received data is still in the system's buffers, or a hook blocks the sender.
The event is then triggered, and the sender continues; a sender that ended is started again on its state
folder. For each pair the same must hold: the client gets one answer unless it left or the process was killed;
an accepted message has one completion; no effect happens twice; no new call is sent to an endpoint that
drains. Pairs that cannot occur, and why, are in docs/design/acceptance.md.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from peers import (
    Request,
    Running,
    World,
    answer_notices,
    host,
    message,
    run_async_test,
    send_watch_line,
    with_timeout,
)
from socket_faults import next_iteration, until
from test_connection_states import BlockingClient

from message_sender.handover.drain import GRACE_S
from message_sender.http.client_connection import ClientConnection
from message_sender.http.common import Address
from message_sender.policy.events import EndpointsUpdated, WakeUp
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

NAME = "m1"
REQUEST_HEAD, _, REQUEST_BODY = message(NAME, b"x" * 40).partition(b"\r\n\r\n")
REQUEST = REQUEST_HEAD + b"\r\n\r\n" + REQUEST_BODY
STATUS = b"HTTP/1.1 "


class RaceScenario:
    """A sender, a client with one message, and a record of what happened to the message.

    Attributes:
        client_left: The client has closed its connection, or its sending side.
        was_killed: The process was killed.
        is_stopping: The process received SIGTERM.
        notices: Id and state of each notice to the platform.
        calls: The requests for the message that arrived completely at the receiver.
        served_count: Number of answers of the receiver.
        request: The unanswered request at the receiver.
        calls_at_drain: Number of calls when the endpoint was listed as draining; None: it is not draining.
        may_connect: Set when a held connection attempt may continue.
        connect_started: Set when the sender starts to connect to the receiver.
        lost_answer: The receiver may have served the message although its answer is lost.
        step: Name of the step.
    """

    def __init__(self, world: World) -> None:
        self.world, self.sender, self.engine = world, world.sender, world.sender.engine
        self.running: Running = world.running
        self.client = BlockingClient(self.sender.server.address())
        self.client_left = self.was_killed = self.is_stopping = False
        self.notices: list[tuple[str, str]] = []
        self.calls: list[Request] = []
        self.served_count = 0
        self.request: Request | None = None
        self.calls_at_drain: int | None = None
        self.may_connect = asyncio.Event()
        self.connect_started = asyncio.Event()
        self.platform = asyncio.create_task(
            answer_notices(world.platform, lambda name, state: self.notices.append((name, state)))
        )

    async def submit(self) -> None:
        self.client.send(REQUEST)
        await until(lambda: self.received().startswith(STATUS))

    def received(self) -> bytes:
        self.client.sock.setblocking(False)
        try:
            return self.client.sock.recv(4096, socket.MSG_PEEK)
        except (BlockingIOError, ConnectionResetError, ValueError, OSError):
            return b""

    async def next_call(self) -> Request:
        request = await self.world.receiver.next()
        self.calls.append(request)
        return request

    async def serve(self) -> None:
        """Answers all calls at the receiver from now on."""
        while True:
            (await self.next_call()).answer(200)
            self.served_count += 1

    # Steps. Their names are the ids of the test cases.

    async def connected(self) -> None:
        await until(lambda: any(each.transport for each in self.sender.server.connections))

    async def part_of_a_head(self) -> None:
        self.client.send(REQUEST_HEAD[:50])
        await until(lambda: any(each.began for each in self.sender.server.connections))

    async def part_of_a_body(self) -> None:
        self.client.send(REQUEST[:-5])
        await until(lambda: any(each.reader.request for each in self.sender.server.connections))

    async def unread(self) -> None:
        """The client's request is in the system's buffers."""
        await self.connected()
        self.client.send(REQUEST)

    async def pending(self) -> None:
        """The message is accepted and waits, since its destination has no endpoint."""
        self.client.send(REQUEST.replace(b"dest=3", b"dest=9"))
        await until(lambda: self.received().startswith(STATUS))

    async def connecting(self) -> None:
        """The sender connects to the receiver."""
        await self.submit()
        await with_timeout(self.connect_started.wait())

    async def written(self) -> None:
        """The request has arrived at the receiver."""
        await self.submit()
        self.request = await self.next_call()

    async def part_of_an_answer(self) -> None:
        await self.written()
        assert self.request
        self.request.write("HTTP/1.1 20")
        (connection,) = self.sender.transport.awaiting_answer
        await until(lambda: bool(connection.codec.trailing_data[0]))

    async def answer_unread(self) -> None:
        """The receiver's answer is in the system's buffers."""
        await self.written()
        self.answer()

    async def idle(self) -> None:
        """The message is completed, and the connections are idle."""
        await self.written()
        self.answer()
        await until(lambda: not self.engine.journal.entries)

    def answer(self) -> None:
        if self.request:
            with contextlib.suppress(ConnectionError, RuntimeError):
                if self.step == "part_of_an_answer":
                    self.request.write("0 It\r\nContent-Length: 0\r\n\r\n")
                else:
                    self.request.answer(200)
            self.request, self.served_count = None, self.served_count + 1

    # Events. Their names are the ids of the test cases.

    def sigterm(self) -> None:
        self.sender.terminate()
        self.is_stopping = True

    def second_sigterm(self) -> None:
        self.sigterm()
        self.sender.terminate()

    def grace_over(self) -> None:
        self.sigterm()
        assert self.sender.drain.terminated_at_s is not None
        self.sender.drain.terminated_at_s -= GRACE_S
        self.sender.end_drain_grace()

    def sigkill(self) -> None:
        """Ends all work of the process; its descriptors are closed, and those with unread data are reset."""
        self.was_killed = True
        self.engine.close()
        self.engine.stop(0)
        for each in list(self.sender.server.connections):
            each.close()

    def hangup(self) -> None:
        """SIGHUP, with another address of discovery."""
        config = self.sender.config
        self.sender.discovery.address = ("127.0.0.1", 9)  # the address before the reload
        self.sender.reconfigure(config)

    def list_drains(self) -> None:
        self.sender.receive_endpoints(self.endpoint_update("draining"))
        self.calls_at_drain = len(self.calls)

    def list_lost(self) -> None:
        for each in self.world.platform.watched:
            each.abort()

    def operators_drain(self) -> None:
        self.sender.operator_commands.apply_change("r", self.sender.maintenance.take_out_of_service("r"))
        self.calls_at_drain = len(self.calls)

    def endpoint_update(self, health: str) -> EndpointsUpdated:
        listed = Endpoint("r", 3, EndpointState(health), "k", "z", 1.0)
        return EndpointsUpdated(ListingKind.CHANGES, (listed,))

    def idle_limit(self) -> None:
        for each in self.sender.server.connections:
            each.since -= 100
        self.sender.server.expire()

    def clients_close(self) -> None:
        self.client_left = True
        self.client.sock.close()

    def clients_half_close(self) -> None:
        self.client_left = True
        self.client.sock.shutdown(socket.SHUT_WR)

    def clients_reset(self) -> None:
        self.client_left = True
        self.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.client.sock.close()

    def receivers_close(self) -> None:
        for each in self.world.receiver.writers:
            each.close()

    def receivers_reset(self) -> None:
        self.world.receiver.drop()

    def receivers_half_line(self) -> None:
        for each in self.world.receiver.writers:
            each.write(b"HTTP/1.1 2")
            each.close()

    def deadline(self) -> None:
        now = self.engine.now
        self.engine.now = lambda: now() + 60_000_000
        self.engine.post(WakeUp())

    def disk_full(self) -> None:
        self.engine.journal.limit_bytes = 0

    # The end of a scenario, and its checks.

    async def finish(self) -> None:
        serving = asyncio.create_task(self.serve())
        self.may_connect.set()
        for _ in range(30):
            await next_iteration()
        self.answer()
        with contextlib.suppress(OSError):
            if self.client.sock.fileno() >= 0 and not self.client_left and not self.received():
                self.send_rest_of_request()
        if self.is_stopping or self.was_killed:
            await self.end()
        else:
            self.engine.journal.limit_bytes = 3_000_000
            await self.restore_endpoints()
        await self.wait_until_completed(self.engine if not (self.is_stopping or self.was_killed) else None)
        serving.cancel()

    def send_rest_of_request(self) -> None:
        """Sends the rest of the request that the step has sent in part."""
        sent_bytes = {"connected": 0, "part_of_a_head": 50, "part_of_a_body": len(REQUEST) - 5}
        if self.step in sent_bytes:
            self.client.send(REQUEST[sent_bytes[self.step] :])

    async def restore_endpoints(self) -> None:
        """Lists the endpoints as ready again, after a drain or a lost watch."""
        self.sender.maintenance.out_of_service = frozenset()
        for _ in range(40):
            await next_iteration()
        if self.calls_at_drain is not None:
            assert len(self.calls) == self.calls_at_drain  # no new call was sent to the draining endpoint
            self.calls_at_drain = None
        ready = EndpointState.READY
        listed = tuple(Endpoint(name, number, ready, "k", "z") for name, number in (("r", 3), ("d", 9)))
        self.sender.discovery.dials |= {name: self.world.receiver.address for name in ("r", "d")}
        self.sender.receive_endpoints(EndpointsUpdated(ListingKind.CHANGES, listed))

    async def end(self) -> None:
        """Ends the process, and starts another on its state folder."""
        if not self.was_killed:
            self.sender.stop(0)
        await with_timeout(self.running.task)
        assert self.engine.defect == ""
        config = self.world.config | {"known": {"seq": 50, "whole": True, "hosts": self.hosts()}}
        async with Running(config, self.world.state) as restarted:
            await self.wait_until_completed(restarted.sender.engine)

    def hosts(self) -> list[dict[str, Any]]:
        return [host(self.world.receiver.dial), host(self.world.receiver.dial, "d", block=9)]

    async def wait_until_completed(self, engine: Any) -> None:  # noqa: ANN401
        if engine is None:
            return
        for _ in range(400):
            if not (engine.journal.entries or engine.table.arrivals or engine.inbox):
                return
            await asyncio.wait_for(asyncio.shield(self.wait_briefly()), 1)
        raise AssertionError(f"{list(engine.journal.entries)} are not completed")

    async def wait_briefly(self) -> None:
        """Lets the loop wait briefly for its sockets and timers."""
        passed = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(0.02, passed.set_result, None)
        await passed

    def check(self, is_unsafe: bool) -> None:
        assert self.engine.defect == ""
        text = b"" if self.client_left else self.read_answer()
        is_accepted = text.startswith(b"HTTP/1.1 202")
        states = {state for name, state in self.notices if name == NAME}
        if not (self.client_left or self.was_killed) and self.step != "connected":
            assert text.startswith(STATUS), "the client received no answer"
        if is_accepted:
            assert self.served_count or states, "an accepted message has no completion"
            assert len(states) <= 1 and not (
                is_unsafe and self.served_count and states and not self.lost_answer
            )
        if text and not is_accepted:
            assert not self.calls, "a rejected message was sent"
        if is_unsafe:
            assert len(self.calls) <= 1, "the message had its effect twice"

    lost_answer = False
    step = ""

    def read_answer(self) -> bytes:
        self.client.sock.setblocking(True)
        self.client.sock.settimeout(2)
        try:
            return self.client.sock.recv(4096)
        except (ConnectionResetError, TimeoutError):
            return b""


STEPS = {
    each.__name__: each
    for each in (
        RaceScenario.connected,
        RaceScenario.part_of_a_head,
        RaceScenario.part_of_a_body,
        RaceScenario.unread,
        RaceScenario.pending,
        RaceScenario.connecting,
        RaceScenario.written,
        RaceScenario.part_of_an_answer,
        RaceScenario.answer_unread,
        RaceScenario.idle,
    )
}
EVENTS: dict[str, Callable[[RaceScenario], None]] = {
    each.__name__: each
    for each in (
        RaceScenario.sigterm,
        RaceScenario.second_sigterm,
        RaceScenario.grace_over,
        RaceScenario.sigkill,
        RaceScenario.hangup,
        RaceScenario.list_drains,
        RaceScenario.list_lost,
        RaceScenario.operators_drain,
        RaceScenario.idle_limit,
        RaceScenario.clients_close,
        RaceScenario.clients_half_close,
        RaceScenario.clients_reset,
        RaceScenario.receivers_close,
        RaceScenario.receivers_reset,
        RaceScenario.receivers_half_line,
        RaceScenario.deadline,
        RaceScenario.disk_full,
    )
}
STEPS_WITH_CALL = ("written", "part_of_an_answer", "answer_unread", "idle")
PAIRS = [
    (step, event)
    for step in STEPS
    for event in EVENTS
    # Without a call, no connection to a receiver is open.
    if not (event.startswith("receivers") and step not in STEPS_WITH_CALL)
]


@pytest.mark.parametrize("semantics", ["once", "repeatable"])
@pytest.mark.parametrize(("step", "event"), PAIRS)
def test_event_at_each_step_of_a_message(
    step: str, event: str, semantics: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    open_connection: Callable[[Address], Awaitable[ClientConnection]] = ClientConnection.open
    scenarios: list[RaceScenario] = []

    async def delayed_open(address: Address) -> ClientConnection:
        if scenarios and address == scenarios[0].world.receiver.address and step == "connecting":
            scenarios[0].connect_started.set()
            await scenarios[0].may_connect.wait()
        return await open_connection(address)

    monkeypatch.setattr(ClientConnection, "open", delayed_open)

    async def test(state: Path) -> None:
        async with World(state, semantics=semantics) as world:
            send_watch_line(await with_timeout(world.platform.watches.get()), 42, host(world.receiver.dial))
            scenario = RaceScenario(world)
            scenarios.append(scenario)
            scenario.step = step
            await STEPS[step](scenario)
            EVENTS[event](scenario)
            scenario.lost_answer = event.startswith("receivers") or event in ("sigkill", "deadline")
            await scenario.finish()
            scenario.check(semantics == "once")
            scenario.platform.cancel()
            if not scenario.client_left:
                scenario.client.sock.close()
            if scenario.was_killed or scenario.is_stopping:
                world.running.task = asyncio.create_task(asyncio.sleep(0, 0))

    run_async_test(test)(tmp_path)
