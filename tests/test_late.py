"""What lies unread when a late loop goes on: it binds before anything leaves on what was heard before.

A peer's act here is done, in the system, when its call returns, and the sender's turn is then called by hand:
that is a process that was given no core between looking at its sockets and acting on what it found.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from faults import turn, until
from peers import Request, Running, World, config_json, handed_in, host, play, tell
from test_storms import Late

from message_sender.core.event_loop_lag import FIRST_BUCKET_S, REPORT_INTERVAL_S, REPORTED_LAG_S, EventLoopLag
from message_sender.core.ports import AttemptResult, Completion, Rejected
from message_sender.policy.actions import CancelAttempt
from message_sender.policy.events import AttemptEnded, WakeUp
from message_sender.policy.model import Outcome


class Waiting:
    """A caller that hears everything."""

    def __init__(self) -> None:
        self.ends: list[Completion] = []

    def is_gone(self) -> bool:
        return False

    def accepted(self) -> bool:
        return True

    def rejected(self, told: Rejected) -> None:
        raise AssertionError(told)

    def withdrawn(self) -> None:
        raise AssertionError

    def completed(self, end: Completion) -> None:
        self.ends.append(end)


class Scene:
    """A sender with one call out at its receiver, and a second connection to it kept idle."""

    def __init__(self, world: World) -> None:
        self.world, self.engine, self.late = world, world.sender.engine, Late(world)
        self.engine.dispatcher.stops_at = float("inf")
        self.caller = Waiting()

    def take(self, name: str, **changes: Any) -> Waiting:  # noqa: ANN401
        caller = Waiting()
        until = self.engine.now() + changes.pop("left", 8_000_000)
        fields = {"id": name, "deadline_us": until, "body": b"x", "is_repeat": False, "extras": ()}
        fields |= {"message_class": "c", "destination": 3, "tenant": "", "key": "", "idempotency_key": "i"}
        self.engine.take(type(handed_in())(**fields | changes), caller)
        return caller

    async def begin(self, **changes: Any) -> Request:  # noqa: ANN401
        self.watch = await self.world.platform.watches.get()
        self.take("first"), self.take("m", **changes)
        self.caller = self.engine.table.arrivals["m"][1]  # type: ignore[assignment]
        requests = {each.id: each for each in [await self.world.receiver.next() for _ in range(2)]}
        requests["first"].answer(200)
        kept, owed = self.world.sender.transport.idle, self.engine.journal.entries
        await until(lambda: bool(kept) and "first" not in owed)
        return requests["m"]

    def calls(self) -> list[str]:
        """Messages whose calls have come since."""
        requests, found = self.world.receiver.requests, []
        while not requests.empty():
            found.append(requests.get_nowait().id)
        return found

    def as_a_call_begins(self, act: Callable[[], None]) -> None:
        """Does it between the turn that decides on a call and the call's first byte."""
        transport = self.world.sender.transport
        take_idle = transport.take_idle

        def acting(endpoint: str) -> Any:  # noqa: ANN401
            act()
            return take_idle(endpoint)

        transport.take_idle = acting  # type: ignore[method-assign]

    async def passes(self, count: int = 30) -> None:
        for _ in range(count):
            await turn()


def scene(**kind: object) -> Callable[[Callable[[Scene], Coroutine[Any, Any, None]]], Callable[[Path], None]]:
    def wrap(test: Callable[[Scene], Coroutine[Any, Any, None]]) -> Callable[[Path], None]:
        async def run(state: Path) -> None:
            async with World(state, **kind) as world:
                await test(Scene(world))

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return play(run)

    return wrap


WAIT = "Retry-After: 5"


@scene()
async def test_a_wait_that_lies_unread_binds_a_message_that_came_meanwhile(s: Scene) -> None:
    request = await s.begin()
    s.take("n")
    request.answer(429, WAIT)
    s.engine.run_iteration()
    await s.passes()
    assert s.calls() == [] and not s.engine.attempts.calls


@scene()
async def test_a_wait_that_came_after_the_turn_binds_until_the_first_byte(s: Scene) -> None:
    request = await s.begin()
    s.take("n")
    s.as_a_call_begins(lambda: request.answer(429, WAIT))
    await s.passes()
    assert s.calls() == [] and not s.engine.attempts.calls


