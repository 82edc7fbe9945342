"""Each outcome of a call, as the protocol's table has it, and the pool of connections."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from peers import Peer, handed_in, play, soon

from elmglade.interface import Outcome
from elmglade.net import client as module
from elmglade.net.client import Answer, Client
from elmglade.net.http import Address, Connection

ANSWERS = [
    ("200", (), Answer(Outcome.OK, finished=True)),
    ("500", (), Answer(Outcome.ERROR)),
    ("429", ("Retry-After: 0.25",), Answer(Outcome.FULL, wait=250_000)),
    ("429", ("Retry-After: soon",), Answer(Outcome.FULL)),
    ("503", (), Answer(Outcome.FULL)),
    ("503", ("X-Egress-Full: 1",), Answer(Outcome.NOT_SENT)),
    ("504", (), Answer(Outcome.NOT_SENT)),
    ("410", (), Answer(Outcome.NOT_SENT, finished=True)),
    ("302", (), Answer(Outcome.ERROR)),
]


def call(
    client: Client, address: Address, timeout: float = 10, body: bytes = b"x", may_go: bool = True
) -> asyncio.Task[Answer]:
    work = client.call(address, handed_in(body=body), timeout, lambda: may_go)
    return asyncio.create_task(work)


@asynccontextmanager
async def client_and_receiver(connect_timeout: float = 10) -> AsyncIterator[tuple[Client, Peer]]:
    client = Client(10, connect_timeout, most_idle=4)
    async with Peer() as receiver:
        yield client, receiver
        client.close()


@pytest.mark.parametrize(("status", "headers", "answer"), ANSWERS)
def test_what_an_answer_means(status: str, headers: tuple[str, ...], answer: Answer) -> None:
    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            going = call(client, receiver.address)
            (await receiver.next()).answer(int(status), *headers, body="nothing")
            assert await soon(going) == answer

    play(test)(Path())


@play
async def test_id_key_and_body_go_on_unchanged_with_the_time_left(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        body = bytes(range(256)) * 200
        going = call(client, receiver.address, body=body)
        request = await receiver.next()
        assert (request.method, request.target, request.id) == ("POST", "/hook", "m1")
        assert request.headers["idempotency-key"] == "key of m1" and request.body == body
        assert 0 < float(request.headers["x-time-left"]) <= 10
        request.answer(200)
        await soon(going)


@play
async def test_refused_connection_never_ran(_: Path) -> None:
    async with Peer() as receiver:
        address = receiver.address
    assert (await soon(call(Client(10, 10, 4), address))).outcome is Outcome.CONNECT_FAILED


def test_connection_that_never_comes_up_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def never(address: Address) -> Connection:
        await asyncio.Event().wait()
        raise AssertionError

    async def test(_: Path) -> None:
        for client, timeout in ((Client(10, 0.01, 4), 10), (Client(10, 10, 4), 0.01)):
            answer = await soon(call(client, ("127.0.0.1", 1), timeout=timeout))
            assert answer.outcome is Outcome.CONNECT_FAILED

    monkeypatch.setattr(module.Connection, "open", never)
    play(test)(Path())


def test_break_before_the_last_byte_is_written_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    """Buffers on both sides too small for the body, so that a part of it is still unwritten."""

    async def test(_: Path) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            going = call(Client(10, 10, 4), listener.getsockname(), body=b"x" * 65536)
            other, _peer = await soon(loop.sock_accept(listener))
            assert await soon(loop.sock_recv(other, 10))
            other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            other.close()
            assert (await soon(going)).outcome is Outcome.CONNECT_FAILED

    opened = Connection.open

    async def small(address: Address) -> Connection:
        connection = await opened(address)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return connection

    monkeypatch.setattr(module.Connection, "open", small)
    play(test)(Path())


@play
async def test_break_after_the_last_byte_is_a_reset_and_nothing_goes_twice(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address)
        (await receiver.next()).break_off()
        assert (await soon(going)).outcome is Outcome.RESET
        assert receiver.requests.empty() and receiver.accepted == 1


@pytest.mark.parametrize("text", ["HTTP/1.1 2", "nonsense\r\n\r\n"])
def test_an_answer_cut_short_or_unreadable_is_a_reset(text: str) -> None:
    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            going = call(client, receiver.address)
            request = await receiver.next()
            request.write(text)
            request.writer.close()
            assert (await soon(going)).outcome is Outcome.RESET

    play(test)(Path())


@play
async def test_an_answer_whose_body_breaks_off_stands(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address)
        request = await receiver.next()
        request.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        request.writer.close()
        assert (await soon(going)).outcome is Outcome.OK
        assert not client.pool


@play
async def test_time_out_closes_the_connection(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address, timeout=0.05)
        await receiver.next()
        assert (await soon(going)).outcome is Outcome.TIMEOUT
        await soon(receiver.ends.get())


@play
async def test_cancel_closes_the_connection(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address)
        await receiver.next()
        going.cancel()
        await soon(receiver.ends.get())
        assert going.cancelled()


@play
async def test_state_is_looked_at_once_more_as_the_first_byte_goes(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        answer = await soon(call(client, receiver.address, may_go=False))
        assert answer == Answer(Outcome.NOT_SENT) and receiver.requests.empty()
        again = call(client, receiver.address)
        (await receiver.next()).answer(200)
        assert (await soon(again)).outcome is Outcome.OK and receiver.accepted == 1


@play
async def test_a_connection_is_used_again_until_it_ends_or_is_old(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        for accepted, spoil in ((1, ""), (1, "ended"), (2, "old"), (3, "close")):
            going = call(client, receiver.address)
            request = await receiver.next()
            assert receiver.accepted == accepted
            request.answer(200, *(["Connection: close"] if spoil == "close" else []))
            assert (await soon(going)).outcome is Outcome.OK
            kept = client.pool.get(receiver.address, [])
            assert len(kept) == (spoil != "close")
            if spoil == "ended":
                request.writer.close()
                await soon(receiver.ends.get())
            if spoil == "old":
                kept[0].idle_since -= 8.5  # the receiver may close it after 10
                client.drop_old()
                assert not client.pool
