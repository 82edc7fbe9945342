"""The complete sender in the test process, with a scripted receiver and a scripted platform."""

import asyncio
import json
from pathlib import Path

import pytest
from peers import (
    KEYED,
    READY,
    TIMEOUT_S,
    Running,
    World,
    ask,
    host,
    message,
    read_reply,
    run_async_test,
    send_watch_line,
    with_timeout,
)
from socket_faults import next_iteration

from message_sender.core.restoration import Restoration
from message_sender.handover.drain import GRACE_S
from message_sender.http import server as server_module
from message_sender.http.server import MAX_ACCEPTS_PER_ITERATION
from message_sender.journal.entries import AttemptRecord
from message_sender.journal.process_journal import Journal
from message_sender.policy.actions import WakeAfter
from message_sender.policy.model import Outcome
from message_sender.service.daemon import DescriptorBudget, PlatformSender
from message_sender.start import decode_config

WITHOUT_ENDPOINT = {"X_Route_To": "dest=9"}  # no endpoint: the message waits until its deadline
SHORT_DEADLINE = {"X_Time_Left": "0.1"}


def journalled_ids(state: Path) -> list[str]:
    """Ids of the messages that a restart would restore; read from a copy, to leave the file unchanged."""
    copy = state / "copy"
    copy.mkdir(exist_ok=True)
    (copy / "journal").write_bytes((state / "journal").read_bytes())
    journal = Journal(copy, 3_000_000)
    journal.close()
    return list(journal.entries)


@run_async_test
async def test_message_is_accepted_sent_and_completed(state: Path) -> None:
    async with World(state) as world:
        assert (await world.submit("m1")).status == 202
        request = await world.receiver.next()
        assert request.id == "m1" and journalled_ids(state) == ["m1"]
        assert (await world.submit("m1")).status == 202  # a repeated submission is not a second message
        request.answer(200)
        while world.sender.engine.journal.entries:
            await next_iteration()
        assert journalled_ids(state) == [] and world.receiver.requests.empty()


@run_async_test
async def test_message_is_journalled_before_its_202_and_each_attempt_before_its_call(state: Path) -> None:
    steps: list[str] = []
    async with World(state) as world:
        journal, client = world.sender.engine.journal, world.sender.transport
        record_accepted, record_attempt, call = journal.record_accepted, journal.record_attempt, client.call
        journal.record_accepted = lambda message: steps.append("message record") or record_accepted(message)
        journal.record_attempt = lambda *args: steps.append("attempt record") or record_attempt(*args)
        client.call = lambda *args: steps.append("call") or call(*args)
        answer = server_module.ServerConnection.answer
        try:
            server_module.ServerConnection.answer = lambda *args, **kwargs: (
                steps.append("answer") or answer(*args, **kwargs)
            )
            assert (await world.submit("m1")).status == 202
            await world.receiver.next()
        finally:
            server_module.ServerConnection.answer = answer
    assert steps == ["message record", "answer", "attempt record", "call"]


@run_async_test
async def test_rejected_message_is_answered_at_once_with_a_retry_after(state: Path) -> None:
    async with World(state) as world:
        reply = await world.submit("late", X_Time_Left="0")
        assert reply.status == 429 and float(reply.headers["retry-after"]) > 0
        assert journalled_ids(state) == [] and world.platform.requests.empty()


@run_async_test
async def test_messages_beyond_the_configured_limit_are_rejected(state: Path) -> None:
    async with World(state) as world:
        world.sender.engine.arrivals.max_messages = 1
        assert (await world.submit("m1")).status == 202
        reply = await world.submit("m2")
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0


@run_async_test
async def test_message_is_rejected_and_not_sent_when_the_journal_is_full(state: Path) -> None:
    async with World(state) as world:
        world.sender.engine.journal.limit_bytes = 0
        reply = await world.submit("m1")
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
        world.sender.engine.journal.limit_bytes = 3_000_000
        assert (await world.submit("m2")).status == 202
        assert (await world.receiver.next()).id == "m2"
        assert journalled_ids(state) == ["m2"] and list(world.sender.engine.dispatcher.messages) == ["m2"]


