"""The HTTP transport: the outcome of a call for each response and failure, and the connection pool."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, nullcontext
from pathlib import Path

import h11
import pytest
from peers import Peer, Permission, run_async_test, sample_message, with_timeout
from socket_faults import next_iteration

from message_sender.core.ports import AttemptResult
from message_sender.http import call as call_module
from message_sender.http import client as module
from message_sender.http import client_connection as http
from message_sender.http.client import HttpTransport
from message_sender.http.client_connection import ClientConnection
from message_sender.http.common import Address
from message_sender.http.response_mapping import answer_from
from message_sender.policy.model import NEVER_RAN, Outcome

ANSWERS = [
    ("200", (), AttemptResult(Outcome.OK, is_final=True)),
    ("500", (), AttemptResult(Outcome.ERROR)),
    ("429", ("Retry-After: 0.25",), AttemptResult(Outcome.FULL, retry_after_us=250_000)),
    ("429", ("Retry-After: soon",), AttemptResult(Outcome.FULL)),
    ("503", (), AttemptResult(Outcome.FULL)),
    ("503", ("X-Egress-Full: 1",), AttemptResult(Outcome.NOT_SENT)),
    ("504", (), AttemptResult(Outcome.NOT_SENT)),
    ("410", (), AttemptResult(Outcome.NOT_SENT, is_final=True)),
    ("302", (), AttemptResult(Outcome.ERROR)),
]


def call(
    client: HttpTransport, address: Address, timeout: float = 10, body: bytes = b"x", may_send: bool = True
) -> asyncio.Task[AttemptResult]:
    """Starts a call to the endpoint "r" at `address`."""
    client.dials = lambda: {"r": address}
    work = client.call("r", sample_message(body=body), timeout, Permission(lambda: may_send))
    return asyncio.create_task(work)


def client_with(
    conn_idle: float = 10, connect_timeout: float = 10, connection_limit: int = 4
) -> HttpTransport:
    return HttpTransport(conn_idle, connect_timeout, connection_limit, dict, reuse_delay_s=0)


@asynccontextmanager
async def client_and_receiver(connect_timeout: float = 10) -> AsyncIterator[tuple[HttpTransport, Peer]]:
    client = client_with(connect_timeout=connect_timeout)
    async with Peer() as receiver:
        yield client, receiver
        client.close()


@pytest.mark.parametrize(("status", "headers", "answer"), ANSWERS)
def test_status_and_headers_determine_the_result(
    status: str, headers: tuple[str, ...], answer: AttemptResult
) -> None:
    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            pending_call = call(client, receiver.address)
            (await receiver.next()).answer(int(status), *headers, body="nothing")
            assert await with_timeout(pending_call) == answer

    run_async_test(test)(Path())


@run_async_test
async def test_id_key_and_body_are_forwarded_unchanged_with_the_time_left(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        body = bytes(range(256)) * 200
        pending_call = call(client, receiver.address, body=body)
        request = await receiver.next()
        assert (request.method, request.target, request.id) == ("POST", "/hook", "m1")
        assert request.headers["idempotency-key"] == "key of m1" and request.body == body
        assert 0 < float(request.headers["x-time-left"]) <= 10
        request.answer(200)
        await with_timeout(pending_call)


@run_async_test
async def test_a_refused_connection_counts_as_connect_failed(_: Path) -> None:
    async with Peer() as receiver:
        address = receiver.address
    assert (await with_timeout(call(client_with(), address))).outcome is Outcome.CONNECT_FAILED


def test_a_connection_that_is_never_established_counts_as_connect_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def never_open(address: Address) -> ClientConnection:
        await asyncio.Event().wait()
        raise AssertionError

    async def test(_: Path) -> None:
        for client, timeout in ((client_with(connect_timeout=0.01), 10), (client_with(), 0.01)):
            answer = await with_timeout(call(client, ("127.0.0.1", 1), timeout=timeout))
            assert answer.outcome is Outcome.CONNECT_FAILED

    monkeypatch.setattr(module.ClientConnection, "open", never_open)
    run_async_test(test)(Path())


def test_a_break_before_the_last_byte_is_written_counts_as_connect_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The buffers on both sides are too small for the body, so that part of it is still unwritten."""

    async def test(_: Path) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            pending_call = call(client_with(), listener.getsockname(), body=b"x" * 65536)
            other, _peer = await with_timeout(loop.sock_accept(listener))
            assert await with_timeout(loop.sock_recv(other, 10))
            other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            other.close()
            assert (await with_timeout(pending_call)).outcome is Outcome.CONNECT_FAILED

    open_connection = ClientConnection.open

    async def open_with_small_buffer(address: Address) -> ClientConnection:
        connection = await open_connection(address)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return connection

    monkeypatch.setattr(module.ClientConnection, "open", open_with_small_buffer)
    run_async_test(test)(Path())


