"""Counters of completions since the start of this process, as reported to operators.

A message is counted once, when the message table removes or rejects it. A message that was rejected before it
was accepted counts as deferred: it may be submitted again.
"""

from collections.abc import Iterable

from message_sender.core.ports import CompletionState

#: Names of the counters, by state.
COUNTER_NAMES = {
    CompletionState.DELIVERED: "answered",
    CompletionState.REFUSED: "deferred",
    CompletionState.FAILED: "errored",
}


class CompletionCounts:
    """Counts completions by message class and counter name.

    Attributes:
        classes: Counts by class, then by counter name.
        requests_sent: Number of requests that were written completely to endpoints.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        """Starts all counters of the classes at zero."""
        self.classes = {name: dict.fromkeys(COUNTER_NAMES.values(), 0) for name in classes}
        self.requests_sent = 0

    def count_completion(self, message_class: str, state: CompletionState) -> None:
        """Counts a completion; withdrawn messages and messages of an unknown class are not counted."""
        counts = self.classes.get(message_class)
        if counts and state in COUNTER_NAMES:
            counts[COUNTER_NAMES[state]] += 1

    def count_request(self) -> None:
        """Counts a request that was written completely to an endpoint."""
        self.requests_sent += 1
