"""What became of messages since this process began, counted where the engine forgets or turns away each one.

A message has one end here as in the journal: the engine tells it in one place. Refusals before a message was
taken on count as deferred: it may be handed in again.
"""

from collections.abc import Iterable

from message_sender.core.ports import CompletionState

NAMES = {
    CompletionState.DELIVERED: "answered",
    CompletionState.REFUSED: "deferred",
    CompletionState.FAILED: "errored",
}


class CompletionCounts:
    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = {name: dict.fromkeys(NAMES.values(), 0) for name in classes}
        self.sends = 0  # messages written whole to endpoints

    def ended(self, message_class: str, state: CompletionState) -> None:
        """One that was withdrawn ended for nobody and is not counted; nor is one of an unknown class."""
        if (found := self.classes.get(message_class)) and state in NAMES:
            found[NAMES[state]] += 1

    def sent(self) -> None:
        self.sends += 1
