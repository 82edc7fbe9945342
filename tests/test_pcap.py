"""Captures: files, layers, and the messages in them."""

import io
import logging
import struct
from typing import Any

import pytest
from captures import CLIENT, MS, SERVER, T0, V6, Made, answer, read, request, summarize, written
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.pcap import files
from message_sender.pcap.capture import Capture, as_json
from message_sender.pcap.files import MalformedCaptureError, Packet, PcapWriter
from message_sender.pcap.flows import FlowTable
from message_sender.pcap.layers import SegmentDecoder
from message_sender.pcap.writer import ConnectionWriter

logging.getLogger("scapy.runtime").setLevel(logging.ERROR)


def exchange(ends: Any = (CLIENT, SERVER)) -> Made:  # noqa: ANN401
    made = Made(ends)
    made.says(0, 10, request("/a", b"x" * 4000)).says(1, 30, answer(202))
    return made.says(0, 40, request("/b")).says(1, 55.5, answer(429, b"later")).ends()


@pytest.mark.parametrize("ends", [(CLIENT, SERVER), V6])
def test_what_was_written_is_read_back_to_the_nanosecond(ends: Any) -> None:  # noqa: ANN401
    captured = exchange(ends).messages()
    assert summarize(captured) == [
        ("/a", b"x" * 4000, True),
        (202, b"", True),
        ("/b", b"", True),
        (429, b"later", True),
    ]
    assert [item.message.first_at_ns - T0 for item in captured] == [10 * MS, 30 * MS, 40 * MS, 55_500_000]
    assert [item.message.request_number for item in captured if item.message.status] == [0, 1]
    shown = as_json(captured[0])
    assert (shown["at"], shown["client"]) == (
        "1790000000.133456789",
        f"{'[fd00::7]' if ends == V6 else '10.0.0.7'}:40000",
    )


# Files.


def pcapng(
    packets: list[Packet], order: str, resolution: int | None, offset: int = 0, simple: bool = False
) -> bytes:
    """The packets in a section with one interface."""

    def block(kind: int, body: bytes) -> bytes:
        size = 12 + len(body) + -len(body) % 4
        return (
            struct.pack(order + "II", kind, size)
            + body
            + bytes(-len(body) % 4)
            + struct.pack(order + "I", size)
        )

    options = b"" if resolution is None else struct.pack(order + "HHB3x", 9, 1, resolution)
    options += struct.pack(order + "HHq", 14, 8, offset) + bytes(4)
    parts = 10**6 if resolution is None else 2 ** (resolution & 127) if resolution & 128 else 10**resolution
    out = block(0x0A0D0D0A, struct.pack(order + "IHHq", 0x1A2B3C4D, 1, 0, -1))
    out += block(1, struct.pack(order + "HHI", files.LINK_RAW, 0, 0) + options) + block(0xBAD, b"unknown")
    for each in packets:
        if simple:
            out += block(3, struct.pack(order + "I", each.original_size) + each.data)
            continue
        units = -(-(each.at_ns - offset * 10**9) * parts // 10**9)
        out += block(
            6,
            struct.pack(
                order + "IIIII", 0, units >> 32, units & 0xFFFFFFFF, len(each.data), each.original_size
            )
            + each.data,
        )
    return out


@pytest.mark.parametrize("order", ["<", ">"])
@pytest.mark.parametrize(
    ("resolution", "offset"), [(None, 0), (9, 0), (9, 1_700_000_000), (0x80 | 30, 0), (3, 0)]
)
def test_pcapng_in_any_order_and_resolution(order: str, resolution: int | None, offset: int) -> None:
    packets = exchange().packets()
    kept = list(files.read_packets(io.BytesIO(pcapng(packets, order, resolution, offset) * 2)))
    unit = {None: 1000, 9: 1, 0x80 | 30: 1, 3: MS}[resolution]
    assert [each.data for each in kept] == [each.data for each in packets] * 2  # two sections
    assert all(abs(a.at_ns - b.at_ns) <= unit for a, b in zip(kept, packets * 2, strict=True))
    assert {each.interface for each in kept} == {0, 1}


def test_simple_packets_have_the_time_of_the_one_before() -> None:
    made = exchange()
    assert summarize(read(pcapng(made.packets(), "<", 9, simple=True))) == summarize(made.messages())


@pytest.mark.parametrize(("magic", "order", "unit"), [(k, *v) for k, v in files.PCAP_MAGIC.items()])
def test_pcap_in_any_order_and_unit(magic: bytes, order: str, unit: int) -> None:
    data = magic + struct.pack(order + "HHiIII", 2, 4, 0, 0, 65535, files.LINK_RAW)
    for each in exchange().packets():
        data += (
            struct.pack(
                order + "IIII",
                each.at_ns // 10**9,
                each.at_ns % 10**9 // unit,
                len(each.data),
                each.original_size,
            )
            + each.data
        )
    assert summarize(read(data)) == summarize(exchange().messages())


@pytest.mark.parametrize("data", [b"", b"\xd4\xc3", b"GET / HTTP/1.1\r\n", b"\xd4\xc3\xb2\xa1\x02\x00"])
def test_what_is_no_capture_is_one_error(data: bytes) -> None:
    with pytest.raises(MalformedCaptureError):
        list(files.read_packets(io.BytesIO(data)))


@pytest.mark.parametrize("claim", [files.BLOCK_BYTES_LIMIT + 1, 2**32 - 1])
def test_a_length_that_lies_ends_the_reading_with_a_note(claim: int) -> None:
    data = exchange().out.getvalue() + struct.pack("<IIII", 1, 0, claim, claim) + bytes(50)
    capture = Capture(io.BytesIO(data))
    assert len(list(capture.messages())) == 4
    assert [text for text in capture.notes if "claims" in text]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.data())
