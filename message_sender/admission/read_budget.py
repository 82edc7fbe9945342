"""The memory that requests may take together: what was read on all client connections and is not done with.

Limits of one request do not bound a process: a few hundred clients that each stay within them hold more than
its memory. The budget counts the bytes that each connection holds. When their sum exceeds the limit, requests
that are still being received are ended, until the sum is `TARGET_FRACTION` of the limit:

1. A connection whose last request was valid comes after all others: usual clients keep their connections.
2. Then a connection that holds less than an equal share of the limit comes after those that hold more, since
   ending it frees little.
3. Among equals, the request that began first is ended first: usual requests are complete within milliseconds.

The algorithm is pure.
"""

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

#: Memory of a process that holds no request, in bytes. While a process is replaced, two of them run.
PROCESS_BYTES = 32_000_000
#: Memory that a held byte may take: buffers grow in steps, and a body is copied on its way to the engine.
BYTES_PER_HELD_BYTE = 3
MIN_LIMIT_BYTES = 2_000_000
TARGET_FRACTION = 7 / 8


def limit_for(memory_bytes: int) -> int:
    """Returns how many bytes connections may hold together.

    Args:
        memory_bytes: The memory limit of the process, in bytes; a successor shares it during a handover.
    """
    return max((memory_bytes - 2 * PROCESS_BYTES) // BYTES_PER_HELD_BYTE, MIN_LIMIT_BYTES)


class Holder(Protocol):
    """The part of a connection that the budget uses; connections are hashed by identity.

    Attributes:
        is_proven: The last request was valid.
        began: When the first bytes of the current request were read, in microseconds; None without a request.
    """

    is_proven: bool
    began: int | None

    def held_bytes(self) -> int:
        """Returns how many bytes the connection holds."""


HolderType = TypeVar("HolderType", bound=Holder)


class ReadBudget(Generic[HolderType]):
    """Counts the bytes that connections hold.

    Attributes:
        limit_bytes: The maximum sum.
        total_bytes: The sum.
        held: The bytes of each connection that holds any.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Creates a budget of which nothing is used."""
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.held: dict[HolderType, int] = {}

    def update(self, holder: HolderType) -> None:
        """Counts what a connection holds now."""
        held = holder.held_bytes()
        previous = self.held.get(holder, 0)
        if held == previous:
            return
        self.total_bytes += held - previous
        if held:
            self.held[holder] = held
        else:
            del self.held[holder]

    def forget(self, holder: HolderType) -> None:
        """Stops counting a connection that has ended."""
        self.total_bytes -= self.held.pop(holder, 0)

    def is_exceeded(self) -> bool:
        """Whether connections hold more than the limit."""
        return self.total_bytes > self.limit_bytes

    def excess_holders(self) -> Iterator[HolderType]:
        """Yields the connections whose requests are to be ended, until enough has been freed.

        The caller ends the request of each one, as far as its state allows, and updates what it holds.
        """
        equal_share = self.limit_bytes / max(len(self.held), 1)

        def precedence(holder: HolderType) -> tuple[bool, bool, int]:
            return holder.is_proven, self.held[holder] < equal_share, holder.began or 0

        for holder in sorted(self.held, key=precedence):
            if self.total_bytes <= self.limit_bytes * TARGET_FRACTION:
                return
            yield holder
