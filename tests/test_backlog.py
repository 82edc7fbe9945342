"""Overload: requests are rejected early, with a Retry-After, and accepted messages are served as before."""

import asyncio
import socket
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import HeldConnection, World, message, read_reply, run_async_test
from socket_faults import until

from message_sender.admission.backlog import (
    MAX_QUEUE_DELAY_S,
    MIN_RETRY_AFTER_S,
    RATE_WINDOW_S,
    TARGET_QUEUE_DELAY_S,
    Backlog,
)
from message_sender.http.server import MAX_ACCEPTS_PER_ITERATION, MAX_ACCEPTS_WITH_CAPACITY

STEPS = st.lists(st.tuples(st.sampled_from(["arrival", "read", "pause"]), st.floats(0, 0.1)), max_size=300)


@given(STEPS, st.integers(1, 12))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_shedding_begins_and_ends_at_its_two_bounds(
    steps: list[tuple[str, float]], crowded_length: int
) -> None:
    """In a crowded backlog, shedding begins and ends at the lower bound."""
    backlog, now = Backlog(0.0, crowded_length), 0.0
    arrivals: list[float] = []
    for step, elapsed in steps:
        now += elapsed
        crowded = len(arrivals) >= crowded_length
        if arrivals and now - arrivals[0] >= (TARGET_QUEUE_DELAY_S if crowded else MAX_QUEUE_DELAY_S):
            assert backlog.should_reject(now)
        if backlog.should_reject(now):
            assert arrivals  # an empty backlog never sheds
        elif step == "arrival":
            backlog.request_arrived(now)
            arrivals.append(now)
        if step == "read" and arrivals:
            waited = now - arrivals.pop(0)
            was_shedding = backlog.is_shedding
            backlog.request_read(now)
            if arrivals and waited >= MAX_QUEUE_DELAY_S:
                assert backlog.is_shedding
            if waited < TARGET_QUEUE_DELAY_S or not arrivals:
                assert not backlog.is_shedding
            elif waited < MAX_QUEUE_DELAY_S:
                assert backlog.is_shedding == was_shedding
        assert len(backlog.arrival_times) == len(arrivals)


@pytest.mark.parametrize("overload", [1.0, 2.0, 4.0])
def test_retry_after_grows_with_the_overload(overload: float) -> None:
    backlog, now = Backlog(0.0), 0.0
    for each in range(2000):
        now = each / 500
        backlog.request_arrived(now)
        backlog.request_read(now)
        for _ in range(int(overload) - 1):
            backlog.request_rejected(now)
    assert backlog.overload_ratio == pytest.approx(overload, rel=0.05)
    assert backlog.retry_after_s(60.0) == pytest.approx(
        max(RATE_WINDOW_S * (overload - 0.5), MIN_RETRY_AFTER_S), rel=0.1
    )
    assert backlog.retry_after_s(0.1) == 0.1 and backlog.retry_after_s(0.0) == 0.0
    backlog.roll_window(now + 10 * RATE_WINDOW_S)  # a window that ended without events has no ratio
    assert backlog.overload_ratio == 1.0


PLAIN = message("m1", b"body")
UNUSUAL = {
    "in part": PLAIN[:-1],
    "two at once": PLAIN + PLAIN,
    "chunked": PLAIN.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked"),
    "both lengths": PLAIN.replace(b"Host:", b"Transfer-Encoding: chunked\r\nHost:"),
    "two lengths": PLAIN.replace(b"Host:", b"content-length: 4\r\nHost:"),
    "a signed length": PLAIN.replace(b"Content-Length: 4", b"Content-Length: +4"),
    "a huge length": PLAIN.replace(b"Content-Length: 4", b"Content-Length: 4000000"),
    "no id": PLAIN.replace(b"X-Correlation-Id", b"X-Nothing"),
    "no host": PLAIN.replace(b"Host:", b"X-Host:"),
    "a folded line": PLAIN.replace(b"Host:", b"X: a\r\n b\r\nHost:"),
    "expecting": PLAIN.replace(b"Host:", b"Expect: 100-continue\r\nHost:"),
    "closing": PLAIN.replace(b"Host:", b"Connection: close\r\nHost:"),
    "health": b"GET /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Correlation-Id: m\r\n\r\n",
    "noise": b"\x00\x01" * 100 + b"\r\n\r\n",
    "an endless head": b"POST /c HTTP/1.1\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
}


async def start_shedding(world: World) -> None:
    """Makes the server shed load: it rejects requests that it has not begun to read."""
    server = world.sender.server
    server.backlog.request_arrived(server.loop.time() - 2 * MAX_QUEUE_DELAY_S)


