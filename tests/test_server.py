"""The HTTP server for clients: parsing of requests, rejections, limits, and closing of unused connections."""

import asyncio
import errno
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from peers import READY, HeldConnection, Reply, ask, message, read_reply, run_async_test, with_timeout
from socket_faults import next_iteration

from message_sender.http import fast_path
from message_sender.http.connection_state import IDLE_TIMEOUT_S, LINGER_TIMEOUT_S, READ_TIMEOUT_S
from message_sender.http.request_parsing import TRANSIT_ALLOWANCE_US
from message_sender.http.server import Server
from message_sender.http.server_connection import DRAINED_BYTES_LIMIT, ServerConnection
from message_sender.message import Message
from message_sender.policy.model import Effect, MessageClass

KEYED = MessageClass("c", 800_000, 8_000_000, 1.0, 0.1, Effect.KEYED, idempotency_window=5_000_000)
NOW = 1_000_000_000


@asynccontextmanager
async def serving(connection_limit: int = 10) -> AsyncIterator[tuple[Server, list[Message]]]:
    accepted: list[Message] = []

    def accept(message: Message, connection: ServerConnection) -> None:
        accepted.append(message)
        connection.answer(202)

    server = Server({"c": KEYED}, accept, lambda: NOW, connection_limit)
    server.listen("127.0.0.1", 0)
    server.is_ready = True
    yield server, accepted
    server.close()


async def send_raw(server: Server, data: bytes) -> Reply:
    return await ask(server.address(), data)


@run_async_test
async def test_a_request_is_parsed_into_a_message_with_all_its_fields(_: Path) -> None:
    async with serving() as (server, accepted):
        body = bytes(range(256)) * 256
        data = message("é1", body, X_Account="acme", X_Session_Key="k", X_Repeat="1", X_Time_Left="0.480")
        assert (await send_raw(server, data)).status == 202
        assert accepted == [
            Message("é1", "c", 3, NOW + 480_000 - TRANSIT_ALLOWANCE_US, "acme", "k", "key of é1", True, body)
        ]


