"""Answers that a receiver writes twice, or that nobody asked for, end no call of another message."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from peers import Peer, Permission, run_async_test, sample_message, with_timeout
from repeated_answers import UNREACHABLE, Load, answer_twice
from socket_faults import next_iteration

from message_sender.core.ports import AttemptResult
from message_sender.http.client import HttpTransport
from message_sender.http.reuse import REUSE_DELAY_S, SUSPICION_S, ReuseRules
from message_sender.policy.model import Outcome

DELAYS_S = [(0.001, 0.015), (0.03, 0.1), (0.1, 0.25)]
LIMIT = 4  # connections
ITERATIONS = 200
COPIES_BEFORE_HANDOVER = 3


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_second_copies_of_answers_break_no_rule(
    delay_s: tuple[float, float], seed: int, tmp_path: Path
) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        load = Load(folder, seed, delay_s)
        async with load.running():
            await load.run_clients(clients=12, messages=20, pause_s=0.1)
            await load.wait_for_completions()
        assert load.copies.copied > 0
        assert load.violations() == []

    test(tmp_path)


def test_second_copies_break_no_rule_while_the_process_is_replaced(tmp_path: Path) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        load = Load(folder, 0, (DELAYS_S[0][0], DELAYS_S[-1][1]))
        async with load.running():
            clients = asyncio.create_task(load.run_clients(clients=12, messages=20, pause_s=0.1))
            while load.copies.copied < COPIES_BEFORE_HANDOVER:
                await asyncio.sleep(0.01)
            await load.start_sender()
            await clients
            await load.wait_for_completions()
        assert load.violations() == []

    test(tmp_path)


@pytest.mark.parametrize("seed", range(2))
def test_second_copies_of_the_platforms_answers_lose_no_notice(seed: int, tmp_path: Path) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        load = Load(folder, seed, DELAYS_S[0], destinations=(UNREACHABLE,))
        async with load.running():
            await load.run_clients(clients=12, messages=20, pause_s=0.1)
            await load.wait_for_completions()
        assert load.copies.copied > 0 or load.copies.dropped > 0
        assert load.violations() == []

    test(tmp_path)


class Calls:
    """A transport and a receiver that the test controls."""

    def __init__(self, transport: HttpTransport, receiver: Peer) -> None:
        self.transport, self.receiver = transport, receiver
        transport.dials = lambda: {"r": receiver.address}

    def start(self, message: str) -> asyncio.Task[AttemptResult]:
        """Starts a call."""
        return asyncio.create_task(self.transport.call("r", sample_message(message), 10, Permission()))

    async def answered(self, message: str, status: int = 200) -> AttemptResult:
        """Makes a call that the receiver answers once."""
        call = self.start(message)
        (await self.receiver.next()).answer(status)
        result: AttemptResult = await with_timeout(call)
        return result

    async def read_what_arrived(self) -> None:
        """Runs loop iterations, in which the transport reads what the receiver has written."""
        for _ in range(ITERATIONS):
            self.transport.poll_unread()
            await next_iteration()

    def let_rest(self) -> None:
        """Makes the idle connections look as if their last response were older by the delay."""
        for connection in self.transport.idle:
            connection.answered_at -= self.transport.reuse.reuse_delay_s


@asynccontextmanager
async def calls() -> AsyncIterator[Calls]:
    async with Peer() as receiver:
        transport = HttpTransport(10, 10, LIMIT, dict)
        yield Calls(transport, receiver)
        transport.close()


@pytest.mark.parametrize("copied", [200, 429, 500, 503])
def test_a_copy_that_comes_during_the_next_call_is_not_its_result(copied: int) -> None:
    async def test(_: Path) -> None:
        async with calls() as world:
            first = world.start("m1")
            request = await world.receiver.next()
            request.answer(copied)
            await with_timeout(first)
            second = world.start("m2")
            next_request = await world.receiver.next()
            request.answer(copied)
            await world.read_what_arrived()
            assert not second.done()
            next_request.answer(200)
            assert (await with_timeout(second)).outcome is Outcome.OK

    run_async_test(test)(Path())


@run_async_test
async def test_a_connection_carries_its_next_call_only_after_its_rest(_: Path) -> None:
    async with calls() as world:
        await world.answered("m1")
        await world.answered("m2")
        assert world.receiver.accepted == 2
        world.let_rest()
        await world.answered("m3")
        assert world.receiver.accepted == 2


def test_an_unsolicited_answer_is_logged_with_the_message_before_it(caplog: pytest.LogCaptureFixture) -> None:
    async def test(_: Path) -> None:
        async with calls() as world:
            call = world.start("m1")
            answer_twice(await world.receiver.next(), 503)
            await with_timeout(call)
            (connection,) = world.transport.connections or [None]
            while connection and not connection.has_ended():
                await next_iteration()
            world.transport.close_expired()
            assert not world.transport.connections and world.transport.reuse.unsolicited == 1
        (record,) = [each for each in caplog.records if "unsolicited response" in each.message]
        assert record.levelno == logging.WARNING
        for field in ("endpoint=r", "status=503", "last_message=m1", "last_status=503", "requests=1"):
            assert field in record.message

    run_async_test(test)(Path())


@run_async_test
async def test_an_endpoint_that_repeats_answers_gets_one_call_per_connection(_: Path) -> None:
    async with calls() as world:
        call = world.start("m1")
        answer_twice(await world.receiver.next(), 200)
        await with_timeout(call)
        while world.transport.connections:
            world.transport.close_expired()
            await next_iteration()
        for number in (2, 3):
            await world.answered(f"m{number}")
            assert not world.transport.connections and world.receiver.accepted == number


@run_async_test
async def test_a_call_that_may_open_no_connection_waits_until_one_has_rested(_: Path) -> None:
    async with calls() as world:
        world.transport.reuse.reuse_delay_s = 0.05
        await world.answered("m1")
        world.transport.reserve_connection = lambda endpoint, message: None
        assert (await world.answered("m2")).outcome is Outcome.OK
        assert world.receiver.accepted == 1


@run_async_test
async def test_a_call_to_an_endpoint_with_limited_connections_replaces_a_resting_one(_: Path) -> None:
    async with calls() as world:
        transport = world.transport
        transport.max_age_s = lambda endpoint: 10.0
        transport.reserve_connection = lambda endpoint, message: (
            None if transport.connections else lambda: None
        )
        for number in range(3):
            assert (await world.answered(f"m{number}")).outcome is Outcome.OK
        assert world.receiver.accepted == 3 and len(transport.connections) == 1


@run_async_test
async def test_a_call_that_may_open_no_connection_and_finds_none_is_not_sent(_: Path) -> None:
    async with calls() as world:
        world.transport.reserve_connection = lambda endpoint, message: None
        assert (await with_timeout(world.start("m1"))).outcome is Outcome.NOT_SENT


def test_a_suspicion_ends_after_its_time() -> None:
    rules = ReuseRules()
    rules.unsolicited_received("r", 200, now=100.0)
    assert not rules.may_carry_call("r", 90.0, now=100.0)
    assert rules.may_carry_call("other", 90.0, now=100.0)
    assert rules.may_carry_call("r", float("-inf"), now=100.0)
    assert rules.may_carry_call("r", 90.0, now=100.0 + SUSPICION_S)


def test_an_announced_end_of_an_idle_connection_makes_no_endpoint_suspected() -> None:
    rules = ReuseRules()
    rules.unsolicited_received("r", 408, now=100.0)
    assert rules.may_keep("r", 99.0, now=100.0) and rules.unsolicited == 1


def test_a_connection_rests_from_its_latest_response() -> None:
    rules = ReuseRules()
    assert not rules.may_carry_call("r", 10.0, now=10.0 + REUSE_DELAY_S / 2)
    assert rules.may_carry_call("r", 10.0, now=10.0 + REUSE_DELAY_S)
