"""The whole sender in this process, between a scripted receiver and platform."""

import asyncio
import json
from pathlib import Path

import pytest
from faults import turn as loop_turn
from peers import KEYED, PATIENCE, READY, Running, World, ask, host, message, play, read_reply, soon, tell

from message_sender.core.restoration import Restoration
from message_sender.handover.drain import GRACE_S
from message_sender.http import server as module
from message_sender.http.server import ACCEPTS
from message_sender.journal.entries import AttemptRecord
from message_sender.journal.process_journal import Journal
from message_sender.policy.actions import WakeAfter
from message_sender.policy.model import Outcome
from message_sender.service.daemon import DescriptorBudget, PlatformSender
from message_sender.start import decode_config

GONE = {"X_Route_To": "dest=9"}  # no endpoint: held until its time is up
SHORT = {"X_Time_Left": "0.1"}


def journalled(state: Path) -> list[str]:
    """What a start now would find; read from a copy, so that the sender's own file is left alone."""
    copy = state / "copy"
    copy.mkdir(exist_ok=True)
    (copy / "journal").write_bytes((state / "journal").read_bytes())
    journal = Journal(copy, 3_000_000)
    journal.close()
    return list(journal.entries)


@play
async def test_a_message_is_taken_on_sent_and_over(state: Path) -> None:
    async with World(state) as world:
        assert (await world.hand_in("m1")).status == 202
        request = await world.receiver.next()
        assert request.id == "m1" and journalled(state) == ["m1"]
        assert (await world.hand_in("m1")).status == 202  # the same hand-in again is not a second message
        request.answer(200)
        while world.sender.engine.journal.entries:
            await loop_turn()
        assert journalled(state) == [] and world.receiver.requests.empty()


@play
async def test_a_message_is_on_record_before_its_202_and_each_attempt_before_its_bytes(state: Path) -> None:
    seen: list[str] = []
    async with World(state) as world:
        journal, client = world.sender.engine.journal, world.sender.transport
        taken, sent, call = journal.record_accepted, journal.record_attempt, client.call
        journal.record_accepted = lambda message: seen.append("taken") or taken(message)
        journal.record_attempt = lambda *told: seen.append("sent") or sent(*told)
        client.call = lambda *told: seen.append("call") or call(*told)
        respond = module.ServerConnection.answer
        try:
            module.ServerConnection.answer = lambda *told, **more: (
                seen.append("answer") or respond(*told, **more)
            )
            assert (await world.hand_in("m1")).status == 202
            await world.receiver.next()
        finally:
            module.ServerConnection.answer = respond
    assert seen == ["taken", "answer", "sent", "call"]


@play
async def test_a_refused_message_is_answered_at_once_with_when_to_come_again(state: Path) -> None:
    async with World(state) as world:
        reply = await world.hand_in("late", X_Time_Left="0")
        assert reply.status == 429 and float(reply.headers["retry-after"]) > 0
        assert journalled(state) == [] and world.platform.requests.empty()


@play
async def test_no_more_than_the_settings_allow_are_held(state: Path) -> None:
    async with World(state) as world:
        world.sender.engine.arrivals.max_messages = 1
        assert (await world.hand_in("m1")).status == 202
        reply = await world.hand_in("m2")
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0


@play
async def test_a_full_journal_refuses_and_nothing_is_sent(state: Path) -> None:
    async with World(state) as world:
        world.sender.engine.journal.limit_bytes = 0
        reply = await world.hand_in("m1")
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
        world.sender.engine.journal.limit_bytes = 3_000_000
        assert (await world.hand_in("m2")).status == 202
        assert (await world.receiver.next()).id == "m2"
        assert journalled(state) == ["m2"] and list(world.sender.engine.dispatcher.messages) == ["m2"]