def test_a_file_cut_or_spoilt_anywhere_gives_notes_or_the_one_error(data: st.DataObject) -> None:
    whole = exchange().out.getvalue() if data.draw(st.booleans()) else pcapng(exchange().packets(), "<", 9)
    spoilt = bytearray(whole[: data.draw(st.integers(0, len(whole)))])
    for _ in range(data.draw(st.integers(0, 8)) if spoilt else 0):
        spoilt[data.draw(st.integers(0, len(spoilt) - 1))] = data.draw(st.integers(0, 255))
    try:
        captured = read(bytes(spoilt))
    except MalformedCaptureError:
        return
    assert all(item.message.last_at_ns >= 0 for item in captured)


def test_a_file_that_is_cut_at_any_byte_gives_what_was_whole_before() -> None:
    whole = exchange().out.getvalue()
    captured = summarize(exchange().messages())
    for size in range(24, len(whole), 7):
        some = summarize(read(whole[:size]))
        assert [each for each in some if each[2]] == captured[: sum(each[2] for each in some)]


# SegmentDecoder.


def scapy_file(layers: Any, path: Any) -> bytes:  # noqa: ANN401
    from scapy.utils import wrpcap

    wrpcap(str(path), layers)
    return bytes(path.read_bytes())


def test_files_of_another_library_are_read_and_ours_by_it(tmp_path: Any) -> None:  # noqa: ANN401
    from scapy.layers.inet import IP, TCP, fragment
    from scapy.layers.inet6 import IPv6, IPv6ExtHdrDestOpt
    from scapy.layers.l2 import CookedLinux, Dot1AD, Dot1Q, Ether
    from scapy.utils import rdpcap

    path = tmp_path / "ours.pcap"
    path.write_bytes(exchange().out.getvalue())
    theirs = rdpcap(str(path))
    assert len(theirs) == len(exchange().packets())
    for each in theirs:
        sums = each[IP].chksum, each[TCP].chksum
        del each[IP].chksum, each[TCP].chksum
        again = IP(bytes(each))
        assert (again[IP].chksum, again[TCP].chksum) == sums
    data = request("/s", b"y" * 2000)

    def segments(network: Any) -> list[Any]:  # noqa: ANN401
        first = TCP(sport=1111, dport=80, flags="S", seq=2**32 - 500)
        half = TCP(sport=1111, dport=80, flags="A", seq=2**32 - 499)
        rest = TCP(sport=1111, dport=80, flags="A", seq=601)
        return [network / first, network / half / data[:1100], network / rest / data[1100:]]

    four = IP(src="10.1.0.1", dst="10.1.0.2")
    six = IPv6(src="fd00::1", dst="fd00::2") / IPv6ExtHdrDestOpt()
    shapes = {
        "vlan": [Ether() / Dot1Q(vlan=5) / each for each in segments(four)],
        "qinq": [Ether() / Dot1AD(vlan=4) / Dot1Q(vlan=5) / each for each in segments(six)],
        "cooked": [CookedLinux() / each for each in segments(four)],
        "fragments": [Ether() / part for each in segments(four) for part in reversed(fragment(each, 200))],
        "raw": segments(six),
    }
    for name, layers in shapes.items():
        assert summarize(read(scapy_file(layers, tmp_path / name))) == [("/s", b"y" * 2000, True)], name


