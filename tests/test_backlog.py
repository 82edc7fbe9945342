"""Past what one core can do: refused early and honestly, and what is taken on is not the worse for it."""

import asyncio
import socket
from pathlib import Path

import pytest
from faults import until
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import Held, World, message, play, read_reply

from message_sender.admission.backlog import LEAST, MOST, SOONEST, SPAN, Backlog
from message_sender.http.server import ACCEPTS, ACCEPTS_FREE

STEPS = st.lists(st.tuples(st.sampled_from(["came", "read", "pass"]), st.floats(0, 0.1)), max_size=300)


@given(STEPS, st.integers(1, 12))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_it_turns_away_between_its_two_bounds_alone(steps: list[tuple[str, float]], many: int) -> None:
    """Where many wait, the lower one alone."""
    backlog, now, line = Backlog(0.0, many), 0.0, []
    for what, passed in steps:
        now += passed
        crowded = len(line) >= many
        if line and now - line[0] >= (LEAST if crowded else MOST):
            assert backlog.refuses(now)
        if backlog.refuses(now):
            assert line  # never while nothing waits
        elif what == "came":
            backlog.came(now)
            line.append(now)
        if what == "read" and line:
            waited = now - line.pop(0)
            was = backlog.turning_away
            backlog.taken_up(now)
            if line and waited >= MOST:
                assert backlog.turning_away
            if waited < LEAST or not line:
                assert not backlog.turning_away
            elif waited < MOST:
                assert backlog.turning_away == was
        assert len(backlog.waiting) == len(line)


@pytest.mark.parametrize("times", [1.0, 2.0, 4.0])
def test_who_is_turned_away_hears_of_a_time_that_grows_with_the_excess(times: float) -> None:
    backlog, now = Backlog(0.0), 0.0
    for each in range(2000):
        now = each / 500
        backlog.came(now)
        backlog.taken_up(now)
        for _ in range(int(times) - 1):
            backlog.turned_one_away(now)
    assert backlog.excess == pytest.approx(times, rel=0.05)
    assert backlog.come_again(60.0) == pytest.approx(max(SPAN * (times - 0.5), SOONEST), rel=0.1)
    assert backlog.come_again(0.1) == 0.1 and backlog.come_again(0.0) == 0.0
    backlog.count(now + 10 * SPAN)  # a span that nobody saw the end of tells nothing
    assert backlog.excess == 1.0


PLAIN = message("m1", b"body")
UNUSUAL = {
    "in part": PLAIN[:-1],
    "two at once": PLAIN + PLAIN,
    "chunked": PLAIN.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked"),
    "both lengths": PLAIN.replace(b"Host:", b"Transfer-Encoding: chunked\r\nHost:"),
    "two lengths": PLAIN.replace(b"Host:", b"content-length: 4\r\nHost:"),
    "a signed length": PLAIN.replace(b"Content-Length: 4", b"Content-Length: +4"),
    "a huge length": PLAIN.replace(b"Content-Length: 4", b"Content-Length: 4000000"),
    "no id": PLAIN.replace(b"X-Correlation-Id", b"X-Nothing"),
    "no host": PLAIN.replace(b"Host:", b"X-Host:"),
    "a folded line": PLAIN.replace(b"Host:", b"X: a\r\n b\r\nHost:"),
    "expecting": PLAIN.replace(b"Host:", b"Expect: 100-continue\r\nHost:"),
    "closing": PLAIN.replace(b"Host:", b"Connection: close\r\nHost:"),
    "health": b"GET /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Correlation-Id: m\r\n\r\n",
    "noise": b"\x00\x01" * 100 + b"\r\n\r\n",
    "an endless head": b"POST /c HTTP/1.1\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
}


async def crowded(world: World) -> None:
    """From now on the door turns away what it has not begun to read."""
    server = world.sender.server
    server.backlog.came(server.loop.time() - 2 * MOST)


@play
async def test_a_crowd_is_refused_unread_with_a_time_and_keeps_its_connections(state: Path) -> None:
    async with World(state) as world:
        server = world.sender.server
        client = await Held.open(server, message("before"))
        assert (await read_reply(client.reader)).status == 202
        await crowded(world)
        for _ in range(3):
            client.writer.write(message("again"))
            reply = await read_reply(client.reader)
            assert reply.status == 503 and SOONEST <= float(reply.headers["retry-after"]) <= 2.0
        assert "again" not in world.sender.engine.journal.entries and server.backlog.turned_away == 3
        server.backlog.taken_up(server.loop.time())  # the last of the crowd has been read
        client.writer.write(message("after"))
        assert (await read_reply(client.reader)).status == 202
        assert {(await world.receiver.next()).id for _ in range(2)} == {"before", "after"}
        client.writer.close()


@play
async def test_a_message_that_is_taken_on_is_never_refused_unread(state: Path) -> None:
    """A refusal says that it may be handed in elsewhere, which would be a second one."""
    async with World(state) as world:
        assert (await world.hand_in("m")).status == 202
        await crowded(world)
        assert (await world.hand_in("m")).status == 202
        assert (await world.hand_in("n")).status == 503
        (await world.receiver.next()).answer(200)
        await until(lambda: not world.sender.engine.journal.entries)
        assert (await world.hand_in("m")).status != 503


@pytest.mark.parametrize("name", sorted(set(UNUSUAL) - {"in part", "two at once"}))
def test_what_is_unusual_hears_the_same_in_a_crowd(name: str, tmp_path: Path) -> None:
    heard = []
    for busy in (False, True):

        @play
        async def test(state: Path, busy: bool = busy) -> None:
            async with World(state) as world:
                if busy:
                    await crowded(world)
                client = await Held.open(world.sender.server, UNUSUAL[name])
                heard.append(await asyncio.wait_for(client.reader.read(12), 5))
                client.writer.close()

        (folder := tmp_path / str(busy)).mkdir()
        test(folder)
    assert heard[0] == heard[1] != b""


@play
async def test_a_readiness_check_is_answered_in_a_crowd(state: Path) -> None:
    async with World(state) as world:
        await crowded(world)
        client = await Held.open(world.sender.server, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await read_reply(client.reader)).status == 200
        client.writer.close()


@play
async def test_a_crowd_that_holds_many_connections_is_refused_sooner(state: Path) -> None:
    """Else clients that find no connection left wait unheard."""
    async with World(state) as world:
        server = world.sender.server
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("message_sender.admission.backlog.MOST", 1e9)
            for most, status in ((server.backlog.many - 1, 202), (server.backlog.many, 503)):
                while len(server.backlog.waiting) < most:
                    server.backlog.came(server.loop.time() - 1.5 * LEAST)
                assert (await world.hand_in(f"m{status}")).status == status
        assert server.backlog.many < server.most / 2


@play
async def test_a_turn_takes_many_connections_only_while_nobody_is_pushed_out(state: Path) -> None:
    async with World(state) as world:
        server = world.sender.server
        loop, before = server.loop, server.accepted
        for most, taken in ((before + ACCEPTS_FREE + 40, ACCEPTS_FREE), (0, ACCEPTS)):
            loop.remove_reader(server.listener)
            held = [socket.create_connection(world.running.address) for _ in range(ACCEPTS_FREE + 20)]
            server.most, before = most + len(server.connections), server.accepted
            server.accept()
            assert server.accepted - before == taken
            loop.add_reader(server.listener, server.accept)
            for each in held:
                each.close()
            await until(lambda: server.accepted == before + len(held))  # noqa: B023