@run_async_test
async def test_a_break_after_the_last_byte_is_a_reset_and_the_request_is_not_resent(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        pending_call = call(client, receiver.address)
        (await receiver.next()).abort()
        assert (await with_timeout(pending_call)).outcome is Outcome.RESET
        assert receiver.requests.empty() and receiver.accepted == 1


def head(status: str, *lines: str) -> str:
    return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""])


DELIVERED, MAY_HAVE_RUN = AttemptResult(Outcome.OK, is_final=True), AttemptResult(Outcome.MALFORMED)
MALFORMED = [
    ("\x16\x03\x01 noise", MAY_HAVE_RUN),
    ("nonsense\r\n\r\n", MAY_HAVE_RUN),
    (head("OK"), MAY_HAVE_RUN),
    (head("503 Full", "Content-Length: minus"), MAY_HAVE_RUN),
    (head("500 Oh", "no colon here"), MAY_HAVE_RUN),
    (head("100 Continue") * 20, MAY_HAVE_RUN),
    (head("503 Full", "Content-Length: 3000000000") + "x", MAY_HAVE_RUN),
    (head("100 Continue") + head("200 OK", "no colon here"), DELIVERED),
    (head("200 OK", "Content-Length: minus"), DELIVERED),
    (head("200 OK", "Content-Length: 1", "Content-Length: 2"), DELIVERED),
    (head("200 OK", "Content-Length: 3000000000") + "x", DELIVERED),
    (head("200 OK", "Transfer-Encoding: chunked") + "zz\r\n", DELIVERED),
    ("HTTP/1.1 200 OK\r\nand no end", DELIVERED),
    (head("200 OK", "X-Pad: " + "x" * 20_000), DELIVERED),
]


@pytest.mark.parametrize(("text", "answer"), MALFORMED)
def test_a_malformed_response_has_its_outcome_at_once_and_its_connection_is_closed(
    text: str, answer: AttemptResult
) -> None:
    """The receiver leaves the connection open, so the outcome must follow from the bytes received. Guards
    against waiting for the deadline, and against treating a message that has run as one that has not."""

    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            pending_call = call(client, receiver.address)
            (await receiver.next()).write(text)
            assert await with_timeout(pending_call) == answer
            if "x" * 20_000 not in text:
                await with_timeout(receiver.ends.get())
                assert not client.pool and not client.connections

    run_async_test(test)(Path())


