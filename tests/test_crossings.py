"""Two events in the same moment, on real sockets: each step of a message meets each event that can come then.

A step is a moment that is held: what has come is in the system's hands, or a hook stands where the sender
would go on. The event is then done by hand, and all goes on; a sender that ended is started again on its
folder. What must hold is the same for each pair: the client hears one answer unless it left or the process
was killed; what was taken on has one end; no effect twice; nothing new goes where a drain was told. What
cannot meet, and why, is in docs/design/acceptance.md.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from faults import turn, until
from peers import Request, Running, World, answer_notices, host, message, play, soon, tell
from test_closing import Client

from message_sender.handover.drain import GRACE_S
from message_sender.http.client_connection import ClientConnection
from message_sender.http.codec import Address
from message_sender.policy.events import EndpointsUpdated, WakeUp
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

NAME = "m1"
HEAD, _, BODY = message(NAME, b"x" * 40).partition(b"\r\n\r\n")
WHOLE = HEAD + b"\r\n\r\n" + BODY
STATUS = b"HTTP/1.1 "


class Crossing:
    """A sender, a client with one message, and what became of it."""

    def __init__(self, world: World) -> None:
        self.world, self.sender, self.engine = world, world.sender, world.sender.engine
        self.running: Running = world.running
        self.client = Client(self.sender.server.address())
        self.left = self.killed = self.stopping = False
        self.notices: list[tuple[str, str]] = []
        self.calls: list[Request] = []  # that came whole for the message
        self.served = 0
        self.request: Request | None = None  # the one that the step holds
        self.drained: int | None = None  # calls so far as a drain was told
        self.go_on = asyncio.Event()
        self.dialled = asyncio.Event()
        self.platform = asyncio.create_task(
            answer_notices(world.platform, lambda name, state: self.notices.append((name, state)))
        )

    async def whole(self) -> None:
        self.client.send(WHOLE)
        await until(lambda: self.heard().startswith(STATUS))

    def heard(self) -> bytes:
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
        """The receiver serves whatever comes from now on."""
        while True:
            (await self.next_call()).answer(200)
            self.served += 1

    # Steps.

    async def connected(self) -> None:
        await until(lambda: any(each.transport for each in self.sender.server.connections))

    async def part_of_a_head(self) -> None:
        self.client.send(HEAD[:50])
        await until(lambda: any(each.began for each in self.sender.server.connections))

    async def part_of_a_body(self) -> None:
        self.client.send(WHOLE[:-5])
        await until(lambda: any(each.reader.request for each in self.sender.server.connections))

    async def unread(self) -> None:
        await self.connected()
        self.client.send(WHOLE)

    async def held(self) -> None:
        self.client.send(WHOLE.replace(b"dest=3", b"dest=9"))
        await until(lambda: self.heard().startswith(STATUS))

    async def dialling(self) -> None:
        await self.whole()
        await soon(self.dialled.wait())

    async def written(self) -> None:
        await self.whole()
        self.request = await self.next_call()

    async def part_of_an_answer(self) -> None:
        await self.written()
        assert self.request
        self.request.write("HTTP/1.1 20")
        (connection,) = self.sender.transport.awaiting_answer
        await until(lambda: bool(connection.codec.trailing_data[0]))

    async def answer_unread(self) -> None:
        await self.written()
        self.answer()

    async def resting(self) -> None:
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
            self.request, self.served = None, self.served + 1

    # Events.

    def sigterm(self) -> None:
        self.sender.terminate()
        self.stopping = True

    def second_sigterm(self) -> None:
        self.sigterm()
        self.sender.terminate()

    def grace_over(self) -> None:
        self.sigterm()
        assert self.sender.drain.terminated_at_s is not None
        self.sender.drain.terminated_at_s -= GRACE_S
        self.sender.end_drain_grace()

    def sigkill(self) -> None:
        """All that a process does ends; its descriptors close, and what they had unread resets."""
        self.killed = True
        self.engine.close()
        self.engine.stop(0)
        for each in list(self.sender.server.connections):
            each.close()

    def hangup(self) -> None:
        config = self.sender.config
        self.sender.discovery.address = ("127.0.0.1", 9)  # as if it had stood there before
        self.sender.reconfigure(config)

    def list_drains(self) -> None:
        self.sender.receive_endpoints(self.news("draining"))
        self.drained = len(self.calls)

    def list_lost(self) -> None:
        for each in self.world.platform.watched:
            each.break_off()

    def operators_drain(self) -> None:
        self.sender.operator_commands.apply_change("r", self.sender.maintenance.take_out_of_service("r"))
        self.drained = len(self.calls)

    def news(self, health: str) -> EndpointsUpdated:
        told = Endpoint("r", 3, EndpointState(health), "k", "z", 1.0)
        return EndpointsUpdated(ListingKind.CHANGES, (told,))

    def idle_limit(self) -> None:
        for each in self.sender.server.connections:
            each.since -= 100
        self.sender.server.expire()

    def clients_close(self) -> None:
        self.left = True
        self.client.sock.close()

    def clients_half_close(self) -> None:
        self.left = True
        self.client.sock.shutdown(socket.SHUT_WR)

    def clients_reset(self) -> None:
        self.left = True
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

    # What follows, and what must hold.

    async def settle(self) -> None:
        serving = asyncio.create_task(self.serve())
        self.go_on.set()
        for _ in range(30):
            await turn()
        self.answer()
        with contextlib.suppress(OSError):
            if self.client.sock.fileno() >= 0 and not self.left and not self.heard():
                self.rest_of_request()
        if self.stopping or self.killed:
            await self.end()
        else:
            self.engine.journal.limit_bytes = 3_000_000
            await self.bring_back()
        await self.until_over(self.engine if not (self.stopping or self.killed) else None)
        serving.cancel()

    def rest_of_request(self) -> None:
        """Whoever was in the middle of a request goes on with it."""
        sent = {"connected": 0, "part_of_a_head": 50, "part_of_a_body": len(WHOLE) - 5}
        if self.step in sent:
            self.client.send(WHOLE[sent[self.step] :])

    async def bring_back(self) -> None:
        """What was drained, or lost from the list, is there again."""
        self.sender.maintenance.out_of_service = frozenset()
        for _ in range(40):
            await turn()
        if self.drained is not None:
            assert len(self.calls) == self.drained  # nothing new went there
            self.drained = None
        ready = EndpointState.READY
        told = tuple(Endpoint(name, place, ready, "k", "z") for name, place in (("r", 3), ("d", 9)))
        self.sender.discovery.dials |= {name: self.world.receiver.address for name in ("r", "d")}
        self.sender.receive_endpoints(EndpointsUpdated(ListingKind.CHANGES, told))

    async def end(self) -> None:
        """The process ends, and another one begins on its folder."""
        if not self.killed:
            self.sender.stop(0)
        await soon(self.running.task)
        assert self.engine.defect == ""
        told = self.world.told | {"known": {"seq": 50, "whole": True, "hosts": self.hosts()}}
        async with Running(told, self.world.state) as again:
            await self.until_over(again.sender.engine)

    def hosts(self) -> list[dict[str, Any]]:
        return [host(self.world.receiver.dial), host(self.world.receiver.dial, "d", block=9)]

    async def until_over(self, engine: Any) -> None:  # noqa: ANN401
        if engine is None:
            return
        for _ in range(400):
            if not (engine.journal.entries or engine.table.arrivals or engine.inbox):
                return
            await asyncio.wait_for(asyncio.shield(self.tick()), 1)
        raise AssertionError(f"{list(engine.journal.entries)} have no end")

    async def tick(self) -> None:
        """Lets the loop wait for its sockets and timers for a moment."""
        passed = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(0.02, passed.set_result, None)
        await passed

    def judge(self, once: bool) -> None:
        assert self.engine.defect == ""
        text = b"" if self.left else self.answer_text()
        taken = text.startswith(b"HTTP/1.1 202")
        ends = {state for name, state in self.notices if name == NAME}
        if not (self.left or self.killed) and self.step != "connected":
            assert text.startswith(STATUS), "the client heard nothing"
        if taken:
            assert self.served or ends, "what was taken on has no end"
            assert len(ends) <= 1 and not (once and self.served and ends and not self.lost_answer)
        if text and not taken:
            assert not self.calls, "what was turned away was sent on"
        if once:
            assert len(self.calls) <= 1, "an effect twice"

    lost_answer = False  # the receiver served it, and its answer could not come
    step = ""

    def answer_text(self) -> bytes:
        self.client.sock.setblocking(True)
        self.client.sock.settimeout(2)
        try:
            return self.client.sock.recv(4096)
        except (ConnectionResetError, TimeoutError):
            return b""


STEPS = {
    each.__name__: each
    for each in (
        Crossing.connected,
        Crossing.part_of_a_head,
        Crossing.part_of_a_body,
        Crossing.unread,
        Crossing.held,
        Crossing.dialling,
        Crossing.written,
        Crossing.part_of_an_answer,
        Crossing.answer_unread,
        Crossing.resting,
    )
}
EVENTS: dict[str, Callable[[Crossing], None]] = {
    each.__name__: each
    for each in (
        Crossing.sigterm,
        Crossing.second_sigterm,
        Crossing.grace_over,
        Crossing.sigkill,
        Crossing.hangup,
        Crossing.list_drains,
        Crossing.list_lost,
        Crossing.operators_drain,
        Crossing.idle_limit,
        Crossing.clients_close,
        Crossing.clients_half_close,
        Crossing.clients_reset,
        Crossing.receivers_close,
        Crossing.receivers_reset,
        Crossing.receivers_half_line,
        Crossing.deadline,
        Crossing.disk_full,
    )
}
CALLED = ("written", "part_of_an_answer", "answer_unread", "resting")
PAIRS = [
    (step, event)
    for step in STEPS
    for event in EVENTS
    if not (event.startswith("receivers") and step not in CALLED)  # no connection to a receiver is up
]


@pytest.mark.parametrize("effect", ["once", "repeatable"])
@pytest.mark.parametrize(("step", "event"), PAIRS)
def test_a_step_meets_an_event(
    step: str, event: str, effect: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real: Callable[[Address], Awaitable[ClientConnection]] = ClientConnection.open
    held: list[Crossing] = []

    async def opened(address: Address) -> ClientConnection:
        if held and address == held[0].world.receiver.address and step == "dialling":
            held[0].dialled.set()
            await held[0].go_on.wait()
        return await real(address)

    monkeypatch.setattr(ClientConnection, "open", opened)

    async def test(state: Path) -> None:
        async with World(state, semantics=effect) as world:
            tell(await soon(world.platform.watches.get()), 42, host(world.receiver.dial))
            crossing = Crossing(world)
            held.append(crossing)
            crossing.step = step
            await STEPS[step](crossing)
            EVENTS[event](crossing)
            crossing.lost_answer = event.startswith("receivers") or event in ("sigkill", "deadline")
            await crossing.settle()
            crossing.judge(effect == "once")
            crossing.platform.cancel()
            if not crossing.left:
                crossing.client.sock.close()
            if crossing.killed or crossing.stopping:
                world.running.task = asyncio.create_task(asyncio.sleep(0, 0))

    play(test)(tmp_path)