def test_link_types_that_hold_ip_and_those_that_do_not() -> None:
    raw = exchange().packets()
    heads = {
        0: b"\x02\x00\x00\x00", 1: bytes(12) + b"\x08\x00", 108: b"\x00\x00\x00\x02",
        113: bytes(14) + b"\x08\x00", 228: b"", 276: b"\x08\x00" + bytes(18),
    }  # fmt: skip
    for link, head in heads.items():
        layers = SegmentDecoder()
        kept = [layers.decode(each._replace(link_type=link, data=head + each.data)) for each in raw]
        assert all(kept) and not layers.skipped_packets, link
    layers = SegmentDecoder()
    assert not any(
        layers.decode(each._replace(link_type=147)) for each in raw
    ) and layers.skipped_packets == len(raw)


# Messages.

STREAM = (
    request("/1", b"abc")
    + request("/2")
    + b"POST /3 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nxyz\r\n2\r\n--\r\n0\r\n\r\n" + b"HEAD /4 HTTP/1.1\r\nHost: x\r\n\r\n" + request("/5")
)
ANSWERS = (
    b"HTTP/1.1 100 Continue\r\n\r\n" + answer(200, b"one") + answer(503) + answer(200)
    + b"HTTP/1.1 200 It\r\nContent-Length: 99\r\n\r\n" + b"HTTP/1.1 200 It\r\n\r\nto the end"
)  # fmt: skip
WANTED = [("/1", b"abc"), ("/2", b""), ("/3", b"xyz--"), ("/4", b""), ("/5", b"")]
WANTED_ANSWERS = [(200, b"one"), (503, b""), (200, b""), (200, b""), (200, b"to the end")]


def test_messages_split_at_every_byte_are_the_same() -> None:
    for cut in range(1, len(STREAM)):
        made = Made().says(0, 1, STREAM[:cut]).says(0, 2, STREAM[cut:])
        captured = summarize(made.says(1, 3, ANSWERS).ends(side=1).messages())
        assert [item[:2] for item in captured if isinstance(item[0], str)] == WANTED
        assert [item[:2] for item in captured if not isinstance(item[0], str)] == WANTED_ANSWERS
        assert all(item[2] for item in captured)


def test_a_message_has_the_times_of_its_first_and_its_last_byte() -> None:
    data = request("/a", b"abc")
    made = Made().says(0, 1, data[:5]).says(0, 2, data[5:-1]).says(0, 7, data[-1:] + request("/b"))
    first, second = made.messages()
    assert (first.message.first_at_ns - T0, first.message.last_at_ns - T0) == (1 * MS, 7 * MS)
    assert (second.message.first_at_ns - T0, second.message.last_at_ns - T0) == (7 * MS, 7 * MS)


def test_an_upgrade_ends_the_reading_of_both_sides() -> None:
    ask = b"GET /ws HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    agree = b"HTTP/1.1 101 It\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    made = Made().says(0, 1, ask).says(1, 2, agree + b"\x81\x05hello").says(0, 3, b"\x81\x00")
    assert summarize(made.ends().messages()) == [("/ws", b"", True), (101, b"", True)]


def lose(made: Made, *places: int) -> list[Packet]:
    return [each for place, each in enumerate(made.packets()) if place not in places]


