"""Requests that their receiver has only a part of, when something ends the permission to send them."""

import asyncio
import socket
import subprocess
import sys
import textwrap
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import SECOND
from helpers import World as PolicyWorld
from peers import (
    KEYED,
    Permission,
    World,
    host,
    run_async_test,
    sample_message,
    send_watch_line,
    with_timeout,
)
from socket_faults import until
from stalling_receiver import StallingReceiver

from message_sender.core.ports import AttemptResult
from message_sender.http.client import HttpTransport
from message_sender.http.client_connection import ClientConnection
from message_sender.http.common import Address
from message_sender.policy.actions import Send
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, Stopping
from message_sender.policy.model import EndpointState, ListingKind, Outcome

BODY = bytes(65_000)
WINDOW_S = 1.5
#: The send buffer of the sender's system: most of a request waits in the sender, or all of it in the system.
BUFFERS = {"half written": 4096, "written but unacknowledged": 1 << 20}


def limit_send_buffer(transport: HttpTransport, size: int) -> None:
    """Gives each new connection a send buffer of this size."""
    connect = transport.connect

    async def connect_with_buffer(address: Address) -> ClientConnection:
        connection = await connect(address)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        return connection

    transport.connect = connect_with_buffer  # type: ignore[method-assign]


def with_buffers(test: Callable[[Path, int], object]) -> Callable[[int, Path], None]:
    """Runs an async test with both sizes of the send buffer."""

    @pytest.mark.parametrize("size", BUFFERS.values(), ids=BUFFERS)
    def run(size: int, tmp_path: Path) -> None:
        run_async_test(lambda state: test(state, size))(tmp_path)  # type: ignore[arg-type,return-value]

    return run


@asynccontextmanager
async def stalled_call(
    size: int, permission: Permission, timeout: float = 10
) -> AsyncIterator[tuple[HttpTransport, StallingReceiver, asyncio.Task[AttemptResult]]]:
    """A call whose receiver has its head and does not read on."""
    async with StallingReceiver() as receiver:
        transport = HttpTransport(10, 10, 4, lambda: {"r": receiver.address})
        limit_send_buffer(transport, size)
        call = asyncio.create_task(transport.call("r", sample_message(body=BODY), timeout, permission))
        await with_timeout(receiver.stalled.wait())
        yield transport, receiver, call
        transport.close()


def outcome_of_unfinished(size: int, if_written: Outcome) -> Outcome:
    """A request whose last byte was not written has never run."""
    return if_written if size == BUFFERS["written but unacknowledged"] else Outcome.NOT_SENT


@with_buffers
async def test_a_request_does_not_arrive_after_its_permission_ended(_: Path, size: int) -> None:
    is_permitted = True
    async with stalled_call(size, Permission(continues=lambda: is_permitted)) as (_transport, receiver, call):
        await asyncio.sleep(0.1)
        assert not call.done()
        is_permitted = False
        assert (await with_timeout(call)).outcome is outcome_of_unfinished(size, Outcome.CANCELLED)
        await receiver.resume()
        assert receiver.completed == []


@with_buffers
async def test_a_request_that_is_permitted_arrives_when_its_receiver_reads_on(_: Path, size: int) -> None:
    async with stalled_call(size, Permission()) as (_transport, receiver, call):
        await asyncio.sleep(0.2)
        await receiver.resume()
        assert (await with_timeout(call)).outcome is Outcome.OK and len(receiver.completed) == 1


@with_buffers
async def test_a_request_does_not_arrive_after_its_call_timed_out(_: Path, size: int) -> None:
    async with stalled_call(size, Permission(), timeout=0.3) as (_transport, receiver, call):
        is_written = size == BUFFERS["written but unacknowledged"]
        expected = Outcome.TIMEOUT if is_written else Outcome.CONNECT_FAILED
        assert (await with_timeout(call)).outcome is expected
        await receiver.resume()
        assert receiver.completed == []