@scene()
async def test_a_wait_that_lies_unread_binds_what_a_timer_sends(s: Scene) -> None:
    request = await s.begin()
    s.engine.retry_after_received("r", 100_000)
    s.take("n")
    s.engine.run_iteration()
    s.late.passed += 0.3
    request.answer(429, WAIT)
    s.engine.post(WakeUp())
    s.engine.run_iteration()
    await s.passes()
    assert s.calls() == [] and "n" in s.engine.dispatcher.messages


@scene()
async def test_a_wait_in_a_call_whose_time_is_up_unread_binds(s: Scene) -> None:
    request = await s.begin(left=1_000_000)
    request.answer(429, WAIT)
    s.late.passed += 1.2  # the loop finds the answer and the end of its time in one pass
    await until(lambda: not s.engine.attempts.calls)
    s.take("n")
    s.engine.run_iteration()
    await s.passes()
    assert s.calls() == [] and len(s.caller.ends) == 1


@pytest.mark.parametrize("before", [True, False], ids=["before the turn", "before the byte"])
@pytest.mark.parametrize("whole", [True, False])
def test_a_drain_that_lies_unread_binds(before: bool, whole: bool, tmp_path: Path) -> None:
    @scene()
    async def test(s: Scene) -> None:
        await s.begin()
        s.take("n")
        hosts = () if whole else (host(s.world.receiver.dial, health="draining"),)
        if before:
            tell(s.watch, 42, *hosts, whole=whole)
            s.engine.run_iteration()
        else:
            s.as_a_call_begins(lambda: tell(s.watch, 42, *hosts, whole=whole))
        await s.passes()
        assert s.calls() == [] and "n" in s.engine.dispatcher.messages

    test(tmp_path)


@scene()
async def test_a_line_that_a_look_cannot_read_ends_the_watch_as_ever(s: Scene) -> None:
    await s.begin()
    s.watch.write("5\r\nnoise\r\n2\r\n\n\n\r\n")
    s.engine.attempts.poll_unread()
    tell_again = s.world.platform.watches
    calls = s.engine.dispatcher.registry.list_polling
    calls.next_poll_at = float("inf")
    await until(lambda: calls.next_poll_at < float("inf"))  # it has failed
    assert s.engine.defect == "" and tell_again.empty()


@pytest.mark.parametrize(
    ("status", "outcome"), [(200, None), (500, Outcome.ERROR), (429, Outcome.FULL), (503, Outcome.FULL)]
)
def test_an_answer_that_lies_unread_as_its_call_is_called_off_is_its_fate(
    status: int, outcome: Outcome | None, tmp_path: Path
) -> None:
    """Else a delivered message would be sent again, and a served destination blamed."""

    @scene()
    async def test(s: Scene) -> None:
        request = await s.begin()
        heard: list[AttemptEnded] = []
        post = s.engine.post
        s.engine.post = lambda event: (heard.append(event), post(event))  # type: ignore
        request.answer(status)
        s.engine.act(CancelAttempt("m", 0), set())
        await until(lambda: any(isinstance(each, AttemptEnded) for each in heard))
        (ended,) = [each for each in heard if isinstance(each, AttemptEnded)]
        assert ended.outcome is (outcome or Outcome.OK) and ended.finished is (outcome is None)

    test(tmp_path)


@scene(serial_by_key=True)
async def test_a_key_goes_on_at_once_after_a_served_call_that_was_called_off_unread(s: Scene) -> None:
    """Its rest of 100 ms follows what may still run; an answer that only lay unread is none of that."""
    request = await s.begin(key="k")
    s.take("next", key="k")
    s.engine.run_iteration()
    request.answer(200)
    s.engine.act(CancelAttempt("m", 0), set())
    assert (await s.world.receiver.next()).id == "next"
    assert len(s.caller.ends) == 1


@scene()
async def test_a_kept_connection_that_has_ended_unseen_is_not_used(s: Scene) -> None:
    await s.begin()
    (idle,) = s.world.sender.transport.idle
    for writer in s.world.receiver.writers:
        if writer.transport.get_extra_info("peername") == idle.sock.getsockname():
            writer.transport.abort()
    await turn()
    s.engine.attempts.poll_unread()
    assert not s.world.sender.transport.idle and idle.sock.fileno() < 0


