"""A real sender with the channel, store and fan-out of a control node, over loopback sockets."""

import asyncio
import io
import random
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import cast
from unittest.mock import patch

from peers import run_async_test
from sender_files import FLEET, KEY, SENDER, control_section, write_sender
from watch_helpers import ChangedStore

from message_sender.configuration.general import load
from message_sender.control import schema
from message_sender.control.channel import Channel
from message_sender.control.fanout import Fanout
from message_sender.control.messages import Poll, SnapshotRequest, WatcherStatus
from message_sender.core.ports import Completion, CompletionState
from message_sender.fleet.seal import Seal
from message_sender.service import control_link
from message_sender.service.control_configuration import IN_FORCE_FILE
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.history import History
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.in_process_sender import running
from message_sender.testbed.script import Script

TIMEOUT_S = 10.0  # only a failing test waits this long


class UnreplicatedNode(asyncio.DatagramProtocol):
    """A control node without replication, which confirms changes on its own."""

    def __init__(self, key: bytes = KEY, history_limit: int = 2000) -> None:
        self.loop = asyncio.get_running_loop()
        self.store = ChangedStore(history_limit=history_limit)
        self.channel = Channel("c1", 1, 77, Seal([key]), {})
        self.fanout = Fanout(self.store, random.Random(1), self.loop.time(), lambda: 0)
        self.received = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    @property
    def port(self) -> int:
        return int(self.transport.get_extra_info("sockname")[1])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        now = self.loop.time()
        for name, body in self.channel.receive(data, addr, now):
            if isinstance(body, Poll | SnapshotRequest):
                self.fanout.receive(name, body, now)
        self.flush()
        self.received.set()

    def flush(self) -> None:
        for name, message in self.fanout.take_messages():
            self.channel.send(name, message, self.loop.time())
        for address, datagram in self.channel.take_datagrams():
            self.transport.sendto(datagram, address)

    def change(self, put: dict[str, object], delete: tuple[str, ...] = ()) -> int:
        """Makes a change, pushes it immediately, and returns the new version."""
        version = self.store.change(schema.read_values(put), delete).version
        self.fanout.version_changed(self.loop.time())
        self.flush()
        return version

    def watcher(self) -> WatcherStatus | None:
        watchers = self.fanout.watchers(self.loop.time())
        return watchers[0] if watchers else None

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until `condition` holds; checks it after each received datagram."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                self.received.clear()
                await self.received.wait()

    async def wait_for_version(self, version: int) -> None:
        """Waits until the watcher has acknowledged `version`."""
        await self.wait_until(lambda: (status := self.watcher()) is not None and status.version == version)

    async def wait_for_refusal(self, version: int) -> str:
        """Waits until the watcher has refused `version`, and returns the reason."""
        await self.wait_until(
            lambda: (status := self.watcher()) is not None and status.refused_version == version
        )
        watcher = self.watcher()
        assert watcher
        return watcher.reason


@asynccontextmanager
async def serving(node: UnreplicatedNode, port: int = 0) -> AsyncIterator[UnreplicatedNode]:
    await node.loop.create_datagram_endpoint(lambda: node, local_addr=("127.0.0.1", port))
    try:
        yield node
    finally:
        node.transport.close()


class Completions(CompletionWriter):
    """Records the final states of messages, for which a test waits."""

    def __init__(self) -> None:
        super().__init__(io.StringIO(), self.note)
        self.states: dict[str, CompletionState] = {}
        self.arrived = asyncio.Event()

    def note(self, message: str, end: Completion) -> None:
        self.states[message] = end.state
        self.arrived.set()


def sender_at(
    state: Path, port: int, more: str = "", completions: CompletionWriter | None = None
) -> StandaloneSender:
    file = write_sender(state, SENDER + control_section({"c1": port}) + more)
    return StandaloneSender(load(file), state, completions or CompletionWriter(io.StringIO()))


def hub(port: int) -> dict[str, object]:
    return {"endpoints/hub": {"destination": 5, "dial": f"127.0.0.1:{port}"}}


@run_async_test
async def test_a_new_endpoint_becomes_active_and_receives_a_message(state: Path) -> None:
    completions, history = Completions(), History()
    async with serving(UnreplicatedNode()) as node, HttpEndpoint("hub", Script(), history) as receiver:
        sender = sender_at(state, node.port, completions=completions)
        async with running(sender):
            await node.wait_for_version(0)
            await node.wait_for_version(node.change(hub(receiver.port)))
            assert set(sender.dial_addresses()) == set(sender.engine.dispatcher.endpoints) == {"hub"}
            client = HttpClient(sender.server.address()[:2])
            fields = {"X-Correlation-Id": "m1", "X-Service-Class": "c", "X-Time-Left": "8"}
            status, _ = await client.post("/c", fields | {"X-Route-To": "dest=5"}, b"x")
            assert status == 202
            await asyncio.wait_for(completions.arrived.wait(), TIMEOUT_S)
            client.close()
    assert completions.states == {"m1": CompletionState.DELIVERED} and receiver.served == 1


