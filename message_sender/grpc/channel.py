"""The plug-in: a `grpc.aio.Channel` whose unary calls the engine takes on, journals, sends and answers."""

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NoReturn

import grpc

from message_sender.configuration import general
from message_sender.configuration.general import SenderConfig
from message_sender.core.engine import Engine
from message_sender.core.engine_config import EngineConfig
from message_sender.core.ports import Completion, CompletionState, Rejected
from message_sender.discovery.static import StaticDirectory
from message_sender.grpc import retry
from message_sender.grpc.route import BadRouteError, Metadata, Router, from_metadata, message_from, pairs
from message_sender.grpc.transport import Factory, GrpcTransport, Options, insecure
from message_sender.journal.answer_store import AnswerStore
from message_sender.journal.lock import Lock
from message_sender.message import Message

Serializer = Callable[[Any], bytes]
Code = grpc.StatusCode
CLOSED = "the channel was closed; the message is kept, and goes on when it is opened again"


Trailers = tuple[tuple[str, bytes], ...]


def error(code: grpc.StatusCode, text: str, trailers: Trailers = ()) -> grpc.aio.AioRpcError:
    empty = grpc.aio.Metadata()
    return grpc.aio.AioRpcError(code, empty, grpc.aio.Metadata(*trailers), details=text)


def refusal(text: str, after: int) -> grpc.aio.AioRpcError:
    """Trying again does no harm; `after` us says when, 0 that nothing is known."""
    trailers = retry.trailers(Code.UNAVAILABLE, text, after / 1e6)
    return error(Code.UNAVAILABLE, text, trailers)


class Call(grpc.aio.UnaryUnaryCall):
    """One call of the host's: what it awaits, and the engine's caller of its message."""

    def __init__(self, channel: "Channel", message: Message, read: Serializer | None) -> None:
        self._channel, self._message, self._read = channel, message, read
        self._result: asyncio.Future[Any] = channel.engine.loop.create_future()
        self._result.add_done_callback(lambda future: future.cancelled() or future.exception())
        self._callbacks: list[Callable[[Any], None]] = []
        self._status: tuple[grpc.StatusCode, str] | None = None

    # The engine's side.

    def is_gone(self) -> bool:
        return self._result.done()

    def accepted(self) -> bool:
        return True

    def rejected(self, told: Rejected) -> None:
        self._fail(refusal(f"turned away: {told.reason.value}", told.retry_after_us))

    def withdrawn(self) -> None:
        """The host cancelled before it was taken on."""

    def completed(self, end: Completion) -> None:
        match end.state:
            case CompletionState.DELIVERED if not end.status:
                self._succeed(end.reply)
            case CompletionState.DELIVERED:
                name, _, text = end.status.partition(" ")
                self._fail(error(Code[name], text))
            case CompletionState.REFUSED:
                self._fail(refusal("refused", end.retry_after_us))
            case CompletionState.WITHDRAWN:
                self._fail(error(Code.CANCELLED, "the endpoint wants it no more"))
            case _:
                late = self._message.deadline_us - self._channel.engine.now() <= self._channel.tick
                code = Code.DEADLINE_EXCEEDED if late else Code.UNKNOWN
                self._fail(error(code, end.status or "failed; it may have run"))

    def _succeed(self, reply: bytes) -> None:
        try:
            value = self._read(reply) if self._read else reply
        except Exception as trouble:
            self._fail(error(Code.INTERNAL, f"the reply cannot be read: {trouble}"))
            return
        self._status = Code.OK, ""
        self._settle(lambda: self._result.set_result(value))

    def _fail(self, trouble: grpc.aio.AioRpcError) -> None:
        self._status = trouble.code(), trouble.details() or ""
        self._settle(lambda: self._result.set_exception(trouble))

    def _settle(self, settle: Callable[[], None]) -> None:
        if not self._result.done():
            settle()
        for each in self._callbacks:
            self._channel.engine.loop.call_soon(each, self)
        self._callbacks.clear()

    # The host's side, as grpc.aio has it.

    def __await__(self) -> Any:  # noqa: ANN401
        try:
            return (yield from self._result.__await__())
        except asyncio.CancelledError:
            self._called_off()  # cancelling the host's task has cancelled the future that it awaits
            raise

    def cancel(self) -> bool:
        """Calls it off. An attempt that is out may have run; its key rests before the next one of it goes."""
        if self._result.done():
            return False
        self._result.cancel()
        self._called_off()
        return True

    def _called_off(self) -> None:
        if self._status is None:
            self._status = Code.CANCELLED, "cancelled by the host"
            self._settle(lambda: None)
            self._channel.engine.withdraw(self._message.id, self)

    def cancelled(self) -> bool:
        return self._result.cancelled()

    def done(self) -> bool:
        return self._result.done()

    def time_remaining(self) -> float | None:
        """Seconds until its time is up."""
        return max((self._message.deadline_us - self._channel.engine.now()) / 1e6, 0.0)

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        if self.done():
            self._channel.engine.loop.call_soon(callback, self)
        else:
            self._callbacks.append(callback)

    async def wait_for_connection(self) -> None:
        """There is none of its own to wait for."""

    async def initial_metadata(self) -> grpc.aio.Metadata:
        return grpc.aio.Metadata()

    async def trailing_metadata(self) -> grpc.aio.Metadata:
        await self._over()
        trouble = None if self._result.cancelled() else self._result.exception()
        told = trouble.trailing_metadata() if isinstance(trouble, grpc.aio.AioRpcError) else None
        return told or grpc.aio.Metadata()

    async def code(self) -> grpc.StatusCode:
        await self._over()
        return self._status[0] if self._status else Code.UNKNOWN

    async def details(self) -> str:
        await self._over()
        return self._status[1] if self._status else ""

    async def _over(self) -> None:
        await asyncio.wait([self._result])