class DeafTransport:
    """It hears what an endpoint told some passes of the loop after it came, as from a library's threads."""

    reads_late = True

    def __init__(self, engine: Any) -> None:  # noqa: ANN401
        self.engine, self.went, self.fates = engine, [], {}  # type: ignore[var-annotated]

    async def call(
        self,
        endpoint: str,
        message: Any,  # noqa: ANN401
        timeout: float,
        may_go: Callable[[], bool],
    ) -> AttemptResult:
        if not may_go():
            return AttemptResult(Outcome.NOT_SENT)
        self.went.append(message.id)
        self.fates[message.id] = asyncio.get_running_loop().create_future()
        return await self.fates[message.id]  # type: ignore[no-any-return]

    def tells_later(self, name: str, answer: AttemptResult, passes: int = 3) -> None:
        """As a completion queue: the answer is here, and its reader's turn is some passes away."""
        if passes:
            asyncio.get_running_loop().call_soon(self.tells_later, name, answer, passes - 1)
            return
        if answer.retry_after_us:
            self.engine.retry_after_received("r", answer.retry_after_us)
        if not self.fates[name].done():
            self.fates[name].set_result(answer)

    def poll_unread(self) -> None: ...
    def close_expired(self) -> None: ...
    def endpoints_changed(self) -> None: ...
    def close(self) -> None: ...
    def close_idle(self, endpoint: str) -> None: ...


@pytest.mark.parametrize("late", [True, False])
def test_a_courier_that_cannot_look_is_given_time_after_a_late_pass(late: bool, tmp_path: Path) -> None:
    """On a loop that is on time its calls wait for nothing."""

    @scene()
    async def test(s: Scene) -> None:
        transport = s.engine.transport = DeafTransport(s.engine)
        s.take("m")
        await until(lambda: transport.went == ["m"])
        s.take("n")
        s.late.passed += 0.2 if late else 0.0
        transport.tells_later("m", AttemptResult(Outcome.FULL, retry_after_us=5_000_000))
        s.engine.run_iteration()
        await until(
            lambda: "n" not in {name for name, _ in s.engine.attempts.calls} or transport.went == ["m", "n"]
        )
        assert transport.went == (["m"] if late else ["m", "n"])

    test(tmp_path)


def test_such_a_courier_hears_an_answer_before_its_call_is_called_off(tmp_path: Path) -> None:
    @scene()
    async def test(s: Scene) -> None:
        transport = s.engine.transport = DeafTransport(s.engine)
        caller = s.take("m")
        await until(lambda: transport.went == ["m"])
        s.engine.inbox_since = s.engine.loop.time() - 0.2
        transport.tells_later("m", AttemptResult(Outcome.OK, is_final=True))
        s.engine.act(CancelAttempt("m", 0), set())
        await until(lambda: bool(caller.ends))
        assert caller.ends[0].state.value == "delivered" and transport.went == ["m"]

    test(tmp_path)


# The figure.


@pytest.mark.parametrize("seed", range(5))
def test_a_percentile_is_at_most_a_tenth_too_high(seed: int) -> None:
    rng, lateness = random.Random(seed), EventLoopLag(0.0)
    samples = sorted(rng.expovariate(1 / 10 ** rng.uniform(-4, 0)) for _ in range(2000))
    for each in samples:
        lateness.note(each)
    for share in (0.5, 0.9, 0.99, 0.999, 1.0):
        truth = samples[max(round(share * len(samples)) - 1, 0)]
        assert (
            max(truth, FIRST_BUCKET_S)
            <= lateness.percentile(share) * (1 + 1e-9)
            <= max(truth, FIRST_BUCKET_S) * 1.1001
        )


def test_a_late_loop_is_told_with_what_was_held_and_a_timely_one_is_not(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING)
    lateness = EventLoopLag(0.0)
    lateness.note(REPORTED_LAG_S / 2)
    lateness.record(REPORT_INTERVAL_S, 3, 2)
    assert not caplog.records
    lateness.note(REPORTED_LAG_S * 4)
    lateness.record(REPORT_INTERVAL_S * 1.5, 3, 2)  # not before the span is over
    assert not caplog.records
    lateness.record(REPORT_INTERVAL_S * 2, 30, 20)
    assert "max_ms=200 " in caplog.text and "messages=30 calls=20" in caplog.text
    assert lateness.count == 0 and lateness.max_lag_s == 0.0


@play
async def test_a_restarted_sender_gives_its_descriptor_back(state: Path) -> None:
    async with World(state) as world:
        told = config_json(world.platform, host(world.receiver.dial))
        async with Running(told, state / "..") as running:
            epoll = running.sender.transport.unread.epoll
        assert epoll.closed
