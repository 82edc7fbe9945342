"""The fast path parses common messages exactly as the codec does, and leaves all others to the codec."""

import random

import h11
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from peers import message
from test_backlog import UNUSUAL

from message_sender.http import fast_path
from message_sender.http.common import BODY_LIMIT

PLAIN = message("m1", b"body of it")
ANSWER = b"HTTP/1.1 429 Too many\r\nContent-Length: 3\r\nRetry-After: 0.25\r\nX-Backend-Load: x0=1\r\n\r\nabc"
#: Texts that mutations insert: all that frames a message, or resembles such a text.
PIECES = [
    *(b"", b" ", b"\t", b"\r", b"\n", b"\r\n", b"\r\n\r\n", b":", b"\x00", b"\x0b", b"\x7f", b"\x80"),
    *(b"\xff", b"0", b"-1", b"+3", b"1e1", b"GET ", b"HTTP/1.0", b"HTTP/1.1", b" 100 ", b" 204 "),
    *(b"\r\n folded", b"\r\nContent-Length: 3", b"\r\nContent-Length: 4", b"Transfer-Encoding: chunked\r\n"),
    *(b"\r\nTransfer-Encoding : chunked", b"Connection: close\r\n", b"Expect: 100-continue\r\n", b"HOST"),
    *(b"Upgrade: h2c\r\n", b"Host: y\r\n", b"content-length", b"Content_Length", b" 304 ", b"x" * 9000),
]
MUTATIONS = st.lists(
    st.tuples(st.floats(0, 1), st.integers(0, 6), st.sampled_from(PIECES) | st.binary(max_size=3)), max_size=3
)


def mutated(data: bytes, changes: list[tuple[float, int, bytes]]) -> bytes:
    """Applies changes to the data, each with a relative position, a number of removed bytes and a text."""
    for position, removed, inserted in changes:
        offset = int(position * len(data))
        data = data[:offset] + inserted + data[offset + removed :]
    return data


def parse_with_codec(codec: h11.Connection, data: bytes) -> tuple[h11.Request | h11.Response, bytes]:
    """Parses `data` with the codec; it must be exactly one complete message."""
    codec.receive_data(data)
    head, body = codec.next_event(), b""
    assert isinstance(head, h11.Request | h11.Response)
    while not isinstance(event := codec.next_event(), h11.EndOfMessage):
        assert isinstance(event, h11.Data)
        body += bytes(event.data)
    assert codec.their_state is h11.DONE and codec.trailing_data == (b"", False)
    return head, body


@given(MUTATIONS)
@example([])
@settings(max_examples=3000, deadline=None, derandomize=True)
def test_request_on_the_fast_path_is_parsed_as_by_the_codec(changes: list[tuple[float, int, bytes]]) -> None:
    data = mutated(PLAIN, changes)
    if parsed := fast_path.request(data, BODY_LIMIT):
        head, body = parse_with_codec(h11.Connection(h11.SERVER), data)
        assert (head.method, head.target) == (b"POST", parsed.target)
        assert list(head.headers) == parsed.headers and body == parsed.body
    assert changes or parsed


def client() -> h11.Connection:
    """A codec of a client that has sent a request."""
    codec = h11.Connection(h11.CLIENT)
    codec.send(h11.Request(method="POST", target="/", headers=[("Host", "x"), ("Content-Length", "0")]))
    codec.send(h11.EndOfMessage())
    return codec


@given(MUTATIONS)
@example([])
@settings(max_examples=3000, deadline=None, derandomize=True)
def test_response_on_the_fast_path_is_parsed_as_by_the_codec(changes: list[tuple[float, int, bytes]]) -> None:
    data = mutated(ANSWER, changes)
    if parsed := fast_path.answer(data, BODY_LIMIT):
        head, _ = parse_with_codec(client(), data)
        assert (head.status_code, list(head.headers)) == (parsed.status_code, parsed.headers)
    assert changes or parsed


def test_mutations_cover_both_the_fast_path_and_the_codec() -> None:
    """Otherwise the two tests above would show nothing."""
    rng, counts = random.Random(1), [0, 0]
    for _ in range(2000):
        change = (rng.random(), rng.randrange(3), rng.choice(PIECES))
        counts[fast_path.request(mutated(PLAIN, [change]), BODY_LIMIT) is None] += 1
    assert min(counts) > 100


@pytest.mark.parametrize("name", sorted(set(UNUSUAL) - {"no id"}))
def test_unusual_request_is_left_to_the_codec(name: str) -> None:
    assert fast_path.request(UNUSUAL[name], BODY_LIMIT) is None


@pytest.mark.parametrize("size", [BODY_LIMIT, BODY_LIMIT + 1])
def test_body_above_the_limit_is_left_to_the_codec(size: int) -> None:
    assert (fast_path.request(message("m", b"x" * size), BODY_LIMIT) is None) == (size > BODY_LIMIT)


VALUES = st.text(st.characters(max_codepoint=255), max_size=12).map(lambda each: each.encode("latin-1"))


@given(st.lists(VALUES, min_size=1, max_size=3), st.binary(max_size=20))
@settings(max_examples=500, deadline=None, derandomize=True)
def test_written_request_is_parsed_back_unchanged_or_not_written(values: list[bytes], body: bytes) -> None:
    """No header value may inject a header line or a request."""
    fields = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
    fields += [(f"X-{n}".encode(), value) for n, value in enumerate(values)]
    text = fast_path.request_text("/hook", fields, body)
    if text is None:
        assert any(value.strip(b" \t") != value or not fast_path.SAFE.fullmatch(value) for value in values)
        return
    head, parsed_body = parse_with_codec(h11.Connection(h11.SERVER), text)
    assert list(head.headers) == [(name.lower(), value) for name, value in fields] and parsed_body == body
