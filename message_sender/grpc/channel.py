"""The plug-in: a `grpc.aio.Channel` whose unary calls the engine accepts, journals, sends and completes.

The application that opens the channel is called the host here.
"""

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
from message_sender.grpc.route import (
    BadRouteError,
    Metadata,
    Router,
    build_message,
    encode_extras,
    from_metadata,
)
from message_sender.grpc.transport import Factory, GrpcTransport, Options, insecure
from message_sender.journal.answer_store import AnswerStore
from message_sender.journal.lock import Lock
from message_sender.message import Message

Serializer = Callable[[Any], bytes]
Code = grpc.StatusCode
CLOSED_DETAILS = "the channel was closed; the message is kept, and resumes when the channel is opened again"

Trailers = tuple[tuple[str, bytes], ...]


def create_error(code: grpc.StatusCode, text: str, trailers: Trailers = ()) -> grpc.aio.AioRpcError:
    """Returns an error of the gRPC library with a status, its text and trailing metadata."""
    empty = grpc.aio.Metadata()
    return grpc.aio.AioRpcError(code, empty, grpc.aio.Metadata(*trailers), details=text)


def create_retryable_error(text: str, retry_after_us: int) -> grpc.aio.AioRpcError:
    """Returns the error of a call that may safely be retried.

    Args:
        text: Text of the status.
        retry_after_us: Microseconds after which to retry; 0: not known.
    """
    trailers = retry.trailers(Code.UNAVAILABLE, text, retry_after_us / 1e6)
    return create_error(Code.UNAVAILABLE, text, trailers)


