"""Handover between processes: rules of ownership, transferred state, and real processes that are killed."""

import asyncio
import json
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from helpers import MS, SECOND, World, endpoint, rejected_or_failed, sent_messages
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import READY, Peer, config_json, host, message, run_async_test, with_timeout
from peers import Platform as Discovery
from sender_processes import Platform, Process

from message_sender import Dispatcher
from message_sender.core.engine_config import HandoverState
from message_sender.core.ports import Completion, CompletionState
from message_sender.handover.link import connect
from message_sender.handover.listening_socket import open_listening_socket
from message_sender.handover.ownership import Ownership, OwnershipState
from message_sender.policy.actions import PolicyAction
from message_sender.policy.events import (
    CallInFlight,
    EndpointsUpdated,
    InheritedState,
    MessageAccepted,
    MessageRestored,
    PolicyEvent,
    WakeUp,
)
from message_sender.policy.model import ListingKind, Outcome
from message_sender.policy.state_transfer import export_state
from message_sender.service.handover_state import decode_engine_state, decode_state, encode_engine_state

ORDERED_CLASS = {"semantics": "by_key", "dedup_window": 5_000_000, "key_scope": "zone", "serial_by_key": True}

# Rules of ownership.


@settings(derandomize=True, max_examples=500)
@given(
    st.lists(st.sampled_from(["request", "lock", "confirm", "receive", "die", "other", "leave"]), max_size=14)
)
def test_at_most_one_process_is_owner_in_any_order_of_events(steps: list[str]) -> None:
    """The steps of a handover and of processes that end, in any order.

    `request`: the successor requests ownership. `lock`: it takes the free lock. `confirm`: it sends the
    confirmation. `receive`: the owner receives the confirmation. `die`: the successor dies and the owner
    notices. `other`, `leave`: a third process takes the lock, or releases it.
    """
    owner, lock = Ownership(), "owner"
    successor = ""  # then: requested, locked, confirmed, owner
    for step in steps:
        if step == "request" and not successor:
            if owner.request_handover():
                lock, successor = "", "requested"
        elif step == "lock" and successor == "requested" and not lock:
            lock, successor = "successor", "locked"
        elif step == "confirm" and successor == "locked":
            successor = "confirmed"
        elif step == "receive" and successor == "confirmed":
            assert owner.confirm_handover()
            successor = "owner"
        elif step == "die" and successor and successor != "owner":
            if successor == "confirmed":  # a packet that was sent arrives before the end of the link
                assert owner.confirm_handover()
            lock = "" if lock == "successor" else lock
            is_free = not lock
            if owner.lose_successor(is_locked=is_free):
                lock = "owner"
            successor = ""
        elif step == "other" and not lock:
            lock = "other"
        elif step == "leave" and lock == "other":
            lock = ""
        assert (owner.state is OwnershipState.OWNER) == (lock == "owner")
        assert owner.state is not OwnershipState.OWNER or successor not in ("locked", "confirmed", "owner")


# Transferred state.


def hand_over_world(world: World, shift: int = 0) -> World:
    """Returns a new world that has taken over the state of another one, as a successor process does."""
    dispatcher = world.dispatcher
    inherited = export_state(dispatcher.registry, dispatcher.pending)
    successor = World(*[endpoint.listed for endpoint in dispatcher.endpoints.values()])
    successor.now, successor.attempts = world.now + shift, dict(world.attempts)
    successor.dispatcher = Dispatcher(dispatcher.settings, seed=7)
    listed = tuple(endpoint.listed for endpoint in dispatcher.endpoints.values())
    events: list[PolicyEvent] = [EndpointsUpdated(ListingKind.CACHED, listed)]
    for pending in dispatcher.messages.values():
        call = dispatcher.calls.get((pending.id, pending.attempts - 1))
        accepted = MessageAccepted(
            pending.id,
            pending.message_class.name,
            pending.destination,
            pending.deadline - successor.now,
            "",
            pending.key,
        )
        call_in_flight = None
        if call:
            call_target, is_trial = call.endpoint.listed, call.breaker.trial is call
            call_in_flight = CallInFlight(
                call_target.id, call_target.zone, call.sent_at, is_trial, call.is_overdue
            )
        events.append(
            MessageRestored(
                accepted,
                pending.attempts,
                pending.uncertain_since,
                pending.uncertain_zone,
                is_handed_over=True,
                call=call_in_flight,
                weight_factor=pending.weight_factor,
            )
        )
    successor.first = successor.step(*events, inherited)  # type: ignore[attr-defined]
    return successor