def test_a_lost_segment_within_a_body_is_named_and_what_follows_is_read() -> None:
    made = (
        Made()
        .says(0, 1, request("/a", b"z" * 5000))
        .says(1, 2, answer())
        .says(0, 500, request("/b"))
        .ends(2000)
    )
    captured = read(written(lose(made, 4)))
    (first,) = (item.message for item in captured if item.message.target == "/a")
    assert (first.target, len(first.body), first.is_complete) == ("/a", 5000, False)
    assert first.body.count(b"\0") == 1460 and "1460 bytes" in first.notes[0]
    assert summarize(captured)[-1] == ("/b", b"", True)
    assert [item.message.request_number for item in captured if item.message.status] == [0]


def test_a_lost_head_spoils_its_message_alone() -> None:
    made = (
        Made().says(0, 1, request("/a", b"z" * 3000)).says(0, 300, request("/b")).says(0, 900, request("/c"))
    )
    captured = read(written(lose(made.ends(2000), 3)))
    assert summarize(captured) == [("/b", b"", True), ("/c", b"", True)]
    assert "bytes are not in the capture" in " ".join(captured[0].message.notes)


def test_a_connection_that_is_reset_in_a_message_names_it() -> None:
    captured = Made().says(0, 1, request("/a", b"abc")[:-1]).ends(reset=True).messages()
    assert summarize(captured) == [("/a", b"ab", False)] and "reset" in captured[0].message.notes[0]


def test_snapped_packets_lack_what_the_capture_left_out() -> None:
    made = Made().says(0, 1, request("/a", b"z" * 300)).says(0, 500, request("/b")).ends(2000)
    snapped = [each._replace(data=each.data[:200]) for each in made.packets()]
    captured = read(written(snapped))
    assert summarize(captured) == [("/a", captured[0].message.body, False), ("/b", b"", True)]


def test_one_direction_alone_and_a_capture_that_begins_in_the_middle() -> None:
    made = exchange()
    side = [each for each in made.packets() if each.data[12:16] == bytes([10, 0, 0, 7])][1:]
    assert summarize(read(written(side))) == [("/a", b"x" * 4000, True), ("/b", b"", True)]
    other = [each for each in made.packets() if each.data[12:16] == bytes([10, 0, 0, 9])]
    captured = read(written(other))
    assert [item.message.request_number for item in captured] == [None, None]
    assert all("its request is not in the capture" in item.message.notes for item in captured)


def test_two_captures_of_one_moment_count_once() -> None:
    made = exchange()
    assert summarize(read(made.out.getvalue(), made.out.getvalue())) == summarize(made.messages())


def test_ports_that_are_used_again_are_another_connection() -> None:
    made = Made().says(0, 1, request("/a", b"abc")[:-1])
    ConnectionWriter(made.writer, CLIENT, SERVER, T0 + 5 * MS, 77).write_data(0, T0 + 6 * MS, request("/b"))
    captured = made.messages()
    assert summarize(captured) == [("/a", b"ab", False), ("/b", b"", True)]
    assert captured[0].flow.number != captured[1].flow.number


def test_heads_and_chunks_without_end_are_bounded() -> None:
    for start in (
        b"POST / HTTP/1.1\r\nHost: x\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
    ):
        capture = Capture(
            io.BytesIO(Made().says(0, 1, start).says(0, 2, b"0" * 200_000).ends().out.getvalue())
        )
        captured = list(capture.messages())
        assert all(not item.message.is_complete for item in captured)


def test_connections_that_stay_open_are_bounded() -> None:
    out = io.BytesIO()
    writer, count = PcapWriter(out), 600
    for number in range(count):
        connection = ConnectionWriter(
            writer, (f"10.0.{number // 250}.{number % 250}", 999), SERVER, T0 + number
        )
        connection.write_data(0, T0 + number, request("/a", b"abc")[:-1])
    capture = Capture(io.BytesIO(out.getvalue()))
    capture.flows = FlowTable(open_limit=50)
    captured = list(capture.messages())
    assert len(captured) == count and not capture.pairs and not capture.flows.open
    assert sum("silent" in item.message.notes[-1] for item in captured) == count - 50


def test_a_clock_that_jumps_back_is_a_note() -> None:
    packets = exchange().packets()
    packets[-1] = packets[-1]._replace(at_ns=T0 - 5 * 10**9)
    capture = Capture(io.BytesIO(written(packets)))
    assert len(list(capture.messages())) == 4 and any("clock" in text for text in capture.notes)
