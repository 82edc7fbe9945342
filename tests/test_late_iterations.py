"""Unread data after a late loop iteration takes effect before anything is sent on older information.

A peer's action has reached the system's buffers when its call returns, and the test then calls the sender's
loop iteration directly. This reproduces a process that got no core between polling its sockets and acting on
the result.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from peers import Request, Running, World, config_json, host, run_async_test, sample_message, send_watch_line
from socket_faults import next_iteration, until
from test_disconnects import LateSender

from message_sender.core.event_loop_lag import FIRST_BUCKET_S, REPORT_INTERVAL_S, REPORTED_LAG_S, EventLoopLag
from message_sender.core.ports import AttemptResult, Completion, Rejected, SendPermission
from message_sender.policy.actions import CancelAttempt
from message_sender.policy.events import AttemptEnded, WakeUp
from message_sender.policy.model import Outcome


class WaitingCaller:
    """A caller that waits for its completion; a rejection or withdrawal fails the test."""

    def __init__(self) -> None:
        self.completions: list[Completion] = []

    def is_gone(self) -> bool:
        return False

    def accepted(self) -> bool:
        return True

    def rejected(self, rejection: Rejected) -> None:
        raise AssertionError(rejection)

    def withdrawn(self) -> None:
        raise AssertionError

    def completed(self, completion: Completion) -> None:
        self.completions.append(completion)


class Scenario:
    """A sender with one call in flight at its receiver, and a second, idle connection to the receiver."""

    def __init__(self, world: World) -> None:
        self.world, self.engine, self.late_sender = world, world.sender.engine, LateSender(world)
        self.engine.dispatcher.stops_at = float("inf")
        self.caller = WaitingCaller()

    def submit(self, message_id: str, **changes: Any) -> WaitingCaller:  # noqa: ANN401
        caller = WaitingCaller()
        deadline_us = self.engine.now() + changes.pop("left", 8_000_000)
        fields = {
            "id": message_id,
            "deadline_us": deadline_us,
            "body": b"x",
            "is_repeat": False,
            "extras": (),
        }
        fields |= {"message_class": "c", "destination": 3, "tenant": "", "key": "", "idempotency_key": "i"}
        self.engine.submit(type(sample_message())(**fields | changes), caller)
        return caller

    async def start(self, **changes: Any) -> Request:  # noqa: ANN401
        self.watch = await self.world.platform.watches.get()
        self.submit("first"), self.submit("m", **changes)
        self.caller = self.engine.table.arrivals["m"][1]  # type: ignore[assignment]
        requests = {each.id: each for each in [await self.world.receiver.next() for _ in range(2)]}
        requests["first"].answer(200)
        idle_connections, entries = self.world.sender.transport.idle, self.engine.journal.entries
        await until(lambda: bool(idle_connections) and "first" not in entries)
        return requests["m"]

    def new_calls(self) -> list[str]:
        """Ids of the messages whose calls arrived since the last time."""
        requests, ids = self.world.receiver.requests, []
        while not requests.empty():
            ids.append(requests.get_nowait().id)
        return ids

    def before_first_byte(self, action: Callable[[], None]) -> None:
        """Performs an action between the iteration that decides on a call and the call's first byte."""
        transport = self.world.sender.transport
        take_idle = transport.take_idle

        def take_idle_after_action(endpoint: str) -> Any:  # noqa: ANN401
            action()
            return take_idle(endpoint)

        transport.take_idle = take_idle_after_action  # type: ignore[method-assign]

    async def run_iterations(self, count: int = 30) -> None:
        for _ in range(count):
            await next_iteration()


def run_scenario(
    **kind: object,
) -> Callable[[Callable[[Scenario], Coroutine[Any, Any, None]]], Callable[[Path], None]]:
    def wrap(test: Callable[[Scenario], Coroutine[Any, Any, None]]) -> Callable[[Path], None]:
        async def run(state: Path) -> None:
            async with World(state, **kind) as world:
                await test(Scenario(world))

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run_async_test(run)

    return wrap


RETRY_AFTER = "Retry-After: 5"


@run_scenario()
async def test_unread_retry_after_holds_back_a_new_message(scenario: Scenario) -> None:
    request = await scenario.start()
    scenario.submit("n")
    request.answer(429, RETRY_AFTER)
    scenario.engine.run_iteration()
    await scenario.run_iterations()
    assert scenario.new_calls() == [] and not scenario.engine.attempts.calls


@run_scenario()
async def test_retry_after_received_before_the_first_byte_stops_the_call(scenario: Scenario) -> None:
    request = await scenario.start()
    scenario.submit("n")
    scenario.before_first_byte(lambda: request.answer(429, RETRY_AFTER))
    await scenario.run_iterations()
    assert scenario.new_calls() == [] and not scenario.engine.attempts.calls


