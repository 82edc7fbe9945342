"""Each system call fails once with each error that Linux documents for it.

This is done at each stage of a client's, a receiver's and the platform's connection. The process survives,
other connections are not affected, descriptors are released, and the outcome of a call in flight is correct.
"""

import asyncio
import contextlib
import errno
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from peers import TIMEOUT_S, HeldConnection, World, message, read_reply, with_timeout
from socket_faults import Faults, faulty, next_iteration, until

from message_sender.core.ports import AttemptResult
from message_sender.http import client, discovery, server
from message_sender.http.client_connection import ClientConnection
from message_sender.policy.events import WakeUp
from message_sender.policy.model import NEVER_RAN, Outcome

NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, *NO_MEMORY)
UNREACHABLE = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
DISCONNECTED = (errno.ECONNRESET, errno.ENOTCONN, *UNREACHABLE)
CONNECT_ERRORS = (errno.ECONNREFUSED, errno.ECONNRESET, errno.EADDRNOTAVAIL, errno.EBADF, *UNREACHABLE)
#: The errors of each call: accept(2), recv(2), send(2), shutdown(2) and so on, with tcp(7) and ip(7).
ERRORS = {
    "accept": (*NO_DESCRIPTOR, errno.ECONNABORTED, errno.EPROTO, errno.EPERM, *UNREACHABLE, errno.EBADF),
    "socket": NO_DESCRIPTOR,
    "connect": CONNECT_ERRORS,
    "so_error": (errno.ECONNREFUSED, errno.ECONNRESET, *UNREACHABLE),
    "setblocking": (errno.EBADF,),
    "setsockopt": (errno.EBADF, *NO_MEMORY),
    "getsockname": (errno.EBADF, errno.ENOBUFS),
    "getpeername": (errno.ENOTCONN, errno.EBADF, errno.ENOBUFS),
    "register": (errno.ENOMEM, errno.ENOSPC),
    "recv": (*DISCONNECTED, errno.ENOMEM, errno.EBADF),
    "recv_into": (*DISCONNECTED, errno.ENOMEM, errno.EBADF),
    "send": (*DISCONNECTED, errno.EPIPE, *NO_MEMORY, errno.EBADF),
    "shutdown": (errno.ENOTCONN, errno.EBADF, errno.ENOBUFS),
    "poll": (errno.ENOMEM, errno.EINTR),
    "close": (errno.EBADF, errno.EIO, errno.EINTR),
}


def cases(stages: dict[str, tuple[str, ...]]) -> list[tuple[str, str, int]]:
    """Each stage with each call that occurs in it and each error of that call."""
    calls_by_stage = [(stage, call) for stage, calls in stages.items() for call in calls]
    return [(stage, call, error) for stage, call in calls_by_stage for error in ERRORS[call]]


def case_id(case: tuple[str, str, int]) -> str:
    """The id of a test case."""
    return f"{case[0]}-{case[1]}-{errno.errorcode[case[2]]}"


