"""What an engine is built from, and what one engine hands over to the next."""

from dataclasses import dataclass, field
from pathlib import Path

from message_sender.core.ports import Completion
from message_sender.policy.events import CallInFlight, InheritedState
from message_sender.policy.model import Endpoint, Settings


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """What the engine itself needs to know.

    Attributes:
        name: The sender's name, the same after a restart.
        state: The folder that outlasts the process.
        seed: Of the policy's random generator.
        disk_bytes: How much may stand in the state folder.
        settings: The settings of the delivery policy.
        known: The endpoints as they were listed last; may be old.
        returned: Of these, ids that were out of service and are to be warmed up.
    """

    name: str
    state: Path
    seed: int
    disk_bytes: int
    settings: Settings
    known: tuple[Endpoint, ...]
    returned: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HandoverState:
    """What an engine knows that its journal does not, for the engine of the process that follows.

    Attributes:
        inherited: State of the delivery policy.
        calls: Calls in flight by message, each with the number of its attempt.
        ending: Completions that were notified and are not acknowledged yet, by message.
        shares: What is left of the priority weight of accepted messages, by message.
        ended: Ids of completed messages.
    """

    inherited: InheritedState = field(default_factory=InheritedState)
    calls: dict[str, tuple[int, CallInFlight]] = field(default_factory=dict)
    ending: dict[str, Completion] = field(default_factory=dict)
    shares: dict[str, float] = field(default_factory=dict)
    ended: tuple[str, ...] = ()
