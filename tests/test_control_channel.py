"""The sealed datagram channel: which datagrams it accepts, sessions, epochs, and reassembly of fragments."""

import itertools
import random
from collections.abc import Callable, Mapping

import pytest

from message_sender.control import channel as channel_module
from message_sender.control.channel import BodyTooLargeError, Channel, KnownStart, RefusalReason
from message_sender.control.messages import Address, Body, Hello, LogEntry, Poll, StatusRequest
from message_sender.control.messages import AppendRequest as Append
from message_sender.fleet.seal import DATAGRAM_BYTES_LIMIT, Seal

KEY = bytes(range(32))
ADDRESSES: Mapping[str, Address] = {f"c{number}": ("10.0.0.1", 7000 + number) for number in range(3)}
NAMES = {address: name for name, address in ADDRESSES.items()}
WATCHER: Address = ("10.0.9.9", 9000)


def make_channel(
    name: str,
    epoch: int = 1,
    session: int = 0,
    key: bytes = KEY,
    known: Mapping[str, KnownStart] | None = None,
    addresses: Mapping[str, Address] = ADDRESSES,
) -> Channel:
    rng = random.Random(f"{name} {epoch} {session}")
    return Channel(name, epoch, session or rng.getrandbits(60) + 1, Seal([key]), addresses, known)


def exchange(
    channels: Mapping[str, Channel],
    now: float = 0.0,
    keep: Callable[[bytes], bool] = lambda datagram: True,
    sources: Mapping[str, Address] = ADDRESSES,
) -> list[tuple[str, str, Body]]:
    """Delivers datagrams until none is left.

    Returns:
        The accepted bodies, each with its receiver and its sender.
    """
    accepted: list[tuple[str, str, Body]] = []
    names = {sources[name]: name for name in channels}
    while datagrams := [
        (name, *datagram) for name, channel in channels.items() for datagram in channel.take_datagrams()
    ]:
        for sender, address, datagram in datagrams:
            if address in names and keep(datagram):
                receiver = names[address]
                bodies = channels[receiver].receive(datagram, sources[sender], now)
                accepted += [(receiver, name, body) for name, body in bodies]
    return accepted


def large_body(size: int) -> Append:
    data = random.Random(size).randbytes(size)
    return Append(1, 0, 0, 0, 1, (LogEntry(1, 1, data),))


def connected_pair() -> tuple[Channel, Channel]:
    """Returns two channels that know each other's session."""
    one, two = make_channel("c0"), make_channel("c1")
    one.send("c1", StatusRequest(1), 0.0)
    two.send("c0", StatusRequest(1), 0.0)
    exchange({"c0": one, "c1": two})
    assert one.has_session("c1") and two.has_session("c0")
    return one, two


def test_bodies_to_a_peer_with_an_unknown_session_are_queued_until_it_answers() -> None:
    one, two = make_channel("c0"), make_channel("c1")
    for number in range(6):
        one.send("c1", StatusRequest(number), 0.0)
    accepted = exchange({"c0": one, "c1": two})
    assert accepted == [("c1", "c0", StatusRequest(number)) for number in (2, 3, 4, 5)]
    one.send("c1", Poll(3, 4), 0.1)
    assert exchange({"c0": one, "c1": two}, 0.1) == [("c1", "c0", Poll(3, 4))]
    assert not one.refused and not two.refused


def test_hellos_to_a_silent_peer_are_rate_limited() -> None:
    one = make_channel("c0")
    for step in range(100):
        one.send("c1", StatusRequest(step), step / 100)
    assert len(one.take_datagrams()) == 4


def test_a_replayed_datagram_is_only_counted() -> None:
    one, two = connected_pair()
    one.send("c1", StatusRequest(7), 0.0)
    ((_, datagram),) = one.take_datagrams()
    assert two.receive(datagram, ADDRESSES["c0"], 0.0) == [("c0", StatusRequest(7))]
    for _ in range(5):
        assert two.receive(datagram, ADDRESSES["c0"], 0.0) == []
    assert two.refused == {RefusalReason.REPLAY: 5}
    assert two.take_datagrams() == []


