"""A stand-in endpoint that speaks gRPC, by the same script as the HTTP one. Needs the extra `grpc`.

It answers any unary method with the request's own bytes. RESET cancels the call at the server after the
request has come; STALL holds it until the sender gives it up.
"""

import asyncio
from typing import Any, Self

import grpc

from message_sender.grpc import retry
from message_sender.grpc.route import PREFIX
from message_sender.testbed.history import EffectApplied, History
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer


class GrpcEndpoint(grpc.GenericRpcHandler):
    def __init__(self, name: str, script: Script, history: History, port: int = 0) -> None:
        self.name, self.script, self.history, self.port = name, script, history, port
        self.metadata: dict[str, tuple[tuple[str, Any], ...]] = {}  # of the last call of each message
        self.methods: dict[str, str] = {}

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self.server.add_generic_rpc_handlers((self,))
        self.port = self.server.add_insecure_port(f"127.0.0.1:{self.port}")
        await self.server.start()

    async def stop(self, grace: float | None = None) -> None:
        """As when the process ends; with a `grace`, a GOAWAY first."""
        await self.server.stop(grace)
        # Collected now: the library ends it once more then, and needs the running loop for that.
        del self.server

    def service(self, handler_call_details: Any) -> grpc.RpcMethodHandler:  # noqa: ANN401
        method = handler_call_details.method

        async def answer(request: bytes, context: grpc.aio.ServicerContext) -> bytes:
            return await self.called(method, request, context)

        return grpc.unary_unary_rpc_method_handler(answer)

    async def called(self, method: str, request: bytes, context: grpc.aio.ServicerContext) -> bytes:
        metadata = tuple(context.invocation_metadata() or ())
        name = str(dict(metadata).get(PREFIX + "id", ""))
        self.metadata[name], self.methods[name] = metadata, method
        call = self.history.began(name, self.name)
        act = self.script.next(name)
        try:
            return await self.play(act, call, request, context)
        except asyncio.CancelledError:
            self.history.over(call, EffectApplied.MAYBE)
            raise

    async def play(
        self, act: ScriptedAnswer, call: int, request: bytes, context: grpc.aio.ServicerContext
    ) -> bytes:
        match act.does:
            case EndpointBehavior.SERVE:
                if act.seconds:
                    await asyncio.sleep(act.seconds)
                self.history.over(call, EffectApplied.YES)
                return request
            case EndpointBehavior.FULL:
                self.history.over(call, EffectApplied.NEVER, act.seconds)
                trailers = retry.trailers(grpc.StatusCode.UNAVAILABLE, "full", act.seconds)
                await context.abort(grpc.StatusCode.UNAVAILABLE, "full", trailers)
            case EndpointBehavior.ERROR:
                self.history.over(call, EffectApplied.YES)
                await context.abort(grpc.StatusCode.INTERNAL, "error")
            case EndpointBehavior.RESET:
                self.history.over(call, EffectApplied.MAYBE)
                await context.abort(grpc.StatusCode.UNAVAILABLE, "broken off")
            case _:
                await asyncio.get_running_loop().create_future()
        raise AssertionError("abort always raises")
