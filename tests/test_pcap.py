"""Reading of captures: file formats, network layers, and HTTP messages."""

import io
import logging
import struct
from typing import Any

import pytest
from captures import (
    CLIENT,
    IPV6_ENDPOINTS,
    MS,
    SERVER,
    T0,
    CaptureBuilder,
    answer,
    read,
    request,
    summarize,
    write_packets,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from message_sender.pcap import files
from message_sender.pcap.capture import Capture, as_json
from message_sender.pcap.files import MalformedCaptureError, Packet, PcapWriter
from message_sender.pcap.flows import FlowTable
from message_sender.pcap.layers import SegmentDecoder
from message_sender.pcap.writer import ConnectionWriter

logging.getLogger("scapy.runtime").setLevel(logging.ERROR)


def exchange(endpoints: Any = (CLIENT, SERVER)) -> CaptureBuilder:  # noqa: ANN401
    builder = CaptureBuilder(endpoints)
    builder.send(0, 10, request("/a", b"x" * 4000)).send(1, 30, answer(202))
    return builder.send(0, 40, request("/b")).send(1, 55.5, answer(429, b"later")).end()


@pytest.mark.parametrize("endpoints", [(CLIENT, SERVER), IPV6_ENDPOINTS])
def test_written_messages_are_read_back_with_times_in_nanoseconds(endpoints: Any) -> None:  # noqa: ANN401
    captured = exchange(endpoints).messages()
    assert summarize(captured) == [
        ("/a", b"x" * 4000, True),
        (202, b"", True),
        ("/b", b"", True),
        (429, b"later", True),
    ]
    assert [item.message.first_at_ns - T0 for item in captured] == [10 * MS, 30 * MS, 40 * MS, 55_500_000]
    assert [item.message.request_number for item in captured if item.message.status] == [0, 1]
    fields = as_json(captured[0])
    assert (fields["at"], fields["client"]) == (
        "1790000000.133456789",
        f"{'[fd00::7]' if endpoints == IPV6_ENDPOINTS else '10.0.0.7'}:40000",
    )


# Files.


def pcapng(
    packets: list[Packet], byte_order: str, resolution: int | None, offset: int = 0, simple: bool = False
) -> bytes:
    """Returns the packets as a pcapng section with one interface."""

    def block(block_type: int, body: bytes) -> bytes:
        size = 12 + len(body) + -len(body) % 4
        return (
            struct.pack(byte_order + "II", block_type, size)
            + body
            + bytes(-len(body) % 4)
            + struct.pack(byte_order + "I", size)
        )

    options = b"" if resolution is None else struct.pack(byte_order + "HHB3x", 9, 1, resolution)
    options += struct.pack(byte_order + "HHq", 14, 8, offset) + bytes(4)
    units_per_s = (
        10**6 if resolution is None else 2 ** (resolution & 127) if resolution & 128 else 10**resolution
    )
    out = block(0x0A0D0D0A, struct.pack(byte_order + "IHHq", 0x1A2B3C4D, 1, 0, -1))
    out += block(1, struct.pack(byte_order + "HHI", files.LINK_RAW, 0, 0) + options) + block(
        0xBAD, b"unknown"
    )
    for each in packets:
        if simple:
            out += block(3, struct.pack(byte_order + "I", each.original_size) + each.data)
            continue
        units = -(-(each.at_ns - offset * 10**9) * units_per_s // 10**9)
        out += block(
            6,
            struct.pack(
                byte_order + "IIIII", 0, units >> 32, units & 0xFFFFFFFF, len(each.data), each.original_size
            )
            + each.data,
        )
    return out


@pytest.mark.parametrize("byte_order", ["<", ">"])
@pytest.mark.parametrize(
    ("resolution", "offset"), [(None, 0), (9, 0), (9, 1_700_000_000), (0x80 | 30, 0), (3, 0)]
)
def test_pcapng_is_read_in_any_byte_order_and_time_resolution(
    byte_order: str, resolution: int | None, offset: int
) -> None:
    packets = exchange().packets()
    read_back = list(files.read_packets(io.BytesIO(pcapng(packets, byte_order, resolution, offset) * 2)))
    unit = {None: 1000, 9: 1, 0x80 | 30: 1, 3: MS}[resolution]
    assert [each.data for each in read_back] == [each.data for each in packets] * 2  # two sections
    assert all(abs(a.at_ns - b.at_ns) <= unit for a, b in zip(read_back, packets * 2, strict=True))
    assert {each.interface for each in read_back} == {0, 1}


def test_simple_packets_have_the_time_of_the_previous_packet() -> None:
    builder = exchange()
    assert summarize(read(pcapng(builder.packets(), "<", 9, simple=True))) == summarize(builder.messages())


@pytest.mark.parametrize(("magic", "byte_order", "unit"), [(k, *v) for k, v in files.PCAP_MAGIC.items()])
def test_pcap_is_read_in_any_byte_order_and_time_unit(magic: bytes, byte_order: str, unit: int) -> None:
    data = magic + struct.pack(byte_order + "HHiIII", 2, 4, 0, 0, 65535, files.LINK_RAW)
    for each in exchange().packets():
        data += (
            struct.pack(
                byte_order + "IIII",
                each.at_ns // 10**9,
                each.at_ns % 10**9 // unit,
                len(each.data),
                each.original_size,
            )
            + each.data
        )
    assert summarize(read(data)) == summarize(exchange().messages())


@pytest.mark.parametrize("data", [b"", b"\xd4\xc3", b"GET / HTTP/1.1\r\n", b"\xd4\xc3\xb2\xa1\x02\x00"])
def test_a_file_that_is_not_a_capture_raises_malformed_capture_error(data: bytes) -> None:
    with pytest.raises(MalformedCaptureError):
        list(files.read_packets(io.BytesIO(data)))


@pytest.mark.parametrize("stated_size", [files.BLOCK_BYTES_LIMIT + 1, 2**32 - 1])
def test_a_packet_with_an_excessive_stated_size_ends_the_reading_with_a_note(stated_size: int) -> None:
    data = exchange().file.getvalue() + struct.pack("<IIII", 1, 0, stated_size, stated_size) + bytes(50)
    capture = Capture(io.BytesIO(data))
    assert len(list(capture.messages())) == 4
    assert [text for text in capture.notes if "claims" in text]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.data())
def test_a_truncated_or_corrupted_file_gives_notes_or_malformed_capture_error(data: st.DataObject) -> None:
    complete_file = (
        exchange().file.getvalue() if data.draw(st.booleans()) else pcapng(exchange().packets(), "<", 9)
    )
    corrupted = bytearray(complete_file[: data.draw(st.integers(0, len(complete_file)))])
    for _ in range(data.draw(st.integers(0, 8)) if corrupted else 0):
        corrupted[data.draw(st.integers(0, len(corrupted) - 1))] = data.draw(st.integers(0, 255))
    try:
        captured = read(bytes(corrupted))
    except MalformedCaptureError:
        return
    assert all(item.message.last_at_ns >= 0 for item in captured)


def test_a_truncated_file_gives_the_messages_that_were_complete_before() -> None:
    complete_file = exchange().file.getvalue()
    captured = summarize(exchange().messages())
    for size in range(24, len(complete_file), 7):
        messages = summarize(read(complete_file[:size]))
        assert [each for each in messages if each[2]] == captured[: sum(each[2] for each in messages)]


# SegmentDecoder.


def write_with_scapy(layers: Any, path: Any) -> bytes:  # noqa: ANN401
    from scapy.utils import wrpcap

    wrpcap(str(path), layers)
    return bytes(path.read_bytes())


def test_scapy_reads_written_files_and_files_of_scapy_are_read(tmp_path: Any) -> None:  # noqa: ANN401
    from scapy.layers.inet import IP, TCP, fragment
    from scapy.layers.inet6 import IPv6, IPv6ExtHdrDestOpt
    from scapy.layers.l2 import CookedLinux, Dot1AD, Dot1Q, Ether
    from scapy.utils import rdpcap

    path = tmp_path / "ours.pcap"
    path.write_bytes(exchange().file.getvalue())
    packets = rdpcap(str(path))
    assert len(packets) == len(exchange().packets())
    for packet in packets:
        checksums = packet[IP].chksum, packet[TCP].chksum
        del packet[IP].chksum, packet[TCP].chksum
        rebuilt = IP(bytes(packet))
        assert (rebuilt[IP].chksum, rebuilt[TCP].chksum) == checksums
    data = request("/s", b"y" * 2000)

    def segments(network: Any) -> list[Any]:  # noqa: ANN401
        syn = TCP(sport=1111, dport=80, flags="S", seq=2**32 - 500)
        first_data = TCP(sport=1111, dport=80, flags="A", seq=2**32 - 499)
        second_data = TCP(sport=1111, dport=80, flags="A", seq=601)
        return [network / syn, network / first_data / data[:1100], network / second_data / data[1100:]]

    ipv4 = IP(src="10.1.0.1", dst="10.1.0.2")
    ipv6 = IPv6(src="fd00::1", dst="fd00::2") / IPv6ExtHdrDestOpt()
    packets_by_layer = {
        "vlan": [Ether() / Dot1Q(vlan=5) / each for each in segments(ipv4)],
        "qinq": [Ether() / Dot1AD(vlan=4) / Dot1Q(vlan=5) / each for each in segments(ipv6)],
        "cooked": [CookedLinux() / each for each in segments(ipv4)],
        "fragments": [Ether() / part for each in segments(ipv4) for part in reversed(fragment(each, 200))],
        "raw": segments(ipv6),
    }
    for name, layers in packets_by_layer.items():
        assert summarize(read(write_with_scapy(layers, tmp_path / name))) == [("/s", b"y" * 2000, True)], name


def test_link_types_with_ip_are_decoded_and_others_are_skipped() -> None:
    packets = exchange().packets()
    link_headers = {
        0: b"\x02\x00\x00\x00", 1: bytes(12) + b"\x08\x00", 108: b"\x00\x00\x00\x02",
        113: bytes(14) + b"\x08\x00", 228: b"", 276: b"\x08\x00" + bytes(18),
    }  # fmt: skip
    for link_type, header in link_headers.items():
        decoder = SegmentDecoder()
        segments = [
            decoder.decode(each._replace(link_type=link_type, data=header + each.data)) for each in packets
        ]
        assert all(segments) and not decoder.skipped_packets, link_type
    decoder = SegmentDecoder()
    assert not any(
        decoder.decode(each._replace(link_type=147)) for each in packets
    ) and decoder.skipped_packets == len(packets)


# Messages.

REQUESTS = (
    request("/1", b"abc")
    + request("/2")
    + b"POST /3 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nxyz\r\n2\r\n--\r\n0\r\n\r\n" + b"HEAD /4 HTTP/1.1\r\nHost: x\r\n\r\n" + request("/5")
)
RESPONSES = (
    b"HTTP/1.1 100 Continue\r\n\r\n" + answer(200, b"one") + answer(503) + answer(200)
    + b"HTTP/1.1 200 It\r\nContent-Length: 99\r\n\r\n" + b"HTTP/1.1 200 It\r\n\r\nto the end"
)  # fmt: skip
EXPECTED_REQUESTS = [("/1", b"abc"), ("/2", b""), ("/3", b"xyz--"), ("/4", b""), ("/5", b"")]
EXPECTED_RESPONSES = [(200, b"one"), (503, b""), (200, b""), (200, b""), (200, b"to the end")]


def test_messages_are_read_alike_wherever_segments_split_them() -> None:
    for cut in range(1, len(REQUESTS)):
        builder = CaptureBuilder().send(0, 1, REQUESTS[:cut]).send(0, 2, REQUESTS[cut:])
        captured = summarize(builder.send(1, 3, RESPONSES).end(side=1).messages())
        assert [item[:2] for item in captured if isinstance(item[0], str)] == EXPECTED_REQUESTS
        assert [item[:2] for item in captured if not isinstance(item[0], str)] == EXPECTED_RESPONSES
        assert all(item[2] for item in captured)


def test_a_message_has_the_times_of_its_first_and_last_byte() -> None:
    data = request("/a", b"abc")
    builder = (
        CaptureBuilder().send(0, 1, data[:5]).send(0, 2, data[5:-1]).send(0, 7, data[-1:] + request("/b"))
    )
    first, second = builder.messages()
    assert (first.message.first_at_ns - T0, first.message.last_at_ns - T0) == (1 * MS, 7 * MS)
    assert (second.message.first_at_ns - T0, second.message.last_at_ns - T0) == (7 * MS, 7 * MS)


def test_a_protocol_upgrade_ends_the_reading_of_both_directions() -> None:
    upgrade_request = b"GET /ws HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    upgrade_response = b"HTTP/1.1 101 It\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    builder = (
        CaptureBuilder()
        .send(0, 1, upgrade_request)
        .send(1, 2, upgrade_response + b"\x81\x05hello")
        .send(0, 3, b"\x81\x00")
    )
    assert summarize(builder.end().messages()) == [("/ws", b"", True), (101, b"", True)]


def packets_without(builder: CaptureBuilder, *indexes: int) -> list[Packet]:
    return [packet for index, packet in enumerate(builder.packets()) if index not in indexes]


def test_a_lost_segment_of_a_body_is_noted_and_later_messages_are_read() -> None:
    builder = (
        CaptureBuilder()
        .send(0, 1, request("/a", b"z" * 5000))
        .send(1, 2, answer())
        .send(0, 500, request("/b"))
        .end(2000)
    )
    captured = read(write_packets(packets_without(builder, 4)))
    (first,) = (item.message for item in captured if item.message.target == "/a")
    assert (first.target, len(first.body), first.is_complete) == ("/a", 5000, False)
    assert first.body.count(b"\0") == 1460 and "1460 bytes" in first.notes[0]
    assert summarize(captured)[-1] == ("/b", b"", True)
    assert [item.message.request_number for item in captured if item.message.status] == [0]


def test_a_lost_head_affects_only_its_own_message() -> None:
    builder = (
        CaptureBuilder()
        .send(0, 1, request("/a", b"z" * 3000))
        .send(0, 300, request("/b"))
        .send(0, 900, request("/c"))
    )
    captured = read(write_packets(packets_without(builder.end(2000), 3)))
    assert summarize(captured) == [("/b", b"", True), ("/c", b"", True)]
    assert "bytes are not in the capture" in " ".join(captured[0].message.notes)


def test_a_message_cut_off_by_a_reset_has_a_note() -> None:
    captured = CaptureBuilder().send(0, 1, request("/a", b"abc")[:-1]).end(reset=True).messages()
    assert summarize(captured) == [("/a", b"ab", False)] and "reset" in captured[0].message.notes[0]


def test_a_message_in_truncated_packets_is_incomplete() -> None:
    builder = CaptureBuilder().send(0, 1, request("/a", b"z" * 300)).send(0, 500, request("/b")).end(2000)
    truncated = [each._replace(data=each.data[:200]) for each in builder.packets()]
    captured = read(write_packets(truncated))
    assert summarize(captured) == [("/a", captured[0].message.body, False), ("/b", b"", True)]


def test_a_capture_of_one_direction_without_a_handshake_is_read() -> None:
    builder = exchange()
    client_packets = [each for each in builder.packets() if each.data[12:16] == bytes([10, 0, 0, 7])][1:]
    assert summarize(read(write_packets(client_packets))) == [("/a", b"x" * 4000, True), ("/b", b"", True)]
    server_packets = [each for each in builder.packets() if each.data[12:16] == bytes([10, 0, 0, 9])]
    captured = read(write_packets(server_packets))
    assert [item.message.request_number for item in captured] == [None, None]
    assert all("its request is not in the capture" in item.message.notes for item in captured)


def test_messages_in_two_captures_of_the_same_traffic_are_read_once() -> None:
    builder = exchange()
    assert summarize(read(builder.file.getvalue(), builder.file.getvalue())) == summarize(builder.messages())


def test_reused_ports_are_a_new_connection() -> None:
    builder = CaptureBuilder().send(0, 1, request("/a", b"abc")[:-1])
    ConnectionWriter(builder.writer, CLIENT, SERVER, T0 + 5 * MS, 77).write_data(
        0, T0 + 6 * MS, request("/b")
    )
    captured = builder.messages()
    assert summarize(captured) == [("/a", b"ab", False), ("/b", b"", True)]
    assert captured[0].flow.number != captured[1].flow.number


def test_an_endless_head_or_chunk_is_cut_off() -> None:
    for start in (
        b"POST / HTTP/1.1\r\nHost: x\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
    ):
        capture = Capture(
            io.BytesIO(CaptureBuilder().send(0, 1, start).send(0, 2, b"0" * 200_000).end().file.getvalue())
        )
        captured = list(capture.messages())
        assert all(not item.message.is_complete for item in captured)


def test_the_number_of_open_connections_is_limited() -> None:
    file = io.BytesIO()
    writer, count = PcapWriter(file), 600
    for number in range(count):
        connection = ConnectionWriter(
            writer, (f"10.0.{number // 250}.{number % 250}", 999), SERVER, T0 + number
        )
        connection.write_data(0, T0 + number, request("/a", b"abc")[:-1])
    capture = Capture(io.BytesIO(file.getvalue()))
    capture.flows = FlowTable(open_limit=50)
    captured = list(capture.messages())
    assert len(captured) == count and not capture.pairs and not capture.flows.open
    assert sum("silent" in item.message.notes[-1] for item in captured) == count - 50


def test_a_clock_that_goes_back_is_noted() -> None:
    packets = exchange().packets()
    packets[-1] = packets[-1]._replace(at_ns=T0 - 5 * 10**9)
    capture = Capture(io.BytesIO(write_packets(packets)))
    assert len(list(capture.messages())) == 4 and any("clock" in text for text in capture.notes)
