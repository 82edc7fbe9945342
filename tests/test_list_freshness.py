"""The operators' requirement on endpoint lists, tested with complete senders in virtual time.

A sender knows a change of the list at the latest 6 s after discovery has it and is reachable, whichever calls
failed, were rejected or timed out before. The sockets are in memory.
"""

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
from message_sender.emulator.memory_network import HOST, REFUSED, SILENT, Net
from message_sender.policy.list_polling import ListPolling
from message_sender.service import daemon
from message_sender.service.daemon import DaemonConfig, PlatformSender
from message_sender.start import decode_config

KNOWN_WITHIN_S = 6.0
PUSHED_WITHIN_S = 0.5  # in mode `pushed`, where the list of the local agent applies at once
DISCOVERY_ADDRESS = ("platform", 8500)
NEW_DISCOVERY_ADDRESS = ("elsewhere", 8500)
SECOND = 1_000_000


def config(state: Path, discovery: tuple[str, int], mode: str, fleet: int = 40) -> DaemonConfig:
    class DiscoveryPeer:
        dial = f"{discovery[0]}:{discovery[1]}"

    values = config_json(DiscoveryPeer, host("10.0.0.9:1"), mode=mode) | {"listen": "sender:3000"}  # type: ignore[arg-type]
    values["settings"] |= {"fleet_size": fleet}
    return decode_config(values, state)


class Discovery:
    """A discovery service that lists one receiver.

    `mode` determines how calls are answered; it may be changed while calls are in flight.
    """

    def __init__(self, net: Net, address: tuple[str, int] = DISCOVERY_ADDRESS) -> None:
        self.net, self.address = net, address
        self.mode = "fine"
        self.seq, self.health, self.changed_at = 41, "ready", float("-inf")
        self.calls: list[float] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
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

    def start_drain(self) -> None:
        self.seq, self.health = 43, "draining"


class World:
    """A sender and discovery; `path_delay` is that of the sender's network: seconds, SILENT or REFUSED."""

    def __init__(self, net: Net, loop: VirtualLoop, state: Path, mode: str) -> None:
        self.net, self.loop, self.path_delay = net, loop, 0.0
        self.discovery = Discovery(net)
        self.config = config(state, DISCOVERY_ADDRESS, mode)
        self.sender: PlatformSender

    async def start(self) -> None:
        await self.discovery.listen()
        token = HOST.set("sender")
        self.sender = PlatformSender(self.config)
        await self.sender.start()
        HOST.reset(token)

    def has_learned_drain(self) -> bool:
        """Whether the sender knows that its one receiver is draining."""
        return "r" not in self.sender.engine.dispatcher.endpoints

    async def wait_until_known(self) -> float:
        """Waits until the sender knows; returns how many seconds that took."""
        started_at = self.loop.time()
        while not self.has_learned_drain():
            await asyncio.sleep(0.01)
            assert self.loop.time() < started_at + 60
        return self.loop.time() - started_at


def run_in_world(
    scenario: Callable[[World], Coroutine[Any, Any, Any]], state: Path, mode: str = "on_request"
) -> Any:  # noqa: ANN401
    loop = VirtualLoop()
    world: list[World] = []

    def path_delay(source: str, address: tuple[str, int], now: float) -> float:
        return world[0].path_delay if world and "sender" in (source, address[0]) else 0.01

    net = loop.virtual.net = Net(loop.time, path_delay)

    async def run() -> Any:  # noqa: ANN401
        world.append(World(net, loop, state, mode))
        world[0].path_delay = 0.01
        await world[0].start()
        try:
            return await scenario(world[0])
        finally:
            world[0].sender.engine.close()
            world[0].sender.server.close()

    class Clock:
        """Replaces the daemon's clock by the loop's virtual time."""

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
@pytest.mark.parametrize("recovery_offset_s", [0.0, 0.7, 1.9, 3.1])
def test_a_change_is_known_within_6_s_after_discovery_recovers(
    failing: str, recovery_offset_s: float, mode: str, tmp_path: Path
) -> None:
    """Discovery recovers at any point of the longest backoff, or of a call that hangs."""

    async def scenario(world: World) -> float:
        await asyncio.sleep(3)
        world.discovery.mode = failing
        for each in world.discovery.watches:
            each.transport.abort()
        await asyncio.sleep(20 + recovery_offset_s)
        world.discovery.start_drain()
        world.discovery.mode = "fine"
        return await world.wait_until_known()

    is_pushed = mode == "pushed" and failing != "a line without end"
    assert run_in_world(scenario, tmp_path, mode) < (PUSHED_WITHIN_S if is_pushed else KNOWN_WITHIN_S)


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("silent_after_s", [0.0, 0.5, 1.0, 1.5])
def test_a_change_is_known_within_6_s_after_a_watch_falls_silent(
    silent_after_s: float, mode: str, tmp_path: Path
) -> None:
    async def scenario(world: World) -> float:
        await asyncio.sleep(20.1 + silent_after_s)
        world.discovery.mode = "silent"  # applies to the open watch; new ones work
        world.discovery.start_drain()
        return await world.wait_until_known()

    assert run_in_world(scenario, tmp_path, mode) < KNOWN_WITHIN_S


