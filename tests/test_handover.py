"""From one process to the next under load: ownership, what is told, and real processes killed on the way."""

import asyncio
import json
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from helpers import MS, SECOND, World, ended, endpoint, sent
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import READY, Peer, config_json, host, message, play, soon
from peers import Platform as Discovery
from successors import Platform, Process

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

ORDER = {"semantics": "by_key", "dedup_window": 5_000_000, "key_scope": "zone", "serial_by_key": True}

# Who owns.


@settings(derandomize=True, max_examples=500)
@given(st.lists(st.sampled_from(["ask", "lock", "own", "hear", "die", "other", "leave"]), max_size=14))
def test_there_is_one_owner_whatever_comes_between(steps: list[str]) -> None:
    """`ask`: a follower asks; `lock`: it takes the free lock; `own`: it says so; `hear`: the owner hears it;
    `die`: the follower dies and the owner hears; `other`, `leave`: a third one takes the lock, lets it go."""
    owner, lock = Ownership(), "owner"
    follower = ""  # asked, locked, said
    for step in steps:
        if step == "ask" and not follower:
            if owner.request_handover():
                lock, follower = "", "asked"
        elif step == "lock" and follower == "asked" and not lock:
            lock, follower = "follower", "locked"
        elif step == "own" and follower == "locked":
            follower = "said"
        elif step == "hear" and follower == "said":
            assert owner.confirm_handover()
            follower = "owner"
        elif step == "die" and follower and follower != "owner":
            if follower == "said":  # what was said is heard before the end
                assert owner.confirm_handover()
            lock = "" if lock == "follower" else lock
            free = not lock
            if owner.lose_successor(is_locked=free):
                lock = "owner"
            follower = ""
        elif step == "other" and not lock:
            lock = "other"
        elif step == "leave" and lock == "other":
            lock = ""
        assert (owner.state is OwnershipState.OWNER) == (lock == "owner")
        assert owner.state is not OwnershipState.OWNER or follower not in ("locked", "said", "owner")


# What is told.


def follow(world: World, shift: int = 0) -> World:
    """A world whose decisions were handed over from another one, as a process does it."""
    dispatcher = world.dispatcher
    inherited = export_state(dispatcher.registry, dispatcher.pending)
    next_one = World(*[each.listed for each in dispatcher.endpoints.values()])
    next_one.now, next_one.attempts = world.now + shift, dict(world.attempts)
    next_one.dispatcher = Dispatcher(dispatcher.settings, seed=7)
    listed = tuple(each.listed for each in dispatcher.endpoints.values())
    events: list[PolicyEvent] = [EndpointsUpdated(ListingKind.CACHED, listed)]
    for each in dispatcher.messages.values():
        call = dispatcher.calls.get((each.id, each.attempts - 1))
        taken = MessageAccepted(
            each.id, each.message_class.name, each.destination, each.deadline - next_one.now, "", each.key
        )
        out = None
        if call:
            listed_there, trial = call.endpoint.listed, call.breaker.trial is call
            out = CallInFlight(listed_there.id, listed_there.zone, call.sent_at, trial, call.is_overdue)
        events.append(
            MessageRestored(
                taken,
                each.attempts,
                each.uncertain_since,
                each.uncertain_zone,
                is_handed_over=True,
                call=out,
                weight_factor=each.weight_factor,
            )
        )
    next_one.first = next_one.step(*events, inherited)  # type: ignore[attr-defined]
    return next_one


STEP = st.one_of(
    st.tuples(st.just("take"), st.sampled_from(["safe", "ordered", "once", "keyed"]), st.integers(1, 400)),
    st.tuples(
        st.just("answer"),
        st.sampled_from([Outcome.OK, Outcome.FULL, Outcome.RESET, Outcome.ERROR, Outcome.CONNECT_FAILED]),
        st.integers(1, 400),
    ),
)


