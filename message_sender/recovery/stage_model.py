"""The stages of recovery, and what members announce to each other about destinations. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum


class Stage(IntEnum):
    """The stages of recovery, in their order; the numbers are part of the wire format."""

    READING_JOURNAL = 0
    INQUIRING = 1
    PROBING = 2
    FLUSHING = 3
    ADMITTING = 4
    OPEN = 5

    @property
    def label(self) -> str:
        """The stage's name in the status and the log."""
        return STAGE_LABELS[self]


STAGE_LABELS = {
    Stage.READING_JOURNAL: "reading",
    Stage.INQUIRING: "asking",
    Stage.PROBING: "feeling",
    Stage.FLUSHING: "owed",
    Stage.ADMITTING: "opening",
    Stage.OPEN: "open",
}


@dataclass(frozen=True, slots=True)
class DestinationEvidence:
    """What one member has observed of a destination.

    Attributes:
        is_up: Whether the destination was up when observed.
        age_s: The age of the observation, in seconds.
        state_age_s: How long the destination has been in this state, in seconds; 0 if not known.
        is_warming_up: Whether the destination was down before and is in slow start since it came up.
        retry_after_s: The remaining time of its last Retry-After, in seconds.
    """

    is_up: bool
    age_s: float
    state_age_s: float = 0.0
    is_warming_up: bool = False
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StageAnnouncement:
    """What a member announces about itself.

    Attributes:
        stage: The member's stage.
        owed_counts: The number of messages that it owes, by destination.
        evidence: What the member itself has observed, by destination.
        trial_ages_s: The time since its trials in flight started, in seconds, by destination.
        out_of_service_s: How long it still keeps endpoints out of service, in seconds, by endpoint.
    """

    stage: Stage = Stage.INQUIRING
    owed_counts: Mapping[int, int] = field(default_factory=dict)
    evidence: Mapping[int, DestinationEvidence] = field(default_factory=dict)
    trial_ages_s: Mapping[int, float] = field(default_factory=dict)
    out_of_service_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CallPermission:
    """Whether this member may call a destination now, and at which rate.

    Attributes:
        may_call: Whether any call is allowed.
        is_trial: Whether only a single call, the trial, is allowed.
        rate_share: This member's fraction of the destination's rate.
        start_phase: The fraction of its own gap that this member's first call waits. One announcement permits
            the calls of all members at once, and different phases keep their first calls apart.
        warming_for_s: How long the destination has been in slow start, in seconds; None: it is warm.
        retry_after_s: The remaining time of the destination's Retry-After, in seconds.
    """

    may_call: bool
    is_trial: bool = False
    rate_share: float = 1.0
    start_phase: float = 0.0
    warming_for_s: float | None = None
    retry_after_s: float = 0.0


def age_evidence(evidence: DestinationEvidence, elapsed_s: float) -> DestinationEvidence:
    """Returns the evidence as of `elapsed_s` seconds later; a negative duration counts as 0.

    A caller that read its clock before the evidence arrived must not make it younger.
    """
    elapsed_s = max(elapsed_s, 0.0)
    return DestinationEvidence(
        evidence.is_up,
        evidence.age_s + elapsed_s,
        evidence.state_age_s + elapsed_s,
        evidence.is_warming_up,
        max(evidence.retry_after_s - elapsed_s, 0.0),
    )
