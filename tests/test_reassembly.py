"""Streams put together again, held against a plain model."""

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
    """The stream's bytes; None for each that was lost."""
    stream_bytes: list[int | None] = []
    for part in parts:
        stream_bytes += [None] * part.size if isinstance(part, Gap) else list(part.data)
    return stream_bytes


def reassemble_bytewise(segments: list[tuple[int, bytes]], end: int) -> list[int | None]:
    """Slow and plain: every byte by its place, the first one that came stands."""
    places: dict[int, int] = {}
    for start, data in segments:
        for offset, byte in enumerate(data):
            places.setdefault(start + offset, byte)
    return [places.get(place) for place in range(end)]


@st.composite
def captured(draw: st.DrawFn) -> tuple[int, list[tuple[int, bytes]]]:
    """The first sequence number, near its wrap or not, and segments: cut, late, twice (also with other
    bytes), overlapping or lost."""
    first = draw(
        st.sampled_from([0, 1000, SEQUENCE_MODULUS - 1, SEQUENCE_MODULUS - 150, SEQUENCE_MODULUS // 2 - 10])
    )
    source = bytes(draw(st.lists(st.integers(0, 255), min_size=LENGTH, max_size=LENGTH)))
    cuts = sorted({0, LENGTH, *draw(st.lists(st.integers(1, LENGTH - 1), max_size=12))})
    segments = [(a, source[a:b]) for a, b in itertools.pairwise(cuts)]
    for _ in range(draw(st.integers(0, 4))):
        start = draw(st.integers(0, LENGTH - 2))
        size = draw(st.integers(1, LENGTH - start))
        other = draw(st.booleans())
        again = (
            bytes(255 - byte for byte in source[start : start + size])
            if other
            else source[start : start + size]
        )
        segments.append((start, again))
    kept = draw(st.lists(st.sampled_from(segments), min_size=1, max_size=len(segments), unique_by=id))
    return first, kept


@settings(max_examples=400, deadline=None, derandomize=True)
@given(captured())
def test_a_stream_is_what_the_plain_model_says(case: tuple[int, list[tuple[int, bytes]]]) -> None:
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


def test_a_hole_is_lost_only_once_its_acknowledgement_has_grown_old() -> None:
    stream, parts = stream_with_hole()
    stream.acknowledge(1, 16, parts)
    stream.advance_clock(ACKNOWLEDGED_HOLE_DELAY_NS, parts)
    assert parts == []
    stream.advance_clock(ACKNOWLEDGED_HOLE_DELAY_NS + 1, parts)
    assert parts == [Gap(ACKNOWLEDGED_HOLE_DELAY_NS + 1, 10), Piece(0, b"behind")]


def test_what_comes_late_but_in_time_fills_its_hole() -> None:
    stream, parts = stream_with_hole()
    stream.acknowledge(1, 16, parts)
    stream.add_data(2, 0, b"0123456789", parts)
    assert parts == [Piece(2, b"0123456789"), Piece(0, b"behind")]


def test_only_so_much_waits_behind_a_hole() -> None:
    stream, parts = stream_with_hole()
    for number in range(BUFFERED_BYTES_LIMIT // 1000 + 2):
        stream.add_data(5, 16 + 1000 * number, bytes(1000), parts)
    assert parts[0] == Gap(5, 10) and stream.buffered_bytes <= BUFFERED_BYTES_LIMIT


def test_what_is_acknowledged_and_never_came_is_a_gap_at_the_end() -> None:
    stream, parts = Stream(), []  # type: Stream, list[Part]
    stream.begin(0)
    stream.acknowledge(1, 7, parts)
    stream.close(2, parts)
    assert parts == [Gap(2, 7)]
