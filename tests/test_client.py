"""Each outcome of a call, as the protocol's table has it, and the pool of connections."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, nullcontext
from pathlib import Path

import h11
import pytest
from faults import turn
from peers import Peer, handed_in, play, soon

from message_sender.core.ports import AttemptResult
from message_sender.http import call as call_module
from message_sender.http import client as module
from message_sender.http import client_connection as http
from message_sender.http.client import HttpTransport
from message_sender.http.client_connection import ClientConnection
from message_sender.http.codec import Address
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
    client: HttpTransport, address: Address, timeout: float = 10, body: bytes = b"x", may_go: bool = True
) -> asyncio.Task[AttemptResult]:
    """A call to the endpoint "r", which stands at `address`."""
    client.dials = lambda: {"r": address}
    work = client.call("r", handed_in(body=body), timeout, lambda: may_go)
    return asyncio.create_task(work)


def client_with(
    conn_idle: float = 10, connect_timeout: float = 10, connection_limit: int = 4
) -> HttpTransport:
    return HttpTransport(conn_idle, connect_timeout, connection_limit, dict)


@asynccontextmanager
async def client_and_receiver(connect_timeout: float = 10) -> AsyncIterator[tuple[HttpTransport, Peer]]:
    client = client_with(connect_timeout=connect_timeout)
    async with Peer() as receiver:
        yield client, receiver
        client.close()


@pytest.mark.parametrize(("status", "headers", "answer"), ANSWERS)
def test_what_an_answer_means(status: str, headers: tuple[str, ...], answer: AttemptResult) -> None:
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
    assert (await soon(call(client_with(), address))).outcome is Outcome.CONNECT_FAILED


def test_connection_that_never_comes_up_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def never(address: Address) -> ClientConnection:
        await asyncio.Event().wait()
        raise AssertionError

    async def test(_: Path) -> None:
        for client, timeout in ((client_with(connect_timeout=0.01), 10), (client_with(), 0.01)):
            answer = await soon(call(client, ("127.0.0.1", 1), timeout=timeout))
            assert answer.outcome is Outcome.CONNECT_FAILED

    monkeypatch.setattr(module.ClientConnection, "open", never)
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
            going = call(client_with(), listener.getsockname(), body=b"x" * 65536)
            other, _peer = await soon(loop.sock_accept(listener))
            assert await soon(loop.sock_recv(other, 10))
            other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            other.close()
            assert (await soon(going)).outcome is Outcome.CONNECT_FAILED

    opened = ClientConnection.open

    async def small(address: Address) -> ClientConnection:
        connection = await opened(address)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return connection

    monkeypatch.setattr(module.ClientConnection, "open", small)
    play(test)(Path())


@play
async def test_break_after_the_last_byte_is_a_reset_and_nothing_goes_twice(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address)
        (await receiver.next()).break_off()
        assert (await soon(going)).outcome is Outcome.RESET
        assert receiver.requests.empty() and receiver.accepted == 1


def head(status: str, *lines: str) -> str:
    return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""])


DELIVERED, MAY_HAVE_RUN = AttemptResult(Outcome.OK, is_final=True), AttemptResult(Outcome.MALFORMED)
SPOILT = [
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


@pytest.mark.parametrize(("text", "answer"), SPOILT)
def test_a_spoilt_answer_has_its_outcome_at_once_and_its_connection_ends(
    text: str, answer: AttemptResult
) -> None:
    """The receiver leaves the connection open: nothing but what has come can decide. Guards against waiting
    for the deadline, and against taking a message that has run for one that has not."""

    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            going = call(client, receiver.address)
            (await receiver.next()).write(text)
            assert await soon(going) == answer
            if "x" * 20_000 not in text:
                await soon(receiver.ends.get())
                assert not client.pool and not client.connections

    play(test)(Path())


def test_what_does_not_end_is_given_up_long_before_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            for text, answer in (
                ("HTTP/1.1 503 Fu", MAY_HAVE_RUN),
                (head("429 Wait", "Retry-After: 2", "Content-Length: 9") + "half", Outcome.TIMEOUT),
            ):
                going = call(client, receiver.address, timeout=3600)
                (await receiver.next()).write(text)
                told = await soon(going)
                assert told == answer or (told.outcome is answer and told.retry_after_us == 2_000_000)
                await soon(receiver.ends.get())

    monkeypatch.setattr(http, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(call_module, "BODY_PATIENCE", 0.05)
    play(test)(Path())


@pytest.mark.parametrize("behind", [head("200 OK", "Content-Length: 0"), "noise"])
def test_what_comes_behind_an_answer_is_not_the_next_calls_answer(behind: str) -> None:
    """Guards against a second copy that ends the next message while its call is still out: seen as second
    copies, broken order and lost messages at once."""

    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            going = call(client, receiver.address)
            (await receiver.next()).write(head("200 OK", "Content-Length: 2") + "ok" + behind)
            assert await soon(going) == DELIVERED
            again = call(client, receiver.address)
            (await receiver.next()).answer(503)
            assert await soon(again) == AttemptResult(Outcome.FULL) and receiver.accepted == 2

    play(test)(Path())


@play
async def test_interim_answers_and_unreadable_load_reports_do_no_harm(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        for _n in range(2):
            going = call(client, receiver.address)
            request = await receiver.next()
            request.write(head("102 Wait") + head("103 Soon", "Link: x"))
            request.answer(200, "X-Backend-Load: x0=,,=%\xff", body="fine")
            assert await soon(going) == DELIVERED
        assert receiver.accepted == 1


@play
async def test_the_outcome_does_not_wait_for_the_body_and_the_connection_is_kept_after_it(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address)
        request = await receiver.next()
        request.write(head("200 OK", "Content-Length: 4") + "ha")
        assert await soon(going) == DELIVERED and not client.pool
        request.write("lf")
        await soon(asyncio.gather(*client.body_tasks))
        assert list(client.pool) == ["r"]


@play
async def test_a_connection_cut_short_is_a_reset(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address)
        (await receiver.next()).writer.close()
        assert (await soon(going)).outcome is Outcome.RESET


@pytest.mark.parametrize("told", ["1e308", "1_0", "inf", "nan", "-1", "٣", "9" * 400])
def test_a_wait_that_is_no_plain_number_is_none(told: str) -> None:
    response = h11.Response(status_code=429, headers=[("Retry-After", told.encode())])
    assert answer_from(response) == AttemptResult(Outcome.FULL)


def test_a_wait_longer_than_any_message_lives_is_cut() -> None:
    response = h11.Response(status_code=429, headers=[("Retry-After", "999999999999")])
    assert answer_from(response) == AttemptResult(Outcome.FULL, retry_after_us=3_600_000_000)


@play
async def test_an_address_used_again_gets_none_of_the_connections_of_the_one_before(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address)
        (await receiver.next()).answer(200)
        await soon(going)
        assert list(client.pool) == ["r"]
        client.dials = lambda: {"new": receiver.address}
        client.endpoints_changed()
        await soon(receiver.ends.get())
        going = asyncio.create_task(client.call("new", handed_in(), 10, lambda: True))
        request = await receiver.next()
        client.dials = dict  # it goes while its call is out: what the call used is not kept either
        request.answer(200)
        assert await soon(going) == DELIVERED and receiver.accepted == 2
        await soon(receiver.ends.get())
        assert not client.pool and not client.connections


@play
async def test_a_full_pool_closes_the_connection_idle_for_longest(_: Path) -> None:
    async with Peer() as receiver:
        client = client_with(connection_limit=2)
        client.dials = lambda: dict.fromkeys("abc", receiver.address)
        for endpoint in "abc":
            going = asyncio.create_task(client.call(endpoint, handed_in(), 10, lambda: True))
            (await receiver.next()).answer(200)
            await soon(going)
        await soon(receiver.ends.get())
        assert list(client.pool) == ["b", "c"] and len(client.connections) == 2
        client.close()


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


def test_a_200_read_after_the_deadline_is_no_delivery(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a late loop: seen as a message lost, its answer read 3 ms after its time was up."""

    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            going = call(client, receiver.address, timeout=0)
            (await receiver.next()).answer(200)
            assert (await soon(going)).outcome is Outcome.TIMEOUT

    monkeypatch.setattr(asyncio, "timeout_at", lambda _: nullcontext())  # its timer comes too late
    play(test)(Path())


