"""The management API over loopback: each call, its rejections and its effects."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from peers import (
    READY,
    HeldConnection,
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
    read_reply,
    run_async_test,
    send_watch_line,
    with_timeout,
)
from socket_faults import next_iteration

from message_sender.handover.drain import GRACE_S
from message_sender.http.common import Address
from message_sender.management.calls import ManagementCall, ManagementReply, Operation, parse_call
from message_sender.management.server import (
    LINGER_S,
    MAX_CONNECTIONS,
    MAX_HEAD_BYTES,
    REQUEST_TIMEOUT_S,
    ManagementServer,
)
from message_sender.start import StartupConfigError, decode_config


@asynccontextmanager
async def managed(state: Path, **kind: object) -> AsyncIterator[tuple[World, Address]]:
    """Runs a sender; the second value is the address of its management API."""
    world = World(state, **kind)
    async with Peer() as receiver, Platform() as platform:
        config = config_json(platform, host(receiver.dial), **kind) | {"management": "127.0.0.1:0"}
        world.receiver, world.platform, world.config = receiver, platform, config
        async with Running(config, state) as running:
            world.running, world.sender, world.submit = running, running.sender, running.submit
            yield world, running.sender.management_server.address()


class UnusedPlatform:
    """A platform that is never called."""

    dial = "127.0.0.1:9"


def parse_metrics(reply: Reply) -> dict[str, int]:
    lines = (each.removeprefix("edge_balancer.").partition("=") for each in reply.body.decode().split())
    return {name: int(value) for name, _, value in lines}


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        ("GET", "/healthcheck", ManagementCall(Operation.READINESS)),
        ("GET", "/stats?now", ManagementCall(Operation.METRICS)),
        ("POST", "/receivers/s-1/maint", ManagementCall(Operation.START_MAINTENANCE, "s-1")),
        ("POST", "/receivers/a%2Fb/ready", ManagementCall(Operation.END_MAINTENANCE, "a/b")),
        ("POST", "/healthcheck/fail", ManagementCall(Operation.DRAIN)),
        ("POST", "/healthcheck/ok", ManagementCall(Operation.RESUME)),
        ("GET", "/healthcheck/fail", 405),
        ("POST", "/stats", 405),
        ("GET", "/receivers/s-1/maint", 405),
        ("POST", "/receivers//maint", 404),
        ("POST", "/receivers/s-1/weight", 404),
        ("GET", "/", 404),
        ("GET", "/healthcheck/", 404),
    ],
)
def test_each_path_and_method_is_parsed_or_rejected(
    method: str, target: str, expected: ManagementCall | int
) -> None:
    result = parse_call(method, target)
    assert (
        result == expected
        if isinstance(expected, ManagementCall)
        else isinstance(result, ManagementReply) and result.status == expected
    )


@run_async_test
async def test_a_sender_replies_to_calls_and_rejects_bad_requests(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        assert (await call(address, "GET", "/healthcheck")).status == 200
        for request, status in (
            (b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
            (b"no call\r\n\r\n", 400),
            (b"GET /stats HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 2 * MAX_HEAD_BYTES, 431),
            (
                b"POST /healthcheck/fail HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n" + b"x" * 6000,
                413,
            ),
        ):
            assert (await ask(address, request)).status == status
        assert world.sender.server.is_ready


def test_the_address_is_optional_and_a_malformed_one_is_reported(tmp_path: Path) -> None:
    config = config_json(UnusedPlatform())
    assert decode_config(config, tmp_path).management is None
    with pytest.raises(StartupConfigError, match="management: 'here' is not host:port"):
        decode_config(config | {"management": "here"}, tmp_path)


@run_async_test
async def test_an_address_in_use_ends_the_start(tmp_path: Path) -> None:
    async with Peer() as other, Platform() as platform:
        with pytest.raises(OSError):
            async with Running(config_json(platform) | {"management": other.dial}, tmp_path):
                pass


@run_async_test
async def test_metrics_have_the_counts_of_the_tables(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        for name in ("m1", "m2", "m3"):
            await world.submit(name)
        first = await world.receiver.next()
        first.answer(200)
        (await world.receiver.next()).answer(410)
        await world.receiver.next()
        while len(world.sender.engine.journal.entries) > 1:
            await next_iteration()
        metrics = parse_metrics(await call(address, "GET", "/stats"))
        assert metrics["transactions.c.answered"] == 1 and metrics["transactions.c.errored"] == 0
        assert metrics["sends"] == 3 and metrics["current"] == 1
        assert metrics["cluster_size"] == 1 and metrics["cluster_unhealthy"] == 0


@run_async_test
async def test_a_returned_message_counts_as_deferred_once_the_platform_acknowledges_it(
    tmp_path: Path,
) -> None:
    async with managed(tmp_path) as (world, address):
        await world.submit("m1", X_Time_Left="0.06")
        notice = await world.platform.next()
        while notice.target != "/v1/notices":
            notice = await world.platform.next()
        assert parse_metrics(await call(address, "GET", "/stats"))["current"] == 1
        notice.answer(204)
        while world.sender.engine.journal.entries:
            await next_iteration()
        state = json.loads(notice.body)["state"]
        kind = {"returned": "deferred", "failed": "errored"}[state]
        metrics = parse_metrics(await call(address, "GET", "/stats"))
        assert metrics[f"transactions.c.{kind}"] == 1 and metrics["current"] == 0


@run_async_test
async def test_an_endpoint_in_maintenance_gets_no_messages_whatever_the_list_says(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        watch = await with_timeout(world.platform.watches.get())
        assert (await call(address, "POST", "/receivers/other/maint")).status == 404
        assert (await call(address, "POST", "/receivers/r/maint")).status == 200
        assert (await call(address, "POST", "/receivers/r/maint")).status == 200
        assert json.loads((tmp_path / "orders.json").read_text())["out"] == ["r"]
        assert parse_metrics(await call(address, "GET", "/stats"))["cluster_unhealthy"] == 1
        send_watch_line(watch, 42, host(world.receiver.dial, health="gone"))
        send_watch_line(watch, 43, host(world.receiver.dial))
        while world.sender.discovery.version != 43:
            await next_iteration()
        assert (await world.submit("m1")).status == 202
        await next_iteration()
        assert not world.sender.engine.attempts.calls
        assert (await call(address, "POST", "/receivers/r/ready")).status == 200
        assert (await world.receiver.next()).id == "m1"
        breakers = world.sender.engine.dispatcher.registry.all_breakers()
        # The returned endpoint is in slow start.
        assert all(each.warm_up_gap(world.sender.engine.now()) > 0 for each in breakers)


@run_async_test
async def test_maintenance_survives_a_restart_but_not_an_unreadable_file(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        assert (await call(address, "POST", "/receivers/r/maint")).status == 200
        world.sender.stop(0)
        await world.running.task
        async with Running(world.config, tmp_path) as restarted:
            await restarted.submit("m1")
            await next_iteration()
            assert not restarted.sender.engine.attempts.calls
        (tmp_path / "orders.json").write_text('{"out": ["r"')
        async with Running(world.config, tmp_path):
            assert (await world.receiver.next()).id == "m1"


@run_async_test
async def test_an_order_that_cannot_be_recorded_is_rejected_and_has_no_effect(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        (tmp_path / "orders.json.new").mkdir()
        assert (await call(address, "POST", "/receivers/r/maint")).status == 503
        assert (await call(address, "POST", "/healthcheck/fail")).status == 503
        assert (await world.submit("m1")).status == 202
        assert (await world.receiver.next()).id == "m1"
        assert (await ask(world.running.address, READY)).status == 200


@run_async_test
async def test_draining_closes_connections_and_resuming_accepts_them(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        server = world.sender.server
        kept = await HeldConnection.open(server, message("m1"))
        assert (await read_reply(kept.reader)).status == 202
        silent = await HeldConnection.open(server)
        assert (await call(address, "POST", "/healthcheck/fail")).status == 200
        assert (await call(address, "POST", "/healthcheck/fail")).status == 200
        assert (await ask(world.running.address, READY)).status == 503
        reply = await ask(world.running.address, message("m2"))
        assert reply.status == 202 and reply.headers["connection"] == "close"
        world.sender.drain.ordered_at_s -= GRACE_S
        for each in list(server.connections):
            each.since -= LINGER_S
        world.sender.end_drain_grace()
        assert await kept.read_to_end() == await silent.read_to_end() == b""
        assert (await ask(world.running.address, READY)).status == 503
        assert (await call(address, "GET", "/healthcheck")).status == 200
        assert (await call(address, "POST", "/healthcheck/ok")).status == 200
        assert (await ask(world.running.address, READY)).status == 200
        reply = await ask(world.running.address, message("m3"))
        assert reply.status == 202 and "connection" not in reply.headers
        assert not json.loads((tmp_path / "orders.json").read_text())["away"]


@run_async_test
async def test_draining_survives_a_restart(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        assert (await call(address, "POST", "/healthcheck/fail")).status == 200
        world.sender.stop(0)
        await world.running.task
        async with Running(world.config, tmp_path) as restarted:
            assert (await ask(restarted.address, READY)).status == 503
            new_address = restarted.sender.management_server.address()
            assert (await call(new_address, "POST", "/healthcheck/ok")).status == 200
            assert (await ask(restarted.address, READY)).status == 200


class Clock:
    """Simulates the passing of time for the deadlines of a server's connections."""

    def __init__(self, listener: ManagementServer) -> None:
        self.listener = listener

    def advance(self, seconds: float) -> None:
        for connection in self.listener.connections:
            connection.deadline -= seconds
        self.listener.close_expired()


