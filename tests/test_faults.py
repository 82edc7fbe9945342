"""Every system call, at every stage of a client's, a receiver's and the platform's connection, fails once
with each error that Linux documents for it. The process lives, nobody else suffers, descriptors come back,
and a call's fate is read with care."""

import asyncio
import contextlib
import errno
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from faults import Faults, faulty, turn, until
from peers import PATIENCE, Held, World, message, read_reply, soon

from message_sender.core.ports import AttemptResult
from message_sender.http import client, discovery, server
from message_sender.http.client_connection import ClientConnection
from message_sender.policy.events import WakeUp
from message_sender.policy.model import NEVER_RAN, Outcome

NO_ROOM = (errno.ENOBUFS, errno.ENOMEM)
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, *NO_ROOM)
UNREACHED = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
BROKEN = (errno.ECONNRESET, errno.ENOTCONN, *UNREACHED)
CONNECT = (errno.ECONNREFUSED, errno.ECONNRESET, errno.EADDRNOTAVAIL, errno.EBADF, *UNREACHED)
#: What each call may raise: accept(2), recv(2), send(2), shutdown(2) and so on, with tcp(7) and ip(7).
ERRORS = {
    "accept": (*NO_DESCRIPTOR, errno.ECONNABORTED, errno.EPROTO, errno.EPERM, *UNREACHED, errno.EBADF),
    "socket": NO_DESCRIPTOR,
    "connect": CONNECT,
    "so_error": (errno.ECONNREFUSED, errno.ECONNRESET, *UNREACHED),
    "setblocking": (errno.EBADF,),
    "setsockopt": (errno.EBADF, *NO_ROOM),
    "getsockname": (errno.EBADF, errno.ENOBUFS),
    "getpeername": (errno.ENOTCONN, errno.EBADF, errno.ENOBUFS),
    "register": (errno.ENOMEM, errno.ENOSPC),
    "recv": (*BROKEN, errno.ENOMEM, errno.EBADF),
    "recv_into": (*BROKEN, errno.ENOMEM, errno.EBADF),
    "send": (*BROKEN, errno.EPIPE, *NO_ROOM, errno.EBADF),
    "shutdown": (errno.ENOTCONN, errno.EBADF, errno.ENOBUFS),
    "poll": (errno.ENOMEM, errno.EINTR),
    "close": (errno.EBADF, errno.EIO, errno.EINTR),
}


def pairs(stages: dict[str, tuple[str, ...]]) -> list[tuple[str, str, int]]:
    """Each stage with each call that is made at it and each error of that call."""
    made = [(stage, call) for stage, calls in stages.items() for call in calls]
    return [(stage, call, error) for stage, call in made for error in ERRORS[call]]


def name(case: tuple[str, str, int]) -> str:
    return f"{case[0]}-{case[1]}-{errno.errorcode[case[2]]}"


class Stage:
    """A sender between its peers, and a bystander: a client with a connection of its own."""

    def __init__(self, world: World, faults: Faults, case: tuple[str, str, int]) -> None:
        self.world, self.faults, self.case = world, faults, case
        self.sender = world.sender
        self.skipped = 0
        self.answers: list[tuple[str, AttemptResult]] = []
        now, call = self.sender.engine.now, self.sender.transport.call
        self.sender.engine.now = lambda: now() + self.skipped

        async def watched(*told: object) -> AttemptResult:
            answer = await call(*told)  # type: ignore[arg-type]
            self.answers.append((told[1].id, answer))  # type: ignore[attr-defined]
            return answer

        self.sender.transport.call = watched  # type: ignore[method-assign]

    def at(self, stage: str, side: str) -> None:
        if self.case[0] == stage:
            self.faults.arm(side, *self.case[1:])

    async def skip(self, seconds: float) -> None:
        """The module's clock moves on."""
        self.skipped += int(seconds * 1e6)
        self.sender.engine.post(WakeUp())
        await until(lambda: not self.sender.engine.inbox)

    async def deliver(self, held: Held, what: str) -> int:
        """Hands a message in on a kept connection and serves whatever is called for it; how many calls."""
        held.writer.write(message(what))
        assert (await read_reply(held.reader)).status == 202
        calls = 0
        while what in self.sender.engine.journal.entries:
            if self.world.receiver.requests.empty():
                await self.skip(0.05)
                continue
            request = self.world.receiver.requests.get_nowait()
            calls += request.id == what
            request.answer(200)
            await until(lambda: not self.sender.engine.attempts.calls)
        return calls

    async def settle(self) -> None:
        """All that is called for is served, and everything that is held is over."""
        while self.sender.engine.journal.entries:
            if self.world.receiver.requests.empty():
                await self.skip(0.05)
            else:
                self.world.receiver.requests.get_nowait().answer(200)
                await until(lambda: not self.sender.engine.attempts.calls)

    async def check(self) -> None:
        """What holds after every fault."""
        assert self.faults.struck == 1, "the scenario does not come to this call: the case proves nothing"
        assert not self.sender.engine.defect and not self.sender.engine.stopped.done()
        assert await self.deliver(self.bystander, "after") == 1
        fresh = await Held.open(self.sender.server)
        assert await self.deliver(fresh, "fresh") == 1
        fresh.writer.close()
        assert self.bystander.reader.at_eof() is False
        self.bystander.writer.close()
        connections = self.sender.server.connections
        for each in list(connections):
            each.since -= PATIENCE  # those that stand at the fault's stage are swept away
        while connections:
            self.sender.server.expire()
            for each in list(connections):
                each.since -= PATIENCE
            await turn()
        await until(lambda: self.faults.open("client") == 0)
        await until(lambda: self.faults.open("receiver") == len(self.sender.transport.connections))
        assert self.faults.open("platform") <= 2