STEP = st.one_of(
    st.tuples(st.just("take"), st.sampled_from(["safe", "ordered", "once", "keyed"]), st.integers(1, 400)),
    st.tuples(
        st.just("answer"),
        st.sampled_from([Outcome.OK, Outcome.FULL, Outcome.RESET, Outcome.ERROR, Outcome.CONNECT_FAILED]),
        st.integers(1, 400),
    ),
)


def run_steps(
    world: World, steps: list[tuple[str, object, int]]
) -> list[tuple[list[str], list[PolicyAction]]]:
    """Applies the steps to a world; returns what it sent and what it ended after each step."""
    decisions = []
    for step, detail, after in steps:
        in_flight = sorted(message_id for message_id, _ in world.dispatcher.calls)
        if step == "take":
            actions = world.accept(str(detail), key="k" if detail == "ordered" else "", after=after * MS)
        elif in_flight:
            wait = 700 * MS if detail is Outcome.FULL else 0
            actions = world.end_attempt(in_flight[0], detail, after=after * MS, wait=wait)  # type: ignore[arg-type]
        else:
            actions = world.step(WakeUp(), after=after * MS)
        decisions.append((sent_messages(actions), rejected_or_failed(actions)))
    return decisions


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=20), st.lists(STEP, max_size=20))
def test_a_policy_decides_the_same_after_a_handover(before: list, after: list) -> None:
    """Calls in flight, waits, breakers, trials, gaps, key pauses: the transferred state is complete."""
    world = World(endpoint("a"), endpoint("b"))
    run_steps(world, before)
    world.step(WakeUp(), after=1)
    successor = hand_over_world(world)
    successor.count = world.count
    assert sent_messages(successor.first) == []  # type: ignore[attr-defined]
    assert run_steps(successor, after) == run_steps(world, after)


def test_calls_that_are_older_than_a_retry_become_overdue_in_time_after_a_handover() -> None:
    """The retry of m1 is the newest call, although its message is the oldest."""
    world = World(endpoint("a"), endpoint("b"))
    run_steps(world, [*[("take", "safe", 1)] * 3, ("take", "safe", 40), ("answer", Outcome.RESET, 400)])
    world.step(WakeUp(), after=1)
    successor = hand_over_world(world)
    successor.count = world.count
    steps: list[tuple[str, object, int]] = [("take", "safe", after) for after in (1, 1, 258, 400, 400)]
    assert run_steps(successor, steps) == run_steps(world, steps)


def test_a_trial_in_flight_stays_the_only_call_after_a_handover() -> None:
    world = World()
    world.open_breaker()
    world.accept("safe")
    actions = world.step(WakeUp(), after=2 * SECOND)
    assert len(sent_messages(actions)) == 1
    successor = hand_over_world(world)
    successor.count = world.count
    assert sent_messages(successor.accept("safe", after=SECOND)) == []
    assert sent_messages(successor.end_attempt(sent_messages(actions)[0], Outcome.OK)) == []
    assert len(sent_messages(successor.step(WakeUp(), after=SECOND))) == 1


def test_engine_state_is_unchanged_by_encoding_and_decoding() -> None:
    call = CallInFlight("a", "z1", 17, True, False)
    inherited = InheritedState(
        breakers=((3, "", {"gap": 1.5, "full_since": float("inf")}),), endpoints=(("a", {"bad_until": 2.0}),),
        keys=(("k", 9),), credit=(("t", 0.5, 3),), silent=((4, 1.0),),
    )  # fmt: skip
    state = HandoverState(
        inherited, {"m": (2, call)}, {"n": Completion(CompletionState.REFUSED, 500)}, {"m": 0.1}, ("o",)
    )
    assert decode_engine_state(json.loads(json.dumps(encode_engine_state(state)))) == state


