"""The configuration of an engine, and the state that it hands over to its successor."""

from dataclasses import dataclass, field
from pathlib import Path

from message_sender.core.ports import Completion
from message_sender.policy.events import CallInFlight, InheritedState
from message_sender.policy.model import Endpoint, Settings


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """The configuration of an engine, without its ports.

    Attributes:
        name: The sender's name, which stays the same after a restart.
        state: The state folder, which persists across restarts.
        seed: Seed of the policy's random generator.
        disk_bytes: Limit of the size of the state folder, in bytes.
        settings: The settings of the delivery policy.
        known: The endpoints as they were last listed; possibly outdated.
        returned: Ids of those `known` endpoints that were out of service and need a slow start.
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
    """The state of an engine that is not in its journal, for the engine of the successor process.

    Attributes:
        inherited: State of the delivery policy.
        calls: The calls in flight by message id, each with the number of its attempt.
        pending_completions: Completions that were notified and are not acknowledged yet, by message id.
        weight_factors: Factor applied to the weight of each accepted message's class, by message id.
        completed_ids: Ids of completed messages.
    """

    inherited: InheritedState = field(default_factory=InheritedState)
    calls: dict[str, tuple[int, CallInFlight]] = field(default_factory=dict)
    pending_completions: dict[str, Completion] = field(default_factory=dict)
    weight_factors: dict[str, float] = field(default_factory=dict)
    completed_ids: tuple[str, ...] = ()