@play
async def test_a_client_that_closed_before_its_answer_withdraws_its_message(state: Path) -> None:
    async with World(state) as world:
        turn, closed = world.sender.engine.run_iteration, asyncio.Event()
        world.sender.engine.run_iteration = lambda: None  # the loop is late: the turn does not come
        _, writer = await asyncio.open_connection(*world.running.address)
        writer.write(message("m1"))
        while not world.sender.engine.table.arrivals:
            await loop_turn()
        connection = world.sender.engine.table.arrivals["m1"][1]
        connection.transport.pause_reading()
        writer.close()
        await writer.wait_closed()
        closed.set()
        world.sender.engine.run_iteration = turn
        turn()
        assert (await world.hand_in("m2")).status == 202
        assert (await world.receiver.next()).id == "m2"
        assert journalled(state) == ["m2"]


@play
async def test_an_end_is_journalled_when_its_notice_is_answered(state: Path) -> None:
    async with World(state) as world:
        assert (await world.hand_in("m1", **GONE, **SHORT)).status == 202
        notice = await world.platform.next()
        told = json.loads(notice.body)
        assert (told["id"], told["state"]) == ("m1", "returned") and told["after_ms"] > 0
        assert journalled(state) == ["m1"]
        notice.answer(204)
        while world.sender.engine.journal.entries:
            await loop_turn()
        assert journalled(state) == []


@play
async def test_nothing_for_a_key_goes_before_the_notice_of_the_one_before_is_answered(state: Path) -> None:
    async with World(state, **KEYED) as world:
        await world.hand_in("m1", X_Session_Key="k", **GONE, **SHORT)
        await world.hand_in("m2", X_Session_Key="k")
        notice = await world.platform.next()
        await world.hand_in("other", X_Session_Key="l")
        assert (await world.receiver.next()).id == "other" and world.receiver.requests.empty()
        notice.answer(204)
        assert (await world.receiver.next()).id == "m2"


@play
async def test_a_told_wait_is_heeded_for_every_message(state: Path) -> None:
    async with World(state) as world:
        await world.hand_in("m1")
        (await world.receiver.next()).answer(429, "Retry-After: 3600")
        while world.sender.engine.attempts.calls:
            await loop_turn()
        await world.hand_in("m2", **SHORT)
        # m2 ends by its time without a call, and m1 is held.
        assert json.loads((await world.platform.next()).body)["id"] == "m2"
        assert world.receiver.requests.empty() and list(world.sender.engine.dispatcher.messages) == ["m1"]


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_a_drain_is_kept_from_the_line_that_tells_it(tmp_path: Path, mode: str) -> None:
    """Where lists are pushed, they come to an agent on the sender's machine, which has to be asked too."""

    async def test(state: Path) -> None:
        async with World(state, mode=mode) as world:
            watch = await soon(world.platform.watches.get())
            await world.hand_in("m1")
            (await world.receiver.next()).answer(200)
            tell(watch, 42, host(world.receiver.dial, health="draining"))
            while world.sender.engine.dispatcher.endpoints:
                await loop_turn()
            await world.hand_in("m2", **SHORT)
            assert json.loads((await world.platform.next()).body)["id"] == "m2"
            assert world.receiver.requests.empty()

    play(test)(tmp_path)


@play
async def test_a_drain_told_while_a_call_connects_stops_it(state: Path) -> None:
    async with World(state) as world:
        watch, client = await soon(world.platform.watches.get()), world.sender.transport
        connecting, go_on, connect = asyncio.Event(), asyncio.Event(), client.connect

        async def slow(address: tuple[str, int]) -> object:
            connecting.set()
            await go_on.wait()
            return await connect(address)

        client.connect = slow
        await world.hand_in("m1", X_Time_Left="1")
        await soon(connecting.wait())
        tell(watch, 42, host(world.receiver.dial, health="gone"))
        while world.sender.engine.dispatcher.endpoints:
            await loop_turn()
        go_on.set()
        assert json.loads((await world.platform.next()).body)["id"] == "m1"
        assert world.receiver.requests.empty()


@play
async def test_the_watch_is_taken_up_again(state: Path) -> None:
    async with World(state) as world:
        watch = await soon(world.platform.watches.get())
        tell(watch, 57, host(world.receiver.dial))
        await loop_turn()
        watch.writer.close()
        assert (await soon(world.platform.watches.get())).target.endswith("after=57")