def test_an_incomplete_response_times_out_long_before_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            for text, answer in (
                ("HTTP/1.1 503 Fu", MAY_HAVE_RUN),
                (head("429 Wait", "Retry-After: 2", "Content-Length: 9") + "half", Outcome.TIMEOUT),
            ):
                pending_call = call(client, receiver.address, timeout=3600)
                (await receiver.next()).write(text)
                result = await with_timeout(pending_call)
                assert result == answer or (result.outcome is answer and result.retry_after_us == 2_000_000)
                await with_timeout(receiver.ends.get())

    monkeypatch.setattr(http, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(call_module, "BODY_TIMEOUT_S", 0.05)
    run_async_test(test)(Path())


@pytest.mark.parametrize("trailing_bytes", [head("200 OK", "Content-Length: 0"), "noise"])
def test_bytes_after_a_response_are_not_the_response_to_the_next_call(trailing_bytes: str) -> None:
    """Guards against a duplicate response that ends the next call, which is still in flight.

    It caused duplicates, broken order and lost messages.
    """

    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            pending_call = call(client, receiver.address)
            (await receiver.next()).write(head("200 OK", "Content-Length: 2") + "ok" + trailing_bytes)
            assert await with_timeout(pending_call) == DELIVERED
            next_call = call(client, receiver.address)
            (await receiver.next()).answer(503)
            assert await with_timeout(next_call) == AttemptResult(Outcome.FULL) and receiver.accepted == 2

    run_async_test(test)(Path())


@run_async_test
async def test_interim_responses_and_malformed_load_headers_are_ignored(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        for _n in range(2):
            pending_call = call(client, receiver.address)
            request = await receiver.next()
            request.write(head("102 Wait") + head("103 Soon", "Link: x"))
            request.answer(200, "X-Backend-Load: x0=,,=%\xff", body="fine")
            assert await with_timeout(pending_call) == DELIVERED
        assert receiver.accepted == 1


@run_async_test
async def test_the_outcome_does_not_wait_for_the_body_and_the_connection_is_pooled_after_it(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        pending_call = call(client, receiver.address)
        request = await receiver.next()
        request.write(head("200 OK", "Content-Length: 4") + "ha")
        assert await with_timeout(pending_call) == DELIVERED and not client.pool
        request.write("lf")
        await with_timeout(asyncio.gather(*client.body_tasks))
        assert list(client.pool) == ["r"]


@run_async_test
async def test_a_connection_closed_before_the_response_is_a_reset(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        pending_call = call(client, receiver.address)
        (await receiver.next()).writer.close()
        assert (await with_timeout(pending_call)).outcome is Outcome.RESET


@pytest.mark.parametrize("retry_after", ["1e308", "1_0", "inf", "nan", "-1", "٣", "9" * 400])
def test_a_retry_after_that_is_not_a_plain_decimal_is_ignored(retry_after: str) -> None:
    response = h11.Response(status_code=429, headers=[("Retry-After", retry_after.encode())])
    assert answer_from(response) == AttemptResult(Outcome.FULL)


def test_a_retry_after_longer_than_any_message_lives_is_clamped() -> None:
    response = h11.Response(status_code=429, headers=[("Retry-After", "999999999999")])
    assert answer_from(response) == AttemptResult(Outcome.FULL, retry_after_us=3_600_000_000)


@run_async_test
async def test_a_reused_address_gets_none_of_the_connections_of_its_previous_endpoint(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        pending_call = call(client, receiver.address)
        (await receiver.next()).answer(200)
        await with_timeout(pending_call)
        assert list(client.pool) == ["r"]
        client.dials = lambda: {"new": receiver.address}
        client.endpoints_changed()
        await with_timeout(receiver.ends.get())
        pending_call = asyncio.create_task(client.call("new", sample_message(), 10, Permission()))
        request = await receiver.next()
        client.dials = dict  # the endpoint leaves while its call is in flight: that connection is not pooled
        request.answer(200)
        assert await with_timeout(pending_call) == DELIVERED and receiver.accepted == 2
        await with_timeout(receiver.ends.get())
        assert not client.pool and not client.connections


@run_async_test
async def test_at_the_connection_limit_the_longest_idle_connection_is_closed(_: Path) -> None:
    async with Peer() as receiver:
        client = client_with(connection_limit=2)
        client.dials = lambda: dict.fromkeys("abc", receiver.address)
        for endpoint in "abc":
            pending_call = asyncio.create_task(client.call(endpoint, sample_message(), 10, Permission()))
            (await receiver.next()).answer(200)
            await with_timeout(pending_call)
        await with_timeout(receiver.ends.get())
        assert list(client.pool) == ["b", "c"] and len(client.connections) == 2
        client.close()


@run_async_test
async def test_a_200_counts_even_if_its_body_is_truncated(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        pending_call = call(client, receiver.address)
        request = await receiver.next()
        request.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        request.writer.close()
        assert (await with_timeout(pending_call)).outcome is Outcome.OK
        assert not client.pool


@run_async_test
async def test_a_time_out_closes_the_connection(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        pending_call = call(client, receiver.address, timeout=0.05)
        await receiver.next()
        assert (await with_timeout(pending_call)).outcome is Outcome.TIMEOUT
        await with_timeout(receiver.ends.get())


def test_a_200_read_after_the_deadline_is_no_delivery(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a late loop: a message was lost when its response was read 3 ms after the deadline."""

    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            pending_call = call(client, receiver.address, timeout=0)
            (await receiver.next()).answer(200)
            assert (await with_timeout(pending_call)).outcome is Outcome.TIMEOUT

    monkeypatch.setattr(asyncio, "timeout_at", lambda _: nullcontext())  # as if its timer fired too late
    run_async_test(test)(Path())


@run_async_test
async def test_idle_connections_to_the_endpoint_of_a_cancelled_call_are_closed(_: Path) -> None:
    """Guards a retry against using another connection that has stopped responding like the first."""
    async with client_and_receiver() as (client, receiver):
        both = [call(client, receiver.address) for _n in range(2)]
        first, second = [await receiver.next() for _n in range(2)]
        first.answer(200)
        while not client.pool:
            await next_iteration()
        for each in both:
            each.cancel()
        for _n in range(2):
            await with_timeout(receiver.ends.get())
        assert not client.pool and not client.connections and second.id == "m1"


@run_async_test
async def test_cancelling_a_call_closes_the_connection(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        pending_call = call(client, receiver.address)
        await receiver.next()
        pending_call.cancel()
        await with_timeout(receiver.ends.get())
        assert pending_call.cancelled()


@run_async_test
async def test_may_send_is_checked_immediately_before_the_first_byte_is_written(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        answer = await with_timeout(call(client, receiver.address, may_send=False))
        assert answer == AttemptResult(Outcome.NOT_SENT) and receiver.requests.empty()
        second = call(client, receiver.address)
        (await receiver.next()).answer(200)
        assert (await with_timeout(second)).outcome is Outcome.OK and receiver.accepted == 1


@run_async_test
async def test_a_connection_is_reused_until_it_is_closed_or_too_old(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        for accepted, ending in ((1, ""), (1, "ended"), (2, "old"), (3, "close")):
            pending_call = call(client, receiver.address)
            request = await receiver.next()
            assert receiver.accepted == accepted
            request.answer(200, *(["Connection: close"] if ending == "close" else []))
            assert (await with_timeout(pending_call)).outcome is Outcome.OK
            kept = client.pool.get("r", [])
            assert len(kept) == (ending != "close")
            if ending == "ended":
                request.writer.close()
                await with_timeout(receiver.ends.get())
            if ending == "old":
                kept[0].idle_since -= 8.5  # the receiver may close it after 10
                client.close_expired()
                assert not client.pool


@run_async_test
async def test_a_broken_pooled_connection_is_stale_and_closes_the_other_idle_ones(_: Path) -> None:
    """Guards against counting a healthy destination as failed, and against a retry on another stale one."""
    async with client_and_receiver() as (client, receiver):
        both = [call(client, receiver.address) for _n in range(2)]
        for _n in range(2):
            (await receiver.next()).answer(200)
        await with_timeout(asyncio.gather(*both))
        assert len(client.pool["r"]) == 2
        pending_call = call(client, receiver.address)
        (await receiver.next()).abort()
        assert (await with_timeout(pending_call)).outcome is Outcome.STALE and not client.pool
        second = call(client, receiver.address)
        (await receiver.next()).abort()
        assert (await with_timeout(second)).outcome is Outcome.RESET and receiver.accepted == 3


@run_async_test
async def test_a_retry_after_is_reported_before_the_rest_of_its_response(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        waits: asyncio.Queue[tuple[str, int]] = asyncio.Queue()
        client.retry_after_received = lambda *wait: waits.put_nowait(wait)
        pending_call = call(client, receiver.address)
        (await receiver.next()).write(head("429 Wait", "Retry-After: 2", "Content-Length: 9") + "half")
        assert await with_timeout(waits.get()) == ("r", 2_000_000)
        pending_call.cancel()


@run_async_test
async def test_a_200_received_in_parts_counts_at_once_and_its_connection_is_pooled(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        for rest in ("Content-", "Length: 2\r\n", "\r\no", "k"), ("Content-Length: 0\r\n\r\n",):
            pending_call = call(client, receiver.address)
            request = await receiver.next()
            request.write("HTTP/1.1 200 It\r\n")
            assert await with_timeout(pending_call) == DELIVERED
            assert not client.idle
            for part in rest:
                request.write(part)
                await next_iteration()
            while client.body_tasks:
                await next_iteration()
            assert receiver.accepted == 1 and list(client.idle.values()) == ["r"]


def test_reading_the_rest_of_a_200_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "BODY_TIMEOUT_S", 0.01)
    monkeypatch.setattr(call_module, "BODY_TIMEOUT_S", 0.01)

    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            for rest in ("", "no head at all\r\n\r\n"):
                pending_call = call(client, receiver.address)
                request = await receiver.next()
                request.write("HTTP/1.1 200 It\r\n" + rest)
                assert await with_timeout(pending_call) == DELIVERED
                await with_timeout(receiver.ends.get())
                assert not (client.idle or client.body_tasks or client.connections)

    run_async_test(test)(Path())


class EarlyReceiver:
    """A receiver on raw sockets that acts between the connect and the first byte of a call.

    Its calls return when the operating system has done them.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.client = client_with()

    async def call_after_actions(self, *actions: Callable[[socket.socket], object]) -> AttemptResult:
        def may_send() -> bool:
            other = self.listener.accept()[0]
            for action in actions:
                action(other)
            return True

        self.client.dials = lambda: {"r": self.listener.getsockname()}
        answer: AttemptResult = await with_timeout(
            self.client.call("r", sample_message(), 10, Permission(may_send))
        )
        self.listener.close()
        assert not self.client.idle and not self.client.connections
        return answer


def reset_connection(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def send_text(text: str) -> Callable[[socket.socket], object]:
    return lambda sock: sock.sendall(text.encode())


REFUSAL = "HTTP/1.1 {} It\r\nContent-Length: 0\r\nRetry-After: 2.5\r\n\r\n"


@pytest.mark.parametrize(
    ("text", "answer"),
    [
        (REFUSAL.format(429), AttemptResult(Outcome.FULL, retry_after_us=2_500_000)),
        (REFUSAL.format(503), AttemptResult(Outcome.FULL)),
        (REFUSAL.format(200), AttemptResult(Outcome.CONNECT_FAILED)),  # belongs to no call: none was sent
        ("HTTP/1.1 42", AttemptResult(Outcome.CONNECT_FAILED)),
        ("noise", AttemptResult(Outcome.CONNECT_FAILED)),
        ("", AttemptResult(Outcome.CONNECT_FAILED)),
    ],
)
def test_a_reset_before_the_first_byte_never_ran_and_a_preceding_retry_after_counts(
    text: str, answer: AttemptResult
) -> None:
    async def test(_: Path) -> None:
        receiver, waits = EarlyReceiver(), []
        receiver.client.retry_after_received = lambda endpoint, wait: waits.append((endpoint, wait))
        assert await receiver.call_after_actions(send_text(text), reset_connection) == answer
        assert waits == ([("r", answer.retry_after_us)] if answer.retry_after_us else [])

    run_async_test(test)(Path())


@pytest.mark.parametrize("text", ["HTTP/1.1 42", "HTTP/1.1 200 It\r\nContent-Le", "noise", ""])
def test_after_a_partial_response_and_a_half_close_the_request_may_have_run(text: str) -> None:
    """Even if the half-close precedes the request, since a completely written request may have been read."""

    async def test(_: Path) -> None:
        accepted: list[socket.socket] = []
        answer = await EarlyReceiver().call_after_actions(
            accepted.append, send_text(text), lambda sock: sock.shutdown(socket.SHUT_WR)
        )
        assert answer.outcome not in NEVER_RAN
        accepted[0].close()

    run_async_test(test)(Path())


@run_async_test
async def test_a_pooled_connection_with_unsolicited_bytes_takes_no_call(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        pending_call = call(client, receiver.address)
        request = await receiver.next()
        request.answer(200)
        assert (await with_timeout(pending_call)).outcome is Outcome.OK
        (kept,) = client.idle
        request.write("HTTP/1.1 5")
        while not kept.has_ended():
            await next_iteration()
        second = call(client, receiver.address)
        (await receiver.next()).answer(200)
        assert (await with_timeout(second)).outcome is Outcome.OK and receiver.accepted == 2


@run_async_test
async def test_of_a_response_with_very_many_fields_only_some_are_held(_: Path) -> None:
    """Guards against heads below the size limit whose parsed fields take a hundred times their size."""
    async with Peer() as peer:
        connection = await ClientConnection.open(peer.address)
        await connection.send("POST", "/hook", {"Content-Length": "0"})
        (await peer.next()).write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + "a:\r\n" * 3000 + "\r\n")
        head = await connection.response()
        assert head.status_code == 200 and len(head.headers) == http.FIELDS_LIMIT
        connection.close()
