"""The stages in which a member returns to service after a start.

Pure: times are seconds of the caller's clock.

The rules:

- **Inquiring** (from the start): the member learns which other members are running, which of them are
  restarting too, what they have observed, and whether they know an id that is owed here. The stage ends when
  all other members of the fleet have announced themselves and answered the questions about ids, or
  INQUIRY_TIMEOUT_S after the first announcement, or after LONE_INQUIRY_TIMEOUT_S without an announcement. No
  message is sent.
- **Probing**: for each destination that is owed messages and for which no member has fresh evidence, one
  member of the fleet makes one trial and announces the result. Of the members that owe messages to the
  destination, it is the first in the order of a hash of member and destination; if it fails or is silent for
  TRIAL_TIMEOUT_S, the next one takes over. The stage ends when each destination to which this member owes
  messages is known to be up or down, or after PROBING_TIMEOUT_S.
- **Flushing**: owed messages are sent. Each member gets a share of a destination's rate in proportion to the
  most messages that it has owed to the destination; during slow start the rate is reduced. One announcement
  permits the calls of all members at once, so the first call of each waits for its phase. New messages are
  accepted for destinations to which the fleet owes nothing. The stage ends when this member owes nothing to a
  destination that is up, or after FLUSHING_TIMEOUT_S.
- **Admitting**: new messages are admitted by class, the highest priority weight first, at intervals of
  CLASS_STEP_S. After the last class, the stage is **open**.
- A destination that is down delays no other: its trials go on in every stage, one at a time in the whole
  fleet, TRIAL_INTERVAL_S after the last one.
- A destination without previous evidence that a trial finds up may have restarted together with the fleet, so
  it is in slow start from then on, like one that was observed down.
- Evidence is what a member has observed itself, with its age. The most recent evidence applies; of evidence
  of about the same age, the more cautious. An announcement can make a destination wait for a trial, but never
  cause calls without one.
- A member that is cut off from all others goes through the same stages alone, at most for the longest
  duration of each.
"""

from collections.abc import Iterable, Mapping

import xxhash

from message_sender.recovery.stage_model import (
    CallPermission,
    DestinationEvidence,
    Stage,
    StageAnnouncement,
    age_evidence,
)

INQUIRY_TIMEOUT_S = 0.6
LONE_INQUIRY_TIMEOUT_S = 1.5
PROBING_TIMEOUT_S = 6.0
FLUSHING_TIMEOUT_S = 60.0
CLASS_STEP_S = 0.3  # between the admission of two classes
MAX_CLASS_STEPS = 8  # all further classes are admitted at the last step
TRIAL_TIMEOUT_S = 1.5  # after which the next member makes a trial
TRIAL_INTERVAL_S = 1.0  # between two trials of a destination that is down
FRESH_EVIDENCE_S = 10.0  # the greatest age of evidence that a destination is up and needs no trial
ANNOUNCEMENTS_PER_S = 100.0  # the most announcement datagrams that a member sends
UNKNOWN_AGE_S = 1e6  # the age of evidence that says nothing about the state
SAME_AGE_TOLERANCE_S = 0.2  # evidence whose ages differ by no more counts as equally recent
MIN_ANNOUNCEMENT_INTERVAL_S = 0.1
ADMISSION_RETRY_S = 0.5  # while no message is admitted
FLUSHING_RETRY_S = 1.0  # for a destination to which the fleet still owes messages
DISTANT_PAST_S = -1e9  # earlier than any time of the clock

#: The longest duration of each stage, reached when no other member answers.
MAX_STAGE_S = {
    Stage.INQUIRING: LONE_INQUIRY_TIMEOUT_S,
    Stage.PROBING: PROBING_TIMEOUT_S,
    Stage.FLUSHING: FLUSHING_TIMEOUT_S,
    Stage.ADMITTING: CLASS_STEP_S * MAX_CLASS_STEPS,
}
NO_CALLS = CallPermission(False)