@run_async_test
async def test_client_that_closes_before_its_answer_withdraws_its_message(state: Path) -> None:
    async with World(state) as world:
        run_iteration, closed = world.sender.engine.run_iteration, asyncio.Event()
        world.sender.engine.run_iteration = lambda: None  # the loop is late: the iteration does not run
        _, writer = await asyncio.open_connection(*world.running.address)
        writer.write(message("m1"))
        while not world.sender.engine.table.arrivals:
            await next_iteration()
        connection = world.sender.engine.table.arrivals["m1"][1]
        connection.transport.pause_reading()
        writer.close()
        await writer.wait_closed()
        closed.set()
        world.sender.engine.run_iteration = run_iteration
        run_iteration()
        assert (await world.submit("m2")).status == 202
        assert (await world.receiver.next()).id == "m2"
        assert journalled_ids(state) == ["m2"]


@run_async_test
async def test_completion_is_journalled_when_its_notice_is_answered(state: Path) -> None:
    async with World(state) as world:
        assert (await world.submit("m1", **WITHOUT_ENDPOINT, **SHORT_DEADLINE)).status == 202
        notice = await world.platform.next()
        content = json.loads(notice.body)
        assert (content["id"], content["state"]) == ("m1", "returned") and content["after_ms"] > 0
        assert journalled_ids(state) == ["m1"]
        notice.answer(204)
        while world.sender.engine.journal.entries:
            await next_iteration()
        assert journalled_ids(state) == []


@run_async_test
async def test_next_message_of_a_key_waits_for_the_answer_to_the_notice_of_the_previous_one(
    state: Path,
) -> None:
    async with World(state, **KEYED) as world:
        await world.submit("m1", X_Session_Key="k", **WITHOUT_ENDPOINT, **SHORT_DEADLINE)
        await world.submit("m2", X_Session_Key="k")
        notice = await world.platform.next()
        await world.submit("other", X_Session_Key="l")
        assert (await world.receiver.next()).id == "other" and world.receiver.requests.empty()
        notice.answer(204)
        assert (await world.receiver.next()).id == "m2"


@run_async_test
async def test_retry_after_is_observed_for_all_messages_of_the_destination(state: Path) -> None:
    async with World(state) as world:
        await world.submit("m1")
        (await world.receiver.next()).answer(429, "Retry-After: 3600")
        while world.sender.engine.attempts.calls:
            await next_iteration()
        await world.submit("m2", **SHORT_DEADLINE)
        # m2 reaches its deadline without a call, and m1 still waits.
        assert json.loads((await world.platform.next()).body)["id"] == "m2"
        assert world.receiver.requests.empty() and list(world.sender.engine.dispatcher.messages) == ["m1"]


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_drain_takes_effect_with_the_watch_line_that_reports_it(tmp_path: Path, mode: str) -> None:
    """If lists are pushed, an agent on the sender's machine receives them; the sender has to watch it too."""

    async def test(state: Path) -> None:
        async with World(state, mode=mode) as world:
            watch = await with_timeout(world.platform.watches.get())
            await world.submit("m1")
            (await world.receiver.next()).answer(200)
            send_watch_line(watch, 42, host(world.receiver.dial, health="draining"))
            while world.sender.engine.dispatcher.endpoints:
                await next_iteration()
            await world.submit("m2", **SHORT_DEADLINE)
            assert json.loads((await world.platform.next()).body)["id"] == "m2"
            assert world.receiver.requests.empty()

    run_async_test(test)(tmp_path)


@run_async_test
async def test_drain_reported_while_a_call_connects_stops_the_call(state: Path) -> None:
    async with World(state) as world:
        watch, client = await with_timeout(world.platform.watches.get()), world.sender.transport
        connecting, may_connect, connect = asyncio.Event(), asyncio.Event(), client.connect

        async def delayed_connect(address: tuple[str, int]) -> object:
            connecting.set()
            await may_connect.wait()
            return await connect(address)

        client.connect = delayed_connect
        await world.submit("m1", X_Time_Left="1")
        await with_timeout(connecting.wait())
        send_watch_line(watch, 42, host(world.receiver.dial, health="gone"))
        while world.sender.engine.dispatcher.endpoints:
            await next_iteration()
        may_connect.set()
        assert json.loads((await world.platform.next()).body)["id"] == "m1"
        assert world.receiver.requests.empty()


@run_async_test
async def test_watch_is_resumed_after_its_connection_closed(state: Path) -> None:
    async with World(state) as world:
        watch = await with_timeout(world.platform.watches.get())
        send_watch_line(watch, 57, host(world.receiver.dial))
        await next_iteration()
        watch.writer.close()
        assert (await with_timeout(world.platform.watches.get())).target.endswith("after=57")