class Stage:
    """A sender with its peers, and a bystander: another client, which no fault may affect.

    Attributes:
        case: The stage, the call that fails and its error number.
        skipped: Microseconds that were added to the engine's clock.
        results: The results of calls, each with the id of its message.
    """

    def __init__(self, world: World, faults: Faults, case: tuple[str, str, int]) -> None:
        self.world, self.faults, self.case = world, faults, case
        self.sender = world.sender
        self.skipped = 0
        self.results: list[tuple[str, AttemptResult]] = []
        now, call = self.sender.engine.now, self.sender.transport.call
        self.sender.engine.now = lambda: now() + self.skipped

        async def recording_call(*args: object) -> AttemptResult:
            result = await call(*args)  # type: ignore[arg-type]
            self.results.append((args[1].id, result))  # type: ignore[attr-defined]
            return result

        self.sender.transport.call = recording_call  # type: ignore[method-assign]
        self.sender.transport.reuse.reuse_delay_s = (
            0  # the stage "pooled" needs a connection that is used again
        )

    def arm_at(self, stage: str, side: str) -> None:
        """Arms the fault on this side if this is the stage of the case."""
        if self.case[0] == stage:
            self.faults.arm(side, *self.case[1:])

    async def skip(self, seconds: float) -> None:
        """Advances the clock of the engine."""
        self.skipped += int(seconds * 1e6)
        self.sender.engine.post(WakeUp())
        await until(lambda: not self.sender.engine.inbox)

    async def deliver(self, client_connection: HeldConnection, message_id: str) -> int:
        """Submits a message on an open connection and answers all calls; returns the number of its calls."""
        client_connection.writer.write(message(message_id))
        assert (await read_reply(client_connection.reader)).status == 202
        calls = 0
        while message_id in self.sender.engine.journal.entries:
            if self.world.receiver.requests.empty():
                await self.skip(0.05)
                continue
            request = self.world.receiver.requests.get_nowait()
            calls += request.id == message_id
            request.answer(200)
            await until(lambda: not self.sender.engine.attempts.calls)
        return calls

    async def settle(self) -> None:
        """Answers all calls until all messages are completed."""
        while self.sender.engine.journal.entries:
            if self.world.receiver.requests.empty():
                await self.skip(0.05)
            else:
                self.world.receiver.requests.get_nowait().answer(200)
                await until(lambda: not self.sender.engine.attempts.calls)

    async def check(self) -> None:
        """Checks what must hold after each fault."""
        assert self.faults.fault_count == 1, "the scenario did not reach this call: the case tests nothing"
        assert not self.sender.engine.defect and not self.sender.engine.stopped.done()
        assert await self.deliver(self.bystander, "after") == 1
        second_client = await HeldConnection.open(self.sender.server)
        assert await self.deliver(second_client, "fresh") == 1
        second_client.writer.close()
        assert self.bystander.reader.at_eof() is False
        self.bystander.writer.close()
        connections = self.sender.server.connections
        for each in list(connections):
            each.since -= TIMEOUT_S  # expires the connections that are still at the stage of the fault
        while connections:
            self.sender.server.expire()
            for each in list(connections):
                each.since -= TIMEOUT_S
            await next_iteration()
        await until(lambda: self.faults.open("client") == 0)
        await until(lambda: self.faults.open("receiver") == len(self.sender.transport.connections))
        assert self.faults.open("platform") <= 2


@asynccontextmanager
async def staged(state: Path, faults: Faults, case: tuple[str, str, int]) -> AsyncIterator[Stage]:
    async with World(state) as world:
        faults.listener = world.running.address[1]
        faults.sides = {world.receiver.address[1]: "receiver", world.platform.address[1]: "platform"}
        stage = Stage(world, faults, case)
        stage.bystander = await HeldConnection.open(world.sender.server)  # type: ignore[attr-defined]
        assert await stage.deliver(stage.bystander, "before") == 1  # type: ignore[attr-defined]
        await with_timeout(world.platform.watches.get())
        yield stage