@with_buffers
async def test_a_request_does_not_arrive_after_its_call_was_cancelled(_: Path, size: int) -> None:
    async with stalled_call(size, Permission()) as (_transport, receiver, call):
        call.cancel()
        await asyncio.wait([call])
        await receiver.resume()
        assert receiver.completed == []


@run_async_test
async def test_a_half_written_request_ends_as_never_sent_at_a_handover(_: Path) -> None:
    async with stalled_call(BUFFERS["half written"], Permission()) as (transport, receiver, call):
        transport.cancel_unsent()
        assert await with_timeout(call) == AttemptResult(Outcome.NOT_SENT)
        await receiver.resume()
        assert receiver.completed == []


@run_async_test
async def test_a_rejection_ahead_of_the_last_byte_ends_the_request(_: Path) -> None:
    async with stalled_call(BUFFERS["half written"], Permission()) as (transport, receiver, call):
        waits: list[tuple[str, int]] = []
        transport.retry_after_received = lambda *wait: waits.append(wait)
        receiver.write_early("429 Wait\r\nRetry-After: 2")
        assert await with_timeout(call) == AttemptResult(Outcome.FULL, retry_after_us=2_000_000)
        assert waits[0] == ("r", 2_000_000)
        await receiver.resume()
        assert receiver.completed == []


def test_a_request_does_not_arrive_after_its_process_was_killed() -> None:
    async def test() -> None:
        async with StallingReceiver() as receiver:
            script = f"""
                import asyncio, os, signal, sys
                from message_sender.http.client_connection import ClientConnection
                async def main():
                    connection = await ClientConnection.open(("127.0.0.1", {receiver.address[1]}))
                    connection.discard_unacknowledged_at_close()
                    connection.sock.setsockopt(1, 7, {1 << 20})
                    headers = {{"X-Correlation-Id": "m", "Content-Length": "{len(BODY)}"}}
                    await connection.send("POST", "/hook", headers, bytes({len(BODY)}))
                    sys.stdin.read(1)
                    os.kill(os.getpid(), signal.SIGKILL)
                asyncio.run(main())
            """
            command = [sys.executable, "-c", textwrap.dedent(script)]
            with subprocess.Popen(command, stdin=subprocess.PIPE) as process:
                await with_timeout(receiver.stalled.wait())
                await asyncio.sleep(0.3)
                process.communicate(b"x")
            await receiver.resume()
            assert receiver.completed == []

    asyncio.run(test())


# A whole sender: what may change while a request is unfinished.


@asynccontextmanager
async def sender_with_stalled_repeat(state: Path, size: int) -> AsyncIterator[tuple[World, StallingReceiver]]:
    """A sender whose message m1 failed at first, and is stuck on its way to the receiver again."""
    kind = KEYED | {"dedup_window": int(WINDOW_S * 1e6), "serial_by_key": False}
    async with StallingReceiver() as receiver, World(state, **kind) as world:
        limit_send_buffer(world.sender.transport, size)
        watch = await with_timeout(world.platform.watches.get())
        send_watch_line(watch, 42, host(receiver.dial, "s"), host(world.receiver.dial, health="draining"))
        await until(lambda: "s" in world.sender.engine.dispatcher.endpoints)
        receiver.stalls_after = 1
        receiver.answers = ["500 It"]
        assert (await world.submit("m1", BODY)).status == 202
        await with_timeout(receiver.stalled.wait())
        yield world, receiver


def has_ended(world: World) -> bool:
    return not world.sender.engine.attempts.calls


@with_buffers
async def test_a_repeat_does_not_arrive_after_its_window(state: Path, size: int) -> None:
    async with sender_with_stalled_repeat(state, size) as (world, receiver):
        assert not has_ended(world)
        await asyncio.sleep(WINDOW_S)
        assert has_ended(world)
        await receiver.resume()
        assert receiver.completed == ["m1"]