@run_async_test
async def test_accepted_messages_continue_in_order_after_a_restart(state: Path) -> None:
    async with World(state, **KEYED) as world:
        await world.submit("m1", X_Session_Key="k")
        await world.submit("m2", X_Session_Key="k")
        first = await world.receiver.next()
        world.sender.stop(0)
        await world.running.task
        async with Running(world.config, state) as restarted:
            assert list(restarted.sender.engine.dispatcher.messages) == ["m1", "m2"]
            restored = restarted.sender.engine.dispatcher.messages["m1"]
            assert (
                restored.attempts == 2
                and restored.uncertain_zone == "z"
                and restored.uncertain_since is not None
            )
            request = await world.receiver.next()
            assert (request.id, request.body) == ("m1", first.body) and world.receiver.requests.empty()
            assert request.headers["idempotency-key"] == "key of m1"
            request.answer(200)
            (second := await world.receiver.next()).answer(200)
            assert second.id == "m2"
            assert float(second.headers["x-time-left"]) < 8


@run_async_test
async def test_unsafe_message_in_flight_is_completed_as_failed_after_a_restart(state: Path) -> None:
    async with World(state, semantics="once") as world:
        await world.submit("m1")
        await world.receiver.next()
        world.sender.stop(0)
        await world.running.task
        async with Running(world.config, state):
            notice = await world.platform.next()
            assert json.loads(notice.body) == {"id": "m1", "state": "failed"}
            notice.answer(204)
        assert world.receiver.requests.empty()


@run_async_test
async def test_message_past_its_deadline_is_completed_after_a_restart(state: Path) -> None:
    async with World(state) as world:
        await world.submit("m1", **WITHOUT_ENDPOINT)
        world.sender.stop(0)
        await world.running.task
        file = state / "journal"
        records = [json.loads(each) for each in file.read_text().splitlines()]
        records[0]["taken"]["until"] -= 3600 * 10**6
        file.write_text("".join(json.dumps(each) + "\n" for each in records))
        async with Running(world.config, state):
            notice = await world.platform.next()
            assert json.loads(notice.body)["id"] == "m1"
            notice.answer(204)


@run_async_test
async def test_sigterm_finishes_calls_and_accepts_messages_during_the_grace_period(state: Path) -> None:
    async with World(state) as world:
        await world.submit("m1")
        request = await world.receiver.next()
        reader, writer = await asyncio.open_connection(*world.running.address)
        world.sender.terminate()
        writer.write(message("m2"))
        reply = await read_reply(reader)
        assert reply.status == 202 and reply.headers["connection"] == "close"
        assert await with_timeout(reader.read()) == b""
        assert (await ask(world.running.address, READY)).status == 503
        world.sender.drain.terminated_at_s -= GRACE_S  # the grace period is over
        world.sender.end_drain_grace()
        with pytest.raises(OSError):
            await asyncio.open_connection(*world.running.address)
        assert not world.sender.engine.stopped.done()
        request.answer(200)
        (await world.receiver.next()).answer(200)
        assert await asyncio.wait_for(world.running.task, TIMEOUT_S) == 0
        assert journalled_ids(state) == []


@run_async_test
async def test_stopping_sender_starts_no_call_that_may_not_finish(state: Path) -> None:
    async with World(state) as world:
        world.sender.engine.dispatcher.stops_at = world.sender.engine.now() + 1000
        await world.submit("m1")
        await world.submit("m2")
        world.sender.stop(0)
        await world.running.task
        assert world.receiver.requests.empty() and journalled_ids(state) == ["m1", "m2"]


@run_async_test
async def test_unexpected_error_ends_the_process_with_exit_code_1(state: Path) -> None:
    async with World(state) as world:

        async def broken(*_: object) -> None:
            raise RuntimeError("an unexpected error")

        world.sender.transport.call = broken
        await world.submit("m1")
        assert await with_timeout(world.running.task) == 1
        world.running.task = asyncio.create_task(asyncio.sleep(0, 0))
    assert journalled_ids(state) == ["m1"]