def run(
    case: tuple[str, str, int],
    scenario: Callable[[Stage], Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for module, delay_name in (
        (server, "ACCEPT_RETRY_S"),
        (discovery, "NOTICE_RETRY_S"),
        (client, "SHORTAGE_RETRY_S"),
    ):
        monkeypatch.setattr(module, delay_name, 0.0)

    async def test(faults: Faults) -> None:
        with tempfile.TemporaryDirectory() as state:
            async with staged(Path(state), faults, case) as stage:
                await scenario(stage)
                await stage.check()

    with faulty() as (faults, loop):
        loop.run_until_complete(asyncio.wait_for(test(faults), TIMEOUT_S / 4))


CLIENT = {
    "connecting": ("setblocking", "getsockname", "getpeername", "register"),
    "silent": ("recv_into", "close"),
    "partial": ("recv_into", "send", "shutdown", "close"),
    "complete": ("poll", "send", "close"),
    "closing": ("poll", "send", "shutdown", "close"),
    "answered": ("recv_into", "close"),
    "rejected": ("send", "shutdown", "close"),
    "discarding": ("recv_into", "close"),
}


async def client_scenario(stage: Stage) -> None:
    """A client that proceeds up to the stage of the fault and then resets its connection."""
    sender, faulty_stage = stage.sender, stage.case[0]
    stage.arm_at("connecting", "client")
    client_connection = await HeldConnection.open(sender.server)
    if faulty_stage == "connecting":
        await until(lambda: stage.faults.fault_count == 1)
    else:
        await until(lambda: len(sender.server.connections) == 2)
        (connection,) = [each for each in sender.server.connections if not each.has_submitted]
        await until(lambda: connection.transport is not None and connection.transport.is_reading())
        await next_iteration()  # the loop now reads from the connection
        stage.arm_at("silent", "client")
        if faulty_stage == "partial":
            client_connection.writer.write(message("m")[:30])
            await until(lambda: connection.began is not None)
            stage.arm_at("partial", "client")
            if stage.case[1] in ("send", "shutdown"):
                connection.since -= TIMEOUT_S
                sender.server.expire()
            else:
                client_connection.writer.write(message("m")[30:40])
        elif faulty_stage in ("complete", "closing"):
            stage.arm_at("complete", "client")
            stage.arm_at("closing", "client")
            close = {"Connection": "close"} if faulty_stage == "closing" else {}
            client_connection.writer.write(message("m", **close))
            await until(lambda: stage.faults.fault_count == 1 or "m" in sender.engine.journal.entries)
        elif faulty_stage == "answered":
            client_connection.writer.write(message("m"))
            assert (await read_reply(client_connection.reader)).status == 202
            stage.arm_at("answered", "client")
            client_connection.writer.write(message("n")[:20])
        elif faulty_stage in ("rejected", "discarding"):
            stage.arm_at("rejected", "client")
            client_connection.writer.write(b"noise\r\n\r\n")
            await until(lambda: connection.is_discarding)
            stage.arm_at("discarding", "client")
            client_connection.writer.write(b"more noise")
        elif faulty_stage == "silent" and stage.case[1] == "recv_into":
            client_connection.writer.write(b"P")
    if stage.case[1] != "close":
        await until(lambda: stage.faults.fault_count == 1)
    client_connection.writer.transport.abort()
    if faulty_stage != "connecting":
        await until(lambda: connection not in sender.server.connections or connection.began is not None)
        connection.close()
    await until(lambda: stage.faults.fault_count == 1)
    await stage.settle()


@pytest.mark.parametrize("case", cases(CLIENT), ids=case_id)
def test_fault_on_a_client_connection(case: tuple[str, str, int], monkeypatch: pytest.MonkeyPatch) -> None:
    run(case, client_scenario, monkeypatch)


async def listener_scenario(stage: Stage) -> None:
    """A client that connects during the fault waits in the backlog, or finds the port closed briefly."""
    stage.arm_at("accepting", "listener")
    with contextlib.suppress(ConnectionError):
        _, writer = await asyncio.open_connection(*stage.world.running.address)
        writer.close()
    await until(lambda: stage.faults.fault_count == 1)
    await until(lambda: stage.sender.server.listener.fileno() >= 0)
    # If the listener freed a descriptor, it closed the bystander's connection, the only idle one.
    if not stage.sender.server.table.idle:
        stage.bystander = await HeldConnection.open(stage.sender.server)  # type: ignore[attr-defined]


@pytest.mark.parametrize("case", cases({"accepting": ("accept",)}), ids=case_id)
def test_fault_on_the_listener(case: tuple[str, str, int], monkeypatch: pytest.MonkeyPatch) -> None:
    run(case, listener_scenario, monkeypatch)


RECEIVER = {
    "opening": ("socket", "setblocking", "setsockopt", "connect", "register", "so_error"),
    "sending": ("send",),
    "waiting": ("recv", "register"),
    "pooled": ("send", "recv"),
    "ending": ("close",),
}


async def receiver_scenario(stage: Stage) -> None:
    """A call of the sender to a receiver, up to the stage of the fault."""
    sender, receiver, (stage_name, call, _) = stage.sender, stage.world.receiver, stage.case
    if stage_name in ("opening", "sending", "waiting"):
        sender.transport.close_idle("r")
    stage.arm_at("opening", "receiver")
    stage.arm_at("sending", "receiver")
    if (stage_name, call) == ("pooled", "recv"):  # an idle connection is checked before it is used
        stage.arm_at("pooled", "receiver")
    if (stage_name, call) == ("pooled", "send"):
        stage.arm_at("pooled", "receiver")
    if (stage_name, call) == ("waiting", "register"):  # the loop registers the connection once it is open
        add = sender.transport.unread.add

        def add_and_arm(connection: ClientConnection) -> None:
            sender.transport.unread.add = add  # type: ignore[method-assign]
            add(connection)
            stage.arm_at("waiting", "receiver")

        sender.transport.unread.add = add_and_arm  # type: ignore[method-assign]
    request_count = 0
    stage.bystander.writer.write(message("m"))  # type: ignore[attr-defined]
    assert (await read_reply(stage.bystander.reader)).status == 202  # type: ignore[attr-defined]
    if stage_name in ("waiting", "ending"):
        (request,) = [await receiver.next()]
        request_count += 1
        if stage_name == "ending":
            stage.arm_at("ending", "receiver")
            request.write("noise that is no answer\r\n\r\n")
        elif call == "recv":
            stage.arm_at("waiting", "receiver")
            request.answer(200)
        await until(
            lambda: (
                stage.faults.fault_count == 1 and any(message_id == "m" for message_id, _ in stage.results)
            )
        )
    while "m" in sender.engine.journal.entries:
        if receiver.requests.empty():
            await stage.skip(0.05)
            continue
        receiver.requests.get_nowait().answer(200)
        request_count += 1
        await until(lambda: not sender.engine.attempts.calls)
    outcomes = [result.outcome for message_id, result in stage.results if message_id == "m"]
    executed = [each for each in outcomes if each not in NEVER_RAN]
    assert len(executed) == request_count, (
        f"{request_count} requests arrived, but the outcomes are {outcomes}"
    )
    assert outcomes[-1] is Outcome.OK
    if stage_name in ("waiting", "ending"):
        assert outcomes[0] in (Outcome.RESET, Outcome.MALFORMED)


@pytest.mark.parametrize("case", cases(RECEIVER), ids=case_id)
def test_fault_on_a_receiver_connection(case: tuple[str, str, int], monkeypatch: pytest.MonkeyPatch) -> None:
    run(case, receiver_scenario, monkeypatch)


PLATFORM = {
    "watch opening": ("socket", "setblocking", "setsockopt", "connect", "register", "so_error"),
    "watch requesting": ("send",),
    "watch reading": ("recv", "close"),
    "notice opening": ("socket", "setblocking", "setsockopt", "connect", "register", "so_error"),
    "notice sending": ("send",),
    "notice reading": ("recv", "close"),
}


async def platform_scenario(stage: Stage) -> None:
    """A watch or a notice to the platform, up to the stage of the fault."""
    discovery, stage_name = stage.world.platform, stage.case[0]
    if stage_name.startswith("watch"):
        watch = discovery.watched[-1]
        for each in ("watch opening", "watch requesting"):
            stage.arm_at(each, "platform")
        if stage_name == "watch reading":
            stage.arm_at(stage_name, "platform")
            watch.write("1\r\n\n\r\n")
            if stage.case[1] == "close":
                watch.abort()
        else:
            watch.abort()
        watch_count = len(discovery.watched)
        while len(discovery.watched) == watch_count:  # the sender subscribes again and receives a list
            await stage.skip(0.25)
            await next_iteration()
        return
    stage.bystander.writer.write(message("late", X_Time_Left="0.1", X_Route_To="dest=9"))  # type: ignore[attr-defined]
    assert (await read_reply(stage.bystander.reader)).status == 202  # type: ignore[attr-defined]
    for each in ("notice opening", "notice sending"):
        stage.arm_at(each, "platform")
    await stage.skip(0.2)
    while "late" in stage.sender.engine.journal.entries:
        if not discovery.requests.empty():
            request = discovery.requests.get_nowait()
            if stage.faults.fault_count == 0:
                stage.arm_at("notice reading", "platform")
            if stage.case[1] == "close" and stage.faults.fault_count == 0:
                request.abort()
            else:
                request.answer(204)
        await next_iteration()


@pytest.mark.parametrize("case", cases(PLATFORM), ids=case_id)
def test_fault_on_a_platform_connection(case: tuple[str, str, int], monkeypatch: pytest.MonkeyPatch) -> None:
    run(case, platform_scenario, monkeypatch)
