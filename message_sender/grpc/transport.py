"""Attempts over gRPC: one library channel per endpoint, one library call per attempt."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import grpc

from message_sender.core.peer_timeout import PeerTimeout
from message_sender.core.ports import AttemptResult, SendPermission
from message_sender.discovery.static import Dial
from message_sender.grpc.retry import retry_after
from message_sender.grpc.route import IDEMPOTENCY_KEY, PREFIX, decode_extras
from message_sender.grpc.status_mapping import map_status
from message_sender.message import Message
from message_sender.policy.model import Outcome

Options = Sequence[tuple[str, Any]]
Factory = Callable[[str, Options], grpc.aio.Channel]

#: Set on every channel, so that only the engine decides on calls: no retries by the library (including
#: transparent ones), no service configuration from name resolution, and no connection that is shared with
#: another channel.
OPTIONS: Options = (
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)
CACHED_METHODS_LIMIT = 256  # per endpoint
#: Names of the options that the host application cannot set.
RESERVED_OPTIONS = frozenset(name for name, _ in OPTIONS) | {"grpc.service_config"}


def insecure(target: str, options: Options) -> grpc.aio.Channel:
    """Returns a library channel without TLS; the default factory."""
    return grpc.aio.insecure_channel(target, options=options)


class GrpcTransport:
    """A `Transport` over gRPC.

    Attributes:
        connect_timeout: Maximum time to connect, in seconds.
        dials: Returns the current address of each endpoint in the directory.
        retry_after_received: Called with the endpoint and its RetryInfo in microseconds.
        options: Options of every channel.
        factory: Creates a channel.
        channels: Address and channel by endpoint.
        methods: Channel and its callables (by method name) by endpoint.
        calls_in_flight: Number of attempts in flight by endpoint, where there are any.
        closing_tasks: Tasks that close channels.
    """

    reads_late = True  # the library reads in its own threads and notifies the event loop

    def __init__(
        self,
        connect_timeout: float,
        dials: Callable[[], Mapping[str, Dial]],
        retry_after_received: Callable[[str, int], None],
        options: Options = (),
        factory: Factory = insecure,
    ) -> None:
        """Creates a transport without channels.

        Args:
            connect_timeout: Maximum time to connect, in seconds.
            dials: Returns the current address of each endpoint. The channel of an endpoint that was removed
                or moved is closed.
            retry_after_received: Called with the endpoint and its RetryInfo in microseconds.
            options: The host application's options for every channel. Those in `RESERVED_OPTIONS`, which
                would let the library retry or reroute calls by itself, are ignored.
            factory: Creates a channel from target and options, for example one with TLS.
        """
        self.connect_timeout, self.dials, self.retry_after_received = (
            connect_timeout,
            dials,
            retry_after_received,
        )
        self.options = (*(option for option in options if option[0] not in RESERVED_OPTIONS), *OPTIONS)
        self.factory = factory
        self.channels: dict[str, tuple[Dial, grpc.aio.Channel]] = {}
        self.methods: dict[str, tuple[grpc.aio.Channel, dict[str, Any]]] = {}
        self.calls_in_flight: dict[str, int] = {}
        self.closing_tasks: set[asyncio.Task[None]] = set()

    async def call(
        self, endpoint: str, message: Message, timeout: float, permission: SendPermission
    ) -> AttemptResult:
        """Performs one attempt, as `Transport.call` defines it.

        An attempt that ends before its connection is established has not run. After that, only the status of
        the call shows whether it has.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        if (dial := self.dials().get(endpoint)) is None:
            return AttemptResult(Outcome.NOT_SENT)  # removed from the directory after the policy chose it
        self.calls_in_flight[endpoint] = self.calls_in_flight.get(endpoint, 0) + 1
        try:
            channel = self.get_channel(endpoint, dial)
            is_ready = channel.get_state(try_to_connect=True) is grpc.ChannelConnectivity.READY
            if not is_ready and not await self.wait_until_ready(channel, min(self.connect_timeout, timeout)):
                self.discard(endpoint, channel)
                return AttemptResult(Outcome.CONNECT_FAILED)
            if not permission.may_begin() or self.dials().get(endpoint) != dial:
                return AttemptResult(Outcome.NOT_SENT)  # it may have moved while the channel connected
            return await self.attempt(channel, endpoint, message, max(deadline - loop.time(), 0.001))
        finally:
            self.calls_in_flight[endpoint] -= 1
            if not self.calls_in_flight[endpoint]:
                del self.calls_in_flight[endpoint]

    async def wait_until_ready(self, channel: grpc.aio.Channel, timeout: float) -> bool:
        """Connects, and returns whether the channel is ready within `timeout` seconds."""
        try:
            async with PeerTimeout(timeout):
                while True:
                    state = channel.get_state(try_to_connect=True)
                    if state is grpc.ChannelConnectivity.READY:
                        return True
                    if state in (
                        grpc.ChannelConnectivity.TRANSIENT_FAILURE,
                        grpc.ChannelConnectivity.SHUTDOWN,
                    ):
                        return False
                    await channel.wait_for_state_change(state)
        except (TimeoutError, grpc.aio.UsageError):
            return False

    async def attempt(
        self, channel: grpc.aio.Channel, endpoint: str, message: Message, timeout: float
    ) -> AttemptResult:
        """Sends a message over a ready channel and returns the result, within `timeout` seconds."""
        method, metadata = decode_extras(message.extras)
        metadata += [(PREFIX + "id", message.id)]
        if message.idempotency_key:
            metadata += [(IDEMPOTENCY_KEY, message.idempotency_key)]
        call = self.get_callable(endpoint, channel, method)(
            message.body, timeout=timeout, metadata=tuple(metadata), wait_for_ready=False
        )
        try:
            reply = await call
        except grpc.aio.AioRpcError as error:
            retry_after_s = retry_after(error.trailing_metadata())
            result = map_status(error.code(), retry_after_s, details=error.details() or "")
        else:
            result = map_status(grpc.StatusCode.OK, None, reply=reply)
        if result.retry_after_us:
            self.retry_after_received(endpoint, result.retry_after_us)
        return result

    def get_callable(self, endpoint: str, channel: grpc.aio.Channel, name: str) -> Any:  # noqa: ANN401
        """Returns the library's callable for a method of an endpoint, cached with the channel."""
        entry = self.methods.get(endpoint)
        if entry is None or entry[0] is not channel:
            entry = self.methods[endpoint] = channel, {}
        method_callable = entry[1].get(name)
        if method_callable is None:
            if len(entry[1]) >= CACHED_METHODS_LIMIT:
                entry[1].clear()  # bounds the memory if a host generates method names
            method_callable = entry[1][name] = channel.unary_unary(name)
        return method_callable

    def get_channel(self, endpoint: str, dial: Dial) -> grpc.aio.Channel:
        """Returns the channel to an endpoint; creates it if there is none to this address."""
        entry = self.channels.get(endpoint)
        if entry and entry[0] == dial:
            return entry[1]
        if entry:
            self.discard(endpoint, entry[1])
        host, port = dial
        created = self.factory(f"[{host}]:{port}" if ":" in host else f"{host}:{port}", self.options)
        self.channels[endpoint] = dial, created
        return created

    def discard(self, endpoint: str, channel: grpc.aio.Channel) -> None:
        """Removes a channel and closes it in the background.

        A failed channel is not reused: it would keep its own reconnect backoff after the endpoint is
        reachable again.
        """
        entry = self.channels.get(endpoint)
        if entry and entry[1] is channel:
            del self.channels[endpoint]
            self.methods.pop(endpoint, None)
            task = asyncio.get_running_loop().create_task(self.close_channel(channel))
            self.closing_tasks.add(task)
            task.add_done_callback(self.closing_tasks.discard)

    async def close_channel(self, channel: grpc.aio.Channel) -> None:
        """Closes a channel and cancels its calls."""
        await channel.close(grace=None)

    def poll_unread(self) -> None:
        """Does nothing: the library cannot be polled for unread data; see `reads_late`."""

    def close_idle(self, endpoint: str) -> None:
        """Closes the channel to an endpoint, unless a call is in flight on it."""
        entry = self.channels.get(endpoint)
        if entry and not self.calls_in_flight.get(endpoint):
            self.discard(endpoint, entry[1])

    def close_expired(self) -> None:
        """Does nothing: the library closes idle connections itself."""

    def endpoints_changed(self) -> None:
        """Closes the channels of endpoints that were removed or moved, unless calls are in flight on them."""
        dials = self.dials()
        for name, (dial, channel) in list(self.channels.items()):
            if dials.get(name) != dial and not self.calls_in_flight.get(name):
                self.discard(name, channel)

    def close(self) -> None:
        """Closes all channels in the background; `wait_closed` waits for them."""
        for name, (_, channel) in list(self.channels.items()):
            self.discard(name, channel)

    async def wait_closed(self) -> None:
        """Waits until every discarded channel is closed."""
        await asyncio.gather(*self.closing_tasks, return_exceptions=True)
