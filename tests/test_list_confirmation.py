"""Where lists are pushed to a local agent, no call goes to an address that only an outdated list names."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from helpers import MS, SECOND, endpoint, rejected_or_failed, sent_messages
from helpers import World as Policy
from peers import Peer, Request, Running, World, host, message, run_async_test, send_watch_line, with_timeout
from test_handover import replace_process, service

from message_sender.policy import list_confirmation
from message_sender.policy.events import (
    EndpointsUpdated,
    MessageAccepted,
    MessageRestored,
    WakeUp,
)
from message_sender.policy.list_confirmation import (
    SILENCE_KNOWN_US,
    START_LIMIT_US,
    WATCH_RESTART_LIMIT_US,
)
from message_sender.policy.model import ListingKind, Outcome

OTHER = 4  # a destination other than that of `host`
STALL_S = 0.3  # longer than a watch of a local agent may take to begin
SETTLE_S = 0.15  # in which a message that can be sent is sent
SILENT_FOR_US = 26 * SECOND // 10
FAILED = EndpointsUpdated(ListingKind.FAILED)


def listed(kind: ListingKind) -> EndpointsUpdated:
    return EndpointsUpdated(kind, (endpoint("a"),))


def started_policy(**settings: object) -> Policy:
    """A policy with a restored message and a cached list, behind its first iteration."""
    policy = Policy(must_poll=True, **({"has_local_list": True} | settings))
    restored = MessageRestored(MessageAccepted("m", "safe", 1, 20 * SECOND), 0, None, "")
    assert sent_messages(policy.step(listed(ListingKind.CACHED), restored)) == []
    return policy


def test_a_restored_message_waits_for_the_first_list_of_the_process() -> None:
    policy = started_policy()
    assert sent_messages(policy.step(FAILED, after=SECOND)) == []
    assert sent_messages(policy.step(listed(ListingKind.FULL), after=SECOND)) == ["m"]


def test_an_operators_order_is_no_list_to_a_process_that_waits_for_its_first_one() -> None:
    policy = started_policy()
    assert sent_messages(policy.step(listed(ListingKind.CHANGES), after=SECOND)) == []
    assert sent_messages(policy.step(listed(ListingKind.FULL), after=SECOND)) == ["m"]


def test_the_wait_for_the_first_list_is_bounded_and_wakes_the_policy() -> None:
    policy = started_policy()
    assert policy.dispatcher.wake_at <= START_LIMIT_US
    assert sent_messages(policy.step(WakeUp(), after=START_LIMIT_US - 1)) == []
    assert sent_messages(policy.step(WakeUp(), after=1)) == ["m"]


def test_messages_are_accepted_and_end_in_their_time_while_calls_wait_for_a_list() -> None:
    policy = started_policy()
    assert rejected_or_failed(policy.accept(time_left_us=2 * SECOND)) == []
    ended = rejected_or_failed(policy.step(WakeUp(), after=2 * SECOND - policy.dispatcher.settings.tick))
    assert [each.message for each in ended] == ["m1"]


@pytest.mark.parametrize("settings", [{"has_local_list": False}, {"must_poll": False}])
def test_nothing_waits_where_discovery_is_asked_or_the_list_is_static(settings: dict[str, bool]) -> None:
    policy = Policy(**({"must_poll": True, "has_local_list": True} | settings))
    restored = MessageRestored(MessageAccepted("m", "safe", 1, 20 * SECOND), 0, None, "")
    assert sent_messages(policy.step(listed(ListingKind.CACHED), restored)) == ["m"]


def test_calls_wait_once_for_the_next_list_when_a_watch_has_ended() -> None:
    policy = started_policy()
    policy.step(listed(ListingKind.FULL))
    policy.step(FAILED, after=SECOND)
    assert sent_messages(policy.accept(after=MS)) == []
    policy.step(FAILED, after=WATCH_RESTART_LIMIT_US - 2 * MS)
    assert sent_messages(policy.step(WakeUp(), after=MS)) == ["m1"]
    policy.step(FAILED, after=MS)
    assert sent_messages(policy.accept(after=MS)) == ["m2"]


def silent_policy() -> Policy:
    """A policy whose watch has ended 2.6 s after it fell silent, and that has had no list since."""
    policy = started_policy()
    policy.step(listed(ListingKind.FULL))
    policy.dispatcher.watch_fell_silent(policy.now + SECOND - SILENT_FOR_US)
    policy.step(FAILED, after=SECOND)
    return policy


def test_calls_wait_for_a_list_from_when_the_changes_that_a_silent_watch_missed_are_known() -> None:
    policy = silent_policy()
    policy.step(FAILED, after=WATCH_RESTART_LIMIT_US)
    left = SILENCE_KNOWN_US - SILENT_FOR_US - WATCH_RESTART_LIMIT_US
    assert sent_messages(policy.accept(after=left - 1)) == ["m1"]
    policy.end_attempt("m1", Outcome.OK, after=0)
    assert sent_messages(policy.accept(after=1)) == []
    assert policy.dispatcher.holds_calls(policy.now)
    assert sent_messages(policy.step(listed(ListingKind.FULL), after=SECOND)) == ["m2"]


def test_the_wait_after_a_silent_watch_is_bounded_and_wakes_the_policy() -> None:
    policy = silent_policy()
    assert sent_messages(policy.accept(after=SILENCE_KNOWN_US - SILENT_FOR_US)) == []
    end = policy.now + START_LIMIT_US
    assert policy.now < policy.dispatcher.wake_at <= end
    assert sent_messages(policy.step(WakeUp(), after=START_LIMIT_US - 1)) == []
    assert sent_messages(policy.step(WakeUp(), after=1)) == ["m1"]


def test_a_list_in_time_after_a_silent_watch_makes_no_call_wait() -> None:
    policy = silent_policy()
    policy.step(listed(ListingKind.FULL), after=SECOND)
    assert sent_messages(policy.accept(after=SILENCE_KNOWN_US)) == ["m1"]


def test_an_agent_whose_watches_end_at_once_does_not_stop_all_calls() -> None:
    policy = started_policy()
    for _ in range(3):
        policy.step(listed(ListingKind.FULL), after=50 * MS)
        policy.step(FAILED, after=50 * MS)
    assert len(sent_messages(policy.accept(after=MS))) == 1


def test_the_first_call_of_a_member_of_a_fleet_is_delayed_once_its_list_has_arrived() -> None:
    policy = started_policy(fleet_size=40)
    assert sent_messages(policy.step(listed(ListingKind.FULL), after=2 * SECOND)) == []
    assert policy.dispatcher.destinations[1].breakers[0].wait_until > policy.now


# Real sockets.


async def restart(world: World, scenario: Callable[[Running], Awaitable[None]]) -> None:
    """Stops the sender and starts another one on its folder, with the list that the first one had."""
    world.sender.stop(0)
    await world.running.task
    async with Running(world.config, world.state) as running:
        await scenario(running)


async def owe_message(world: World) -> None:
    """Makes the sender owe a message whose call was rejected."""
    await world.submit("m")
    (await world.receiver.next()).answer(503)
    while world.sender.engine.attempts.calls:
        await asyncio.sleep(0.005)


class SlowAgent:
    """Answers the requests for the list of an agent: late, in two parts, or not at all for some time."""

    def __init__(self, world: World, delay_s: float, pause_s: float = 0.0) -> None:
        self.world, self.delay_s, self.pause_s = world, delay_s, pause_s
        self.list = world.platform.agent_list
        world.platform.agent_list = None
        self.is_silent = True
        asyncio.get_running_loop().call_later(delay_s, self.speak)

    def speak(self) -> None:
        self.is_silent = False

    async def serve(self) -> None:
        while True:
            request: Request = await self.world.platform.requests.get()
            if request.target == "/v1/notices":
                request.answer(204)
            elif not self.is_silent:
                text = json.dumps(self.list)
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n"
                request.write(head + text[: len(text) // 2])
                await asyncio.sleep(self.pause_s)
                request.write(text[len(text) // 2 :])


@pytest.mark.parametrize(("delay_s", "pause_s"), [(0.0, 0.0), (1.0, 0.0), (0.0, 0.4)])
def test_a_message_kept_over_a_restart_goes_to_no_process_at_an_old_address(
    delay_s: float, pause_s: float, tmp_path: Path
) -> None:
    """Another destination's receiver is at the address of the cached list; the agent knows where to call."""

    @run_async_test
    async def test(state: Path) -> None:
        async with World(state, mode="pushed") as world, Peer() as moved:
            await owe_message(world)
            new = [host(world.receiver.dial, "n", block=OTHER), host(moved.dial, "s")]
            world.platform.agent_list = {"seq": 60, "whole": True, "hosts": new}
            agent = SlowAgent(world, delay_s, pause_s)
            serving = asyncio.create_task(agent.serve())

            async def scenario(_: Running) -> None:
                call = await with_timeout(moved.requests.get())
                assert call.id == "m" and world.receiver.requests.empty()
                call.answer(200)

            await restart(world, scenario)
            serving.cancel()

    test(tmp_path)