@with_buffers
async def test_a_request_does_not_arrive_in_a_wait_announced_meanwhile(state: Path, size: int) -> None:
    async with sender_with_stalled_repeat(state, size) as (world, receiver):
        world.sender.engine.retry_after_received("s", SECOND)
        await asyncio.sleep(0.1)
        assert has_ended(world)
        await receiver.resume()
        assert receiver.completed == ["m1"]


@with_buffers
async def test_a_request_does_not_arrive_after_the_process_handed_over(state: Path, size: int) -> None:
    async with sender_with_stalled_repeat(state, size) as (world, receiver):
        world.sender.engine.freeze()
        world.sender.transport.cancel_unsent()
        await asyncio.sleep(0.2)
        assert has_ended(world)
        await receiver.resume()
        assert receiver.completed == ["m1"]
        world.sender.engine.thaw()


# The policy's part.


def sent_message() -> PolicyWorld:
    """A message whose repeat is in flight."""
    world = PolicyWorld()
    world.accept("keyed")
    world.end_attempt("m1", Outcome.ERROR)
    assert world.dispatcher.may_finish_call("m1", 1, world.now)
    return world


def test_a_repeat_may_be_finished_until_its_window_ends() -> None:
    world = sent_message()
    message = world.dispatcher.messages["m1"]
    assert message.uncertain_since is not None
    window_end = int(world.dispatcher.pending.repeat_until(message, message.uncertain_since))
    assert world.dispatcher.may_finish_call("m1", 1, window_end - 1)
    assert not world.dispatcher.may_finish_call("m1", 1, window_end)


def test_a_request_may_be_finished_although_its_endpoint_drains() -> None:
    """PROTOCOL, Figures: for drains, a send counts from its first byte."""
    world = sent_message()
    endpoint = world.dispatcher.calls["m1", 1].endpoint.listed.id
    draining = replace(world.dispatcher.endpoints[endpoint].listed, state=EndpointState.DRAINING)
    world.step(EndpointsUpdated(ListingKind.CHANGES, (draining,)))
    assert world.dispatcher.may_finish_call("m1", 1, world.now)


def test_a_request_may_not_be_finished_at_an_endpoint_that_moved_to_another_destination() -> None:
    world = sent_message()
    endpoint = world.dispatcher.calls["m1", 1].endpoint.listed
    world.step(EndpointsUpdated(ListingKind.CHANGES, (replace(endpoint, destination=2),)))
    assert not world.dispatcher.may_finish_call("m1", 1, world.now)


def test_a_request_may_not_be_finished_in_a_wait_announced_meanwhile() -> None:
    world = sent_message()
    endpoint = world.dispatcher.calls["m1", 1].endpoint.listed.id
    world.dispatcher.retry_after_received(endpoint, world.now + SECOND)
    assert not world.dispatcher.may_finish_call("m1", 1, world.now)
    assert world.dispatcher.may_finish_call("m1", 1, world.now + SECOND)


def test_a_request_may_not_be_finished_after_its_time_or_its_end() -> None:
    world = sent_message()
    deadline = int(world.dispatcher.messages["m1"].deadline)
    assert not world.dispatcher.may_finish_call("m1", 1, deadline)
    world.step(AttemptEnded("m1", 1, Outcome.OK, finished=True))
    assert not world.dispatcher.may_finish_call("m1", 1, world.now)


def test_a_request_may_not_be_finished_if_the_process_ends_too_soon() -> None:
    world = sent_message()
    world.step(Stopping(0))
    assert not world.dispatcher.may_finish_call("m1", 1, world.now)


def test_an_attempt_that_was_given_up_may_not_be_finished() -> None:
    world = sent_message()
    assert not world.dispatcher.may_finish_call("m1", 0, world.now)
    actions = world.step()
    assert not [each for each in actions if isinstance(each, Send)]