@play
async def test_what_is_kept_beside_a_call_given_up_is_not_used_again(_: Path) -> None:
    """Guards a repeat against another connection that has fallen silent like the first."""
    async with client_and_receiver() as (client, receiver):
        both = [call(client, receiver.address) for _n in range(2)]
        first, second = [await receiver.next() for _n in range(2)]
        first.answer(200)
        while not client.pool:
            await turn()
        for each in both:
            each.cancel()
        for _n in range(2):
            await soon(receiver.ends.get())
        assert not client.pool and not client.connections and second.id == "m1"


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
        assert answer == AttemptResult(Outcome.NOT_SENT) and receiver.requests.empty()
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
            kept = client.pool.get("r", [])
            assert len(kept) == (spoil != "close")
            if spoil == "ended":
                request.writer.close()
                await soon(receiver.ends.get())
            if spoil == "old":
                kept[0].idle_since -= 8.5  # the receiver may close it after 10
                client.close_expired()
                assert not client.pool


@play
async def test_a_kept_connection_that_breaks_is_told_from_a_new_one_and_takes_the_others_with_it(
    _: Path,
) -> None:
    """Guards a healthy destination from counting as failed, and the repeat from the next stale one."""
    async with client_and_receiver() as (client, receiver):
        both = [call(client, receiver.address) for _n in range(2)]
        for _n in range(2):
            (await receiver.next()).answer(200)
        await soon(asyncio.gather(*both))
        assert len(client.pool["r"]) == 2
        going = call(client, receiver.address)
        (await receiver.next()).break_off()
        assert (await soon(going)).outcome is Outcome.STALE and not client.pool
        again = call(client, receiver.address)
        (await receiver.next()).break_off()
        assert (await soon(again)).outcome is Outcome.RESET and receiver.accepted == 3


