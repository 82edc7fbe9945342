"""The request reader accepts what h11 accepts, in any segments, and another one can go on with a request."""

import random
from collections.abc import Iterator

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.http.chunked_body import FRAMING_LIMIT
from message_sender.http.common import BODY_LIMIT, HEADER_LIMIT
from message_sender.http.request_parsing import BadRequestError
from message_sender.http.request_reader import LINES_LIMIT, ReadResult, RequestReader

HEAD = b"POST /c HTTP/1.1\r\nHost: x\r\n"
SEGMENT_SIZES = (1, 3, 50, 100_000)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

line_ends = st.sampled_from([b"\r\n"] * 12 + [b"\n", b"\r", b" \r\n", b"\r\n\r\n", b""])
extensions = st.sampled_from([b"", b"", b"", b";a", b";a=b", b";" + b"x" * 40, b" ", b";\r", b"; a=\n", b"z"])
bodies = st.binary(max_size=20) | st.sampled_from([b"x" * 40, b"\r\n", b"0\r\n\r\n"])
chunk_runs = st.tuples(bodies, extensions, line_ends, line_ends, st.sampled_from([1, 1, 1, 3, 9]))
trailers = st.sampled_from(
    [b"\r\n"] * 6 + [b"\n", b"a: b\r\n\r\n", b"a:b\n\n", b": b\r\n\r\n", b" a\r\n\r\n", b"x"]
)


def encode_chunks(runs: list[tuple[bytes, bytes, bytes, bytes, int]]) -> bytes:
    """Encodes chunks, some of them wrongly."""
    encoded = b""
    for body, extension, line_end, chunk_end, count in runs:
        encoded += (b"%x%b%b%b%b" % (len(body), extension, line_end, body, chunk_end)) * count
    return encoded


def segments(data: bytes, seed: int, sizes: tuple[int, ...] = SEGMENT_SIZES) -> Iterator[bytes]:
    """Cuts data at random; the same seed cuts the same data alike."""
    chance, position = random.Random(seed), 0
    size = chance.choice(sizes)
    while position < len(data):
        length = chance.randint(1, size)
        yield data[position : position + length]
        position += length


def read(reader: RequestReader, parts: Iterator[bytes]) -> bytes | str:
    """Reads one request; returns its body with what follows it, `bad` or `unfinished`."""
    for part in parts:
        reader.receive(memoryview(part))
        try:
            while (result := reader.parse()) is ReadResult.UNFINISHED:
                pass
        except (BadRequestError, h11.RemoteProtocolError):
            return "bad"
        if result is ReadResult.COMPLETE:
            return bytes(reader.body) + b"|" + reader.received + b"".join(parts)
    return "unfinished"


def read_with_h11(data: bytes) -> bytes | str:
    codec, body = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT), b""
    codec.receive_data(data)
    try:
        while not isinstance(event := codec.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return "unfinished"
            body += event.data if isinstance(event, h11.Data) else b""
    except h11.RemoteProtocolError:
        return "bad"
    return body + b"|" + codec.trailing_data[0]


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.lists(chunk_runs, max_size=5), trailers, st.integers(0, 1_000_000))
def test_chunked_bodies_are_read_like_h11_reads_them_whatever_the_segments(
    runs: list[tuple[bytes, bytes, bytes, bytes, int]], trailer: bytes, seed: int
) -> None:
    """Guards against framing that another reader of the same bytes takes for something else."""
    data = CHUNKED + encode_chunks(runs) + b"0\r\n" + trailer + b"GET /next"
    expected = read_with_h11(data)
    for each in range(3):
        result = read(RequestReader(), segments(data, seed + each))
        if expected == "bad" and result == "unfinished":
            continue  # a line that h11 rejects may still be incomplete in the last segment
        assert result == expected


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.sampled_from([b"\r\n", b"\n"]), st.integers(0, 1_000_000))
def test_bodies_with_a_length_are_read_like_h11_reads_them(body: bytes, end: bytes, seed: int) -> None:
    data = HEAD + b"Content-Length: %d" % len(body) + end * 2 + body + b"GET /next"
    result = read(RequestReader(), segments(data, seed))
    assert result == read_with_h11(data) == body + b"|GET /next"


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(chunk_runs, max_size=5), st.integers(0, 1_000_000), st.booleans())
def test_an_unfinished_request_is_continued_by_another_reader_at_any_byte(
    runs: list[tuple[bytes, bytes, bytes, bytes, int]], seed: int, has_length: bool
) -> None:
    """Guards against a hand-over in the middle of a request that changes or loses it."""
    valid = [(body or b"x", b"", b"\r\n", b"\r\n", count) for body, _, _, _, count in runs]
    content = b"".join(body * count for body, _, _, _, count in valid)
    data = CHUNKED + encode_chunks(valid) + b"0\r\na: b\r\n\r\n"
    if has_length:
        data = HEAD + b"Content-Length: %d\r\n\r\n" % len(content) + content
    cut = random.Random(seed).randrange(len(data))
    first, second = RequestReader(), RequestReader()
    assert read(first, segments(data[:cut], seed)) == "unfinished"
    second.receive(memoryview(first.unfinished_request()))
    while second.parse() is ReadResult.UNFINISHED:
        pass
    assert read(second, segments(data[cut:], seed)) == content + b"|"