class Call(grpc.aio.UnaryUnaryCall):
    """A call of the host: the object that the host awaits, and the `Caller` of its message for the engine."""

    def __init__(self, channel: "Channel", message: Message, deserialize: Serializer | None) -> None:
        """Creates a call that has not been submitted; `deserialize` None leaves the reply as bytes."""
        self._channel, self._message, self._deserialize = channel, message, deserialize
        self._result: asyncio.Future[Any] = channel.engine.loop.create_future()
        self._result.add_done_callback(lambda future: future.cancelled() or future.exception())
        self._callbacks: list[Callable[[Any], None]] = []
        self._status: tuple[grpc.StatusCode, str] | None = None

    # Called by the engine, as `Caller` defines it.

    def is_gone(self) -> bool:
        """Returns whether the call has ended for the host."""
        return self._result.done()

    def accepted(self) -> bool:
        """Returns True: the call waits for the completion."""
        return True

    def rejected(self, rejection: Rejected) -> None:
        """Ends the call with UNAVAILABLE and the time after which to retry."""
        self._fail(create_retryable_error(f"turned away: {rejection.reason.value}", rejection.retry_after_us))

    def withdrawn(self) -> None:
        """Does nothing: the host cancelled the call before the message was accepted."""

    def completed(self, completion: Completion) -> None:
        """Ends the call with the reply or the status that the completion stands for."""
        match completion.state:
            case CompletionState.DELIVERED if not completion.status:
                self._succeed(completion.reply)
            case CompletionState.DELIVERED:
                name, _, text = completion.status.partition(" ")
                self._fail(create_error(Code[name], text))
            case CompletionState.REFUSED:
                self._fail(create_retryable_error("refused", completion.retry_after_us))
            case CompletionState.WITHDRAWN:
                self._fail(create_error(Code.CANCELLED, "the endpoint cancelled the message"))
            case _:
                is_late = (
                    self._message.deadline_us - self._channel.engine.now() <= self._channel.deadline_margin_us
                )
                code = Code.DEADLINE_EXCEEDED if is_late else Code.UNKNOWN
                self._fail(create_error(code, completion.status or "failed; the call may have run"))

    def _succeed(self, reply: bytes) -> None:
        try:
            value = self._deserialize(reply) if self._deserialize else reply
        except Exception as error:
            self._fail(create_error(Code.INTERNAL, f"the reply cannot be deserialized: {error}"))
            return
        self._status = Code.OK, ""
        self._finish(lambda: self._result.set_result(value))

    def _fail(self, error: grpc.aio.AioRpcError) -> None:
        self._status = error.code(), error.details() or ""
        self._finish(lambda: self._result.set_exception(error))

    def _finish(self, set_result: Callable[[], None]) -> None:
        """Calls `set_result` unless the call has ended, and schedules the callbacks."""
        if not self._result.done():
            set_result()
        for callback in self._callbacks:
            self._channel.engine.loop.call_soon(callback, self)
        self._callbacks.clear()

    # Called by the host, as `grpc.aio.UnaryUnaryCall` defines it.

    def __await__(self) -> Any:  # noqa: ANN401
        """Waits for the deserialized reply.

        Raises:
            grpc.aio.AioRpcError: The call failed.
            asyncio.CancelledError: The call or the host's task was cancelled.
        """
        try:
            return (yield from self._result.__await__())
        except asyncio.CancelledError:
            self._process_cancellation()  # cancelling the host's task cancelled the future that it awaits
            raise

    def cancel(self) -> bool:
        """Cancels the call; returns False if it has already ended.

        An attempt in flight may have run, so the next message of its key is delayed.
        """
        if self._result.done():
            return False
        self._result.cancel()
        self._process_cancellation()
        return True

    def _process_cancellation(self) -> None:
        """Records the cancellation once, and withdraws the message from the engine."""
        if self._status is None:
            self._status = Code.CANCELLED, "cancelled by the host"
            self._finish(lambda: None)
            self._channel.engine.withdraw(self._message.id, self)

    def cancelled(self) -> bool:
        """Returns whether the host cancelled the call."""
        return self._result.cancelled()

    def done(self) -> bool:
        """Returns whether the call has ended."""
        return self._result.done()

    def time_remaining(self) -> float | None:
        """Returns the seconds until the deadline of the message, at least 0."""
        return max((self._message.deadline_us - self._channel.engine.now()) / 1e6, 0.0)

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Schedules `callback` with this call once it has ended."""
        if self.done():
            self._channel.engine.loop.call_soon(callback, self)
        else:
            self._callbacks.append(callback)

    async def wait_for_connection(self) -> None:
        """Returns at once: a call has no connection of its own."""

    async def initial_metadata(self) -> grpc.aio.Metadata:
        """Returns empty metadata: initial metadata of the endpoint is not kept."""
        return grpc.aio.Metadata()

    async def trailing_metadata(self) -> grpc.aio.Metadata:
        """Waits for the end of the call and returns its trailers: a RetryInfo, or none."""
        await self._wait_until_done()
        error = None if self._result.cancelled() else self._result.exception()
        metadata = error.trailing_metadata() if isinstance(error, grpc.aio.AioRpcError) else None
        return metadata or grpc.aio.Metadata()

    async def code(self) -> grpc.StatusCode:
        """Waits for the end of the call and returns its status code."""
        await self._wait_until_done()
        return self._status[0] if self._status else Code.UNKNOWN

    async def details(self) -> str:
        """Waits for the end of the call and returns the text of its status."""
        await self._wait_until_done()
        return self._status[1] if self._status else ""

    async def _wait_until_done(self) -> None:
        await asyncio.wait([self._result])


class UnaryMethod(grpc.aio.UnaryUnaryMultiCallable):
    """A unary method; calling it submits a message."""

    def __init__(
        self,
        channel: "Channel",
        method: str,
        serialize: Serializer | None,
        deserialize: Serializer | None,
    ) -> None:
        """Creates the callable of the method with this full name; a serializer of None means bytes."""
        self._channel, self._method, self._serialize, self._deserialize = (
            channel,
            method,
            serialize,
            deserialize,
        )

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
        """Submits a request and returns its call.

        Args:
            request: The request.
            timeout: Timeout in seconds, limited to the deadline of the message class; None for that deadline.
            metadata: Route of the call, and metadata for the endpoint.
            credentials: Must be None.
            wait_for_ready: Ignored; the engine decides when to send.
            compression: Ignored.

        Raises:
            BadRouteError: The call has credentials, or cannot be submitted.
            RuntimeError: The channel is closed, or belongs to the event loop of another thread.
        """
        if credentials is not None:
            raise BadRouteError("credentials belong to the channel's factory, not to a call")
        body = self._serialize(request) if self._serialize else bytes(request)
        pairs: Metadata = tuple((key, value) for key, value in metadata or ())
        return self._channel.submit(self._method, body, pairs, timeout, self._deserialize)


class Channel(grpc.aio.Channel):
    """A channel whose unary calls the engine delivers; `open_channel` creates it.

    It may only be used in the event loop that opened it.

    Attributes:
        lock: Lock on the state folder.
        answers: Answers that no call waited for.
        engine: The engine.
        directory: The endpoints.
        router: Returns the route of a call.
        classes: Message classes by name.
        deadline_margin_us: A message that fails within this time before its deadline counts as expired.
        transport: Performs the attempts.
        waiting_calls: Calls that have not ended.
        closed: Whether the channel was closed or its engine has stopped.
    """

    def __init__(
        self,
        config: SenderConfig,
        state: Path,
        directory: StaticDirectory,
        router: Router,
        options: Options,
        factory: Factory,
        kept_answers_limit: int,
    ) -> None:
        """Opens the journal and starts the engine; the arguments are those of `open_channel`.

        Raises:
            LockTakenError: Another sender uses the state folder.
            OSError: The state folder cannot be used.
        """
        self.lock = Lock(state)
        try:
            self.answers = AnswerStore(state, kept_answers_limit)
            self.engine = Engine(
                EngineConfig(
                    config.name, state, config.seed, config.disk_bytes, config.settings, directory.endpoints()
                )
            )
        except BaseException:
            self.lock.release()
            raise
        self.directory, self.router = directory, router
        self.classes = {each.name: each for each in config.settings.classes}
        self.deadline_margin_us = 2 * config.settings.tick
        timeout = config.settings.connect_timeout / 1e6
        self.transport = GrpcTransport(
            timeout, directory.dials, self.engine.retry_after_received, options, factory
        )
        directory.on_update = self.engine.endpoints_updated
        self.engine.set_ports(self.transport, directory, self)
        self.waiting_calls: set[Call] = set()
        self.closed = False
        self.engine.stopped.add_done_callback(self._stopped)
        self.engine.start()

    # The engine's `CompletionListener`: keeps a completion that no call waits for until it is collected.

    def notify(self, message: str, end: Completion) -> bool:
        """Stores a completion for `collect`; returns False, since no acknowledgement follows."""
        self.answers.add(message, end.state.value, end.retry_after_us, end.reply, end.status)
        return False

    async def run(self) -> None:
        """Waits until it is cancelled: storing answers needs no background work."""
        await self.engine.loop.create_future()

    # Called by the host.

    def submit(
        self,
        method: str,
        body: bytes,
        metadata: Metadata,
        timeout: float | None,
        deserialize: Serializer | None,
    ) -> Call:
        """Submits a call; one whose message has already ended gets the stored answer.

        Args:
            method: Full name of the method.
            body: Serialized request.
            metadata: Route of the call, and metadata for the endpoint.
            timeout: Timeout in seconds; None for the deadline of the message class.
            deserialize: Deserializes the reply; None leaves it as bytes.

        Raises:
            BadRouteError: The call cannot be submitted.
            RuntimeError: The channel is closed, or belongs to the event loop of another thread.
        """
        self.check()
        route = self.router(method, body, metadata)
        extras = encode_extras(method, metadata)
        message = build_message(route, self.classes, body, extras, self.engine.now(), timeout)
        if not self.directory.is_known(message.destination):
            raise BadRouteError(f"no endpoint of destination {message.destination} was ever listed")
        call = Call(self, message, deserialize)
        self.waiting_calls.add(call)
        call._result.add_done_callback(lambda _: self.waiting_calls.discard(call))
        if completion := self.collect(message.id):
            call.completed(completion)  # the message ended before the host was restarted
        else:
            self.engine.submit(message, call)
        return call

    def collect(self, name: str) -> Completion | None:
        """Returns the completion of a message that no call waited for, and removes it; None without one.

        Raises:
            RuntimeError: The channel is closed, or belongs to the event loop of another thread.
        """
        self.check()
        if answer := self.answers.collect(name):
            return Completion(
                CompletionState(answer["state"]), answer["retry_after"], answer["reply"], answer["status"]
            )
        return None

    def pending(self) -> list[str]:
        """Returns the ids of accepted messages that have not ended, the oldest first.

        These include messages from before a restart of the host.
        """
        return list(self.engine.journal.entries)

    def check(self) -> None:
        """Checks that the channel may be used here.

        Raises:
            RuntimeError: The channel is closed, or belongs to the event loop of another thread.
        """
        try:
            running_loop = asyncio.get_running_loop()
        except RuntimeError:
            running_loop = None
        if running_loop is not self.engine.loop:
            raise RuntimeError("this channel belongs to another thread's event loop; call it from there")
        if self.closed:
            raise RuntimeError(f"the channel is closed{self.engine.defect and ': ' + self.engine.defect}")

    def _stopped(self, _: asyncio.Future[int]) -> None:
        """Closes the engine, then fails the waiting calls.

        In the other order, a completion between the two would reach neither its call nor the answer store.
        """
        self._release()
        text = (
            f"the sender stopped by a defect: {self.engine.defect}" if self.engine.defect else CLOSED_DETAILS
        )
        code = Code.INTERNAL if self.engine.defect else Code.UNKNOWN
        for call in list(self.waiting_calls):
            call._fail(create_error(code, text))

    def _release(self) -> None:
        if not self.closed:
            self.closed = True
            try:
                self.engine.close()
            finally:
                self.answers.close()
                self.lock.release()

    async def close(self, grace: float | None = None) -> None:
        """Waits up to `grace` seconds for the calls in progress, then closes the channel.

        Messages that have not ended stay in the journal and resume when the channel is opened again; their
        calls end with UNKNOWN.

        Raises:
            RuntimeError: The channel belongs to the event loop of another thread.
        """
        if not self.closed:
            self.check()
            if grace and self.waiting_calls:
                await asyncio.wait([call._result for call in self.waiting_calls], timeout=grace)
            self._release()
            self.engine.stop(0)
            await asyncio.sleep(0)  # lets `_stopped` fail the waiting calls
        await self.transport.wait_closed()

    async def __aenter__(self) -> "Channel":
        """Returns the channel."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the channel without waiting for calls."""
        await self.close()

    def get_state(self, try_to_connect: bool = False) -> grpc.ChannelConnectivity:
        """Returns READY until the channel is closed, regardless of the state of the endpoints."""
        return grpc.ChannelConnectivity.SHUTDOWN if self.closed else grpc.ChannelConnectivity.READY

    async def wait_for_state_change(self, last_observed_state: grpc.ChannelConnectivity) -> None:
        """Waits until the state differs from `last_observed_state`."""
        if self.get_state() is last_observed_state:
            await asyncio.wait([self.engine.stopped])

    async def channel_ready(self) -> None:
        """Returns at once: an open channel is ready.

        Raises:
            RuntimeError: The channel is closed, or belongs to the event loop of another thread.
        """
        self.check()

    def unary_unary(
        self,
        method: str,
        request_serializer: Serializer | None = None,
        response_deserializer: Serializer | None = None,
        _registered_method: bool | None = False,
    ) -> UnaryMethod:
        """Returns the callable of a unary method."""
        return UnaryMethod(self, method, request_serializer, response_deserializer)

    def unary_stream(self, method: str, *_: Any, **__: Any) -> Any:  # noqa: ANN401
        """Returns a callable that raises NotImplementedError."""
        return StreamingMethod(method)

    def stream_unary(self, method: str, *_: Any, **__: Any) -> Any:  # noqa: ANN401
        """Returns a callable that raises NotImplementedError."""
        return StreamingMethod(method)

    def stream_stream(self, method: str, *_: Any, **__: Any) -> Any:  # noqa: ANN401
        """Returns a callable that raises NotImplementedError."""
        return StreamingMethod(method)


