"""A capture as the source of histories: what a daemon's clients sent is written, read back and handed in to
both sides; and replayed to a daemon at its recorded times."""

import asyncio
from pathlib import Path

import pytest

from conformance.sides import PATIENCE, SIDES, DaemonSide, Message
from conformance.test_generated import Plan, plan
from message_sender.pcap.capture import CapturedMessage, read_requests
from message_sender.pcap.replay import HttpReplayConnection, Replay
from message_sender.pcap.replay import plan as planned
from message_sender.pcap.traffic_tap import TrafficTap

SEEDS = (3, 5, 8, 21)  # plans without a restart, of all kinds


async def recorded(made: Plan, folder: Path) -> list[CapturedMessage]:
    """What clients sent to a daemon that writes its traffic, as its capture has it."""
    async with DaemonSide(folder / "recorded", made.acts) as side:
        tap = TrafficTap(folder / "captures", 10**7)
        side.sender.server.observer = side.sender.transport.observer = tap
        for message in made.messages:
            await side.hand_in(message)
        await side.all_ended(*(each.id for each in made.messages))
        port = side.sender.server.address()[1]
    tap.close()
    with (folder / "captures" / "capture-1.pcap").open("rb") as file:
        return [each for each in read_requests([file]) if each.flow.endpoints[1][1] == port]


def message_of(found: CapturedMessage) -> Message:
    fields = {name.lower(): value for name, value in found.message.headers}
    destination = int(fields["x-route-to"].removeprefix("dest="))
    kind, key = fields["x-service-class"], fields.get("x-session-key", "")
    return Message(fields["x-correlation-id"], kind, destination, key)


def folders(tmp_path: Path, *names: str) -> None:
    for name in names:
        (tmp_path / name).mkdir()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_capture_handed_in_to_both_sides_is_the_same_history(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        folders(tmp_path, "recorded", *SIDES)
        made = plan(seed)
        found = await recorded(made, tmp_path)
        assert [message_of(each) for each in found] == made.messages
        results = []
        for name, kind in SIDES.items():
            async with kind(tmp_path / name, made.acts) as side:
                for each in found:
                    await side.hand_in(message_of(each))
                await side.all_ended(*(each.id for each in made.messages))
                assert side.judge() == []
                results.append(side.result())
        assert results[0] == results[1]

    assert plan(seed).restart_after is None
    asyncio.run(asyncio.wait_for(test(), 4 * PATIENCE))


def has_no_line(made: Plan) -> bool:
    """No two of its messages keep an order, which connections of their own could not."""
    keys = [each.key for each in made.messages if each.key]
    return made.restart_after is None and len(keys) == len(set(keys))


def test_a_capture_replayed_to_a_daemon_breaks_no_rule(tmp_path: Path) -> None:
    async def test() -> None:
        folders(tmp_path, "recorded", "daemon")
        made = next(each for each in map(plan, range(240)) if has_no_line(each))
        found = await recorded(made, tmp_path)
        async with DaemonSide(tmp_path / "daemon", made.acts) as side:
            for message in made.messages:
                side.note(message)
            host, port = side.sender.server.address()[:2]
            outcome = await Replay(lambda: HttpReplayConnection.open(host, port)).run(planned(found))
            assert outcome.responses == {"202": len(made.messages)}
            await side.all_ended(*(each.id for each in made.messages))
            assert side.judge() == []

    asyncio.run(asyncio.wait_for(test(), 4 * PATIENCE))