@pytest.mark.parametrize("text", ["{", "[]", '{"version": 2}', '{"version": 1, "seq": 3}', "3"])
def test_malformed_state_or_state_of_another_version_is_rejected_with_a_one_line_error(text: str) -> None:
    with pytest.raises(ValueError, match=r"^[^\n]+$"):
        decode_state(text)


def test_a_descriptor_that_is_not_a_listening_socket_is_rejected(tmp_path: Path) -> None:
    file = (tmp_path / "file").open("w")
    with socket.socket() as other:
        for bad in ("x", "99999", "-1", str(file.fileno()), str(other.fileno())):
            with pytest.raises(ValueError):
                open_listening_socket(bad)
        assert other.fileno() >= 0 and not file.closed
    file.close()


# Real processes.


@asynccontextmanager
async def service(folder: Path, **class_settings: object) -> AsyncIterator[tuple[Platform, Peer, Discovery]]:
    state = folder / "state"
    state.mkdir()
    async with Peer() as receiver, Discovery() as discovery:
        config = config_json(discovery, host(receiver.dial), **class_settings)
        async with Platform(state, config) as platform:
            yield platform, receiver, discovery


async def replace_process(platform: Platform, old: Process) -> Process:
    """Starts a new process and waits until the old one has handed over to it."""
    new = await platform.start()
    assert (await new.call("GET", "/healthcheck")).status == 200
    await old.wait_for_log("handover completed")
    return new


@run_async_test
async def test_clients_keep_their_connections_while_a_process_is_replaced(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        idle, partial = await platform.connect(), await platform.connect()
        assert (await idle.request(message("m1"))).status == 202
        request = message("m2", b"0123456789")
        partial.writer.write(request[:-4])
        assert (await platform.connect()) and (await idle.request(READY)).status == 200
        (await receiver.next()).answer(200)
        new = await replace_process(platform, old)
        partial.writer.write(request[-4:])
        assert (await idle.request(message("m3"))).status == 202
        assert (await idle.request(READY)).status == 200
        received = {(await receiver.next()).id, (await receiver.next()).id}
        assert received == {"m2", "m3"}
        old.kill(signal.SIGTERM)
        assert await old.wait_for_exit() == 0
        assert (await idle.request(message("m4"))).status == 202
        assert (await receiver.next()).id == "m4"
        assert new.process.returncode is None


@run_async_test
async def test_a_call_in_flight_completes_in_the_old_process_and_is_not_repeated(tmp_path: Path) -> None:
    async with service(tmp_path, **ORDERED_CLASS) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        for name in ("m1", "m2"):
            assert (await client.request(message(name, X_Session_Key="k"))).status == 202
        first = await receiver.next()
        new = await replace_process(platform, old)
        assert receiver.requests.empty()  # m2 waits for m1, whose answer the old process receives
        first.answer(200)
        second = await receiver.next()
        assert second.id == "m2" and receiver.requests.empty()
        second.answer(200)
        figures: dict[str, str] = {}
        while figures.get("edge_balancer.transactions.c.answered") != "2":
            lines = (await new.call("GET", "/stats")).body.decode().split()
            figures = dict(line.split("=") for line in lines)
        assert figures["edge_balancer.current"] == "0"
        old.kill(signal.SIGTERM)
        assert await old.wait_for_exit() == 0


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 2.2])
@pytest.mark.parametrize("is_middle_terminated", [False, True])
def test_a_result_of_the_process_before_last_reaches_the_owner(
    is_middle_terminated: bool, pause_s: float, tmp_path: Path
) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        async with service(folder, **ORDERED_CLASS) as (platform, receiver, _):
            oldest = await platform.start()
            client = await platform.connect()
            for name in ("m1", "m2"):
                assert (await client.request(message(name, X_Session_Key="k"))).status == 202
            first = await receiver.next()
            middle = await replace_process(platform, oldest)
            await asyncio.sleep(pause_s)
            await replace_process(platform, middle)
            if is_middle_terminated:
                middle.kill(signal.SIGTERM)
                await asyncio.sleep(0.5)
            assert receiver.requests.empty()  # m1 is still out
            first.answer(200)
            second = await receiver.next()
            assert second.id == "m2" and receiver.requests.empty()
            second.answer(200)

    test(tmp_path)