class StreamingMethod:
    """A streaming method, which is not supported.

    A generated stub creates one for each streaming method of its service, so only calling it is an error.
    """

    def __init__(self, method: str) -> None:
        """Creates the callable of the method with this full name."""
        self.method = method

    def __call__(self, *_: Any, **__: Any) -> NoReturn:  # noqa: ANN401
        """Raises NotImplementedError."""
        raise NotImplementedError(f"{self.method} streams; this channel carries unary calls only")


async def open_channel(
    configuration: SenderConfig | Mapping[str, Any] | Path,
    state: Path | str | None = None,
    *,
    directory: StaticDirectory | None = None,
    route: Router = from_metadata,
    options: Options = (),
    factory: Factory = insecure,
    kept: int = 4096,
) -> Channel:
    """Opens a channel in the running event loop; messages in the journal resume.

    Args:
        configuration: A configuration, a mapping in its form, or the path of a TOML file.
        state: Folder of the journal, which must survive restarts; by default the one in the configuration.
        directory: Endpoints in place of those in the configuration; may be updated while the channel is open.
        route: Returns the route of a call from its method, body and metadata.
        options: Options for every channel of the gRPC library; those that would let the library retry or
            reroute calls by itself are ignored.
        factory: Creates a channel of the gRPC library, for example one with TLS.
        kept: Maximum number of answers that are stored for `Channel.collect` because no call waited for them.

    Raises:
        ConfigError: The configuration is invalid; the error lists every fault.
        LockTakenError: Another sender uses the state folder.
        OSError: The state folder cannot be used.
    """
    if isinstance(configuration, Path):
        configuration = general.load(configuration)
    elif not isinstance(configuration, SenderConfig):
        configuration = general.read(configuration)
    folder = Path(state) if state is not None else configuration.state
    if folder is None:
        text = "is missing: neither the configuration nor the call names a folder"
        raise general.ConfigError([general.ConfigFault("state", text)])
    folder.mkdir(parents=True, exist_ok=True)
    endpoints = directory or StaticDirectory(configuration.endpoints)
    return Channel(configuration, folder, endpoints, route, options, factory, kept)
