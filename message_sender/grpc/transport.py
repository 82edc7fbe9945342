"""Calls out over gRPC: one channel of the library to each endpoint, one call an attempt."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import grpc

from message_sender.core.ports import AttemptResult
from message_sender.discovery.static import Dial
from message_sender.grpc.retry import retry_after
from message_sender.grpc.route import IDEMPOTENCY, PREFIX, unpaired
from message_sender.grpc.status_mapping import fate
from message_sender.message import Message
from message_sender.policy.model import Outcome

Options = Sequence[tuple[str, Any]]
Factory = Callable[[str, Options], grpc.aio.Channel]

#: Nothing may act behind the engine's back: no retries of the library's (transparent ones included), no
#: policy that a name service hands out, no connection shared with somebody else's channel.
OPTIONS: Options = (
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)
MOST_METHODS = 256  # kept for an endpoint
ENFORCED = frozenset(name for name, _ in OPTIONS) | {"grpc.service_config"}


def insecure(target: str, options: Options) -> grpc.aio.Channel:
    return grpc.aio.insecure_channel(target, options=options)


class GrpcTransport:
    """`dials` is the directory's: an endpoint that is no longer in it, or at another address, keeps
    nothing."""

    reads_late = True  # the library reads in threads of its own and tells the loop

    def __init__(
        self,
        connect_timeout: float,
        dials: Callable[[], Mapping[str, Dial]],
        retry_after_received: Callable[[str, int], None],
        options: Options = (),
        factory: Factory = insecure,
    ) -> None:
        """`connect_timeout` in seconds. `options` are the host's for every channel; those that would let the
        library act by itself are passed over. `factory` makes a channel, with TLS for instance."""
        self.connect_timeout, self.dials, self.retry_after_received = (
            connect_timeout,
            dials,
            retry_after_received,
        )
        self.options = (*(each for each in options if each[0] not in ENFORCED), *OPTIONS)
        self.factory = factory
        self.channels: dict[str, tuple[Dial, grpc.aio.Channel]] = {}
        self.methods: dict[str, tuple[grpc.aio.Channel, dict[str, Any]]] = {}
        self.busy: dict[str, int] = {}
        self.closing: set[asyncio.Task[None]] = set()

    async def call(
        self, endpoint: str, message: Message, timeout: float, may_go: Callable[[], bool]
    ) -> AttemptResult:
        """One attempt. Before its connection is up it has never run; from then on only an answer says."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        if (dial := self.dials().get(endpoint)) is None:
            return AttemptResult(Outcome.NOT_SENT)  # gone since the module chose it
        self.busy[endpoint] = self.busy.get(endpoint, 0) + 1
        try:
            channel = self.channel(endpoint, dial)
            up = channel.get_state(try_to_connect=True) is grpc.ChannelConnectivity.READY
            if not up and not await self.up(channel, min(self.connect_timeout, timeout)):
                self.drop(endpoint, channel)
                return AttemptResult(Outcome.CONNECT_FAILED)
            if not may_go():
                return AttemptResult(Outcome.NOT_SENT)
            return await self.attempt(channel, endpoint, message, max(deadline - loop.time(), 0.001))
        finally:
            self.busy[endpoint] -= 1
            if not self.busy[endpoint]:
                del self.busy[endpoint]

    async def up(self, channel: grpc.aio.Channel, timeout: float) -> bool:
        """Whether a connection is there, within so many seconds."""
        try:
            async with asyncio.timeout(timeout):
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
        method, metadata = unpaired(message.extras)
        metadata += [(PREFIX + "id", message.id)]
        if message.idempotency_key:
            metadata += [(IDEMPOTENCY, message.idempotency_key)]
        out = self.method(endpoint, channel, method)(
            message.body, timeout=timeout, metadata=tuple(metadata), wait_for_ready=False
        )
        try:
            reply = await out
        except grpc.aio.AioRpcError as error:
            told = retry_after(error.trailing_metadata())
            answer = fate(error.code(), told, details=error.details() or "")
        else:
            answer = fate(grpc.StatusCode.OK, None, reply=reply)
        if answer.retry_after_us:
            self.retry_after_received(endpoint, answer.retry_after_us)
        return answer

    def method(self, endpoint: str, channel: grpc.aio.Channel, name: str) -> Any:  # noqa: ANN401
        """The library's callable for a method, kept with its channel."""
        known = self.methods.get(endpoint)
        if known is None or known[0] is not channel:
            known = self.methods[endpoint] = channel, {}
        made = known[1].get(name)
        if made is None:
            if len(known[1]) >= MOST_METHODS:
                known[1].clear()  # guards against hosts that make method names up
            made = known[1][name] = channel.unary_unary(name)
        return made

    def channel(self, endpoint: str, dial: Dial) -> grpc.aio.Channel:
        known = self.channels.get(endpoint)
        if known and known[0] == dial:
            return known[1]
        if known:
            self.drop(endpoint, known[1])
        host, port = dial
        made = self.factory(f"[{host}]:{port}" if ":" in host else f"{host}:{port}", self.options)
        self.channels[endpoint] = dial, made
        return made

    def drop(self, endpoint: str, channel: grpc.aio.Channel) -> None:
        """Guards a destination that is back from a channel that still waits out its own backoff."""
        known = self.channels.get(endpoint)
        if known and known[1] is channel:
            del self.channels[endpoint]
            self.methods.pop(endpoint, None)
            task = asyncio.get_running_loop().create_task(self.end(channel))
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)

    async def end(self, channel: grpc.aio.Channel) -> None:
        await channel.close(grace=None)

    def poll_unread(self) -> None:
        """The library has no way to ask what it has read; see `reads_late`."""

    def close_idle(self, endpoint: str) -> None:
        known = self.channels.get(endpoint)
        if known and not self.busy.get(endpoint):
            self.drop(endpoint, known[1])

    def close_expired(self) -> None:
        """The library closes what stands idle by itself."""

    def endpoints_changed(self) -> None:
        """One that has gone or moved closes; a call that is out there keeps its channel until it ends."""
        dials = self.dials()
        for name, (dial, channel) in list(self.channels.items()):
            if dials.get(name) != dial and not self.busy.get(name):
                self.drop(name, channel)

    def close(self) -> None:
        for name, (_, channel) in list(self.channels.items()):
            self.drop(name, channel)

    async def closed(self) -> None:
        """Waits until every channel is."""
        await asyncio.gather(*self.closing, return_exceptions=True)
