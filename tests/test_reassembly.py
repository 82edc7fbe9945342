"""Reassembly of TCP streams, compared with a simple model."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.pcap.reassembly import (
    ACKNOWLEDGED_HOLE_DELAY_NS,
    BUFFERED_BYTES_LIMIT,
    SEQUENCE_MODULUS,
    Gap,
    Part,
    Piece,
    Stream,
)

LENGTH = 400


def flatten(parts: list[Part]) -> list[int | None]:
    """Returns the bytes of a stream, with None for each lost byte."""
    stream_bytes: list[int | None] = []
    for part in parts:
        stream_bytes += [None] * part.size if isinstance(part, Gap) else list(part.data)
    return stream_bytes


def reassemble_bytewise(segments: list[tuple[int, bytes]], end: int) -> list[int | None]:
    """Returns the bytes of a stream by a simple model: the first captured byte of each position is used."""
    bytes_by_position: dict[int, int] = {}
    for start, data in segments:
        for offset, byte in enumerate(data):
            bytes_by_position.setdefault(start + offset, byte)
    return [bytes_by_position.get(position) for position in range(end)]


@st.composite
def streams(draw: st.DrawFn) -> tuple[int, list[tuple[int, bytes]]]:
    """Draws the first sequence number, which may be near the wrap-around, and the segments of a stream.

    Segments may be late, lost, overlapping or repeated, also with different bytes.
    """
    first = draw(
        st.sampled_from([0, 1000, SEQUENCE_MODULUS - 1, SEQUENCE_MODULUS - 150, SEQUENCE_MODULUS // 2 - 10])
    )
    source = bytes(draw(st.lists(st.integers(0, 255), min_size=LENGTH, max_size=LENGTH)))
    cuts = sorted({0, LENGTH, *draw(st.lists(st.integers(1, LENGTH - 1), max_size=12))})
    segments = [(a, source[a:b]) for a, b in itertools.pairwise(cuts)]
    for _ in range(draw(st.integers(0, 4))):
        start = draw(st.integers(0, LENGTH - 2))
        size = draw(st.integers(1, LENGTH - start))
        has_other_bytes = draw(st.booleans())
        repeat = (
            bytes(255 - byte for byte in source[start : start + size])
            if has_other_bytes
            else source[start : start + size]
        )
        segments.append((start, repeat))
    captured = draw(st.lists(st.sampled_from(segments), min_size=1, max_size=len(segments), unique_by=id))
    return first, captured


@settings(max_examples=400, deadline=None, derandomize=True)
@given(streams())
def test_reassembly_agrees_with_the_simple_model(case: tuple[int, list[tuple[int, bytes]]]) -> None:
    first, segments = case
    stream, parts = Stream(), []  # type: Stream, list[Part]
    stream.begin(first)
    for start, data in segments:
        stream.add_data(0, (first + start) % SEQUENCE_MODULUS, data, parts)
    stream.finish((first + LENGTH) % SEQUENCE_MODULUS)
    stream.close(0, parts)
    assert flatten(parts) == reassemble_bytewise(segments, LENGTH)
    assert stream.is_complete() and not stream.buffered_bytes and not stream.buffered


def stream_with_hole() -> tuple[Stream, list[Part]]:
    stream, parts = Stream(), []  # type: Stream, list[Part]
    stream.begin(0)
    stream.add_data(0, 10, b"behind", parts)
    return stream, parts


def test_an_acknowledged_hole_is_given_up_after_a_delay() -> None:
    stream, parts = stream_with_hole()
    stream.acknowledge(1, 16, parts)
    stream.advance_clock(ACKNOWLEDGED_HOLE_DELAY_NS, parts)
    assert parts == []
    stream.advance_clock(ACKNOWLEDGED_HOLE_DELAY_NS + 1, parts)
    assert parts == [Gap(ACKNOWLEDGED_HOLE_DELAY_NS + 1, 10), Piece(0, b"behind")]


def test_a_late_segment_fills_its_hole_before_the_delay_ends() -> None:
    stream, parts = stream_with_hole()
    stream.acknowledge(1, 16, parts)
    stream.add_data(2, 0, b"0123456789", parts)
    assert parts == [Piece(2, b"0123456789"), Piece(0, b"behind")]


def test_the_bytes_buffered_after_a_hole_are_limited() -> None:
    stream, parts = stream_with_hole()
    for number in range(BUFFERED_BYTES_LIMIT // 1000 + 2):
        stream.add_data(5, 16 + 1000 * number, bytes(1000), parts)
    assert parts[0] == Gap(5, 10) and stream.buffered_bytes <= BUFFERED_BYTES_LIMIT


def test_acknowledged_bytes_that_were_not_captured_are_a_gap_at_the_end() -> None:
    stream, parts = Stream(), []  # type: Stream, list[Part]
    stream.begin(0)
    stream.acknowledge(1, 7, parts)
    stream.close(2, parts)
    assert parts == [Gap(2, 7)]