class Unary(grpc.aio.UnaryUnaryMultiCallable):
    """One method."""

    def __init__(
        self, channel: "Channel", method: str, write: Serializer | None, read: Serializer | None
    ) -> None:
        self._channel, self._method, self._write, self._read = channel, method, write, read

    def __call__(
        self,
        request: Any,  # noqa: ANN401
        *,
        timeout: float | None = None,
        metadata: Any = None,  # noqa: ANN401
        credentials: grpc.CallCredentials | None = None,
        wait_for_ready: bool | None = None,
        compression: grpc.Compression | None = None,
    ) -> Call:
        """`timeout` in seconds, no longer than the class's. The rest is decided by the engine: a call that
        asks for credentials of its own is an error, `wait_for_ready` and `compression` mean nothing here."""
        if credentials is not None:
            raise BadRouteError("credentials belong to the channel's factory, not to a call")
        body = self._write(request) if self._write else bytes(request)
        told: Metadata = tuple((key, value) for key, value in metadata or ())
        return self._channel.hand_in(self._method, body, told, timeout, self._read)


class Channel(grpc.aio.Channel):
    """Open it with `open_channel`. All of it belongs to the loop that opened it."""

    def __init__(
        self,
        told: SenderConfig,
        state: Path,
        directory: StaticDirectory,
        route: Router,
        options: Options,
        factory: Factory,
        kept: int,
    ) -> None:
        self.lock = Lock(state)
        try:
            self.answers = AnswerStore(state, kept)
            self.engine = Engine(
                EngineConfig(
                    told.name, state, told.seed, told.disk_bytes, told.settings, directory.endpoints()
                )
            )
        except BaseException:
            self.lock.release()
            raise
        self.directory, self.route = directory, route
        self.classes = {each.name: each for each in told.settings.classes}
        self.tick = 2 * told.settings.tick
        timeout = told.settings.connect_timeout / 1e6
        self.transport = GrpcTransport(
            timeout, directory.dials, self.engine.retry_after_received, options, factory
        )
        directory.on_update = self.engine.endpoints_updated
        self.engine.plug(self.transport, directory, self)
        self.waiting: set[Call] = set()
        self.closed = False
        self.engine.stopped.add_done_callback(self._stopped)
        self.engine.start()

    # The engine's completion_listener: what nobody waits for is kept until it is collected.

    def notify(self, message: str, end: Completion) -> bool:
        self.answers.add(message, end.state.value, end.retry_after_us, end.reply, end.status)
        return False

    async def run(self) -> None:
        await self.engine.loop.create_future()

    # For the host.

    def hand_in(
        self, method: str, body: bytes, metadata: Metadata, timeout: float | None, read: Serializer | None
    ) -> Call:
        """Raises BadRouteError for a call that cannot be handed in, RuntimeError where the channel is
        closed or the thread is not the loop's."""
        self.check()
        route = self.route(method, body, metadata)
        extras = pairs(method, metadata)
        message = message_from(route, self.classes, body, extras, self.engine.now(), timeout)
        if not self.directory.knows(message.destination):
            raise BadRouteError(f"no endpoint of destination {message.destination} was ever listed")
        call = Call(self, message, read)
        self.waiting.add(call)
        call._result.add_done_callback(lambda _: self.waiting.discard(call))
        if end := self.collect(message.id):
            call.completed(end)  # its message ended in an earlier life of the host
        else:
            self.engine.take(message, call)
        return call

    def collect(self, name: str) -> Completion | None:
        """The final answer of a message that nobody waited for, once; None where there is none."""
        self.check()
        if kept := self.answers.collect(name):
            return Completion(
                CompletionState(kept["state"]), kept["retry_after"], kept["reply"], kept["status"]
            )
        return None

    def pending(self) -> list[str]:
        """Messages that are owed an end, the oldest first; those of an earlier life among them."""
        return list(self.engine.journal.entries)

    def check(self) -> None:
        try:
            running = asyncio.get_running_loop()
        except RuntimeError:
            running = None
        if running is not self.engine.loop:
            raise RuntimeError("this channel belongs to another thread's event loop; call it from there")
        if self.closed:
            raise RuntimeError(f"the channel is closed{self.engine.defect and ': ' + self.engine.defect}")

    def _stopped(self, _: asyncio.Future[int]) -> None:
        """The engine ends before its callers hear so: an end that came between the two would be lost to
        both."""
        self._release()
        text = f"the sender ended by a defect: {self.engine.defect}" if self.engine.defect else CLOSED
        code = Code.INTERNAL if self.engine.defect else Code.UNKNOWN
        for each in list(self.waiting):
            each._fail(error(code, text))

    def _release(self) -> None:
        if not self.closed:
            self.closed = True
            try:
                self.engine.close()
            finally:
                self.answers.close()
                self.lock.release()

    async def close(self, grace: float | None = None) -> None:
        """Waits up to `grace` seconds for what is owed, then ends. What is still owed stays in the journal
        and goes on when the channel is opened again; whoever waits for it hears that nothing is promised."""
        if not self.closed:
            self.check()
            if grace and self.waiting:
                await asyncio.wait([each._result for each in self.waiting], timeout=grace)
            self._release()
            self.engine.stop(0)
            await asyncio.sleep(0)  # the callers hear
        await self.transport.closed()

    async def __aenter__(self) -> "Channel":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    def get_state(self, try_to_connect: bool = False) -> grpc.ChannelConnectivity:
        """READY until it is closed: endpoints come and go behind it."""
        return grpc.ChannelConnectivity.SHUTDOWN if self.closed else grpc.ChannelConnectivity.READY

    async def wait_for_state_change(self, last_observed_state: grpc.ChannelConnectivity) -> None:
        if self.get_state() is last_observed_state:
            await asyncio.wait([self.engine.stopped])

    async def channel_ready(self) -> None:
        self.check()

    def unary_unary(
        self,
        method: str,
        request_serializer: Serializer | None = None,
        response_deserializer: Serializer | None = None,
        _registered_method: bool | None = False,
    ) -> Unary:
        return Unary(self, method, request_serializer, response_deserializer)

    def unary_stream(self, method: str, *_: Any, **__: Any) -> Any:  # noqa: ANN401
        return Stream(method)

    def stream_unary(self, method: str, *_: Any, **__: Any) -> Any:  # noqa: ANN401
        return Stream(method)

    def stream_stream(self, method: str, *_: Any, **__: Any) -> Any:  # noqa: ANN401
        return Stream(method)