@run_async_test
async def test_rejected_requests_have_a_retry_after_and_keep_their_connections(state: Path) -> None:
    async with World(state) as world:
        server = world.sender.server
        client = await HeldConnection.open(server, message("before"))
        assert (await read_reply(client.reader)).status == 202
        await start_shedding(world)
        for _ in range(3):
            client.writer.write(message("again"))
            reply = await read_reply(client.reader)
            assert reply.status == 503 and MIN_RETRY_AFTER_S <= float(reply.headers["retry-after"]) <= 2.0
        assert "again" not in world.sender.engine.journal.entries and server.backlog.rejected_total == 3
        server.backlog.request_read(server.loop.time())  # the request that began shedding has been read
        client.writer.write(message("after"))
        assert (await read_reply(client.reader)).status == 202
        assert {(await world.receiver.next()).id for _ in range(2)} == {"before", "after"}
        client.writer.close()


@run_async_test
async def test_a_repeat_of_an_accepted_message_is_never_rejected_unread(state: Path) -> None:
    """A rejection tells the client that it may submit the message elsewhere: a second delivery."""
    async with World(state) as world:
        assert (await world.submit("m")).status == 202
        await start_shedding(world)
        assert (await world.submit("m")).status == 202
        assert (await world.submit("n")).status == 503
        (await world.receiver.next()).answer(200)
        await until(lambda: not world.sender.engine.journal.entries)
        assert (await world.submit("m")).status != 503


@pytest.mark.parametrize("name", sorted(set(UNUSUAL) - {"in part", "two at once"}))
def test_unusual_requests_have_the_same_reply_under_overload(name: str, tmp_path: Path) -> None:
    replies = []
    for busy in (False, True):

        @run_async_test
        async def test(state: Path, busy: bool = busy) -> None:
            async with World(state) as world:
                if busy:
                    await start_shedding(world)
                client = await HeldConnection.open(world.sender.server, UNUSUAL[name])
                replies.append(await asyncio.wait_for(client.reader.read(12), 5))
                client.writer.close()

        (folder := tmp_path / str(busy)).mkdir()
        test(folder)
    assert replies[0] == replies[1] != b""


@run_async_test
async def test_a_readiness_check_is_answered_under_overload(state: Path) -> None:
    async with World(state) as world:
        await start_shedding(world)
        client = await HeldConnection.open(
            world.sender.server, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        assert (await read_reply(client.reader)).status == 200
        client.writer.close()


@run_async_test
async def test_a_crowded_backlog_sheds_sooner(state: Path) -> None:
    """Guards against waiting requests that occupy all connections, so that new clients find none."""
    async with World(state) as world:
        server = world.sender.server
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("message_sender.admission.backlog.MAX_QUEUE_DELAY_S", 1e9)
            for length, status in (
                (server.backlog.crowded_length - 1, 202),
                (server.backlog.crowded_length, 503),
            ):
                while len(server.backlog.arrival_times) < length:
                    server.backlog.request_arrived(server.loop.time() - 1.5 * TARGET_QUEUE_DELAY_S)
                assert (await world.submit(f"m{status}")).status == status
        assert server.backlog.crowded_length < server.connection_limit / 2


@run_async_test
async def test_an_iteration_accepts_many_connections_only_while_none_is_evicted(state: Path) -> None:
    async with World(state) as world:
        server = world.sender.server
        loop, before = server.loop, server.accepted
        for free_slots, accepted_count in (
            (before + MAX_ACCEPTS_WITH_CAPACITY + 40, MAX_ACCEPTS_WITH_CAPACITY),
            (0, MAX_ACCEPTS_PER_ITERATION),
        ):
            loop.remove_reader(server.listener)
            sockets = [
                socket.create_connection(world.running.address) for _ in range(MAX_ACCEPTS_WITH_CAPACITY + 20)
            ]
            server.connection_limit, before = free_slots + len(server.connections), server.accepted
            server.accept()
            assert server.accepted - before == accepted_count
            loop.add_reader(server.listener, server.accept)
            for each in sockets:
                each.close()
            await until(lambda: server.accepted == before + len(sockets))  # noqa: B023


@run_async_test
async def test_requests_of_unproven_clients_that_wait_long_reject_no_request_of_a_proven_one(
    state: Path,
) -> None:
    """Guards against bad clients' requests, which are read last, that make usual clients get 503."""
    async with World(state) as world:
        server = world.sender.server
        client = await HeldConnection.open(server, message("before"))
        assert (await read_reply(client.reader)).status == 202
        server.unproven_backlog.request_arrived(server.loop.time() - 2 * MAX_QUEUE_DELAY_S)
        assert (await world.submit("unproven")).status == 503
        client.writer.write(message("proven"))
        assert (await read_reply(client.reader)).status == 202
        assert server.backlog.rejected_total == 0 and server.unproven_backlog.rejected_total == 1
        client.writer.close()
