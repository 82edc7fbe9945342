"""What a stand-in endpoint does with each call, decided by message and attempt: one script serves every
protocol."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum


class EndpointBehavior(Enum):
    SERVE = "serve"
    ERROR = "error"  # an answer that says it may have run
    FULL = "full"  # turned away, with a wait if `seconds` is set
    RESET = "reset"  # breaks off after the last byte: it may have run
    STALL = "stall"  # answers nothing


@dataclass(frozen=True, slots=True)
class ScriptedAnswer:
    does: EndpointBehavior
    seconds: float = 0.0  # FULL: the wait that it tells; SERVE, ERROR: how long it takes


SERVE = ScriptedAnswer(EndpointBehavior.SERVE)


class Script:
    """`acts` names what happens at the attempts of a message, the last act again for further ones; messages
    that it does not name are served. `rule` decides first, where it is given: for outages that concern
    all."""

    def __init__(
        self,
        acts: Mapping[str, Sequence[ScriptedAnswer]] | None = None,
        rule: Callable[[str], ScriptedAnswer | None] = lambda message: None,
        usual: ScriptedAnswer = SERVE,
    ) -> None:
        self.acts, self.rule, self.usual = dict(acts or {}), rule, usual
        self.seen: Counter[str] = Counter()  # calls that came, by message

    def next(self, message: str) -> ScriptedAnswer:
        """The act for the call that has just come whole."""
        number = self.seen[message]
        self.seen[message] += 1
        if ruled := self.rule(message):
            return ruled
        acts = self.acts.get(message)
        return acts[min(number, len(acts) - 1)] if acts else self.usual