@play
async def test_a_told_wait_is_heard_before_the_rest_of_its_answer(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        heard: asyncio.Queue[tuple[str, int]] = asyncio.Queue()
        client.retry_after_received = lambda *told: heard.put_nowait(told)
        going = call(client, receiver.address)
        (await receiver.next()).write(head("429 Wait", "Retry-After: 2", "Content-Length: 9") + "half")
        assert await soon(heard.get()) == ("r", 2_000_000)
        going.cancel()


@play
async def test_a_delivery_in_parts_counts_at_once_and_its_connection_is_kept(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        for rest in ("Content-", "Length: 2\r\n", "\r\no", "k"), ("Content-Length: 0\r\n\r\n",):
            going = call(client, receiver.address)
            request = await receiver.next()
            request.write("HTTP/1.1 200 It\r\n")
            assert await soon(going) == DELIVERED
            assert not client.idle
            for part in rest:
                request.write(part)
                await turn()
            while client.body_tasks:
                await turn()
            assert receiver.accepted == 1 and list(client.idle.values()) == ["r"]


def test_the_rest_of_a_delivery_is_waited_for_only_so_long(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "BODY_PATIENCE", 0.01)
    monkeypatch.setattr(call_module, "BODY_PATIENCE", 0.01)

    async def test(_: Path) -> None:
        async with client_and_receiver() as (client, receiver):
            for rest in ("", "no head at all\r\n\r\n"):
                going = call(client, receiver.address)
                request = await receiver.next()
                request.write("HTTP/1.1 200 It\r\n" + rest)
                assert await soon(going) == DELIVERED
                await soon(receiver.ends.get())
                assert not (client.idle or client.body_tasks or client.connections)

    play(test)(Path())


class Crossing:
    """A receiver of raw sockets, whose acts are in the system's hands when its calls return; and a call that
    meets them between the moment its connection is up and its first byte."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.client = client_with()

    async def meets(self, *acts: Callable[[socket.socket], object]) -> AttemptResult:
        def may_go() -> bool:
            other = self.listener.accept()[0]
            for act in acts:
                act(other)
            return True

        self.client.dials = lambda: {"r": self.listener.getsockname()}
        answer: AttemptResult = await soon(self.client.call("r", handed_in(), 10, may_go))
        self.listener.close()
        assert not self.client.idle and not self.client.connections
        return answer


def resets(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def says(text: str) -> Callable[[socket.socket], object]:
    return lambda sock: sock.sendall(text.encode())


REFUSAL = "HTTP/1.1 {} It\r\nContent-Length: 0\r\nRetry-After: 2.5\r\n\r\n"


@pytest.mark.parametrize(
    ("text", "answer"),
    [
        (REFUSAL.format(429), AttemptResult(Outcome.FULL, retry_after_us=2_500_000)),
        (REFUSAL.format(503), AttemptResult(Outcome.FULL)),
        (REFUSAL.format(200), AttemptResult(Outcome.CONNECT_FAILED)),  # of no call of ours: none has gone
        ("HTTP/1.1 42", AttemptResult(Outcome.CONNECT_FAILED)),
        ("noise", AttemptResult(Outcome.CONNECT_FAILED)),
        ("", AttemptResult(Outcome.CONNECT_FAILED)),
    ],
)
def test_a_reset_before_the_first_byte_never_ran_and_a_wait_told_ahead_of_it_binds(
    text: str, answer: AttemptResult
) -> None:
    async def test(_: Path) -> None:
        crossing, waits = Crossing(), []
        crossing.client.retry_after_received = lambda endpoint, wait: waits.append((endpoint, wait))
        assert await crossing.meets(says(text), resets) == answer
        assert waits == ([("r", answer.retry_after_us)] if answer.retry_after_us else [])

    play(test)(Path())


@pytest.mark.parametrize("text", ["HTTP/1.1 42", "HTTP/1.1 200 It\r\nContent-Le", "noise", ""])
def test_half_a_line_and_a_close_behind_the_request_may_have_run(text: str) -> None:
    """Also where it is closed ahead of the request: what was written whole may have been read."""

    async def test(_: Path) -> None:
        half: list[socket.socket] = []
        answer = await Crossing().meets(half.append, says(text), lambda sock: sock.shutdown(socket.SHUT_WR))
        assert answer.outcome not in NEVER_RAN
        half[0].close()

    play(test)(Path())


@play
async def test_a_kept_connection_on_which_half_a_line_lies_takes_no_call(_: Path) -> None:
    async with client_and_receiver() as (client, receiver):
        going = call(client, receiver.address)
        request = await receiver.next()
        request.answer(200)
        assert (await soon(going)).outcome is Outcome.OK
        (kept,) = client.idle
        request.write("HTTP/1.1 5")
        while not kept.has_ended():
            await turn()
        again = call(client, receiver.address)
        (await receiver.next()).answer(200)
        assert (await soon(again)).outcome is Outcome.OK and receiver.accepted == 2