def test_replays_to_a_later_start_cause_a_bounded_number_of_hellos() -> None:
    one, _ = connected_pair()
    one.send("c1", StatusRequest(7), 0.0)
    ((_, datagram),) = one.take_datagrams()
    restarted = make_channel("c1", 2)
    for _ in range(2_000):
        assert restarted.receive(datagram, ADDRESSES["c0"], 0.5) == []
    assert restarted.refused == {RefusalReason.OTHER_SESSION: 2_000}
    hellos = restarted.take_datagrams()
    assert len(hellos) == channel_module.PEER_HELLO_ANSWERS_PER_SECOND
    assert {address for address, _ in hellos} == {ADDRESSES["c0"]}


def test_foreign_forged_and_damaged_datagrams_are_counted_by_reason() -> None:
    one, two = connected_pair()
    foreign = make_channel("c0", key=bytes(32))
    foreign.send("c1", StatusRequest(1), 0.0)
    ((_, datagram),) = foreign.take_datagrams()
    two.receive(datagram, ADDRESSES["c0"], 0.0)
    one.send("c1", StatusRequest(2), 0.0)
    ((_, datagram),) = one.take_datagrams()
    for at in range(len(datagram)):
        damaged = bytearray(datagram)
        damaged[at] ^= 1
        assert two.receive(bytes(damaged), ADDRESSES["c0"], 0.0) == []
        assert two.receive(datagram[:at], ADDRESSES["c0"], 0.0) == []
    assert two.refused == {RefusalReason.SEAL: 1 + 2 * len(datagram)}
    for content in (b"", b"\xc1", b"\x93\x01", b"\x96\xa1x\x01\x01\x01\x01\x92\x63\x01"):
        assert two.receive(Seal([KEY]).seal(content), ADDRESSES["c0"], 0.0) == []
    assert two.refused[RefusalReason.MALFORMED] == 4
    assert two.take_datagrams() == []
    assert two.receive(datagram, ADDRESSES["c0"], 0.0) == [("c0", StatusRequest(2))]


def test_the_key_can_be_changed_without_interrupting_the_channel() -> None:
    one, two = connected_pair()
    one.seal.set_keys([bytes(32), KEY])
    one.send("c1", StatusRequest(2), 0.0)
    ((_, datagram),) = one.take_datagrams()
    assert two.receive(datagram, ADDRESSES["c0"], 0.0) == []
    two.seal.set_keys([KEY, bytes(32)])
    assert two.receive(datagram, ADDRESSES["c0"], 0.0) == [("c0", StatusRequest(2))]