def test_recorded_outcomes_are_passed_to_the_policy_after_a_restart(tmp_path: Path) -> None:
    """Attempts that certainly did not run set no restrictions; the first that may have run does."""

    async def test(state: Path) -> None:
        async with World(state) as world:
            await world.submit("m1", **WITHOUT_ENDPOINT)
            journal = world.sender.engine.journal
            for number, outcome in enumerate((Outcome.FULL, Outcome.ERROR, Outcome.RESET)):
                journal.record_attempt("m1", number, AttemptRecord(1000 + number, "r", f"z{number}"))
                journal.record_outcome("m1", number, outcome)
            world.sender.stop(0)
            await world.running.task
            restarted = PlatformSender(decode_config(world.config, state)).engine
            restoration = Restoration(
                restarted.table, restarted.attempts, restarted.arrivals, restarted.directory, restarted.now
            )
            restored = restoration.restored(restarted.journal.entries["m1"])
            assert (restored.attempts, restored.uncertain_since, restored.uncertain_zone) == (3, 1001, "z1")

    run_async_test(test)(tmp_path)


@run_async_test
async def test_message_delivered_by_an_earlier_process_is_not_sent_again(state: Path) -> None:
    """The process ended between the record of the outcome and that of the completion.

    Guards against a restart after which an unsafe message failed, and any other message was sent again.
    """
    async with World(state) as world:
        await world.submit("m1", **WITHOUT_ENDPOINT)
        journal = world.sender.engine.journal
        journal.record_attempt("m1", 0, AttemptRecord(1000, "r", "z"))
        journal.record_outcome("m1", 0, Outcome.OK)
        world.sender.stop(0)
        await world.running.task
        async with Running(world.config, state) as restarted:
            assert not restarted.sender.engine.journal.entries
            assert (await restarted.submit("m2")).status == 202
            assert (await world.receiver.next()).id == "m2"
            assert not restarted.sender.discovery.notices


@run_async_test
async def test_repeated_submission_of_a_completed_message_is_not_a_new_message(state: Path) -> None:
    """Guards against a second effect when a client repeats a submission, as after a lost answer."""
    async with World(state) as world:
        await world.submit("m1")
        (await world.receiver.next()).answer(200)
        while world.sender.engine.journal.entries:
            await next_iteration()
        assert (await world.submit("m1")).status == 202
        await world.submit("m2")
        assert (await world.receiver.next()).id == "m2" and world.receiver.requests.empty()


@run_async_test
async def test_destination_without_endpoints_is_not_unknown(state: Path) -> None:
    async with World(state) as world:
        assert (await world.submit("m1", X_Route_To="dest=8")).status == 404
        assert (await world.submit("m2", **WITHOUT_ENDPOINT)).status == 202


@run_async_test
async def test_new_wake_timer_cancels_the_previous_one(state: Path) -> None:
    """Guards against timers that pile up: the policy requests ever earlier times and cancels none."""
    async with World(state) as world:
        actions = [WakeAfter(each * 1_000_000) for each in (50, 40, 30)]
        timers = []
        for each in actions:
            world.sender.engine.act(each, set())
            timers.append(world.sender.engine.wake_timer)
        assert [each.cancelled() for each in timers] == [True, True, False]


@pytest.mark.parametrize("sockets", [64, 256, 384, 1024])
def test_descriptor_budget_adds_up(sockets: int) -> None:
    share = DescriptorBudget.divide(sockets, slots=12)
    assert share.clients + share.rejected_clients + share.calls + DescriptorBudget.OWN_DESCRIPTORS <= max(
        sockets, 64
    )
    assert share.calls >= 16 and (sockets < 256 or share.clients > sockets / 3)
    # The descriptors that are not divided, as counted in the comment of the constant.
    assert DescriptorBudget.OWN_DESCRIPTORS >= 15 + MAX_ACCEPTS_PER_ITERATION


@pytest.mark.parametrize("is_completed", [False, True])
def test_message_with_the_id_of_another_message_is_rejected(tmp_path: Path, is_completed: bool) -> None:
    """Guards against a client that uses the id of another client's message.

    This once broke the order of a key: its first message was answered 202 because another client had
    submitted a message with that id, and was in no queue; its second message was sent.
    """

    async def test(state: Path) -> None:
        async with World(state, **KEYED) as world:
            await world.submit("m1", X_Session_Key="other")
            request = await world.receiver.next()
            if is_completed:
                request.answer(200)
                while world.sender.engine.journal.entries:
                    await next_iteration()
            reply = await world.submit("m1", X_Session_Key="k")
            assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
            assert (await world.submit("m1", X_Session_Key="other")).status == 202

    run_async_test(test)(tmp_path)


@run_async_test
async def test_two_messages_with_one_id_in_one_iteration_are_one_message(state: Path) -> None:
    async with World(state) as world:
        replies = await asyncio.gather(*(world.submit("m1", body) for body in (b"x", b"y")))
        assert sorted(each.status for each in replies) == [202, 503]