Transition = tuple[Stage, str]  # the next stage, and the reason


class Stages:
    """The stages of one member.

    Attributes:
        own_name: The name of this member.
        fleet_size: The number of members of the fleet, including this one.
        stage: The current stage.
        stage_since_s: When the current stage began.
        reason: What ended the previous stage.
        started_at_s: When this member started.
        first_announced_at_s: When the first announcement was received; None: not yet.
        announcements: The last announcement of each other member, by name.
        announced_at_s: When each was received, by name; the ages in an announcement are as of that time.
        own_evidence: What this member has observed, and when, by destination.
        own_trials: The start times of its trials in flight, by destination.
        last_trial_ended_s: When this member's last trial ended, by destination.
        owed_counts: The number of messages that this member owes, by destination.
        peak_owed: The most messages ever owed at once, by member and destination.
        unanswered_questions: The number of unanswered questions about ids that are owed here.
        changes: All transitions: the time, the new stage and the reason.
    """

    def __init__(self, own_name: str, fleet_size: int, now: float) -> None:
        """Begins with the inquiry."""
        self.own_name = own_name
        self.fleet_size = fleet_size
        self.stage = Stage.INQUIRING
        self.stage_since_s = now
        self.reason = "started"
        self.started_at_s = now
        self.first_announced_at_s: float | None = None
        self.announcements: dict[str, StageAnnouncement] = {}
        self.announced_at_s: dict[str, float] = {}
        self.own_evidence: dict[int, tuple[DestinationEvidence, float]] = {}
        self.own_trials: dict[int, float] = {}
        self.last_trial_ended_s: dict[int, float] = {}
        self.owed_counts: dict[int, int] = {}
        self.peak_owed: dict[tuple[str, int], int] = {}
        self.unanswered_questions = 0
        self.changes: list[tuple[float, Stage, str]] = []

    # Members.

    def receive_announcement(self, name: str, announcement: StageAnnouncement, now: float) -> None:
        """Records another member's announcement."""
        if self.first_announced_at_s is None:
            self.first_announced_at_s = now
        self.announcements[name] = announcement
        self.announced_at_s[name] = now
        self.record_peak_owed(name, announcement.owed_counts)

    def remove_members(self, names: Iterable[str]) -> None:
        """Removes the announcements of members that are dead or have left."""
        for name in names:
            self.announcements.pop(name, None)
            self.announced_at_s.pop(name, None)

    def announcement(self, now: float) -> StageAnnouncement:
        """Returns what this member announces about itself."""
        evidence = {number: age_evidence(each, now - at) for number, (each, at) in self.own_evidence.items()}
        trial_ages_s = {number: now - started for number, started in self.own_trials.items()}
        return StageAnnouncement(self.stage, self.owed_counts, evidence, trial_ages_s)

    # Evidence.

    def record_call_result(
        self, destination: int, is_up: bool, now: float, retry_after_s: float = 0.0
    ) -> None:
        """Records the result of this member's call to a destination.

        Args:
            destination: The number of the destination.
            is_up: Whether the result shows that the destination is up.
            now: The time in seconds.
            retry_after_s: The remaining time of its Retry-After, in seconds.
        """
        before = self.best_evidence(destination, now)
        was_trial = self.own_trials.pop(destination, None) is not None
        if is_up:
            self.own_evidence[destination] = _evidence_of_up(before, was_trial, retry_after_s), now
        elif (
            was_trial or before is None or not before.is_up or self._is_trial_interval_over(destination, now)
        ):
            self.own_evidence[destination] = DestinationEvidence(False, 0.0, 0.0, True, retry_after_s), now
        if was_trial:
            self.last_trial_ended_s[destination] = now

    def _is_trial_interval_over(self, destination: int, now: float) -> bool:
        return now - self.last_trial_ended_s.get(destination, DISTANT_PAST_S) > TRIAL_INTERVAL_S

    def record_retry_after(self, destination: int, retry_after_s: float, now: float) -> None:
        """Records a Retry-After, in seconds, of a response of the destination."""
        known, at = self.own_evidence.get(destination, (DestinationEvidence(True, 0.0), now))
        state_age_s = known.state_age_s + now - at
        evidence = DestinationEvidence(known.is_up, 0.0, state_age_s, known.is_warming_up, retry_after_s)
        self.own_evidence[destination] = evidence, now

    def restore_retry_after(self, destination: int, retry_after_s: float, now: float) -> None:
        """Records a Retry-After from before the start, which says nothing about the destination's state."""
        evidence = DestinationEvidence(True, UNKNOWN_AGE_S, retry_after_s=retry_after_s)
        self.own_evidence[destination] = evidence, now

    def best_evidence(self, destination: int, now: float) -> DestinationEvidence | None:
        """Returns the most recent evidence of all members; of evidence of the same age, the most cautious.

        Its Retry-After is the longest in the evidence of all members. None: no member has evidence.
        """
        all_evidence = self._all_evidence(destination, now)
        if not all_evidence:
            return None
        max_age_s = min(elapsed_s + each.age_s for elapsed_s, each in all_evidence) + SAME_AGE_TOLERANCE_S
        elapsed_s, best = min(
            (pair for pair in all_evidence if pair[0] + pair[1].age_s <= max_age_s), key=_caution_order
        )
        retry_after_s = max(each.retry_after_s - elapsed for elapsed, each in all_evidence)
        return DestinationEvidence(
            best.is_up,
            best.age_s + elapsed_s,
            best.state_age_s + elapsed_s,
            best.is_warming_up,
            max(retry_after_s, 0.0),
        )

    def _all_evidence(self, destination: int, now: float) -> list[tuple[float, DestinationEvidence]]:
        """Returns the evidence of all members, each with the seconds since its arrival here."""
        all_evidence = [
            (max(now - self.announced_at_s[name], 0.0), evidence)
            for name, announcement in self.announcements.items()
            if (evidence := announcement.evidence.get(destination))
        ]
        if destination in self.own_evidence:
            own, at = self.own_evidence[destination]
            all_evidence.append((max(now - at, 0.0), own))
        return all_evidence

    def is_fresh(self, evidence: DestinationEvidence) -> bool:
        """Whether evidence is recent enough that a destination needs no trial."""
        return evidence.age_s <= FRESH_EVIDENCE_S

    def is_up(self, destination: int, now: float) -> bool:
        """Whether a destination is up by the best evidence of all members."""
        evidence = self.best_evidence(destination, now)
        return evidence is not None and evidence.is_up

    # Stages.

    def update(self, owed_counts: Mapping[int, int], now: float) -> None:
        """Enters the next stage if the current one is over.

        Args:
            owed_counts: The number of messages that this member owes, by destination.
            now: The time in seconds.
        """
        self.owed_counts = dict(owed_counts)
        self.record_peak_owed(self.own_name, owed_counts)
        if transition := self.next_stage(now):
            self.enter_stage(*transition, now)

    def enter_stage(self, stage: Stage, reason: str, now: float) -> None:
        """Enters a stage, and records the transition and its reason."""
        self.stage = stage
        self.stage_since_s = now
        self.reason = reason
        self.changes.append((now, stage, reason))

    def next_stage(self, now: float) -> Transition | None:
        """Returns the next stage and the reason if it is due; None: the current stage continues."""
        match self.stage:
            case Stage.INQUIRING:
                return self.stage_after_inquiry(now)
            case Stage.PROBING:
                return self._stage_after_probing(now)
            case Stage.FLUSHING:
                return self._stage_after_flushing(now)
            case Stage.ADMITTING if now - self.stage_since_s >= MAX_STAGE_S[Stage.ADMITTING]:
                return Stage.OPEN, "all classes are open"
        return None

    def stage_after_inquiry(self, now: float) -> Transition | None:
        """Returns the transition that ends the inquiry if it is due; None: the inquiry continues."""
        if self.fleet_size <= 1:
            return Stage.PROBING, "a fleet of one"
        others = self.fleet_size - 1
        returning = sum(1 for each in self.announcements.values() if each.stage < Stage.ADMITTING)
        reason = f"{len(self.announcements)} of {others} others spoke, {returning} are returning too"
        if len(self.announcements) >= others and not self.unanswered_questions:
            return Stage.PROBING, reason
        if self.first_announced_at_s is not None:
            first_announced_at_s = max(self.first_announced_at_s, self.started_at_s)
            if now - first_announced_at_s >= INQUIRY_TIMEOUT_S:
                return Stage.PROBING, reason
        if now - self.started_at_s >= LONE_INQUIRY_TIMEOUT_S:
            return Stage.PROBING, reason if self.announcements else "nobody answered"
        return None

    def _stage_after_probing(self, now: float) -> Transition | None:
        probed = 0
        for destination in self.owed_counts:
            evidence = self.best_evidence(destination, now)
            probed += evidence is not None and self.is_fresh(evidence)
        if probed == len(self.owed_counts):
            return Stage.FLUSHING, f"{probed} destinations are felt"
        if now - self.stage_since_s >= PROBING_TIMEOUT_S:
            return Stage.FLUSHING, f"{len(self.owed_counts) - probed} destinations could not be felt"
        return None

    def _stage_after_flushing(self, now: float) -> Transition | None:
        remaining = sum(count for number, count in self.owed_counts.items() if self.is_up(number, now))
        if not remaining:
            return Stage.ADMITTING, "nothing is owed to a destination that is up"
        if now - self.stage_since_s >= FLUSHING_TIMEOUT_S:
            return Stage.ADMITTING, f"{remaining} messages are still owed"
        return None

    # Trials.

    def trial_candidates(self, destination: int) -> list[str]:
        """Returns the members that owe the destination messages, in the order in which they make a trial."""
        names = [name for name, each in self.announcements.items() if each.owed_counts.get(destination)]
        if self.owed_counts.get(destination):
            names.append(self.own_name)
        return sorted(
            names, key=lambda name: xxhash.xxh3_64_intdigest(f"{name} {destination}".encode()), reverse=True
        )

    def is_trial_in_flight_elsewhere(self, destination: int, now: float) -> bool:
        """Whether another member has announced a trial in flight that is younger than TRIAL_TIMEOUT_S."""
        ages_s = (
            announcement.trial_ages_s[destination] + now - self.announced_at_s[name]
            for name, announcement in self.announcements.items()
            if destination in announcement.trial_ages_s
        )
        return any(age_s < TRIAL_TIMEOUT_S for age_s in ages_s)

    def may_start_trial(self, destination: int, now: float) -> bool:
        """Whether it is this member's turn to make a trial; the next candidate's is TRIAL_TIMEOUT_S later."""
        if destination in self.own_trials:
            return True
        if self.is_trial_in_flight_elsewhere(destination, now):
            return False
        evidence = self.best_evidence(destination, now)
        if evidence and not evidence.is_up:
            due_at_s = now - evidence.age_s + TRIAL_INTERVAL_S
        elif self.stage is Stage.PROBING:
            due_at_s = self.stage_since_s
        else:
            due_at_s = self.started_at_s
        due_at_s = max(due_at_s, self.last_trial_ended_s.get(destination, 0.0))
        candidates = self.trial_candidates(destination)
        if self.own_name not in candidates:
            return False
        return now >= due_at_s + candidates.index(self.own_name) * TRIAL_TIMEOUT_S

    def start_trial(self, destination: int, now: float) -> None:
        """Records that this member starts a trial."""
        self.own_trials[destination] = now

    # Permissions.

    def permission(self, destination: int, now: float) -> CallPermission:
        """Returns whether and how this member may call a destination; checked again before the first byte."""
        if self.stage <= Stage.INQUIRING:
            return NO_CALLS
        evidence = self.best_evidence(destination, now)
        if evidence and evidence.retry_after_s > 0:
            return CallPermission(False, retry_after_s=evidence.retry_after_s)
        if evidence and evidence.is_up and (self.is_fresh(evidence) or self.stage is Stage.OPEN):
            warming_for_s = evidence.state_age_s if evidence.is_warming_up else None
            rate_share, start_phase = self.rate_share(destination)
            return CallPermission(
                True, rate_share=rate_share, start_phase=start_phase, warming_for_s=warming_for_s
            )
        if evidence is None and self.stage >= Stage.ADMITTING:
            return CallPermission(True)
        if self.may_start_trial(destination, now):
            return CallPermission(True, is_trial=True)
        return NO_CALLS

    def rate_share(self, destination: int) -> tuple[float, float]:
        """Returns this member's share of a destination's rate, and the sum of the shares of earlier names.

        Shares are in proportion to the most messages that each member has owed, as long as it owes any; a
        member that owes none leaves its share to the others. With shares by the current counts, a member that
        is one call behind would have a larger share and catch up, so that in the end all members would call
        at the same instants.
        """
        own_peak = max(self.peak_owed.get((self.own_name, destination), 0), 1)
        other_peaks = [
            (name, self.peak_owed[name, destination])
            for name, announcement in self.announcements.items()
            if announcement.owed_counts.get(destination)
        ]
        total = own_peak + sum(peak for _, peak in other_peaks)
        before = sum(peak for name, peak in other_peaks if name < self.own_name)
        return own_peak / total, before / total

    def record_peak_owed(self, name: str, owed_counts: Mapping[int, int]) -> None:
        """Records the numbers of messages that a member owes where they exceed the previous peak."""
        for number, count in owed_counts.items():
            self.peak_owed[name, number] = max(self.peak_owed.get((name, number), 0), count)

    def admission_delay_s(self, destination: int, class_rank: int, now: float) -> float:
        """Returns after how many seconds a client may retry a new message; 0: it is admitted now.

        Args:
            destination: The destination of the message.
            class_rank: The rank of its class by priority weight; 0 is the highest.
            now: The time in seconds.
        """
        if self.stage is Stage.OPEN:
            return 0.0
        if self.stage is Stage.ADMITTING:
            admitted_after_s = CLASS_STEP_S * min(class_rank, MAX_CLASS_STEPS)
            return max(admitted_after_s - (now - self.stage_since_s), 0.0)
        if self.stage is Stage.FLUSHING:
            fleet = (self.owed_counts, *(each.owed_counts for each in self.announcements.values()))
            return FLUSHING_RETRY_S if any(owed.get(destination) for owed in fleet) else 0.0
        return ADMISSION_RETRY_S


def _evidence_of_up(
    before: DestinationEvidence | None, was_trial: bool, retry_after_s: float
) -> DestinationEvidence:
    if before is None:
        return DestinationEvidence(True, 0.0, 0.0, was_trial, retry_after_s)
    if not before.is_up:
        return DestinationEvidence(True, 0.0, 0.0, True, retry_after_s)
    return DestinationEvidence(True, 0.0, before.state_age_s, before.is_warming_up, retry_after_s)


def _caution_order(pair: tuple[float, DestinationEvidence]) -> tuple[bool, float, float]:
    """Sort key, the most cautious evidence first: down before up, then up for a short before a long time."""
    elapsed_s, evidence = pair
    return evidence.is_up, elapsed_s + evidence.state_age_s, elapsed_s + evidence.age_s


def announcement_interval_s(others: int) -> float:
    """Returns the interval, in seconds, between two announcements of which only the figures have changed.

    It grows with the number of other members, so that the traffic of announcements does not grow with the
    square of the fleet's size.
    """
    return max(others / ANNOUNCEMENTS_PER_S, MIN_ANNOUNCEMENT_INTERVAL_S)