def test_reordered_and_duplicated_fragments_are_reassembled_once() -> None:
    one, two = connected_pair()
    body = large_body(20_000)
    one.send("c1", body, 0.0)
    datagrams = [datagram for _, datagram in one.take_datagrams()]
    assert len(datagrams) > 15 and max(map(len, datagrams)) <= DATAGRAM_BYTES_LIMIT
    datagrams = datagrams * 2
    random.Random(4).shuffle(datagrams)
    accepted = [each for datagram in datagrams for each in two.receive(datagram, ADDRESSES["c0"], 0.0)]
    assert accepted == [("c0", body)]
    assert two.partial_bytes == 0
    assert two.refused == {RefusalReason.REPLAY: len(datagrams) // 2}


def test_the_fragments_of_an_incomplete_message_expire() -> None:
    one, two = connected_pair()
    one.send("c1", large_body(20_000), 0.0)
    for _, datagram in one.take_datagrams()[1:]:
        assert two.receive(datagram, ADDRESSES["c0"], 0.0) == []
    assert two.partial_bytes > 15_000
    one.send("c1", large_body(3_000), 10.0)
    for _, datagram in one.take_datagrams()[1:]:
        assert two.receive(datagram, ADDRESSES["c0"], 10.0) == []
    assert two.partial_bytes < 3_000


def test_the_memory_of_incomplete_messages_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    one, two = connected_pair()
    for _ in range(channel_module.PARTIAL_MESSAGES_LIMIT + 5):
        one.send("c1", large_body(10_000), 0.0)
        for _, datagram in one.take_datagrams()[1:]:
            two.receive(datagram, ADDRESSES["c0"], 0.0)
    assert two.partial_bytes <= channel_module.PARTIAL_MESSAGES_LIMIT * 10_100
    monkeypatch.setattr(channel_module, "PARTIAL_BYTES_LIMIT", 30_000)
    one.send("c1", large_body(20_000), 0.0)
    for _, datagram in one.take_datagrams()[1:]:
        two.receive(datagram, ADDRESSES["c0"], 0.0)
    assert two.partial_bytes <= 30_000
    with pytest.raises(BodyTooLargeError):
        one.send("c1", large_body(channel_module.MESSAGE_BYTES_LIMIT), 0.0)


def test_the_largest_body_arrives_under_the_longest_name() -> None:
    name = "n" * 64
    addresses = {name: ("10.0.0.1", 1), "c1": ADDRESSES["c1"]}
    one = make_channel(name, epoch=2**62, session=2**62, addresses=addresses)
    two = make_channel("c1", session=2**62, addresses=addresses)
    body = large_body(channel_module.MESSAGE_BYTES_LIMIT - 100)
    one.send("c1", body, 0.0)
    assert exchange({name: one, "c1": two}, sources=addresses) == [("c1", name, body)]


def test_a_restart_begins_a_new_session_and_ends_the_old_one() -> None:
    one, two = connected_pair()
    one.send("c1", StatusRequest(8), 0.0)
    ((_, old),) = one.take_datagrams()
    restarted = make_channel("c0", 2)
    restarted.send("c1", StatusRequest(9), 0.0)
    assert exchange({"c0": restarted, "c1": two}) == [("c1", "c0", StatusRequest(9))]
    assert two.receive(old, ADDRESSES["c0"], 0.0) == []
    assert two.refused == {RefusalReason.OLD_START: 1}
    two.send("c0", StatusRequest(10), 0.0)
    assert exchange({"c0": restarted, "c1": two}) == [("c0", "c1", StatusRequest(10))]
    assert not restarted.is_behind


@pytest.mark.parametrize(
    ("epoch", "own_session"), [(1, False), (4, False), (5, False), (5, True), (6, False)]
)
@pytest.mark.parametrize("is_restarted", [False, True], ids=["the same start", "a later start"])
def test_a_node_with_an_old_disk_learns_of_it_from_its_peers(
    epoch: int, own_session: bool, is_restarted: bool
) -> None:
    """`c0` comes back with a disk of an earlier start.

    `c1` knows start 5 of `c0`, also if `c1` was restarted in between.
    """
    stored: dict[str, KnownStart] = {}
    latest, two = make_channel("c0", 5, 55), make_channel("c1", 3)
    two.on_start_known = stored.__setitem__
    latest.send("c1", StatusRequest(1), 0.0)
    exchange({"c0": latest, "c1": two})
    assert stored == {"c0": KnownStart(5, 55)}
    if is_restarted:
        two = make_channel("c1", 4, known=stored)
    reported_epochs: list[int] = []
    returned = make_channel("c0", epoch, 55 if own_session else 77)
    returned.on_behind = reported_epochs.append
    for now in (1.0, 2.0):
        returned.send("c1", StatusRequest(2), now)
        exchange({"c0": returned, "c1": two}, now)
    is_old = epoch <= 5 and not own_session
    assert returned.is_behind is is_old
    assert reported_epochs == ([6] if is_old else [])
    assert returned.epoch == (6 if is_old else epoch)
    assert returned.has_session("c1")


def test_no_body_of_an_old_start_is_accepted_before_the_node_knows_that_its_disk_is_old() -> None:
    """Otherwise its vote could be counted before it knows that its disk lost an earlier vote."""
    two = make_channel("c1", known={"c0": KnownStart(5, 55)})
    returned = make_channel("c0", 2, 77)
    order: list[str] = []
    returned.on_behind = lambda epoch: order.append("behind")
    returned.send("c1", StatusRequest(2), 0.0)
    for _ in range(10):
        for channel, other in ((returned, two), (two, returned)):
            for _, datagram in channel.take_datagrams():
                bodies = other.receive(datagram, ADDRESSES[channel.name], 0.0)
                order += [type(body).__name__ for _, body in bodies]
    assert order[0] == "behind"


def test_a_sender_is_answered_at_the_source_address_of_its_last_datagram() -> None:
    node, watcher = make_channel("c0"), make_channel("watcher")
    sources = {**ADDRESSES, "watcher": WATCHER}
    watcher.send("c0", Poll(0, 0), 0.0)
    exchange({"c0": node, "watcher": watcher}, sources=sources)
    node.send("watcher", StatusRequest(1), 0.0)
    assert exchange({"c0": node, "watcher": watcher}, sources=sources) == [
        ("watcher", "c0", StatusRequest(1))
    ]
    assert node.address_of("watcher") == WATCHER
    watcher.send("c0", Poll(1, 1), 0.0)
    moved: Address = ("10.0.9.9", 9001)
    exchange({"c0": node, "watcher": watcher}, sources={**sources, "watcher": moved})
    assert node.address_of("watcher") == moved
    node.send("unknown", StatusRequest(1), 0.0)
    assert node.take_datagrams() == []


def test_a_datagram_under_the_receivers_own_name_is_counted() -> None:
    one, two = make_channel("c0"), make_channel("c0", 2)
    two.addresses = {"c0": ADDRESSES["c1"]}
    two.send("c0", Hello(), 0.0)
    ((_, datagram),) = two.take_datagrams()
    assert one.receive(datagram, ADDRESSES["c1"], 0.0) == []
    assert one.refused == {RefusalReason.OWN_NAME: 1}


def test_the_number_of_peers_that_are_not_configured_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channel_module, "PEERS_LIMIT", 5)
    node = make_channel("c0")
    for number in range(20):
        watcher = make_channel(f"w{number}")
        watcher.send("c0", Poll(0, 0), float(number))
        sources = {**ADDRESSES, watcher.name: ("10.0.9.9", 9000 + number)}
        exchange({"c0": node, watcher.name: watcher}, float(number), sources=sources)
    assert [name for name in (f"w{number}" for number in range(20)) if node.has_session(name)] == [
        f"w{number}" for number in range(15, 20)
    ]