def test_a_successor_of_a_running_process_calls_no_address_of_its_predecessors_list(tmp_path: Path) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        async with service(folder, mode="pushed") as (platform, receiver, discovery), Peer() as moved:
            discovery.agent_list = {"seq": 41, "whole": True, "hosts": [host(receiver.dial)]}
            old = await platform.start()
            client = await platform.connect()
            assert (await client.request(message("m"))).status == 202
            (await receiver.next()).answer(429, "Retry-After: 1")
            new_hosts = [host(receiver.dial, "n", block=OTHER), host(moved.dial, "s")]
            discovery.agent_list = {"seq": 60, "whole": True, "hosts": new_hosts}
            await replace_process(platform, old)
            call = await with_timeout(moved.requests.get())
            assert call.id == "m" and receiver.requests.empty()
            call.answer(200)

    test(tmp_path)


@pytest.mark.parametrize("stalled_step", ["none", "first watch", "list replaced", "watch ended"])
def test_a_call_that_connects_while_the_watch_ends_is_not_sent_on_the_old_list(
    stalled_step: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stall, in which sender and agent stand still, neither ends the wait nor prevents it."""
    monkeypatch.setattr(list_confirmation, "WATCH_RESTART_LIMIT_US", 60 * SECOND)
    monkeypatch.setattr(list_confirmation, "WATCH_RESTART_INTERVAL_US", 0)

    def stall_at(step: str) -> None:
        if step == stalled_step:
            time.sleep(STALL_S)

    @run_async_test
    async def test(state: Path) -> None:
        async with World(state, mode="pushed") as world, Peer() as moved:
            await with_timeout(world.platform.watches.get())
            stall_at("first watch")
            transport, connect = world.sender.transport, world.sender.transport.connect
            is_connecting, may_connect = asyncio.Event(), asyncio.Event()

            async def connect_later(address: tuple[str, int]) -> object:
                is_connecting.set()
                await may_connect.wait()
                return await connect(address)

            transport.connect = connect_later  # type: ignore[method-assign, assignment]
            await world.submit("m")
            await with_timeout(is_connecting.wait())
            new = [host(world.receiver.dial, "n", block=OTHER), host(moved.dial, "s")]
            world.platform.agent_list = {"seq": 60, "whole": True, "hosts": new}
            stall_at("list replaced")
            for watch in world.platform.watched:
                watch.abort()
            stall_at("watch ended")
            await asyncio.sleep(0)
            may_connect.set()
            call = await with_timeout(moved.requests.get())
            assert call.id == "m" and world.receiver.requests.empty()
            call.answer(200)

    test(tmp_path)


def test_a_lower_version_of_the_list_makes_the_sender_fetch_it_whole(tmp_path: Path) -> None:
    @run_async_test
    async def test(state: Path) -> None:
        async with World(state) as world, Peer() as moved:
            watch = await with_timeout(world.platform.watches.get())
            send_watch_line(watch, 3, host("127.0.0.1:9", "x", block=9))
            request = await world.platform.next()
            assert request.target == "/registry/instances"
            hosts = [host(moved.dial, "s")]
            request.answer(200, body=json.dumps({"seq": 4, "whole": True, "hosts": hosts}))
            await world.submit("m")
            (await moved.next()).answer(200)

    test(tmp_path)