@run_async_test
async def test_a_refused_version_is_reported_with_its_reason_and_replaced_by_the_next(state: Path) -> None:
    async with serving(UnreplicatedNode()) as node:
        sender = sender_at(state, node.port)
        async with running(sender):
            await node.wait_for_version(node.change(hub(1)))
            budget: dict[str, object] = {"of": "in_flight", "destination": 1, "whole": 8}
            reason = await node.wait_for_refusal(node.change(hub(2) | {"budgets/out": budget}))
            assert reason == "budgets/out: needs a [fleet] to be shared in, and this sender has none"
            assert sender.dial_addresses() == {"hub": ("127.0.0.1", 1)}
            status = sender.commands()["control"]({})
            assert (status["version"], status["refused_version"], status["reason"]) == (1, 2, reason)
            await node.wait_for_version(node.change({}, ("budgets/out",)))
            assert sender.dial_addresses() == {"hub": ("127.0.0.1", 2)}


@run_async_test
async def test_a_change_that_needs_a_restart_is_active_after_it(state: Path) -> None:
    budget: dict[str, object] = {"of": "in_flight", "destination": 1, "whole": 8}
    async with serving(UnreplicatedNode()) as node:
        async with running(sender_at(state, node.port, FLEET)):
            await node.wait_for_version(node.change({"budgets/out": budget}))
            reason = await node.wait_for_refusal(node.change({"budgets/out": budget | {"floor": 2}}))
            assert reason == "budgets/out: floor cannot change before the next start"
        sender = sender_at(state, node.port, FLEET)
        async with running(sender):
            await node.wait_for_version(2)
            assert sender.membership and sender.membership.budgets
            assert sender.membership.budgets.registry.definitions["out"].floor == 2


@run_async_test
async def test_without_nodes_the_last_version_survives_a_restart_and_the_newest_follows_later(
    state: Path,
) -> None:
    async with serving(UnreplicatedNode()) as node:
        port = node.port
        async with running(sender_at(state, port)):
            await node.wait_for_version(node.change(hub(1)))
    sender = sender_at(state, port)
    async with running(sender):
        assert sender.dial_addresses() == {"hub": ("127.0.0.1", 1)}
        newest = node.store.change(schema.read_values(hub(2))).version
        async with serving(node, port):
            await node.wait_for_version(newest)
            assert sender.dial_addresses() == {"hub": ("127.0.0.1", 2)}


@run_async_test
async def test_a_link_that_could_not_be_opened_at_the_start_is_opened_later(state: Path) -> None:
    full = OSError(28, "No space left on device")
    with patch.object(control_link, "LINK_RETRY_S", 0.01), patch.object(control_link, "write_epoch") as write:
        write.side_effect = [full, full, None]
        async with serving(UnreplicatedNode()) as node:
            sender = sender_at(state, node.port)
            async with running(sender):
                assert "No space" in sender.commands()["control"]({})["fault"]
                await node.wait_for_version(node.change(hub(1)))
                assert sender.commands()["control"]({})["fault"] == "" and set(sender.dial_addresses()) == {
                    "hub"
                }
    assert write.call_count == 3


@run_async_test
async def test_a_damaged_document_is_fetched_as_a_snapshot(state: Path) -> None:
    async with serving(UnreplicatedNode(history_limit=1)) as node:
        async with running(sender_at(state, node.port)):
            await node.wait_for_version(node.change(hub(1)))
            await node.wait_for_version(node.change({"endpoints/b": {"destination": 1, "dial": "h:1"}}))
        (state / IN_FORCE_FILE).write_bytes(b"nothing")
        sender = sender_at(state, node.port)
        async with running(sender):
            assert set(sender.dial_addresses()) == {"own"}
            await node.wait_for_version(0)
            await node.wait_for_version(2)
            assert set(sender.dial_addresses()) == {"hub", "b"}
            assert sender.control_plane and sender.control_plane.link
            assert sender.control_plane.link.watch.counts.snapshots == 1


@run_async_test
async def test_datagrams_sealed_with_another_key_are_only_counted(state: Path) -> None:
    async with serving(UnreplicatedNode(key=bytes(31) + b"x")) as node:
        sender = sender_at(state, node.port)
        async with running(sender):
            assert sender.control_plane and sender.control_plane.link
            link = sender.control_plane.link
            await node.wait_until(lambda: sum(node.channel.refused.values()) >= 2)
            link.link.receive(node.channel.seal.seal(b"forged"), ("127.0.0.1", node.port))
            status = sender.commands()["control"]({})
            assert status["version"] == 0 and sum(status["refused_datagrams"].values()) == 1
    assert node.watcher() is None


@run_async_test
async def test_a_later_epoch_is_written_outside_the_event_loop(state: Path) -> None:
    may_write, has_written = threading.Event(), asyncio.Event()
    loop, written = asyncio.get_running_loop(), list[int]()

    def slow_write(_: Path, epoch: int) -> None:
        assert may_write.wait(TIMEOUT_S)
        written.append(epoch)
        loop.call_soon_threadsafe(has_written.set)

    async with serving(UnreplicatedNode()) as node:
        sender = sender_at(state, node.port)
        async with running(sender):
            await node.wait_for_version(0)
            assert sender.control_plane and sender.control_plane.link
            channel = sender.control_plane.link.channel
            with patch.object(control_link, "write_epoch", slow_write):
                for epoch in (7, 9):
                    channel.epoch = epoch
                    assert channel.on_behind is not None
                    channel.on_behind(epoch)
                await node.wait_for_version(node.change(hub(1)))
                assert not written, "the version became active while the disk was busy"
                may_write.set()
                await asyncio.wait_for(has_written.wait(), TIMEOUT_S)
    assert written == [9]