def play_on(world: World, steps: list[tuple[str, object, int]]) -> list[tuple[list[str], list[PolicyAction]]]:
    decisions = []
    for what, which, after in steps:
        out = sorted(name for name, _ in world.dispatcher.calls)
        if what == "take":
            actions = world.take(str(which), key="k" if which == "ordered" else "", after=after * MS)
        elif out:
            wait = 700 * MS if which is Outcome.FULL else 0
            actions = world.answer(out[0], which, after=after * MS, wait=wait)  # type: ignore[arg-type]
        else:
            actions = world.step(WakeUp(), after=after * MS)
        decisions.append((sent(actions), ended(actions)))
    return decisions


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=20), st.lists(STEP, max_size=20))
def test_a_module_that_is_handed_over_decides_as_it_would_have(before: list, after: list) -> None:
    """Calls out, waits, breakers, trials, gaps, key rests: all that decides goes along."""
    world = World(endpoint("a"), endpoint("b"))
    play_on(world, before)
    world.step(WakeUp(), after=1)
    other = follow(world)
    other.count = world.count
    assert sent(other.first) == []  # type: ignore[attr-defined]
    assert play_on(other, after) == play_on(world, after)


def test_a_trial_stays_the_only_call() -> None:
    world = World()
    world.open_breaker()
    world.take("safe")
    actions = world.step(WakeUp(), after=2 * SECOND)
    assert len(sent(actions)) == 1
    other = follow(world)
    other.count = world.count
    assert sent(other.take("safe", after=SECOND)) == []
    assert sent(other.answer(sent(actions)[0], Outcome.OK)) == []
    assert len(sent(other.step(WakeUp(), after=SECOND))) == 1


def test_what_is_told_is_read_as_it_was() -> None:
    call = CallInFlight("a", "z1", 17, True, False)
    inherited = InheritedState(
        breakers=((3, "", {"gap": 1.5, "full_since": float("inf")}),), endpoints=(("a", {"bad_until": 2.0}),),
        keys=(("k", 9),), credit=(("t", 0.5, 3),), silent=((4, 1.0),),
    )  # fmt: skip
    handed = HandoverState(
        inherited, {"m": (2, call)}, {"n": Completion(CompletionState.REFUSED, 500)}, {"m": 0.1}, ("o",)
    )
    assert decode_engine_state(json.loads(json.dumps(encode_engine_state(handed)))) == handed


@pytest.mark.parametrize("text", ["{", "[]", '{"version": 2}', '{"version": 1, "seq": 3}', "3"])
def test_what_another_version_tells_is_refused_in_one_line(text: str) -> None:
    with pytest.raises(ValueError, match=r"^[^\n]+$"):
        decode_state(text)


def test_a_descriptor_that_is_no_listening_socket_is_refused(tmp_path: Path) -> None:
    file = (tmp_path / "file").open("w")
    with socket.socket() as other:
        for bad in ("x", "99999", "-1", str(file.fileno()), str(other.fileno())):
            with pytest.raises(ValueError):
                open_listening_socket(bad)
        assert other.fileno() >= 0 and not file.closed
    file.close()


# Real processes.


@asynccontextmanager
async def service(folder: Path, **kind: object) -> AsyncIterator[tuple[Platform, Peer, Discovery]]:
    state = folder / "state"
    state.mkdir()
    async with Peer() as receiver, Discovery() as discovery:
        config = config_json(discovery, host(receiver.dial), **kind)
        async with Platform(state, config) as platform:
            yield platform, receiver, discovery


async def replaced(platform: Platform, old: Process) -> Process:
    new = await platform.start()
    assert (await new.call("GET", "/healthcheck")).status == 200
    await old.says("handover completed")
    return new


