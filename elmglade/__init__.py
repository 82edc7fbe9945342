"""elmglade: decisions of a dispatcher of notifications, a circuit breaker per destination."""

from elmglade.rules import Dispatcher

__all__ = ["Dispatcher"]