BAD = [
    (message("m", X_Correlation_Id=""), 400),
    (message("m", X_Service_Class="other"), 404),
    (message("m").replace(b"POST /c", b"POST /d"), 404),
    (message("m", X_Time_Left="soon"), 400),
    (message("m", X_Time_Left="nan"), 400),
    (message("m", X_Time_Left="-1"), 400),
    (message("m", X_Time_Left="1e400"), 400),
    (message("m", X_Time_Left="1e308"), 400),
    (message("m", X_Time_Left="1_0"), 400),
    (message("m", X_Time_Left="9" * 400), 400),
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
def test_bad_input_gets_an_error_status_and_raises_no_exception(data: bytes, status: int) -> None:
    async def test(_: Path) -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with serving() as (server, accepted):
            assert (await send_raw(server, data)).status == status
            assert (await send_raw(server, message("fine"))).status == 202
            assert [each.id for each in accepted] == ["fine"]
        assert errors == []

    run_async_test(test)(Path())


@run_async_test
async def test_a_long_chunked_body_is_cut_off(_: Path) -> None:
    async with serving() as (server, accepted):
        head = message("m").replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")
        head = head.partition(b"\r\n\r\n")[0]
        chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
        assert (await send_raw(server, head + b"\r\n\r\n" + chunk * 3)).status == 413 and accepted == []


@run_async_test
async def test_requests_follow_each_other_on_one_connection_even_pipelined(_: Path) -> None:
    async with serving() as (server, accepted):
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(message("a") + message("b"))
        assert [(await read_reply(reader)).status for _ in "ab"] == [202, 202]
        writer.write(message("c"))
        assert (await read_reply(reader)).status == 202
        assert [each.id for each in accepted] == ["a", "b", "c"]
        writer.close()


@run_async_test
async def test_time_left_counts_from_the_first_byte(_: Path) -> None:
    async with serving() as (server, accepted):
        reader, writer = await asyncio.open_connection(*server.address())
        data = message("m", X_Time_Left="1")
        writer.write(data[:40])
        while not any(each.began for each in server.connections):
            await next_iteration()
        server.now = lambda: NOW + 700_000
        writer.write(data[40:])
        assert (await read_reply(reader)).status == 202
        assert accepted[0].deadline_us == NOW + 1_000_000 - TRANSIT_ALLOWANCE_US
        writer.close()


@run_async_test
async def test_silent_and_idle_connections_are_closed_for_clients_with_requests(_: Path) -> None:
    """Guards normal clients against others that open hundreds of connections and send nothing."""
    async with serving(connection_limit=3) as (server, accepted):
        normal = await HeldConnection.open(server, message("a"))
        assert (await read_reply(normal.reader)).status == 202
        silent = [await HeldConnection.open(server) for _ in range(2)]
        assert (await send_raw(server, message("b"))).status == 202
        assert await silent[0].read_to_end() == b""
        late = [await HeldConnection.open(server) for _ in range(20)]
        normal.writer.write(message("c"))
        assert (await read_reply(normal.reader)).status == 202
        assert [each.id for each in accepted] == ["a", "b", "c"]
        assert len(server.connections) <= 3 + server.lingering
        for each in (normal, *silent, *late):
            each.writer.close()


@run_async_test
async def test_many_health_check_clients_displace_each_other_and_no_new_connection(_: Path) -> None:
    """Guards against a past incident: at the connection limit, each new connection was closed before its
    request arrived."""
    async with serving(connection_limit=4) as (server, _taken):
        normal = await HeldConnection.open(server, message("a"))
        assert (await read_reply(normal.reader)).status == 202
        fresh = await HeldConnection.open(server)
        probes = [await HeldConnection.open(server, READY) for _ in range(8)]
        for each in probes[-2:]:
            assert (await read_reply(each.reader)).status == 200
        for held, name in ((fresh, "b"), (normal, "c")):
            held.writer.write(message(name))
            assert (await read_reply(held.reader)).status == 202
        assert len(server.connections) <= 4 + server.lingering
        for each in (normal, fresh, *probes):
            each.writer.close()


@run_async_test
async def test_a_new_connection_is_not_closed_in_favour_of_idle_ones(_: Path) -> None:
    """Guards against a past incident: with the limit reached by idle connections, each new one was closed
    before its request arrived, and its client kept reconnecting."""
    async with serving(connection_limit=4) as (server, accepted):
        kept = [await HeldConnection.open(server, message(name)) for name in "abcd"]
        for each in kept:
            assert (await read_reply(each.reader)).status == 202
        fresh = await HeldConnection.open(server)
        late = await HeldConnection.open(server, message("e"))
        assert (await read_reply(late.reader)).status == 202
        fresh.writer.write(message("f"))
        assert (await read_reply(fresh.reader)).status == 202
        assert [each.id for each in accepted] == list("abcdef") and await kept[0].read_to_end() == b""
        for each in (fresh, late, *kept):
            each.writer.close()


@run_async_test
async def test_with_every_connection_in_use_a_further_one_is_rejected(_: Path) -> None:
    async with serving(connection_limit=1) as (server, _taken):
        partial = await HeldConnection.open(server, message("a")[:30])
        while server.table.silent or not server.connections:
            await next_iteration()
        assert (await send_raw(server, b"")).status == 503
        server.lingering = -1
        assert await (await HeldConnection.open(server, b"x")).read_to_end() == b""
        partial.writer.close()


@run_async_test
async def test_a_shortage_of_descriptors_stops_accepting_only_briefly(_: Path) -> None:
    async with serving() as (server, _taken):
        idle = await HeldConnection.open(server, message("a"))
        assert (await read_reply(idle.reader)).status == 202
        assert server.listener is not None
        listener, errors = server.listener, iter([OSError(errno.EMFILE, "none left")])

        class ListenerWithoutDescriptors:
            def __getattr__(self, name: str) -> object:
                return getattr(listener, name)

            def accept(self) -> object:
                for error in errors:
                    raise error
                return listener.accept()

        server.loop.remove_reader(listener)
        server.listener = ListenerWithoutDescriptors()  # type: ignore[assignment]
        server.loop.add_reader(listener, server.accept)
        assert (await send_raw(server, message("b"))).status == 202
        assert await idle.read_to_end() == b""  # the unused connection was closed to free a descriptor


@run_async_test
async def test_connections_with_unfinished_requests_or_without_requests_are_closed(_: Path) -> None:
    """The time limit of a request that arrives in small pieces counts from connecting, not each piece."""
    async with serving() as (server, _taken):
        partial = await HeldConnection.open(server, message("m")[:30])
        silent = await HeldConnection.open(server)
        idle = await HeldConnection.open(server, message("i"))
        assert (await read_reply(idle.reader)).status == 202
        while len(server.table.silent) != 1 or len(server.connections) != 3:
            await next_iteration()
        server.expire()
        assert len(server.connections) == 3
        for connection in server.connections:
            connection.since -= READ_TIMEOUT_S + 0.1
        (partial_request,) = [each for each in server.connections if each.began]
        partial.writer.write(message("m")[30:40])
        while len(partial_request.reader.received) < 40:
            await next_iteration()
        server.expire()
        assert (await read_reply(partial.reader)).status == 408
        assert await silent.read_to_end() == b""
        for connection in server.connections:
            connection.since -= IDLE_TIMEOUT_S
        server.expire()
        assert await idle.read_to_end() == b"" and await partial.read_to_end() == b""
        for each in (partial, silent, idle):
            each.writer.close()


@run_async_test
async def test_bytes_after_a_rejected_head_are_dropped_and_the_client_can_read_the_response(_: Path) -> None:
    async with serving() as (server, accepted):
        held = await HeldConnection.open(server, message("m", b"x" * 65537) + b"x" * 8_000_000)
        assert (await read_reply(held.reader)).status == 413
        (connection,) = server.connections
        while connection.transport.is_reading():
            await next_iteration()
        assert connection.dropped < 2 * DRAINED_BYTES_LIMIT and accepted == []
        connection.since -= LINGER_TIMEOUT_S + 0.1
        server.expire()
        await held.read_to_end()
        assert not server.connections
        held.writer.close()


@run_async_test
async def test_a_request_with_two_body_lengths_cannot_smuggle_a_second_request(_: Path) -> None:
    hidden = message("hidden")
    head = message("m", hidden).replace(b"Host", b"Transfer-Encoding: chunked\r\nHost")
    chunked = head.partition(b"\r\n\r\n")[0] + b"\r\n\r\n0\r\n\r\n" + hidden
    async with serving() as (server, accepted):
        for data in (head, chunked):
            held = await HeldConnection.open(server, data)
            assert (await read_reply(held.reader)).status == 400
            assert await held.read_to_end() == b"" and accepted == []
            held.writer.close()


@run_async_test
async def test_reading_pauses_while_many_pipelined_requests_wait_for_a_response(_: Path) -> None:
    async with serving() as (server, _taken):
        server.submit = lambda *_: None  # the answer is still pending
        held = await HeldConnection.open(server, message("m"))
        while not any(each.is_answering for each in server.connections):
            await next_iteration()
        (connection,) = server.connections
        held.writer.write(message("n", b"x" * 60_000) * 200)
        while connection.transport.is_reading():
            await next_iteration()
        assert connection.held_bytes() <= 1024 * 1024
        server.submit = lambda _, connection: connection.answer(202)
        connection.answer(202)
        for _n in range(201):
            assert (await read_reply(held.reader)).status == 202
        held.writer.close()


@run_async_test
async def test_a_flood_is_read_for_a_limited_time_per_iteration_and_proven_clients_first(_: Path) -> None:
    """Guards against a loop so busy with bad requests that it ignored a receiver's Retry-After."""
    async with serving(connection_limit=40) as (server, accepted):
        normal = await HeldConnection.open(server, message("a"))
        assert (await read_reply(normal.reader)).status == 202
        read_available, server.read_queue.run = server.read_queue.run, lambda: None  # type: ignore[method-assign]
        flood = [await HeldConnection.open(server, message(f"m{each}")) for each in range(10)]
        normal.writer.write(message("b"))
        while len(server.read_queue) < 11:
            await next_iteration()
        server.read_queue.run, clock = read_available, server.loop.time  # type: ignore[method-assign]
        server.loop.time = lambda: clock() + len(accepted)  # type: ignore[method-assign]  # each takes a second
        read_available()
        assert [each.id for each in accepted] == ["a", "b"]
        server.loop.time = clock  # type: ignore[method-assign]
        for each in flood:
            assert (await read_reply(each.reader)).status == 202
            each.writer.close()
        normal.writer.close()


@run_async_test
async def test_a_first_request_is_read_before_those_of_clients_whose_last_one_was_not_valid(_: Path) -> None:
    """Guards against clients that send invalid requests without a pause and keep new clients waiting."""
    async with serving(connection_limit=40) as (server, accepted):
        bad = [await HeldConnection.open(server, message("x", X_Service_Class="other")) for _ in range(10)]
        for each in bad:
            assert (await read_reply(each.reader)).status == 404
        read_available, server.read_queue.run = server.read_queue.run, lambda: None  # type: ignore[method-assign]
        for each in bad:
            each.writer.write(message("x", X_Service_Class="other"))
        while len(server.read_queue) < 10:
            await next_iteration()
        new = await HeldConnection.open(server, message("a"))
        while len(server.read_queue) < 11:
            await next_iteration()
        server.read_queue.run, clock = read_available, server.loop.time  # type: ignore[method-assign]
        server.loop.time = lambda: clock() + len(accepted)  # type: ignore[method-assign]  # each takes a second
        read_available()
        assert [each.id for each in accepted] == ["a"] and len(server.read_queue) >= 9
        server.loop.time = clock  # type: ignore[method-assign]
        for each in [new, *bad]:
            await read_reply(each.reader)
            each.writer.close()


@run_async_test
async def test_one_turn_answers_one_of_many_pipelined_requests(_: Path) -> None:
    """Guards against a client whose many invalid requests at once keep the loop from its other work."""
    async with serving() as (server, _taken):
        read_available, server.read_queue.run = server.read_queue.run, lambda: None  # type: ignore[method-assign]
        held = await HeldConnection.open(server, message("x", X_Service_Class="other") * 50)
        while not len(server.read_queue):
            await next_iteration()
        (connection,) = server.connections
        before = len(connection.reader.received)
        server.read_queue._read_first(server.read_queue.others)
        assert before * 48 // 50 <= len(connection.reader.received) < before
        server.read_queue.run = read_available  # type: ignore[method-assign]
        read_available()
        for _n in range(50):
            assert (await read_reply(held.reader)).status == 404
        held.writer.close()


@run_async_test
async def test_the_read_queue_is_run_once_per_iteration_while_one_client_pipelines_requests(_: Path) -> None:
    """Guards against runs that each schedule several others, until an iteration takes a third of a second."""
    async with serving() as (server, _taken):
        run, runs = server.read_queue.run, 0

        def count_run() -> None:
            nonlocal runs
            runs += 1
            run()

        server.read_queue.run = count_run  # type: ignore[method-assign]
        held = await HeldConnection.open(server, message("x", X_Service_Class="other") * 300)
        answers, most = 0, 0
        while answers < 300:
            before = runs
            await next_iteration()
            most = max(most, runs - before)
            answers += held.reader._buffer.count(b"HTTP/1.1 404")  # type: ignore[attr-defined]
            held.reader._buffer.clear()  # type: ignore[attr-defined]
        assert most <= 2  # the test resumes in every other iteration
        held.writer.close()


@run_async_test
async def test_a_message_for_a_destination_that_was_never_listed_is_rejected(_: Path) -> None:
    async with serving() as (server, accepted):
        server.knows_destination = lambda destination: destination == 3
        assert (await send_raw(server, message("m", X_Route_To="dest=4"))).status == 404
        assert (await send_raw(server, message("m"))).status == 202
        assert [each.destination for each in accepted] == [3]


@run_async_test
async def test_an_unexpected_exception_ends_only_its_own_connection(_: Path) -> None:
    async with serving() as (server, _taken):
        submit, server.submit = server.submit, None  # type: ignore[assignment]
        assert await (await HeldConnection.open(server, message("m"))).read_to_end() == b""
        server.submit = submit
        assert (await send_raw(server, message("m"))).status == 202


@run_async_test
async def test_a_stopping_server_answers_and_closes(_: Path) -> None:
    async with serving() as (server, accepted):
        assert (await send_raw(server, READY)).status == 200
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(message("a"))
        assert "connection" not in (await read_reply(reader)).headers
        server.start_drain()
        assert (await send_raw(server, READY)).status == 503
        writer.write(message("b"))
        reply = await read_reply(reader)
        assert reply.status == 202 and reply.headers["connection"] == "close"
        assert await with_timeout(reader.read()) == b"" and len(accepted) == 2
        writer.close()


LONG_HEAD = b"POST /c HTTP/1.1\r\nHost: x\r\n" + b"a:\r\n" * 12_000
CUT_BODY = message("cut", b"x" * 60_000)[:-1]


def test_complete_first_requests_are_read_before_those_of_clients_that_stop_or_send_long_heads(
    tmp_path: Path,
) -> None:
    """Guards against usual clients that are refused on new connections beside hundreds of bad ones."""

    @run_async_test
    async def test(_: Path) -> None:
        async with serving(connection_limit=40) as (server, accepted):
            run_queue, server.read_queue.run = server.read_queue.run, lambda: None  # type: ignore[method-assign]
            beginnings = [LONG_HEAD, CUT_BODY, LONG_HEAD[:100]] * 8
            bad = [await HeldConnection.open(server, data) for data in beginnings]
            while len(server.read_queue) < len(bad):
                await next_iteration()
            clock = server.loop.time
            server.loop.time = lambda: clock() + 1.0  # type: ignore[method-assign]
            usual = await HeldConnection.open(server, message("usual"))
            while len(server.read_queue) < len(bad) + 1:
                await next_iteration()
            server.loop.time = clock  # type: ignore[method-assign]
            server.read_queue._read_first(server.read_queue.others)
            assert [each.id for each in accepted] == ["usual"]
            server.read_queue.run = run_queue  # type: ignore[method-assign]
            server.read_queue.run()
            assert (await read_reply(usual.reader)).status == 202
            for held in bad:
                held.writer.close()

    test(tmp_path)


def test_a_head_without_an_early_end_is_not_matched_line_by_line(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a check for what may be rejected unread that costs more than a rejection."""
    monkeypatch.setattr(fast_path, "REQUEST", None)
    assert not fast_path.has_short_head(LONG_HEAD) and fast_path.request(LONG_HEAD, 65536) is None


@pytest.mark.parametrize(
    ("data", "is_complete"),
    [
        (message("a"), True),
        (message("a") * 3, True),
        (message("a")[:-1], False),
        (READY, True),
        (READY[:-2], False),
        (LONG_HEAD + b"\r\n", False),
        (b"", False),
    ],
)
def test_what_looks_like_a_complete_request(data: bytes, is_complete: bool) -> None:
    assert fast_path.looks_complete(data) == is_complete