@run_async_test
async def test_a_hundred_incomplete_requests_do_not_block_others(tmp_path: Path) -> None:
    listener = ManagementServer(lambda call: ManagementReply(200, "yes"))
    listener.listen("127.0.0.1", 0)
    incomplete = []
    for number in range(100):
        reader, writer = await asyncio.open_connection(*listener.address())
        writer.write(b"POST /healthcheck/fail HTTP/1.1\r\n" if number % 2 else b"")
        incomplete.append((reader, writer))
        if number % 10 == 9:
            assert (await call(listener.address(), "GET", "/healthcheck")).status == 200
    assert len(listener.connections) <= MAX_CONNECTIONS
    Clock(listener).advance(REQUEST_TIMEOUT_S)
    assert (await read_reply(incomplete[-1][0])).status == 408
    for _, writer in incomplete:
        writer.close()
    listener.close()


@run_async_test
async def test_a_request_in_pieces_is_read_and_a_defect_gives_500(tmp_path: Path) -> None:
    calls: list[ManagementCall] = []

    def raise_defect(call: ManagementCall) -> ManagementReply:
        calls.append(call)
        raise RuntimeError("defect in the handler")

    listener = ManagementServer(raise_defect)
    listener.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*listener.address())
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for byte in b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n":
        assert not calls
        writer.write(bytes([byte]))
        await next_iteration()
    assert (await read_reply(reader)).status == 500
    assert await with_timeout(reader.read()) == b"" and calls == [ManagementCall(Operation.METRICS)]
    writer.close()
    listener.close()


@run_async_test
async def test_a_connection_storm_does_not_delay_a_call(tmp_path: Path) -> None:
    async with managed(tmp_path) as (world, address):
        server = world.sender.server
        held = [
            await HeldConnection.open(server, message(f"s{number}"))
            for number in range(server.connection_limit)
        ]
        assert (await call(address, "GET", "/stats")).status == 200
        assert len(server.connections) <= server.connection_limit + server.lingering
        for each in held:
            each.writer.close()
