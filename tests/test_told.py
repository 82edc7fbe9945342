"""The operators' term on lists: whatever call failed, was refused or given up, what discovery has had for
6 s, and could be reached for, is known. Whole senders in virtual time, their sockets in memory."""

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest
from helpers import settings
from peers import config_json, host

from message_sender.emulator.loop import VirtualLoop
from message_sender.emulator.net import HOST, REFUSED, SILENT, Net
from message_sender.policy.list_polling import ListPolling
from message_sender.service import daemon
from message_sender.service.daemon import DaemonConfig, PlatformSender
from message_sender.start import decode_config

TOLD = 6.0  # s
AT_HAND = 0.5  # s, where lists are pushed: what the agent has counts at once, and a drain has its grace
AT = ("platform", 8500)
OTHER = ("elsewhere", 8500)
SECOND = 1_000_000


def config(state: Path, discovery: tuple[str, int], mode: str, fleet: int = 40) -> DaemonConfig:
    class At:
        dial = f"{discovery[0]}:{discovery[1]}"

    values = config_json(At, host("10.0.0.9:1"), mode=mode) | {"listen": "sender:3000"}  # type: ignore[arg-type]
    values["settings"] |= {"fleet_size": fleet}
    return decode_config(values, state)


class Discovery:
    """A list of one receiver. `mode` is what becomes of a call; it may be set while calls are out."""

    def __init__(self, net: Net, address: tuple[str, int] = AT) -> None:
        self.net, self.address = net, address
        self.mode = "fine"
        self.seq, self.health, self.changed_at = 41, "ready", float("-inf")
        self.calls: list[float] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None

    async def up(self) -> None:
        token = HOST.set(self.address[0])
        self.server = await asyncio.start_server(self.serve, *self.address)
        HOST.reset(token)

    def line(self, indent: int | None = None) -> str:
        values = {"seq": self.seq, "whole": False, "hosts": [host("10.0.0.9:1", health=self.health)]}
        return json.dumps(values, indent=indent) + "\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                self.calls.append(asyncio.get_running_loop().time())
                await self.answer(head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def answer(self, head: str, writer: asyncio.StreamWriter) -> None:
        mode = self.mode
        if mode == "hangs":
            await asyncio.sleep(1000)
        if mode == "503 after 2 s":
            await asyncio.sleep(2)
        if mode.startswith("503"):
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            return
        if mode == "resets":
            writer.transport.abort()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if "watch" not in head:
            self.chunk(writer, self.line().replace("false", "true"))
            writer.write(b"0\r\n\r\n")
        elif mode == "a line without end":
            self.chunk(writer, '{"seq": 42, "hosts": [')
            while not writer.is_closing():
                await asyncio.sleep(0.5)
                self.chunk(writer, " \n")
        elif mode == "noise":
            self.chunk(writer, "}{\n")
        else:
            self.watches.append(writer)
            self.chunk(writer, self.line(2 if mode == "indented" else None))
            while not writer.is_closing() and self.mode == mode:
                self.chunk(writer, "\n")
                await asyncio.sleep(2)

    def chunk(self, writer: asyncio.StreamWriter, text: str) -> None:
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode())

    def drains(self) -> None:
        self.seq, self.health = 43, "draining"


class World:
    """A sender, discovery, and ways that may be closed to it."""

    def __init__(self, net: Net, loop: VirtualLoop, state: Path, mode: str) -> None:
        self.net, self.loop, self.closed = net, loop, 0.0
        self.discovery = Discovery(net)
        self.config = config(state, AT, mode)
        self.sender: PlatformSender

    async def start(self) -> None:
        await self.discovery.up()
        token = HOST.set("sender")
        self.sender = PlatformSender(self.config)
        await self.sender.start()
        HOST.reset(token)

    def knows(self) -> bool:
        """Whether it has heard that its one receiver drains."""
        return "r" not in self.sender.engine.dispatcher.endpoints

    async def until_known(self) -> float:
        """s from now until then."""
        began = self.loop.time()
        while not self.knows():
            await asyncio.sleep(0.01)
            assert self.loop.time() < began + 60
        return self.loop.time() - began


def in_world(work: Callable[[World], Coroutine[Any, Any, Any]], state: Path, mode: str = "on_request") -> Any:  # noqa: ANN401
    loop = VirtualLoop()
    world: list[World] = []

    def way(by: str, address: tuple[str, int], now: float) -> float:
        return world[0].closed if world and "sender" in (by, address[0]) else 0.01

    net = loop.virtual.net = Net(loop.time, way)

    async def run() -> Any:  # noqa: ANN401
        world.append(World(net, loop, state, mode))
        world[0].closed = 0.01
        await world[0].start()
        try:
            return await work(world[0])
        finally:
            world[0].sender.engine.close()
            world[0].sender.server.close()

    class Clock:
        """The module's, on the loop's time."""

        base = 0

        def __init__(self, base: int | None = None) -> None: ...

        def now(self) -> int:
            return int(loop.time() * SECOND)

    try:
        with net.installed(), patch.object(daemon, "Clock", Clock):
            return loop.run_until_complete(run())
    finally:
        loop.close()