@asynccontextmanager
async def staged(state: Path, faults: Faults, case: tuple[str, str, int]) -> AsyncIterator[Stage]:
    async with World(state) as world:
        faults.listener = world.running.address[1]
        faults.sides = {world.receiver.address[1]: "receiver", world.platform.address[1]: "platform"}
        stage = Stage(world, faults, case)
        stage.bystander = await Held.open(world.sender.server)  # type: ignore[attr-defined]
        assert await stage.deliver(stage.bystander, "before") == 1  # type: ignore[attr-defined]
        await soon(world.platform.watches.get())
        yield stage


def run(
    case: tuple[str, str, int],
    scenario: Callable[[Stage], Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for module, pause in (
        (server, "ACCEPT_RETRY_S"),
        (discovery, "NOTICE_RETRY_S"),
        (client, "SHORTAGE_RETRY_S"),
    ):
        monkeypatch.setattr(module, pause, 0.0)

    async def test(faults: Faults) -> None:
        with tempfile.TemporaryDirectory() as state:
            async with staged(Path(state), faults, case) as stage:
                await scenario(stage)
                await stage.check()

    with faulty() as (faults, loop):
        loop.run_until_complete(asyncio.wait_for(test(faults), PATIENCE / 4))


CLIENT = {
    "connecting": ("setblocking", "getsockname", "getpeername", "register"),
    "silent": ("recv_into", "close"),
    "half": ("recv_into", "send", "shutdown", "close"),
    "whole": ("poll", "send", "close"),
    "closing": ("poll", "send", "shutdown", "close"),
    "answered": ("recv_into", "close"),
    "bad": ("send", "shutdown", "close"),
    "leaving": ("recv_into", "close"),
}


async def a_client(stage: Stage) -> None:
    """One client per stage at most: it comes as far as the fault lets it, then it resets."""
    sender, faulty_stage = stage.sender, stage.case[0]
    stage.at("connecting", "client")
    held = await Held.open(sender.server)
    if faulty_stage == "connecting":
        await until(lambda: stage.faults.struck == 1)
    else:
        await until(lambda: len(sender.server.connections) == 2)
        (own,) = [each for each in sender.server.connections if not each.has_submitted]
        await until(lambda: own.transport is not None and own.transport.is_reading())
        await turn()  # the loop reads from it now
        stage.at("silent", "client")
        if faulty_stage == "half":
            held.writer.write(message("m")[:30])
            await until(lambda: own.began is not None)
            stage.at("half", "client")
            if stage.case[1] in ("send", "shutdown"):
                own.since -= PATIENCE
                sender.server.expire()
            else:
                held.writer.write(message("m")[30:40])
        elif faulty_stage in ("whole", "closing"):
            stage.at("whole", "client")
            stage.at("closing", "client")
            close = {"Connection": "close"} if faulty_stage == "closing" else {}
            held.writer.write(message("m", **close))
            await until(lambda: stage.faults.struck == 1 or "m" in sender.engine.journal.entries)
        elif faulty_stage == "answered":
            held.writer.write(message("m"))
            assert (await read_reply(held.reader)).status == 202
            stage.at("answered", "client")
            held.writer.write(message("n")[:20])
        elif faulty_stage in ("bad", "leaving"):
            stage.at("bad", "client")
            held.writer.write(b"noise\r\n\r\n")
            await until(lambda: own.is_discarding)
            stage.at("leaving", "client")
            held.writer.write(b"more noise")
        elif faulty_stage == "silent" and stage.case[1] == "recv_into":
            held.writer.write(b"P")
    if stage.case[1] != "close":
        await until(lambda: stage.faults.struck == 1)
    held.writer.transport.abort()
    if faulty_stage != "connecting":
        await until(lambda: own not in sender.server.connections or own.began is not None)
        own.close()
    await until(lambda: stage.faults.struck == 1)
    await stage.settle()


@pytest.mark.parametrize("case", pairs(CLIENT), ids=name)
def test_a_clients_connection_fails(case: tuple[str, str, int], monkeypatch: pytest.MonkeyPatch) -> None:
    run(case, a_client, monkeypatch)


async def a_listener(stage: Stage) -> None:
    """The client that came meanwhile waits in the backlog, or finds the port closed for a moment."""
    stage.at("accepting", "listener")
    with contextlib.suppress(ConnectionError):
        _, writer = await asyncio.open_connection(*stage.world.running.address)
        writer.close()
    await until(lambda: stage.faults.struck == 1)
    await until(lambda: stage.sender.server.listener.fileno() >= 0)
    # Where it made room, that was the one connection that served nobody: the bystander's, between requests.
    if not stage.sender.server.table.idle:
        stage.bystander = await Held.open(stage.sender.server)  # type: ignore[attr-defined]


@pytest.mark.parametrize("case", pairs({"accepting": ("accept",)}), ids=name)
def test_the_listener_fails(case: tuple[str, str, int], monkeypatch: pytest.MonkeyPatch) -> None:
    run(case, a_listener, monkeypatch)


RECEIVER = {
    "opening": ("socket", "setblocking", "setsockopt", "connect", "register", "so_error"),
    "sending": ("send",),
    "waiting": ("recv", "register"),
    "kept": ("send", "recv"),
    "ending": ("close",),
}


async def a_receiver(stage: Stage) -> None:
    sender, receiver, (at, call, _) = stage.sender, stage.world.receiver, stage.case
    if at in ("opening", "sending", "waiting"):
        sender.transport.close_idle("r")
    stage.at("opening", "receiver")
    stage.at("sending", "receiver")
    if (at, call) == ("kept", "recv"):  # the look at a kept connection before it is used comes first
        stage.at("kept", "receiver")
    if (at, call) == ("kept", "send"):
        stage.at("kept", "receiver")
    if (at, call) == ("waiting", "register"):  # the loop begins to watch the connection once it is up
        add = sender.transport.unread.add

        def up(connection: ClientConnection) -> None:
            sender.transport.unread.add = add  # type: ignore[method-assign]
            add(connection)
            stage.at("waiting", "receiver")

        sender.transport.unread.add = up  # type: ignore[method-assign]
    seen = 0
    stage.bystander.writer.write(message("m"))  # type: ignore[attr-defined]
    assert (await read_reply(stage.bystander.reader)).status == 202  # type: ignore[attr-defined]
    if at in ("waiting", "ending"):
        (request,) = [await receiver.next()]
        seen += 1
        if at == "ending":
            stage.at("ending", "receiver")
            request.write("noise that is no answer\r\n\r\n")
        elif call == "recv":
            stage.at("waiting", "receiver")
            request.answer(200)
        await until(lambda: stage.faults.struck == 1 and any(who == "m" for who, _ in stage.answers))
    while "m" in sender.engine.journal.entries:
        if receiver.requests.empty():
            await stage.skip(0.05)
            continue
        receiver.requests.get_nowait().answer(200)
        seen += 1
        await until(lambda: not sender.engine.attempts.calls)
    fates = [answer.outcome for who, answer in stage.answers if who == "m"]
    ran = [each for each in fates if each not in NEVER_RAN]
    assert len(ran) == seen, f"{seen} requests came whole, and the fates are {fates}"
    assert fates[-1] is Outcome.OK
    if at in ("waiting", "ending"):
        assert fates[0] in (Outcome.RESET, Outcome.MALFORMED)


@pytest.mark.parametrize("case", pairs(RECEIVER), ids=name)
def test_a_receivers_connection_fails(case: tuple[str, str, int], monkeypatch: pytest.MonkeyPatch) -> None:
    run(case, a_receiver, monkeypatch)


PLATFORM = {
    "watch opening": ("socket", "setblocking", "setsockopt", "connect", "register", "so_error"),
    "watch asking": ("send",),
    "watch hearing": ("recv", "close"),
    "notice opening": ("socket", "setblocking", "setsockopt", "connect", "register", "so_error"),
    "notice telling": ("send",),
    "notice hearing": ("recv", "close"),
}


async def the_platform(stage: Stage) -> None:
    discovery, at = stage.world.platform, stage.case[0]
    if at.startswith("watch"):
        watch = discovery.watched[-1]
        for each in ("watch opening", "watch asking"):
            stage.at(each, "platform")
        if at == "watch hearing":
            stage.at(at, "platform")
            watch.write("1\r\n\n\r\n")
            if stage.case[1] == "close":
                watch.break_off()
        else:
            watch.break_off()
        tries = len(discovery.watched)
        while len(discovery.watched) == tries:  # the module asks again, and hears a list
            await stage.skip(0.25)
            await turn()
        return
    stage.bystander.writer.write(message("late", X_Time_Left="0.1", X_Route_To="dest=9"))  # type: ignore[attr-defined]
    assert (await read_reply(stage.bystander.reader)).status == 202  # type: ignore[attr-defined]
    for each in ("notice opening", "notice telling"):
        stage.at(each, "platform")
    await stage.skip(0.2)
    while "late" in stage.sender.engine.journal.entries:
        if not discovery.requests.empty():
            request = discovery.requests.get_nowait()
            if stage.faults.struck == 0:
                stage.at("notice hearing", "platform")
            if stage.case[1] == "close" and stage.faults.struck == 0:
                request.break_off()
            else:
                request.answer(204)
        await turn()


@pytest.mark.parametrize("case", pairs(PLATFORM), ids=name)
def test_the_platforms_connection_fails(case: tuple[str, str, int], monkeypatch: pytest.MonkeyPatch) -> None:
    run(case, the_platform, monkeypatch)