def test_an_unfinished_body_in_chunks_of_one_byte_is_passed_on_in_little_more_than_its_content() -> None:
    """Guards against requests that no packet of a hand-over can hold."""
    reader = RequestReader()
    data = CHUNKED + b"1;a=b\r\nx\r\n" * (BODY_LIMIT - 1)
    assert read(reader, segments(data, 0, (65_536,))) == "unfinished"
    assert len(reader.unfinished_request()) < len(CHUNKED) + BODY_LIMIT + 100
    assert reader.held_bytes() < len(CHUNKED) + BODY_LIMIT + 200


LIMITS = {
    "content": CHUNKED + b"8000\r\n" + b"x" * 0x8000 + b"\r\n8001\r\n",
    "content in runs": CHUNKED + b"1\r\nx\r\n" * (BODY_LIMIT + 1),
    "a size line": CHUNKED + b"1;" + b"x" * HEADER_LIMIT,
    "framing": CHUNKED + (b"1;" + b"x" * 8000 + b"\r\nx\r\n") * (FRAMING_LIMIT // 8000 + 1),
    "a head": HEAD + b"a: " + b"x" * HEADER_LIMIT,
    "a complete head": HEAD + b"a: " + b"x" * HEADER_LIMIT + b"\r\n\r\n",
    "lines of a head": HEAD + b"a:\r\n" * LINES_LIMIT,
    "lines of trailers": CHUNKED + b"0\r\n" + b"a:\r\n" * (LINES_LIMIT + 1),
    "trailers": CHUNKED + b"0\r\na: " + b"x" * HEADER_LIMIT,
    "a length": HEAD + b"Content-Length: %d\r\n\r\n" % (BODY_LIMIT + 1),
}


@pytest.mark.parametrize("name", LIMITS)
@pytest.mark.parametrize("size", [2_000, 65_536, 10_000_000])
def test_a_request_is_rejected_at_its_limit_before_it_is_complete(name: str, size: int) -> None:
    assert read(RequestReader(), segments(LIMITS[name], 0, (size,))) == "bad"


def test_a_full_body_in_chunks_of_one_byte_is_accepted() -> None:
    data = CHUNKED + b"1\r\nx\r\n" * BODY_LIMIT + b"0\r\n\r\n"
    assert read(RequestReader(), segments(data, 0, (1_000,))) == b"x" * BODY_LIMIT + b"|"


def test_a_turn_decodes_a_limited_number_of_chunks() -> None:
    """Guards against one connection's tiny chunks that delay all others."""
    reader = RequestReader()
    reader.receive(memoryview(CHUNKED + b"1;a\r\nx\r\n1;bc\r\nx\r\n" * 1000))
    assert reader.parse() is ReadResult.UNFINISHED
    assert 0 < len(reader.body) <= 200