@play
async def test_a_process_is_replaced_and_no_client_notices(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        idle, half = await platform.connect(), await platform.connect()
        assert (await idle.ask(message("m1"))).status == 202
        request = message("m2", b"0123456789")
        half.writer.write(request[:-4])
        assert (await platform.connect()) and (await idle.ask(READY)).status == 200
        (await receiver.next()).answer(200)
        new = await replaced(platform, old)
        half.writer.write(request[-4:])
        assert (await idle.ask(message("m3"))).status == 202
        assert (await idle.ask(READY)).status == 200
        seen = {(await receiver.next()).id, (await receiver.next()).id}
        assert seen == {"m2", "m3"}
        old.kill(signal.SIGTERM)
        assert await old.end() == 0
        assert (await idle.ask(message("m4"))).status == 202
        assert (await receiver.next()).id == "m4"
        assert new.process.returncode is None


@play
async def test_a_call_that_is_out_ends_where_it_was_made_and_is_not_made_again(tmp_path: Path) -> None:
    async with service(tmp_path, **ORDER) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        for name in ("m1", "m2"):
            assert (await client.ask(message(name, X_Session_Key="k"))).status == 202
        first = await receiver.next()
        new = await replaced(platform, old)
        assert receiver.requests.empty()  # m2 waits for m1, of which the other process hears
        first.answer(200)
        second = await receiver.next()
        assert second.id == "m2" and receiver.requests.empty()
        second.answer(200)
        figures: dict[str, str] = {}
        while figures.get("edge_balancer.transactions.c.answered") != "2":
            lines = (await new.call("GET", "/stats")).body.decode().split()
            figures = dict(each.split("=") for each in lines)
        assert figures["edge_balancer.current"] == "0"
        old.kill(signal.SIGTERM)
        assert await old.end() == 0


@play
async def test_a_wait_that_the_old_process_hears_binds_the_new_one(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        assert (await client.ask(message("m1"))).status == 202
        first = await receiver.next()
        await replaced(platform, old)
        loop = asyncio.get_running_loop()
        first.answer(429, "Retry-After: 0.6")
        began = loop.time()
        again = await receiver.next()
        assert again.id == "m1" and loop.time() - began >= 0.59
        again.answer(200)


@play
async def test_a_call_whose_process_is_killed_is_a_reset_told_once_it_is_gone(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        assert (await client.ask(message("m1"))).status == 202
        await receiver.next()
        new = await replaced(platform, old)
        assert receiver.requests.empty()
        old.kill()
        await new.says("predecessor ended: unfinished_calls=1")
        await soon(receiver.ends.get())
        assert (await receiver.next()).id == "m1"


@play
async def test_one_that_dies_before_it_owns_leaves_the_old_one_serving(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        assert (await client.ask(message("m1"))).status == 202
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
        await old.says("handover aborted.*serving resumed")
        assert (await client.ask(b"")).status == 202
        assert (await receiver.next()).id == "m2"
        assert receiver.requests.empty()
        await replaced(platform, old)


@play
async def test_an_owner_that_stands_still_is_ended_and_its_journal_taken_over(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        client = await platform.connect()
        assert (await client.ask(message("m1"))).status == 202
        await receiver.next()
        old.kill(signal.SIGSTOP)
        new = await platform.start()
        await new.says("unresponsive owner killed")
        assert await old.end() == -signal.SIGKILL
        assert (await receiver.next()).id == "m1"


@play
async def test_two_replacements_in_a_row_and_orders_over_both(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, receiver, _):
        old = await platform.start()
        assert (await old.call("POST", "/receivers/r/maint")).status == 200
        assert (await old.call("POST", "/healthcheck/fail")).status == 200
        second = await replaced(platform, old)
        assert (await old.call("POST", "/receivers/r/ready")).status == 503  # it does not own any more
        third = await replaced(platform, second)
        client = await platform.connect()
        assert (await client.ask(READY)).status == 503
        assert (await third.call("POST", "/healthcheck/ok")).status == 200
        client = await platform.connect()
        assert (await client.ask(READY)).status == 200
        assert (await client.ask(message("m1"))).status == 202
        assert b"cluster_unhealthy=1" in (await third.call("GET", "/stats")).body
        assert receiver.requests.empty()
        assert (await third.call("POST", "/receivers/r/ready")).status == 200
        assert (await receiver.next()).id == "m1"


@play
async def test_what_is_no_socket_is_logged_and_the_configured_address_is_bound(tmp_path: Path) -> None:
    async with service(tmp_path) as (platform, _, _):
        process = await platform.start(number="nothing")
        assert any("SOCKET_FD is not used" in each for each in process.lines)
