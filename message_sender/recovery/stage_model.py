"""Stages of recovery, and what members tell each other of destinations. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum


class Stage(IntEnum):
    """Stages of recovery, in their order. The numbers are on the wire."""

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
        is_up: The state that it was seen in.
        age_s: Of the observation.
        state_age_s: How long it had been up; 0 where that is not known.
        is_warming_up: It was down before, and warms up since it is up.
        retry_after_s: What is left of the time for which it asked to be left alone.
    """

    is_up: bool
    age_s: float
    state_age_s: float = 0.0
    is_warming_up: bool = False
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StageAnnouncement:
    """What a member announces of itself.

    Attributes:
        stage: Its stage.
        owed_counts: Messages that it owes, by destination.
        evidence: What it has observed itself, by destination.
        trial_ages_s: Its trials in flight and how long they have been, by destination.
        out_of_service_s: Endpoints that it keeps out of service, and for how long yet.
    """

    stage: Stage = Stage.INQUIRING
    owed_counts: Mapping[int, int] = field(default_factory=dict)
    evidence: Mapping[int, DestinationEvidence] = field(default_factory=dict)
    trial_ages_s: Mapping[int, float] = field(default_factory=dict)
    out_of_service_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CallPermission:
    """What this member may do at a destination now.

    Attributes:
        may_call: Whether calls may go at all.
        is_trial: One call alone.
        rate_share: This member's part of the destination's rate.
        start_phase: The part of its own gap that its first call waits: one announcement frees all members.
        warming_for_s: How long the destination has been warming up; None: it is warm.
        retry_after_s: What is left of the time for which it asked to be left alone.
    """

    may_call: bool
    is_trial: bool = False
    rate_share: float = 1.0
    start_phase: float = 0.0
    warming_for_s: float | None = None
    retry_after_s: float = 0.0


def age_evidence(evidence: DestinationEvidence, by_s: float) -> DestinationEvidence:
    """Returns the evidence as it is `by_s` later; a negative time counts as none.

    Who read its clock before the evidence came makes it no younger by that.
    """
    by_s = max(by_s, 0.0)
    return DestinationEvidence(
        evidence.is_up,
        evidence.age_s + by_s,
        evidence.state_age_s + by_s,
        evidence.is_warming_up,
        max(evidence.retry_after_s - by_s, 0.0),
    )
