"""Requests of a daemon's clients are captured to a pcap file and read back.

They are then submitted to the daemon and to the plug-in, or replayed to a daemon at their recorded times.
"""

import asyncio
from pathlib import Path

import pytest

from conformance.sides import SIDES, TIMEOUT_S, DaemonSide, Message
from conformance.test_generated import Plan, draw_plan
from message_sender.pcap.capture import CapturedMessage, read_requests
from message_sender.pcap.replay import HttpReplayConnection, Replay
from message_sender.pcap.replay import plan as plan_replay
from message_sender.pcap.traffic_tap import TrafficTap

SEEDS = (3, 5, 8, 21)  # of plans without a restart; together they have messages of all classes


async def capture_requests(plan: Plan, folder: Path) -> list[CapturedMessage]:
    """Runs a plan on a daemon that captures its traffic, and returns the captured requests of its clients."""
    async with DaemonSide(folder / "recorded", plan.answers) as side:
        tap = TrafficTap(folder / "captures", 10**7)
        side.sender.server.observer = side.sender.transport.observer = tap
        for message in plan.messages:
            await side.submit(message)
        await side.wait_until_completed(*(message.id for message in plan.messages))
        port = side.sender.server.address()[1]
    tap.close()
    with (folder / "captures" / "capture-1.pcap").open("rb") as file:
        return [request for request in read_requests([file]) if request.flow.endpoints[1][1] == port]


def build_message(request: CapturedMessage) -> Message:
    """Returns the message that a captured request submitted."""
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
        plan = draw_plan(seed)
        captured = await capture_requests(plan, tmp_path)
        assert [build_message(request) for request in captured] == plan.messages
        results = []
        for name, side_type in SIDES.items():
            async with side_type(tmp_path / name, plan.answers) as side:
                for request in captured:
                    await side.submit(build_message(request))
                await side.wait_until_completed(*(message.id for message in plan.messages))
                assert side.find_violations() == []
                results.append(side.collect_result())
        assert results[0] == results[1]

    assert draw_plan(seed).restart_after is None
    asyncio.run(asyncio.wait_for(test(), 4 * TIMEOUT_S))


def has_no_ordering(plan: Plan) -> bool:
    """Returns whether a plan can be replayed: no restart, and no two messages of one key.

    A replay on several connections could not keep the order of a key.
    """
    keys = [message.key for message in plan.messages if message.key]
    return plan.restart_after is None and len(keys) == len(set(keys))


def test_a_replay_to_a_daemon_breaks_no_rule_of_the_history(tmp_path: Path) -> None:
    async def test() -> None:
        make_folders(tmp_path, "recorded", "daemon")
        plan = next(each for each in map(draw_plan, range(240)) if has_no_ordering(each))
        captured = await capture_requests(plan, tmp_path)
        async with DaemonSide(tmp_path / "daemon", plan.answers) as side:
            for message in plan.messages:
                side.record_admission(message)
            host, port = side.sender.server.address()[:2]
            outcome = await Replay(lambda: HttpReplayConnection.open(host, port)).run(plan_replay(captured))
            assert outcome.responses == {"202": len(plan.messages)}
            await side.wait_until_completed(*(message.id for message in plan.messages))
            assert side.find_violations() == []

    asyncio.run(asyncio.wait_for(test(), 4 * TIMEOUT_S))