@run_scenario()
async def test_unread_retry_after_holds_back_a_call_that_a_timer_starts(scenario: Scenario) -> None:
    request = await scenario.start()
    scenario.engine.retry_after_received("r", 100_000)
    scenario.submit("n")
    scenario.engine.run_iteration()
    scenario.late_sender.clock_offset += 0.3
    request.answer(429, RETRY_AFTER)
    scenario.engine.post(WakeUp())
    scenario.engine.run_iteration()
    await scenario.run_iterations()
    assert scenario.new_calls() == [] and "n" in scenario.engine.dispatcher.messages


@run_scenario()
async def test_unread_retry_after_of_a_call_past_its_deadline_is_observed(scenario: Scenario) -> None:
    request = await scenario.start(left=1_000_000)
    request.answer(429, RETRY_AFTER)
    scenario.late_sender.clock_offset += 1.2  # one loop iteration finds both the answer and the deadline
    await until(lambda: not scenario.engine.attempts.calls)
    scenario.submit("n")
    scenario.engine.run_iteration()
    await scenario.run_iterations()
    assert scenario.new_calls() == [] and len(scenario.caller.completions) == 1


@pytest.mark.parametrize(
    "is_before_iteration", [True, False], ids=["before the iteration", "before the first byte"]
)
@pytest.mark.parametrize("is_full_list", [True, False])
def test_unread_drain_holds_back_a_new_message(
    is_before_iteration: bool, is_full_list: bool, tmp_path: Path
) -> None:
    @run_scenario()
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        scenario.submit("n")
        hosts = () if is_full_list else (host(scenario.world.receiver.dial, health="draining"),)
        if is_before_iteration:
            send_watch_line(scenario.watch, 42, *hosts, whole=is_full_list)
            scenario.engine.run_iteration()
        else:
            scenario.before_first_byte(
                lambda: send_watch_line(scenario.watch, 42, *hosts, whole=is_full_list)
            )
        await scenario.run_iterations()
        assert scenario.new_calls() == [] and "n" in scenario.engine.dispatcher.messages

    test(tmp_path)


@run_scenario()
async def test_malformed_line_found_by_polling_ends_the_watch(scenario: Scenario) -> None:
    await scenario.start()
    scenario.watch.write("5\r\nnoise\r\n2\r\n\n\n\r\n")
    scenario.engine.attempts.poll_unread()
    new_watches = scenario.world.platform.watches
    list_polling = scenario.engine.dispatcher.registry.list_polling
    list_polling.next_poll_at = float("inf")
    await until(lambda: list_polling.next_poll_at < float("inf"))  # the watch has failed
    assert scenario.engine.defect == "" and new_watches.empty()


@pytest.mark.parametrize(
    ("status", "outcome"), [(200, None), (500, Outcome.ERROR), (429, Outcome.FULL), (503, Outcome.FULL)]
)
def test_unread_answer_is_the_result_of_a_cancelled_call(
    status: int, outcome: Outcome | None, tmp_path: Path
) -> None:
    """Guards against sending a delivered message again, and against blaming a destination that served it."""

    @run_scenario()
    async def test(scenario: Scenario) -> None:
        request = await scenario.start()
        posted: list[AttemptEnded] = []
        post = scenario.engine.post
        scenario.engine.post = lambda event: (posted.append(event), post(event))  # type: ignore
        request.answer(status)
        scenario.engine.act(CancelAttempt("m", 0), set())
        await until(lambda: any(isinstance(each, AttemptEnded) for each in posted))
        (ended,) = [each for each in posted if isinstance(each, AttemptEnded)]
        assert ended.outcome is (outcome or Outcome.OK) and ended.finished is (outcome is None)

    test(tmp_path)


@run_scenario(serial_by_key=True)
async def test_key_continues_at_once_after_a_cancelled_call_with_an_unread_answer(scenario: Scenario) -> None:
    """A key pauses for 100 ms after a call that may still run, but not after one with an unread answer."""
    request = await scenario.start(key="k")
    scenario.submit("next", key="k")
    scenario.engine.run_iteration()
    request.answer(200)
    scenario.engine.act(CancelAttempt("m", 0), set())
    assert (await scenario.world.receiver.next()).id == "next"
    assert len(scenario.caller.completions) == 1


@run_scenario()
async def test_idle_connection_closed_by_the_peer_is_not_used(scenario: Scenario) -> None:
    await scenario.start()
    (idle,) = scenario.world.sender.transport.idle
    for writer in scenario.world.receiver.writers:
        if writer.transport.get_extra_info("peername") == idle.sock.getsockname():
            writer.transport.abort()
    await next_iteration()
    scenario.engine.attempts.poll_unread()
    assert not scenario.world.sender.transport.idle and idle.sock.fileno() < 0


