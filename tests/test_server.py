"""Clients in: what is read, and what is turned away without harm."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from peers import READY, Reply, ask, message, play, read_reply, soon

from elmglade import interface as face
from elmglade.net.message import HandedIn
from elmglade.net.server import LINGERING, Connection, Server

KEYED = face.MessageClass("c", 800_000, 8_000_000, 1.0, 0.1, face.Effect.KEYED, window=5_000_000)
NOW = 1_000_000_000


@asynccontextmanager
async def serving(most: int = 10) -> AsyncIterator[tuple[Server, list[HandedIn]]]:
    taken: list[HandedIn] = []

    def take(message: HandedIn, connection: Connection) -> None:
        taken.append(message)
        connection.answer(202)

    server = Server({"c": KEYED}, take, lambda: NOW, most)
    await server.listen("127.0.0.1", 0)
    server.ready = True
    yield server, taken
    server.close()


async def raw(server: Server, data: bytes) -> Reply:
    return await ask(server.address(), data)


@play
async def test_a_message_is_read_as_it_was_handed_in(_: Path) -> None:
    async with serving() as (server, taken):
        body = bytes(range(256)) * 256
        data = message("é1", body, X_Account="acme", X_Session_Key="k", X_Repeat="1", X_Time_Left="0.480")
        assert (await raw(server, data)).status == 202
        assert taken == [HandedIn("é1", "c", 3, NOW + 480_000, "acme", "k", "key of é1", True, body)]


BAD = [
    (message("m", X_Correlation_Id=""), 400),
    (message("m", X_Service_Class="other"), 404),
    (message("m").replace(b"POST /c", b"POST /d"), 404),
    (message("m", X_Time_Left="soon"), 400),
    (message("m", X_Time_Left="nan"), 400),
    (message("m", X_Time_Left="-1"), 400),
    (message("m", X_Time_Left="1e400"), 400),
    (message("m", X_Route_To="dest=x"), 400),
    (message("m", X_Route_To="dest=²"), 400),
    (message("m", X_Route_To="elsewhere"), 400),
    (message("m", X_Route_To="dest=" + "9" * 5000), 400),
    (message("m", Idempotency_Key=""), 400),
    (message("m", b"x" * 65537), 413),
    (message("m", X_Account="a" * 20000), 431),
    (b"POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: minus\r\n\r\n", 400),
    (b"POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n", 413),
    (b"POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
    (b"POST /c HTTP/1.1\r\n\r\n", 400),
    (b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 405),
    (b"POST /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
    (b"GET /nothing HTTP/1.1\r\nHost: x\r\nUpgrade: y\r\nConnection: upgrade\r\n\r\n", 404),
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    (b"GET / SMTP/9\r\n\r\n", 400),
]


@pytest.mark.parametrize(("data", "status"), BAD)
def test_bad_input_gets_its_answer_and_no_exception(data: bytes, status: int) -> None:
    async def test(_: Path) -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with serving() as (server, taken):
            assert (await raw(server, data)).status == status
            assert (await raw(server, message("fine"))).status == 202
            assert [each.id for each in taken] == ["fine"]
        assert errors == []

    play(test)(Path())


@play
async def test_a_long_chunked_body_is_cut_off(_: Path) -> None:
    async with serving() as (server, taken):
        head = message("m").replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")
        head = head.partition(b"\r\n\r\n")[0]
        chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
        assert (await raw(server, head + b"\r\n\r\n" + chunk * 3)).status == 413 and taken == []


@play
async def test_requests_follow_each_other_on_one_connection_even_pipelined(_: Path) -> None:
    async with serving() as (server, taken):
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(message("a") + message("b"))
        assert [(await read_reply(reader)).status for _ in "ab"] == [202, 202]
        writer.write(message("c"))
        assert (await read_reply(reader)).status == 202
        assert [each.id for each in taken] == ["a", "b", "c"]
        writer.close()


@play
async def test_time_left_counts_from_the_first_byte(_: Path) -> None:
    async with serving() as (server, taken):
        reader, writer = await asyncio.open_connection(*server.address())
        data = message("m", X_Time_Left="1")
        writer.write(data[:40])
        while not any(each.began for each in server.connections):
            await asyncio.sleep(0)
        server.now = lambda: NOW + 700_000
        writer.write(data[40:])
        assert (await read_reply(reader)).status == 202
        assert taken[0].until == NOW + 1_000_000
        writer.close()


@play
async def test_more_connections_than_allowed_are_turned_away(_: Path) -> None:
    async with serving(most=1) as (server, _taken):
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(message("a"))
        assert (await read_reply(reader)).status == 202
        assert (await raw(server, b"")).status == 503
        server.most = -LINGERING
        flood, flood_writer = await asyncio.open_connection(*server.address())
        assert await soon(flood.read()) == b""
        flood_writer.close()
        writer.close()


@play
async def test_connections_that_never_finish_or_never_come_back_are_closed(_: Path) -> None:
    async with serving() as (server, _taken):
        half, half_writer = await asyncio.open_connection(*server.address())
        half_writer.write(message("m")[:30])
        idle, idle_writer = await asyncio.open_connection(*server.address())
        while len(server.connections) < 2 or not any(each.began for each in server.connections):
            await asyncio.sleep(0)
        server.expire()
        assert len(server.connections) == 2
        for connection in server.connections:
            connection.since -= 100
        server.expire()
        assert (await read_reply(half)).status == 408
        assert await soon(idle.read()) == b""
        half_writer.close()
        idle_writer.close()


@play
async def test_a_stopping_server_answers_and_closes(_: Path) -> None:
    async with serving() as (server, taken):
        assert (await raw(server, READY)).status == 200
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(message("a"))
        assert "connection" not in (await read_reply(reader)).headers
        server.stop()
        assert (await raw(server, READY)).status == 503
        writer.write(message("b"))
        reply = await read_reply(reader)
        assert reply.status == 202 and reply.headers["connection"] == "close"
        assert await soon(reader.read()) == b"" and len(taken) == 2
        writer.close()
