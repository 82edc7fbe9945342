"""Scripts for stand-in endpoints: the answer to each call, by message and attempt.

The stand-ins of all protocols use the same scripts.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum


class EndpointBehavior(Enum):
    """What a stand-in endpoint does with a call."""

    SERVE = "serve"
    ERROR = "error"  # an error response; the call may have had its effect
    FULL = "full"  # rejected, with a Retry-After if `seconds` is set
    RESET = "reset"  # reset after the last byte of the request; the call may have had its effect
    STALL = "stall"  # no answer; the call stays open


@dataclass(frozen=True, slots=True)
class ScriptedAnswer:
    """One answer of a script.

    Attributes:
        behavior: What the endpoint does.
        seconds: For FULL, the Retry-After of the answer; for SERVE and ERROR, the delay of the answer.
    """

    behavior: EndpointBehavior
    seconds: float = 0.0


SERVE = ScriptedAnswer(EndpointBehavior.SERVE)


def no_rule(message: str) -> ScriptedAnswer | None:
    """Return None, which leaves the answer to the rest of the script."""


class Script:
    """The answers of a stand-in endpoint, with a count of the calls received."""

    def __init__(
        self,
        answers: Mapping[str, Sequence[ScriptedAnswer]] | None = None,
        rule: Callable[[str], ScriptedAnswer | None] = no_rule,
        default: ScriptedAnswer = SERVE,
    ) -> None:
        """Create a script.

        Args:
            answers: By message: the answers to its attempts, in order. The last answer is also used for all
                later attempts.
            rule: Called with the message before `answers` is used; an answer that it returns takes
                precedence.
            default: The answer for messages without an entry in `answers`.
        """
        self.answers = dict(answers or {})
        self.rule = rule
        self.default = default
        self.call_counts: Counter[str] = Counter()  # by message

    def next_answer(self, message: str) -> ScriptedAnswer:
        """Count a call that was received in full, and return the answer to the call."""
        attempt_index = self.call_counts[message]
        self.call_counts[message] += 1
        if answer := self.rule(message):
            return answer
        answers = self.answers.get(message)
        if not answers:
            return self.default
        return answers[min(attempt_index, len(answers) - 1)]
