"""Delivers each message once, before its deadline and in the order of its key, by calls to endpoints."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from message_sender.policy.dispatcher import Dispatcher

__all__ = ["Dispatcher"]


def __getattr__(name: str) -> Any:  # noqa: ANN401
    """Imports `Dispatcher` on first use, so that `__main__` sets its signal handlers before larger imports.

    Raises:
        AttributeError: The module has no attribute of this name.
    """
    if name != "Dispatcher":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from message_sender.policy.dispatcher import Dispatcher

    return Dispatcher
