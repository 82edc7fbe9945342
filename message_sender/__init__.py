"""Delivers each message once, in key order and on time, by calls to endpoints of its destination."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from message_sender.policy.dispatcher import Dispatcher

__all__ = ["Dispatcher"]


def __getattr__(name: str) -> Any:  # noqa: ANN401
    """On first use: what starts a process has its signals in hand before anything larger is read."""
    if name != "Dispatcher":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from message_sender.policy.dispatcher import Dispatcher

    return Dispatcher
