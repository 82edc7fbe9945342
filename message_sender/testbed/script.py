"""Scripts for stand-in endpoints: how each call is answered, by message and attempt.

One script serves the stand-ins of every protocol.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum


class EndpointBehavior(Enum):
    """What a stand-in endpoint does with a call."""

    SERVE = "serve"
    ERROR = "error"  # an answer after which the call may have had its effect
    FULL = "full"  # rejected, with a Retry-After if `seconds` is set
    RESET = "reset"  # reset after the request's last byte: the call may have had its effect
    STALL = "stall"  # no answer at all


@dataclass(frozen=True, slots=True)
class ScriptedAnswer:
    """One answer of a script.

    Attributes:
        behavior: What the endpoint does.
        seconds: For FULL, the Retry-After that it sends; for SERVE and ERROR, the time before it answers.
    """

    behavior: EndpointBehavior
    seconds: float = 0.0


SERVE = ScriptedAnswer(EndpointBehavior.SERVE)


def no_rule(message: str) -> ScriptedAnswer | None:
    """Leave the answer for any message to the rest of the script."""


class Script:
    """The answers of a stand-in endpoint, and a count of the calls that it received."""

    def __init__(
        self,
        answers: Mapping[str, Sequence[ScriptedAnswer]] | None = None,
        rule: Callable[[str], ScriptedAnswer | None] = no_rule,
        default: ScriptedAnswer = SERVE,
    ) -> None:
        """Create a script.

        Args:
            answers: The answers to the attempts of a message, in order; its last one also answers all later
                attempts.
            rule: Decides before `answers` does, where it returns an answer.
            default: The answer for messages that `answers` does not name.
        """
        self.answers = dict(answers or {})
        self.rule = rule
        self.default = default
        self.call_counts: Counter[str] = Counter()  # by message

    def next_answer(self, message: str) -> ScriptedAnswer:
        """Count a call that was received in full, and return its answer."""
        attempt_index = self.call_counts[message]
        self.call_counts[message] += 1
        if ruled := self.rule(message):
            return ruled
        answers = self.answers.get(message)
        if not answers:
            return self.default
        return answers[min(attempt_index, len(answers) - 1)]
