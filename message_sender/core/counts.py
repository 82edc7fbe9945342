"""Completions since this process began, as the operators' figures have them.

A message is counted once, where the message table forgets or rejects it. Messages that were rejected before
they were accepted count as deferred: they may be submitted again.
"""

from collections.abc import Iterable

from message_sender.core.ports import CompletionState

#: Names in the figures.
FIGURE_NAMES = {
    CompletionState.DELIVERED: "answered",
    CompletionState.REFUSED: "deferred",
    CompletionState.FAILED: "errored",
}


class CompletionCounts:
    """Counts by message class and by the figures' names of completions.

    Attributes:
        classes: Counts by class, then by name.
        sends: Messages written whole to endpoints.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        """Begins at zero for each class."""
        self.classes = {name: dict.fromkeys(FIGURE_NAMES.values(), 0) for name in classes}
        self.sends = 0

    def ended(self, message_class: str, state: CompletionState) -> None:
        """Counts a completion; withdrawn messages and those of an unknown class are not counted."""
        counts = self.classes.get(message_class)
        if counts and state in FIGURE_NAMES:
            counts[FIGURE_NAMES[state]] += 1

    def sent(self) -> None:
        """Counts a message that was written whole."""
        self.sends += 1
