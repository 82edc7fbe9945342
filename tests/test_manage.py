"""The operators' calls over loopback: each of them, its refusals, and what it changes."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from faults import turn
from peers import (
    READY,
    Held,
    Peer,
    Platform,
    Reply,
    Running,
    World,
    ask,
    call,
    config_json,
    host,
    message,
    play,
    read_reply,
    soon,
    tell,
)

from message_sender.handover.drain import GRACE
from message_sender.http.codec import Address
from message_sender.management.calls import ManagementCall, Operation, read
from message_sender.management.calls import ManagementReply as Said
from message_sender.management.server import HEAD_LIMIT, LINGER, MOST, PATIENCE, ManagementServer
from message_sender.start import StartupConfigError, decode_config


@asynccontextmanager
async def managed(state: Path, **kind: object) -> AsyncIterator[tuple[World, Address]]:
    """A sender whose operators' address is the second value."""
    world = World(state, **kind)
    async with Peer() as receiver, Platform() as platform:
        config_values = config_json(platform, host(receiver.dial), **kind) | {"management": "127.0.0.1:0"}
        world.receiver, world.platform, world.told = receiver, platform, config_values
        async with Running(config_values, state) as running:
            world.running, world.sender, world.hand_in = running, running.sender, running.hand_in
            yield world, running.sender.management_server.address()


class Named:
    """A platform that nobody calls."""

    dial = "127.0.0.1:9"


def figures(reply: Reply) -> dict[str, int]:
    lines = (each.removeprefix("edge_balancer.").partition("=") for each in reply.body.decode().split())
    return {name: int(value) for name, _, value in lines}


@pytest.mark.parametrize(
    ("method", "target", "said"),
    [
        ("GET", "/healthcheck", ManagementCall(Operation.TAKES_CLIENTS)),
        ("GET", "/stats?now", ManagementCall(Operation.FIGURES)),
        ("POST", "/receivers/s-1/maint", ManagementCall(Operation.TAKE_OUT, "s-1")),
        ("POST", "/receivers/a%2Fb/ready", ManagementCall(Operation.PUT_BACK, "a/b")),
        ("POST", "/healthcheck/fail", ManagementCall(Operation.SEND_AWAY)),
        ("POST", "/healthcheck/ok", ManagementCall(Operation.COME_BACK)),
        ("GET", "/healthcheck/fail", 405),
        ("POST", "/stats", 405),
        ("GET", "/receivers/s-1/maint", 405),
        ("POST", "/receivers//maint", 404),
        ("POST", "/receivers/s-1/weight", 404),
        ("GET", "/", 404),
        ("GET", "/healthcheck/", 404),
    ],
)
def test_each_call_and_what_is_none(method: str, target: str, said: ManagementCall | int) -> None:
    decoded = read(method, target)
    assert (
        decoded == said
        if isinstance(said, ManagementCall)
        else isinstance(decoded, Said) and decoded.status == said
    )


