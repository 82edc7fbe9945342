"""A stand-in endpoint that speaks gRPC and follows the same scripts as the HTTP stand-in.

This module needs the extra `grpc`. The endpoint answers any unary method with the bytes of the request. RESET
aborts the call at the server once the request has been received; STALL keeps the call open until the sender
cancels it.
"""

import asyncio
from typing import Any, Self

import grpc

from message_sender.grpc import retry
from message_sender.grpc.route import PREFIX
from message_sender.testbed.history import EffectApplied, History
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer


class GrpcEndpoint(grpc.GenericRpcHandler):
    """A stand-in endpoint, which listens within its block as an async context manager."""

    def __init__(self, name: str, script: Script, history: History, port: int = 0) -> None:
        """Create an endpoint; port 0 lets the system choose a free port."""
        self.name = name
        self.script = script
        self.history = history
        self.port = port
        self.metadata: dict[str, tuple[tuple[str, Any], ...]] = {}  # of the latest call, by message
        self.methods: dict[str, str] = {}  # of the latest call, by message

    async def __aenter__(self) -> Self:
        """Start to listen."""
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop without a grace period."""
        await self.stop()

    async def start(self) -> None:
        """Start to listen, on the same port as before after a stop."""
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self.server.add_generic_rpc_handlers((self,))
        self.port = self.server.add_insecure_port(f"127.0.0.1:{self.port}")
        await self.server.start()

    async def stop(self, grace: float | None = None) -> None:
        """Stop the server as if its process ended; with a grace period, in seconds, send a GOAWAY first."""
        await self.server.stop(grace)
        # The library stops the server again in its finalizer, which needs the running event loop.
        del self.server

    def service(self, handler_call_details: Any) -> grpc.RpcMethodHandler:  # noqa: ANN401
        """Return a handler for the method of the call; every method is served."""
        method = handler_call_details.method

        async def answer(request: bytes, context: grpc.aio.ServicerContext) -> bytes:
            return await self.handle_call(method, request, context)

        return grpc.unary_unary_rpc_method_handler(answer)

    async def handle_call(self, method: str, request: bytes, context: grpc.aio.ServicerContext) -> bytes:
        """Answer one call as scripted, and record the call."""
        metadata = tuple(context.invocation_metadata() or ())
        message = str(dict(metadata).get(PREFIX + "id", ""))
        self.metadata[message] = metadata
        self.methods[message] = method
        call = self.history.record_start(message, self.name)
        answer = self.script.next_answer(message)
        try:
            return await self.answer_call(answer, call, request, context)
        except asyncio.CancelledError:
            self.history.record_end(call, EffectApplied.MAYBE)
            raise

    async def answer_call(
        self, answer: ScriptedAnswer, call: int, request: bytes, context: grpc.aio.ServicerContext
    ) -> bytes:
        """Record the end of a call, and answer or abort the call as scripted."""
        match answer.behavior:
            case EndpointBehavior.SERVE:
                if answer.seconds:
                    await asyncio.sleep(answer.seconds)
                self.history.record_end(call, EffectApplied.YES)
                return request
            case EndpointBehavior.FULL:
                self.history.record_end(call, EffectApplied.NEVER, answer.seconds)
                trailers = retry.trailers(grpc.StatusCode.UNAVAILABLE, "full", answer.seconds)
                await context.abort(grpc.StatusCode.UNAVAILABLE, "full", trailers)
            case EndpointBehavior.ERROR:
                self.history.record_end(call, EffectApplied.YES)
                await context.abort(grpc.StatusCode.INTERNAL, "error")
            case EndpointBehavior.RESET:
                self.history.record_end(call, EffectApplied.MAYBE)
                await context.abort(grpc.StatusCode.UNAVAILABLE, "broken off")
            case _:
                await asyncio.get_running_loop().create_future()
        raise AssertionError("abort always raises")
