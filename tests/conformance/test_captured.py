"""Captures as a source of histories: the requests of a daemon's clients are captured and read back.

They are then submitted to the daemon and to the plug-in, or replayed to a daemon at their recorded times.
"""

import asyncio
from pathlib import Path

import pytest

from conformance.sides import PATIENCE, SIDES, DaemonSide, Message
from conformance.test_generated import Plan, plan
from message_sender.pcap.capture import CapturedMessage, read_requests
from message_sender.pcap.replay import HttpReplayConnection, Replay
from message_sender.pcap.replay import plan as plan_replay
from message_sender.pcap.traffic_tap import TrafficTap

SEEDS = (3, 5, 8, 21)  # of plans without a restart, of all kinds


async def capture_requests(scenario: Plan, folder: Path) -> list[CapturedMessage]:
    """Runs a plan on a daemon that captures its traffic, and returns the captured requests of its clients."""
    async with DaemonSide(folder / "recorded", scenario.acts) as side:
        tap = TrafficTap(folder / "captures", 10**7)
        side.sender.server.observer = side.sender.transport.observer = tap
        for message in scenario.messages:
            await side.hand_in(message)
        await side.all_ended(*(message.id for message in scenario.messages))
        port = side.sender.server.address()[1]
    tap.close()
    with (folder / "captures" / "capture-1.pcap").open("rb") as file:
        return [request for request in read_requests([file]) if request.flow.endpoints[1][1] == port]


def message_of(request: CapturedMessage) -> Message:
    fields = {name.lower(): value for name, value in request.message.headers}
    destination = int(fields["x-route-to"].removeprefix("dest="))
    message_class, key = fields["x-service-class"], fields.get("x-session-key", "")
    return Message(fields["x-correlation-id"], message_class, destination, key)


def make_folders(tmp_path: Path, *names: str) -> None:
    for name in names:
        (tmp_path / name).mkdir()


@pytest.mark.parametrize("seed", SEEDS)
def test_captured_requests_give_the_same_history_on_daemon_and_plugin(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        make_folders(tmp_path, "recorded", *SIDES)
        scenario = plan(seed)
        captured = await capture_requests(scenario, tmp_path)
        assert [message_of(request) for request in captured] == scenario.messages
        results = []
        for name, side_class in SIDES.items():
            async with side_class(tmp_path / name, scenario.acts) as side:
                for request in captured:
                    await side.hand_in(message_of(request))
                await side.all_ended(*(message.id for message in scenario.messages))
                assert side.judge() == []
                results.append(side.result())
        assert results[0] == results[1]

    assert plan(seed).restart_after is None
    asyncio.run(asyncio.wait_for(test(), 4 * PATIENCE))


def has_no_ordering(scenario: Plan) -> bool:
    """Whether no two messages share a key: a replay on several connections could not keep their order."""
    keys = [message.key for message in scenario.messages if message.key]
    return scenario.restart_after is None and len(keys) == len(set(keys))


def test_a_replay_to_a_daemon_breaks_no_rule_of_the_history(tmp_path: Path) -> None:
    async def test() -> None:
        make_folders(tmp_path, "recorded", "daemon")
        scenario = next(each for each in map(plan, range(240)) if has_no_ordering(each))
        captured = await capture_requests(scenario, tmp_path)
        async with DaemonSide(tmp_path / "daemon", scenario.acts) as side:
            for message in scenario.messages:
                side.note(message)
            host, port = side.sender.server.address()[:2]
            outcome = await Replay(lambda: HttpReplayConnection.open(host, port)).run(plan_replay(captured))
            assert outcome.responses == {"202": len(scenario.messages)}
            await side.all_ended(*(message.id for message in scenario.messages))
            assert side.judge() == []

    asyncio.run(asyncio.wait_for(test(), 4 * PATIENCE))