@play
async def test_what_was_taken_on_goes_on_after_a_restart_in_its_order(state: Path) -> None:
    async with World(state, **KEYED) as world:
        await world.hand_in("m1", X_Session_Key="k")
        await world.hand_in("m2", X_Session_Key="k")
        first = await world.receiver.next()
        world.sender.stop(0)
        await world.running.task
        async with Running(world.told, state) as again:
            assert list(again.sender.engine.dispatcher.messages) == ["m1", "m2"]
            restored = again.sender.engine.dispatcher.messages["m1"]
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


@play
async def test_a_once_only_message_that_was_out_is_ended_as_failed_after_a_restart(state: Path) -> None:
    async with World(state, semantics="once") as world:
        await world.hand_in("m1")
        await world.receiver.next()
        world.sender.stop(0)
        await world.running.task
        async with Running(world.told, state):
            notice = await world.platform.next()
            assert json.loads(notice.body) == {"id": "m1", "state": "failed"}
            notice.answer(204)
        assert world.receiver.requests.empty()


@play
async def test_a_message_whose_time_is_up_is_ended_after_a_restart(state: Path) -> None:
    async with World(state) as world:
        await world.hand_in("m1", **GONE)
        world.sender.stop(0)
        await world.running.task
        file = state / "journal"
        records = [json.loads(each) for each in file.read_text().splitlines()]
        records[0]["taken"]["until"] -= 3600 * 10**6
        file.write_text("".join(json.dumps(each) + "\n" for each in records))
        async with Running(world.told, state):
            notice = await world.platform.next()
            assert json.loads(notice.body)["id"] == "m1"
            notice.answer(204)


@play
async def test_sigterm_lets_calls_end_takes_on_what_comes_and_ends(state: Path) -> None:
    async with World(state) as world:
        await world.hand_in("m1")
        request = await world.receiver.next()
        reader, writer = await asyncio.open_connection(*world.running.address)
        world.sender.terminate()
        writer.write(message("m2"))
        reply = await read_reply(reader)
        assert reply.status == 202 and reply.headers["connection"] == "close"
        assert await soon(reader.read()) == b""
        assert (await ask(world.running.address, READY)).status == 503
        world.sender.drain.terminated_at_s -= GRACE_S  # it has passed
        world.sender.end_drain_grace()
        with pytest.raises(OSError):
            await asyncio.open_connection(*world.running.address)
        assert not world.sender.engine.stopped.done()
        request.answer(200)
        (await world.receiver.next()).answer(200)
        assert await asyncio.wait_for(world.running.task, PATIENCE) == 0
        assert journalled(state) == []


@play
async def test_a_stopping_sender_starts_no_call_that_may_not_end(state: Path) -> None:
    async with World(state) as world:
        world.sender.engine.dispatcher.stops_at = world.sender.engine.now() + 1000
        await world.hand_in("m1")
        await world.hand_in("m2")
        world.sender.stop(0)
        await world.running.task
        assert world.receiver.requests.empty() and journalled(state) == ["m1", "m2"]


@play
async def test_what_nobody_foresaw_is_seen_and_ends_the_process(state: Path) -> None:
    async with World(state) as world:

        async def broken(*_: object) -> None:
            raise RuntimeError("nobody foresaw this")

        world.sender.transport.call = broken
        await world.hand_in("m1")
        assert await soon(world.running.task) == 1
        world.running.task = asyncio.create_task(asyncio.sleep(0, 0))
    assert journalled(state) == ["m1"]


def test_an_outcome_on_record_is_told_to_the_module_after_a_restart(tmp_path: Path) -> None:
    """Attempts that are proved not to have run bind nothing; the first that may have run does."""

    async def test(state: Path) -> None:
        async with World(state) as world:
            await world.hand_in("m1", **GONE)
            journal = world.sender.engine.journal
            for number, outcome in enumerate((Outcome.FULL, Outcome.ERROR, Outcome.RESET)):
                journal.record_attempt("m1", number, AttemptRecord(1000 + number, "r", f"z{number}"))
                journal.record_outcome("m1", number, outcome)
            world.sender.stop(0)
            await world.running.task
            again = PlatformSender(decode_config(world.told, state)).engine
            restoration = Restoration(again.table, again.attempts, again.arrivals, again.directory, again.now)
            restored = restoration.restored(again.journal.entries["m1"])
            assert (restored.attempts, restored.uncertain_since, restored.uncertain_zone) == (3, 1001, "z1")

    play(test)(tmp_path)