class LateTransport:
    """A transport that receives answers some loop iterations late, as from the threads of a library."""

    reads_late = True

    def __init__(self, engine: Any) -> None:  # noqa: ANN401
        self.engine, self.sent_ids, self.futures = engine, [], {}  # type: ignore[var-annotated]

    async def call(
        self,
        endpoint: str,
        message: Any,  # noqa: ANN401
        timeout: float,
        permission: SendPermission,
    ) -> AttemptResult:
        if not permission.may_begin():
            return AttemptResult(Outcome.NOT_SENT)
        self.sent_ids.append(message.id)
        self.futures[message.id] = asyncio.get_running_loop().create_future()
        return await self.futures[message.id]  # type: ignore[no-any-return]

    def deliver_later(self, name: str, answer: AttemptResult, iterations: int = 3) -> None:
        """Delivers a result some loop iterations later, as a completion queue does."""
        if iterations:
            asyncio.get_running_loop().call_soon(self.deliver_later, name, answer, iterations - 1)
            return
        if answer.retry_after_us:
            self.engine.retry_after_received("r", answer.retry_after_us)
        if not self.futures[name].done():
            self.futures[name].set_result(answer)

    def poll_unread(self) -> None: ...
    def close_expired(self) -> None: ...
    def endpoints_changed(self) -> None: ...
    def close(self) -> None: ...
    def close_idle(self, endpoint: str) -> None: ...


@pytest.mark.parametrize("late", [True, False])
def test_transport_that_reads_late_is_given_time_after_a_late_iteration(late: bool, tmp_path: Path) -> None:
    """On a loop without lag, its calls do not wait."""

    @run_scenario()
    async def test(scenario: Scenario) -> None:
        transport = scenario.engine.transport = LateTransport(scenario.engine)
        scenario.submit("m")
        await until(lambda: transport.sent_ids == ["m"])
        scenario.submit("n")
        scenario.late_sender.clock_offset += 0.2 if late else 0.0
        transport.deliver_later("m", AttemptResult(Outcome.FULL, retry_after_us=5_000_000))
        scenario.engine.run_iteration()
        await until(
            lambda: (
                "n" not in {name for name, _ in scenario.engine.attempts.calls}
                or transport.sent_ids == ["m", "n"]
            )
        )
        assert transport.sent_ids == (["m"] if late else ["m", "n"])

    test(tmp_path)


def test_transport_that_reads_late_receives_an_answer_before_a_cancellation(tmp_path: Path) -> None:
    @run_scenario()
    async def test(scenario: Scenario) -> None:
        transport = scenario.engine.transport = LateTransport(scenario.engine)
        caller = scenario.submit("m")
        await until(lambda: transport.sent_ids == ["m"])
        scenario.engine.inbox_since = scenario.engine.loop.time() - 0.2
        transport.deliver_later("m", AttemptResult(Outcome.OK, is_final=True))
        scenario.engine.act(CancelAttempt("m", 0), set())
        await until(lambda: bool(caller.completions))
        assert caller.completions[0].state.value == "delivered" and transport.sent_ids == ["m"]

    test(tmp_path)


# Event loop lag.


@pytest.mark.parametrize("seed", range(5))
def test_percentile_is_at_most_a_tenth_too_high(seed: int) -> None:
    rng, lag = random.Random(seed), EventLoopLag(0.0)
    samples = sorted(rng.expovariate(1 / 10 ** rng.uniform(-4, 0)) for _ in range(2000))
    for each in samples:
        lag.note(each)
    for share in (0.5, 0.9, 0.99, 0.999, 1.0):
        exact = samples[max(round(share * len(samples)) - 1, 0)]
        assert (
            max(exact, FIRST_BUCKET_S)
            <= lag.percentile(share) * (1 + 1e-9)
            <= max(exact, FIRST_BUCKET_S) * 1.1001
        )


def test_late_loop_is_logged_with_message_counts_and_a_timely_one_is_not(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING)
    lag = EventLoopLag(0.0)
    lag.note(REPORTED_LAG_S / 2)
    lag.record(REPORT_INTERVAL_S, 3, 2)
    assert not caplog.records
    lag.note(REPORTED_LAG_S * 4)
    lag.record(REPORT_INTERVAL_S * 1.5, 3, 2)  # the interval is not over
    assert not caplog.records
    lag.record(REPORT_INTERVAL_S * 2, 30, 20)
    assert "max_ms=200 " in caplog.text and "messages=30 calls=20" in caplog.text
    assert lag.count == 0 and lag.max_lag_s == 0.0


@run_async_test
async def test_stopped_sender_closes_its_epoll_descriptor(state: Path) -> None:
    async with World(state) as world:
        config = config_json(world.platform, host(world.receiver.dial))
        async with Running(config, state / "..") as running:
            epoll = running.sender.transport.unread.epoll
        assert epoll.closed