@play
async def test_a_sender_answers_and_refuses(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        assert (await call(address, "GET", "/healthcheck")).status == 200
        for bad, status in (
            (b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
            (b"no call\r\n\r\n", 400),
            (b"GET /stats HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 2 * HEAD_LIMIT, 431),
            (
                b"POST /healthcheck/fail HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n" + b"x" * 6000,
                413,
            ),
        ):
            assert (await ask(address, bad)).status == status
        assert world.sender.server.ready


def test_without_an_address_nothing_listens_and_a_bad_one_is_named(tmp_path: Path) -> None:
    config_values = config_json(Named())
    assert decode_config(config_values, tmp_path).management is None
    with pytest.raises(StartupConfigError, match="management: 'here' is not host:port"):
        decode_config(config_values | {"management": "here"}, tmp_path)


@play
async def test_an_address_that_is_taken_ends_the_start(tmp_path: Path) -> None:
    async with Peer() as other, Platform() as platform:
        with pytest.raises(OSError):
            async with Running(config_json(platform) | {"management": other.dial}, tmp_path):
                pass


@play
async def test_figures_are_those_of_the_tables(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        for name in ("m1", "m2", "m3"):
            await world.hand_in(name)
        first = await world.receiver.next()
        first.answer(200)
        (await world.receiver.next()).answer(410)
        await world.receiver.next()
        while len(world.sender.engine.journal.entries) > 1:
            await turn()
        stats = figures(await call(address, "GET", "/stats"))
        assert stats["transactions.c.answered"] == 1 and stats["transactions.c.errored"] == 0
        assert stats["sends"] == 3 and stats["current"] == 1
        assert stats["cluster_size"] == 1 and stats["cluster_unhealthy"] == 0


@play
async def test_what_is_returned_counts_as_deferred_once_the_platform_has_heard(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        await world.hand_in("m1", X_Time_Left="0.06")
        notice = await world.platform.next()
        while notice.target != "/v1/notices":
            notice = await world.platform.next()
        assert figures(await call(address, "GET", "/stats"))["current"] == 1
        notice.answer(204)
        while world.sender.engine.journal.entries:
            await turn()
        state = json.loads(notice.body)["state"]
        kind = {"returned": "deferred", "failed": "errored"}[state]
        stats = figures(await call(address, "GET", "/stats"))
        assert stats[f"transactions.c.{kind}"] == 1 and stats["current"] == 0


@play
async def test_a_receiver_out_gets_nothing_whatever_the_list_says(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        watch = await soon(world.platform.watches.get())
        assert (await call(address, "POST", "/receivers/other/maint")).status == 404
        assert (await call(address, "POST", "/receivers/r/maint")).status == 200
        assert (await call(address, "POST", "/receivers/r/maint")).status == 200
        assert json.loads((tmp_path / "orders.json").read_text())["out"] == ["r"]
        assert figures(await call(address, "GET", "/stats"))["cluster_unhealthy"] == 1
        tell(watch, 42, host(world.receiver.dial, health="gone"))
        tell(watch, 43, host(world.receiver.dial))
        while world.sender.discovery.seq != 43:
            await turn()
        assert (await world.hand_in("m1")).status == 202
        await turn()
        assert not world.sender.engine.attempts.calls
        assert (await call(address, "POST", "/receivers/r/ready")).status == 200
        assert (await world.receiver.next()).id == "m1"
        breakers = world.sender.engine.dispatcher.registry.all_breakers()
        assert all(each.cold_gap(world.sender.engine.now()) > 0 for each in breakers)  # it is warmed


@play
async def test_maintenance_holds_over_a_restart_and_through_what_cannot_be_read(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        assert (await call(address, "POST", "/receivers/r/maint")).status == 200
        world.sender.stop(0)
        await world.running.task
        async with Running(world.told, tmp_path) as again:
            await again.hand_in("m1")
            await turn()
            assert not again.sender.engine.attempts.calls
        (tmp_path / "orders.json").write_text('{"out": ["r"')
        async with Running(world.told, tmp_path):
            assert (await world.receiver.next()).id == "m1"


@play
async def test_an_order_that_cannot_be_put_on_record_is_no_and_changes_nothing(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        (tmp_path / "orders.json.new").mkdir()
        assert (await call(address, "POST", "/receivers/r/maint")).status == 503
        assert (await call(address, "POST", "/healthcheck/fail")).status == 503
        assert (await world.hand_in("m1")).status == 202
        assert (await world.receiver.next()).id == "m1"
        assert (await ask(world.running.address, READY)).status == 200


@play
async def test_clients_are_sent_away_and_come_back(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        server = world.sender.server
        kept = await Held.open(server, message("m1"))
        assert (await read_reply(kept.reader)).status == 202
        silent = await Held.open(server)
        assert (await call(address, "POST", "/healthcheck/fail")).status == 200
        assert (await call(address, "POST", "/healthcheck/fail")).status == 200
        assert (await ask(world.running.address, READY)).status == 503
        reply = await ask(world.running.address, message("m2"))
        assert reply.status == 202 and reply.headers["connection"] == "close"
        world.sender.drain.ordered_at -= GRACE
        for each in list(server.connections):
            each.since -= LINGER
        world.sender.end_drain_grace()
        assert await kept.ended() == await silent.ended() == b""
        assert (await ask(world.running.address, READY)).status == 503
        assert (await call(address, "GET", "/healthcheck")).status == 200
        assert (await call(address, "POST", "/healthcheck/ok")).status == 200
        assert (await ask(world.running.address, READY)).status == 200
        reply = await ask(world.running.address, message("m3"))
        assert reply.status == 202 and "connection" not in reply.headers
        assert not json.loads((tmp_path / "orders.json").read_text())["away"]


@play
async def test_the_order_to_send_away_outlasts_the_process(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        assert (await call(address, "POST", "/healthcheck/fail")).status == 200
        world.sender.stop(0)
        await world.running.task
        async with Running(world.told, tmp_path) as again:
            assert (await ask(again.address, READY)).status == 503
            new_address = again.sender.management_server.address()
            assert (await call(new_address, "POST", "/healthcheck/ok")).status == 200
            assert (await ask(again.address, READY)).status == 200


class Clock:
    """The loop's time as a test sets it, for what the listener keeps."""

    def __init__(self, listener: ManagementServer) -> None:
        self.listener = listener

    def pass_by(self, seconds: float) -> None:
        for caller in self.listener.callers:
            caller.until -= seconds
        self.listener.sweep()


@play
async def test_a_hundred_half_calls_keep_nobody_out(tmp_path: Path) -> None:
    listener = ManagementServer(lambda _call: Said(200, "yes"))
    listener.listen("127.0.0.1", 0)
    halves = []
    for at in range(100):
        reader, writer = await asyncio.open_connection(*listener.address())
        writer.write(b"POST /healthcheck/fail HTTP/1.1\r\n" if at % 2 else b"")
        halves.append((reader, writer))
        if at % 10 == 9:
            assert (await call(listener.address(), "GET", "/healthcheck")).status == 200
    assert len(listener.callers) <= MOST
    Clock(listener).pass_by(PATIENCE)
    assert (await read_reply(halves[-1][0])).status == 408
    for _, writer in halves:
        writer.close()
    listener.close()


@play
async def test_a_call_in_pieces_is_heard_and_a_defect_is_a_no(tmp_path: Path) -> None:
    calls: list[ManagementCall] = []

    def act(call: ManagementCall) -> Said:
        calls.append(call)
        raise RuntimeError("nobody foresaw this")

    listener = ManagementServer(act)
    listener.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*listener.address())
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for byte in b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n":
        assert not calls
        writer.write(bytes([byte]))
        await turn()
    assert (await read_reply(reader)).status == 500
    assert await soon(reader.read()) == b"" and calls == [ManagementCall(Operation.FIGURES)]
    writer.close()
    listener.close()


@play
async def test_a_storm_at_the_door_does_not_hold_up_a_call(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        server = world.sender.server
        held = [await Held.open(server, message(f"s{at}")) for at in range(server.most)]
        assert (await call(address, "GET", "/stats")).status == 200
        assert len(server.connections) <= server.most + server.lingering
        for each in held:
            each.writer.close()
