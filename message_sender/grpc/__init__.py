"""The sender as part of a gRPC client: a `grpc.aio` channel whose unary calls the engine delivers.

    channel = await open_channel(config, state)
    reply = await SomeStub(channel).Command(request, timeout=4, metadata=[("elmglade-destination", "7")])

Needs the extra `message-sender[grpc]`. See docs/design/grpc.md and docs/operate/grpc.md.
"""

from message_sender.grpc.channel import Channel, open_channel
from message_sender.grpc.route import BadRouteError, Route

__all__ = ["BadRouteError", "Channel", "Route", "open_channel"]