FAILING = ["hangs", "503", "503 after 2 s", "resets", "a line without end", "noise"]


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("failing", FAILING)
@pytest.mark.parametrize("began", [0.0, 0.7, 1.9, 3.1])
def test_what_discovery_has_is_known_6_s_after_it_answers_again(
    failing: str, began: float, mode: str, tmp_path: Path
) -> None:
    """It answers again at any moment of a back-off at its longest, or of a call that hangs."""

    async def work(world: World) -> float:
        await asyncio.sleep(3)
        world.discovery.mode = failing
        for each in world.discovery.watches:
            each.transport.abort()
        await asyncio.sleep(20 + began)
        world.discovery.drains()
        world.discovery.mode = "fine"
        return await world.until_known()

    at_hand = mode == "pushed" and failing != "a line without end"
    assert in_world(work, tmp_path, mode) < (AT_HAND if at_hand else TOLD)


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("since", [0.0, 0.5, 1.0, 1.5])
def test_a_watch_that_falls_silent_is_made_good_within_6_s(since: float, mode: str, tmp_path: Path) -> None:
    async def work(world: World) -> float:
        await asyncio.sleep(20.1 + since)
        world.discovery.mode = "silent from here on"  # the watch that is open; new ones are fine
        world.discovery.drains()
        return await world.until_known()

    assert in_world(work, tmp_path, mode) < TOLD


@pytest.mark.parametrize("closed", [SILENT, REFUSED])
def test_a_cut_that_ends_is_made_good_within_6_s(closed: float, tmp_path: Path) -> None:
    """While a connect hangs, or was refused just now."""

    async def work(world: World) -> float:
        await asyncio.sleep(3)
        world.closed = closed
        for each in world.discovery.watches if closed == REFUSED else ():
            each.transport.abort()  # else what is under way on it goes on
        await asyncio.sleep(17.3)
        world.discovery.drains()
        world.closed = 0.01
        return await world.until_known()

    assert in_world(work, tmp_path) < TOLD


def test_a_new_process_knows_within_6_s_and_so_does_one_whose_discovery_moved(tmp_path: Path) -> None:
    async def begun(world: World) -> float:
        world.discovery.drains()
        return await world.until_known()

    async def moved(world: World) -> float:
        await asyncio.sleep(3)
        other = Discovery(world.net, OTHER)
        other.drains()
        other.mode = "hangs"
        await other.up()
        token = HOST.set("sender")
        world.sender.reconfigure(config(tmp_path, OTHER, "on_request"))
        HOST.reset(token)
        await asyncio.sleep(5)
        other.mode = "fine"
        return await world.until_known()

    assert in_world(begun, tmp_path) < TOLD and in_world(moved, tmp_path) < TOLD


def test_a_watch_of_indented_lines_is_read(tmp_path: Path) -> None:
    async def work(world: World) -> tuple[bool, int]:
        world.discovery.mode = "indented"
        world.discovery.drains()
        await asyncio.sleep(8)
        return world.knows(), len(world.discovery.calls)

    assert in_world(work, tmp_path) == (True, 1)


class Turns:
    """Discovery as the bench's page has it: it takes one call after another, and turns away what would have
    to wait for longer than `most` s. Who has gone meanwhile is served in vain."""

    def __init__(self, took: float, down: tuple[float, float], most: float = 2.0) -> None:
        self.took, self.down, self.most, self.free = took, down, most, 0.0

    def call(self, now: float) -> tuple[float, bool]:
        """When it is answered, and whether with the list."""
        if self.down[0] <= now < self.down[1]:
            return min(now + self.most, self.down[1] + self.most), False
        begun = max(self.free, now)
        if begun + self.took - now > self.most:
            return now + self.most, False
        self.free = begun + self.took
        return self.free, True


@pytest.mark.parametrize(("fleet", "all_calls"), [(5, 2.0), (40, 4.8), (200, 4.8)])
@pytest.mark.parametrize("seed", range(5))
def test_a_fleet_has_the_list_6_s_after_its_start_and_after_discovery_is_back(
    fleet: int, all_calls: float, seed: int
) -> None:
    """Discovery takes a call from each in `all_calls`; it is down from 10 to 18 s."""
    calls = [
        ListPolling(settings(fleet_size=fleet, must_poll=True), random.Random(f"{seed}/{each}"))
        for each in range(fleet)
    ]
    turns, known, asked = Turns(all_calls / fleet, (10.0, 18.0)), {}, 0
    for began, most in ((0.0, 0.5), (10.0, 8.0 + 0.5)):
        due: list[tuple[float, int]] = []
        for number, each in enumerate(calls):
            if began == 0.0:
                each.process_started(0)
            else:
                each.poll_failed(began * SECOND)  # its watch ends
            due.append((each.next_poll_at, number))
        known = {}
        while due:
            due.sort(reverse=True)
            now, number = due.pop()
            assert calls[number].take_due(now)
            asked += 1
            at, answered = turns.call(now / SECOND)
            if answered:
                known[number] = at
                continue
            calls[number].poll_failed(at * SECOND)
            due.append((calls[number].next_poll_at, number))
        assert len(known) == fleet and max(known.values()) <= began + most + TOLD
    assert asked < 10 * fleet


def test_a_list_call_waits_for_its_turn_and_not_longer() -> None:
    """One that discovery made wait is made again at once, one that failed at once is not."""
    calls = ListPolling(settings(must_poll=True), random.Random(1))
    assert calls.take_due(0)
    calls.poll_failed(2 * SECOND)
    assert calls.next_poll_at <= 2.5 * SECOND
    assert calls.take_due(calls.next_poll_at) and not calls.take_due(100 * SECOND)
    begun = calls.last_poll_at
    calls.poll_failed(begun + 1000)
    assert begun + SECOND <= calls.next_poll_at <= begun + 2 * SECOND