@pytest.mark.parametrize("seed", range(20))
def test_over_a_faulty_network_each_body_is_accepted_at_most_once(seed: int) -> None:
    """Loss, duplication, reordering and restarts; enough of the repeated requests still arrive."""
    rng = random.Random(seed)
    channels = {"c0": make_channel("c0"), "c1": make_channel("c1")}
    accepted: list[int] = []
    in_flight: list[tuple[str, str, bytes]] = []
    numbers = itertools.count()
    epoch = 1
    for step in range(400):
        now = step / 20
        if rng.random() < 0.02:
            epoch += 1
            channels["c1"] = make_channel("c1", epoch)
        channels["c0"].send("c1", StatusRequest(next(numbers)), now)
        for name, channel in channels.items():
            in_flight += [(name, NAMES[address], datagram) for address, datagram in channel.take_datagrams()]
        rng.shuffle(in_flight)
        for _ in range(rng.randrange(len(in_flight) + 1)):
            sender, receiver, datagram = in_flight.pop()
            if rng.random() < 0.2:
                in_flight.append((sender, receiver, datagram))
            if rng.random() < 0.8:
                bodies = channels[receiver].receive(datagram, ADDRESSES[sender], now)
                accepted += [body.number for _, body in bodies if isinstance(body, StatusRequest)]
    assert len(accepted) == len(set(accepted)) and len(accepted) > 80


def test_a_flood_from_unknown_senders_does_not_block_a_control_node() -> None:
    node, unknown_sender, other = make_channel("c0"), make_channel("s1"), make_channel("c1")
    for number in range(2 * channel_module.HELLO_ANSWERS_PER_SECOND):
        unknown_sender.send("c0", StatusRequest(number), float(number))
        for _, datagram in unknown_sender.take_datagrams():
            node.receive(datagram, WATCHER, 0.5)
    assert len(node.take_datagrams()) == channel_module.HELLO_ANSWERS_PER_SECOND
    other.send("c0", StatusRequest(1), 0.5)
    accepted = exchange({"c0": node, "c1": other}, 0.5)
    assert accepted == [("c0", "c1", StatusRequest(1))]


def test_hellos_to_a_flood_under_the_name_of_a_control_node_are_rate_limited() -> None:
    node, other = make_channel("c0"), make_channel("c1")
    for number in range(2 * channel_module.PEER_HELLO_ANSWERS_PER_SECOND):
        other.send("c0", StatusRequest(number), float(number))
        for _, datagram in other.take_datagrams():
            node.receive(datagram, ADDRESSES["c1"], 0.5)
    assert len(node.take_datagrams()) == channel_module.PEER_HELLO_ANSWERS_PER_SECOND