@pytest.mark.parametrize("path_delay", [SILENT, REFUSED])
def test_a_change_is_known_within_6_s_after_a_network_cut_ends(path_delay: float, tmp_path: Path) -> None:
    """The cut ends while a connect hangs, or directly after one was refused."""

    async def scenario(world: World) -> float:
        await asyncio.sleep(3)
        world.path_delay = path_delay
        for each in world.discovery.watches if path_delay == REFUSED else ():
            each.transport.abort()  # otherwise data in flight on the watch would still arrive
        await asyncio.sleep(17.3)
        world.discovery.start_drain()
        world.path_delay = 0.01
        return await world.wait_until_known()

    assert run_in_world(scenario, tmp_path) < KNOWN_WITHIN_S


def test_a_change_is_known_within_6_s_by_a_new_process_and_after_discovery_moved(tmp_path: Path) -> None:
    async def started(world: World) -> float:
        world.discovery.start_drain()
        return await world.wait_until_known()

    async def moved(world: World) -> float:
        await asyncio.sleep(3)
        other = Discovery(world.net, NEW_DISCOVERY_ADDRESS)
        other.start_drain()
        other.mode = "hangs"
        await other.listen()
        token = HOST.set("sender")
        world.sender.reconfigure(config(tmp_path, NEW_DISCOVERY_ADDRESS, "on_request"))
        HOST.reset(token)
        await asyncio.sleep(5)
        other.mode = "fine"
        return await world.wait_until_known()

    assert run_in_world(started, tmp_path) < KNOWN_WITHIN_S and run_in_world(moved, tmp_path) < KNOWN_WITHIN_S


def test_a_watch_of_indented_json_is_read(tmp_path: Path) -> None:
    async def scenario(world: World) -> tuple[bool, int]:
        world.discovery.mode = "indented"
        world.discovery.start_drain()
        await asyncio.sleep(8)
        return world.has_learned_drain(), len(world.discovery.calls)

    assert run_in_world(scenario, tmp_path) == (True, 1)


class SequentialDiscovery:
    """A model of discovery as the page of the test bench describes it.

    Calls are served one after another, each in `service_s`, and rejected if they would wait longer than
    `max_wait_s`. A call is served even if its caller has given up.
    """

    def __init__(self, service_s: float, down: tuple[float, float], max_wait_s: float = 2.0) -> None:
        self.service_s, self.down, self.max_wait_s, self.free_at = service_s, down, max_wait_s, 0.0

    def call(self, now: float) -> tuple[float, bool]:
        """Returns when a call is answered, and whether with the list."""
        if self.down[0] <= now < self.down[1]:
            return min(now + self.max_wait_s, self.down[1] + self.max_wait_s), False
        started_at = max(self.free_at, now)
        if started_at + self.service_s - now > self.max_wait_s:
            return now + self.max_wait_s, False
        self.free_at = started_at + self.service_s
        return self.free_at, True


@pytest.mark.parametrize(("fleet", "all_calls"), [(5, 2.0), (40, 4.8), (200, 4.8)])
@pytest.mark.parametrize("seed", range(5))
def test_a_fleet_has_the_list_within_6_s_of_its_start_and_of_discoverys_recovery(
    fleet: int, all_calls: float, seed: int
) -> None:
    """Discovery needs `all_calls` seconds to serve one call of each sender; it is down from 10 to 18 s."""
    calls = [
        ListPolling(settings(fleet_size=fleet, must_poll=True), random.Random(f"{seed}/{each}"))
        for each in range(fleet)
    ]
    discovery, known, call_count = SequentialDiscovery(all_calls / fleet, (10.0, 18.0)), {}, 0
    for started_at, recovery_s in ((0.0, 0.5), (10.0, 8.0 + 0.5)):
        due: list[tuple[float, int]] = []
        for number, each in enumerate(calls):
            if started_at == 0.0:
                each.process_started(0)
            else:
                each.poll_failed(started_at * SECOND)  # the sender's watch ends
            due.append((each.next_poll_at, number))
        known = {}
        while due:
            due.sort(reverse=True)
            now, number = due.pop()
            assert calls[number].take_due(now)
            call_count += 1
            answered_at, has_list = discovery.call(now / SECOND)
            if has_list:
                known[number] = answered_at
                continue
            calls[number].poll_failed(answered_at * SECOND)
            due.append((calls[number].next_poll_at, number))
        assert len(known) == fleet and max(known.values()) <= started_at + recovery_s + KNOWN_WITHIN_S
    assert call_count < 10 * fleet


def test_a_list_call_that_timed_out_is_retried_at_once_and_one_that_failed_at_once_is_not() -> None:
    """A call that discovery kept waiting needs no further backoff, unlike one that failed immediately."""
    calls = ListPolling(settings(must_poll=True), random.Random(1))
    assert calls.take_due(0)
    calls.poll_failed(2 * SECOND)
    assert calls.next_poll_at <= 2.5 * SECOND
    assert calls.take_due(calls.next_poll_at) and not calls.take_due(100 * SECOND)
    started_at = calls.last_poll_at
    calls.poll_failed(started_at + 1000)
    assert started_at + SECOND <= calls.next_poll_at <= started_at + 2 * SECOND