@run_async_test
async def test_calls_of_the_process_before_last_end_with_a_killed_middle_process(tmp_path: Path) -> None:
    """No later process can know of them, so two attempts must not be out at once."""
    async with service(tmp_path, **ORDERED_CLASS) as (platform, receiver, _):
        oldest = await platform.start()
        client = await platform.connect()
        assert (await client.request(message("m1", X_Session_Key="k"))).status == 202
        await receiver.next()
        middle = await replace_process(platform, oldest)
        await replace_process(platform, middle)
        middle.kill(signal.SIGKILL)
        await with_timeout(receiver.ends.get())
        assert await oldest.wait_for_exit() == 0


@run_async_test
async def test_a_retry_after_received_by_the_old_process_applies_to_the_new_one(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        assert (await client.request(message("m1"))).status == 202
        first = await receiver.next()
        await replace_process(platform, old)
        loop = asyncio.get_running_loop()
        first.answer(429, "Retry-After: 0.6")
        answered_at = loop.time()
        second = await receiver.next()
        assert second.id == "m1" and loop.time() - answered_at >= 0.59
        second.answer(200)


@run_async_test
async def test_a_call_counts_as_reset_once_its_killed_process_has_ended(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        assert (await client.request(message("m1"))).status == 202
        await receiver.next()
        new = await replace_process(platform, old)
        assert receiver.requests.empty()
        old.kill()
        await new.wait_for_log("predecessor ended: unfinished_calls=1")
        await with_timeout(receiver.ends.get())
        assert (await receiver.next()).id == "m1"


@run_async_test
async def test_the_old_process_resumes_if_its_successor_ends_before_it_takes_over(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        assert (await client.request(message("m1"))).status == 202
        first = await receiver.next()
        sock = connect(platform.state)
        assert sock is not None
        sock.setblocking(True)
        sock.send(b'{"do":"take over"}')
        while b"released" not in sock.recv(200_000):
            pass
        client.writer.write(message("m2"))
        first.answer(200)
        sock.close()
        await old.wait_for_log("handover aborted.*serving resumed")
        assert (await client.request(b"")).status == 202
        assert (await receiver.next()).id == "m2"
        assert receiver.requests.empty()
        await replace_process(platform, old)


@run_async_test
async def test_an_unresponsive_owner_is_killed_and_its_journal_taken_over(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        assert (await client.request(message("m1"))).status == 202
        await receiver.next()
        old.kill(signal.SIGSTOP)
        new = await platform.start()
        await new.wait_for_log("unresponsive owner killed")
        assert await old.wait_for_exit() == -signal.SIGKILL
        assert (await receiver.next()).id == "m1"


@run_async_test
async def test_operators_commands_survive_two_replacements_in_a_row(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        assert (await old.call("POST", "/receivers/r/maint")).status == 200
        assert (await old.call("POST", "/healthcheck/fail")).status == 200
        second = await replace_process(platform, old)
        assert (await old.call("POST", "/receivers/r/ready")).status == 503  # it is no longer the owner
        third = await replace_process(platform, second)
        client = await platform.connect()
        assert (await client.request(READY)).status == 503
        assert (await third.call("POST", "/healthcheck/ok")).status == 200
        client = await platform.connect()
        assert (await client.request(READY)).status == 200
        assert (await client.request(message("m1"))).status == 202
        assert b"cluster_unhealthy=1" in (await third.call("GET", "/stats")).body
        assert receiver.requests.empty()
        assert (await third.call("POST", "/receivers/r/ready")).status == 200
        assert (await receiver.next()).id == "m1"


@run_async_test
async def test_an_invalid_socket_descriptor_is_logged_and_the_configured_address_is_bound(
    tmp_path: Path,
) -> None:
    async with service(tmp_path) as (platform, _, _):
        process = await platform.start(socket_fd="nothing")
        assert any("SOCKET_FD is not used" in line for line in process.lines)