@play
async def test_what_an_earlier_process_delivered_is_not_sent_again(state: Path) -> None:
    """It ended between the answer's record and the end's: an unsafe message failed then, others went
    again."""
    async with World(state) as world:
        await world.hand_in("m1", **GONE)
        journal = world.sender.engine.journal
        journal.record_attempt("m1", 0, AttemptRecord(1000, "r", "z"))
        journal.record_outcome("m1", 0, Outcome.OK)
        world.sender.stop(0)
        await world.running.task
        async with Running(world.told, state) as again:
            assert not again.sender.engine.journal.entries
            assert (await again.hand_in("m2")).status == 202
            assert (await world.receiver.next()).id == "m2"
            assert not again.sender.discovery.notices


@play
async def test_an_id_that_is_over_is_not_a_new_message(state: Path) -> None:
    """Guards against a second effect by the same hand-in once more, as by one whose answer was lost."""
    async with World(state) as world:
        await world.hand_in("m1")
        (await world.receiver.next()).answer(200)
        while world.sender.engine.journal.entries:
            await loop_turn()
        assert (await world.hand_in("m1")).status == 202
        await world.hand_in("m2")
        assert (await world.receiver.next()).id == "m2" and world.receiver.requests.empty()


@play
async def test_a_destination_that_is_only_empty_now_is_not_unknown(state: Path) -> None:
    async with World(state) as world:
        assert (await world.hand_in("m1", X_Route_To="dest=8")).status == 404
        assert (await world.hand_in("m2", **GONE)).status == 202


@play
async def test_no_timer_outlives_an_earlier_one(state: Path) -> None:
    """Guards a process that lasts: the module asks for ever earlier times and unsets none."""
    async with World(state) as world:
        asked = [WakeAfter(each * 1_000_000) for each in (50, 40, 30)]
        timers = []
        for each in asked:
            world.sender.engine.act(each, set())
            timers.append(world.sender.engine.wake_timer)
        assert [each.cancelled() for each in timers] == [True, True, False]


@pytest.mark.parametrize("sockets", [64, 256, 384, 1024])
def test_the_shares_of_the_descriptors_add_up(sockets: int) -> None:
    share = DescriptorBudget.divide(sockets, slots=12)
    assert share.clients + share.rejected_clients + share.calls + DescriptorBudget.OWN_DESCRIPTORS <= max(
        sockets, 64
    )
    assert share.calls >= 16 and (sockets < 256 or share.clients > sockets / 3)
    assert (
        DescriptorBudget.OWN_DESCRIPTORS >= 15 + ACCEPTS
    )  # what is not shared out, as its comment counts it


@pytest.mark.parametrize("over", [False, True])
def test_an_id_that_another_message_has_is_not_taken_for_it(tmp_path: Path, over: bool) -> None:
    """Guards against one client's use of another one's id: seen as an order broken, the second of a key sent
    while the first, answered 202 for what somebody else had handed in, was in no line."""

    async def test(state: Path) -> None:
        async with World(state, **KEYED) as world:
            await world.hand_in("m1", X_Session_Key="other")
            request = await world.receiver.next()
            if over:
                request.answer(200)
                while world.sender.engine.journal.entries:
                    await loop_turn()
            reply = await world.hand_in("m1", X_Session_Key="k")
            assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
            assert (await world.hand_in("m1", X_Session_Key="other")).status == 202

    play(test)(tmp_path)


@play
async def test_one_id_twice_in_a_turn_is_one_message(state: Path) -> None:
    async with World(state) as world:
        replies = await asyncio.gather(*(world.hand_in("m1", body) for body in (b"x", b"y")))
        assert sorted(each.status for each in replies) == [202, 503]