class Stream:
    """A method that streams. A generated stub makes one for each such method, so only calling it is an
    error."""

    def __init__(self, method: str) -> None:
        self.method = method

    def __call__(self, *_: Any, **__: Any) -> NoReturn:  # noqa: ANN401
        raise NotImplementedError(f"{self.method} streams; this channel carries unary calls only")


async def open_channel(
    told: SenderConfig | Mapping[str, Any] | Path,
    state: Path | str | None = None,
    *,
    directory: StaticDirectory | None = None,
    route: Router = from_metadata,
    options: Options = (),
    factory: Factory = insecure,
    kept: int = 4096,
) -> Channel:
    """Opens the plug-in in the running loop; what an earlier life took on goes on from the journal.

    `told` is a configuration, a mapping in its form or a TOML file; `state` the folder that lasts, its own
    where the configuration names one. `directory` stands in place of the endpoints in the configuration and
    may change while the channel is open. At most `kept` answers that nobody waited for are kept for
    `Channel.collect`. Raises ConfigError with every fault, `lock.LockTakenError` where another sender has
    the folder, and OSError where it cannot be used.
    """
    if isinstance(told, Path):
        told = general.load(told)
    elif not isinstance(told, SenderConfig):
        told = general.read(told)
    folder = Path(state) if state is not None else told.state
    if folder is None:
        raise general.ConfigError([general.ConfigFault("state", "is missing: no folder is named")])
    folder.mkdir(parents=True, exist_ok=True)
    places = directory or StaticDirectory(told.endpoints)
    return Channel(told, folder, places, route, options, factory, kept)
