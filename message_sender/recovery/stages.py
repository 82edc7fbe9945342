"""In which order service returns after a start. Pure: times are seconds of the caller's clock.

The rules:

- **Inquiring** (from the start): who is there, who else is returning, what they observe, and whether they
  know an id that is owed here. It ends once as many have announced themselves as the fleet has and have
  answered about the ids, or INQUIRY_TIMEOUT_S after the first announcement, or after LONE_INQUIRY_TIMEOUT_S
  with nobody. Nothing is sent.
- **Probing**: of each destination for which something is owed and of which nobody has fresh evidence, one
  member of all makes one trial, and tells all. It is the one that a hash of member and destination puts first
  among those that owe it something; where that one dies or is silent for TRIAL_TIMEOUT_S, the next one. It
  ends once each destination that this one owes to is known to be up or down, or after PROBING_TIMEOUT_S.
- **Flushing**: what is owed goes, at each destination by shares of its rate, by the most that each member has
  owed it, and by its warm share while it warms up. One announcement frees all: the first call of each waits
  for its phase. New messages are accepted for destinations to which the fleet owes nothing. It ends once this
  one owes nothing to a destination that is up, or after FLUSHING_TIMEOUT_S.
- **Admitting**: new messages by class, the one of the highest priority weight first, CLASS_STEP_S apart.
  After the last one: **open**.
- A destination that is down delays nobody: its trials go on, one of the whole fleet at a time, in every
  stage, TRIAL_INTERVAL_S after the last one.
- A destination that a trial finds up, and of which nobody knew anything, may have come back with us: it warms
  up from then on, as one that was observed down does.
- Evidence is what a member observed itself, with its age. Of two the younger one wins, and of two that are as
  young the more careful. What anybody announces can make a destination wait for a trial, never send without
  one.
- Whoever is cut off from all others goes through the same stages alone, in the longest times at the most.
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
CLASS_STEP_S = 0.3  # between two classes
MAX_CLASS_STEPS = 8  # later classes are admitted with the last one
TRIAL_TIMEOUT_S = 1.5  # that a trial may take before the next member makes one
TRIAL_INTERVAL_S = 1.0  # between two trials of a destination that is down
FRESH_EVIDENCE_S = 10.0  # for which evidence that a destination is up saves it a trial
ANNOUNCEMENTS_PER_S = 100.0  # datagrams that announcements may cost their sender
UNKNOWN_AGE_S = 1e6  # the age of what tells nothing
SAME_AGE_TOLERANCE_S = 0.2  # by which two pieces of evidence are as young
MIN_ANNOUNCEMENT_INTERVAL_S = 0.1
ADMISSION_RETRY_S = 0.5  # before anything is admitted
FLUSHING_RETRY_S = 1.0  # for a destination that is owed something
LONG_BEFORE_S = -1e9  # a time before all others

#: With nobody answering.
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
        own_name, fleet_size: Of this member; how many members the fleet has.
        stage, stage_since_s, reason: The stage, since when, and what ended the one before.
        started_at_s: When this member started.
        first_heard_at_s: When the first announcement came.
        announcements: Of the others, with ages as of `announced_at_s`.
        own_evidence: What this member has observed, and when, by destination.
        own_trials: Its trials in flight, since when, by destination.
        last_trial_ended_s: When the fleet's last trial was known to be over, by destination.
        owed_counts: Messages that it owes, by destination.
        peak_owed: The most messages ever owed at once, by member and destination.
        unanswered_questions: About ids that are owed here.
        changes: All transitions: when, to which stage, and why.
    """

    def __init__(self, own_name: str, fleet_size: int, now: float) -> None:
        """Begins by inquiring."""
        self.own_name = own_name
        self.fleet_size = fleet_size
        self.stage = Stage.INQUIRING
        self.stage_since_s = now
        self.reason = "started"
        self.started_at_s = now
        self.first_heard_at_s: float | None = None
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
        """Another member announces itself."""
        if self.first_heard_at_s is None:
            self.first_heard_at_s = now
        self.announcements[name] = announcement
        self.announced_at_s[name] = now
        self.note_peak_owed(name, announcement.owed_counts)

    def remove_members(self, names: Iterable[str]) -> None:
        """These members are dead or have left."""
        for name in names:
            self.announcements.pop(name, None)
            self.announced_at_s.pop(name, None)

    def announcement(self, now: float) -> StageAnnouncement:
        """Returns what this member announces of itself."""
        evidence = {number: age_evidence(each, now - at) for number, (each, at) in self.own_evidence.items()}
        trial_ages_s = {number: now - started for number, started in self.own_trials.items()}
        return StageAnnouncement(self.stage, self.owed_counts, evidence, trial_ages_s)

    # Evidence.

    def record_call_result(
        self, destination: int, is_up: bool, now: float, retry_after_s: float = 0.0
    ) -> None:
        """A call of this member came to an end there."""
        before = self.best_evidence(destination, now)
        was_trial = self.own_trials.pop(destination, None) is not None
        if is_up:
            self.own_evidence[destination] = _evidence_of_up(before, was_trial, retry_after_s), now
        elif was_trial or before is None or not before.is_up or self._is_trial_long_ago(destination, now):
            self.own_evidence[destination] = DestinationEvidence(False, 0.0, 0.0, True, retry_after_s), now
        if was_trial:
            self.last_trial_ended_s[destination] = now

    def _is_trial_long_ago(self, destination: int, now: float) -> bool:
        return now - self.last_trial_ended_s.get(destination, LONG_BEFORE_S) > TRIAL_INTERVAL_S

    def record_retry_after(self, destination: int, retry_after_s: float, now: float) -> None:
        """The destination asks to be left alone for so long."""
        known, at = self.own_evidence.get(destination, (DestinationEvidence(True, 0.0), now))
        state_age_s = known.state_age_s + now - at
        evidence = DestinationEvidence(known.is_up, 0.0, state_age_s, known.is_warming_up, retry_after_s)
        self.own_evidence[destination] = evidence, now

    def restore_retry_after(self, destination: int, retry_after_s: float, now: float) -> None:
        """A Retry-After from before the start; it says nothing of the destination's state."""
        evidence = DestinationEvidence(True, UNKNOWN_AGE_S, retry_after_s=retry_after_s)
        self.own_evidence[destination] = evidence, now

    def best_evidence(self, destination: int, now: float) -> DestinationEvidence | None:
        """Returns the youngest evidence of anybody, of two as young the more careful.

        Its Retry-After is the longest of all.
        """
        found = self._all_evidence(destination, now)
        if not found:
            return None
        max_age_s = min(since + each.age_s for since, each in found) + SAME_AGE_TOLERANCE_S
        since, best = min((pair for pair in found if pair[0] + pair[1].age_s <= max_age_s), key=_carefulness)
        retry_after_s = max(each.retry_after_s - age for age, each in found)
        return DestinationEvidence(
            best.is_up,
            best.age_s + since,
            best.state_age_s + since,
            best.is_warming_up,
            max(retry_after_s, 0.0),
        )

    def _all_evidence(self, destination: int, now: float) -> list[tuple[float, DestinationEvidence]]:
        """Evidence of all members, each with the time since it came."""
        found = [
            (max(now - self.announced_at_s[name], 0.0), evidence)
            for name, announcement in self.announcements.items()
            if (evidence := announcement.evidence.get(destination))
        ]
        if destination in self.own_evidence:
            own, at = self.own_evidence[destination]
            found.append((max(now - at, 0.0), own))
        return found

    def is_fresh(self, evidence: DestinationEvidence) -> bool:
        """Whether evidence that a destination is up saves it a trial."""
        return evidence.age_s <= FRESH_EVIDENCE_S

    def is_up(self, destination: int, now: float) -> bool:
        """Whether a destination is up, as far as anybody knows."""
        evidence = self.best_evidence(destination, now)
        return evidence is not None and evidence.is_up

    # Stages.

    def update(self, owed_counts: Mapping[int, int], now: float) -> None:
        """Enters the next stage if this one is over. `owed_counts`: what this member owes, by destination."""
        self.owed_counts = dict(owed_counts)
        self.note_peak_owed(self.own_name, owed_counts)
        if transition := self.next_stage(now):
            self.enter_stage(*transition, now)

    def enter_stage(self, stage: Stage, reason: str, now: float) -> None:
        """Enters a stage."""
        self.stage = stage
        self.stage_since_s = now
        self.reason = reason
        self.changes.append((now, stage, reason))

    def next_stage(self, now: float) -> Transition | None:
        """Returns the stage that is due, with the reason; None: this one goes on."""
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
        """Returns the transition that ends the inquiry, if it is due."""
        if self.fleet_size <= 1:
            return Stage.PROBING, "a fleet of one"
        others = self.fleet_size - 1
        returning = sum(1 for each in self.announcements.values() if each.stage < Stage.ADMITTING)
        reason = f"{len(self.announcements)} of {others} others spoke, {returning} are returning too"
        if len(self.announcements) >= others and not self.unanswered_questions:
            return Stage.PROBING, reason
        if self.first_heard_at_s is not None:
            first_heard_at_s = max(self.first_heard_at_s, self.started_at_s)
            if now - first_heard_at_s >= INQUIRY_TIMEOUT_S:
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
        """Returns those that owe the destination something; the one that is to try it is the first."""
        found = [name for name, each in self.announcements.items() if each.owed_counts.get(destination)]
        if self.owed_counts.get(destination):
            found.append(self.own_name)
        return sorted(
            found, key=lambda name: xxhash.xxh3_64_intdigest(f"{name} {destination}".encode()), reverse=True
        )

    def is_trial_in_flight_elsewhere(self, destination: int, now: float) -> bool:
        """Whether another member's trial is in flight, as far as is known."""
        ages_s = (
            announcement.trial_ages_s[destination] + now - self.announced_at_s[name]
            for name, announcement in self.announcements.items()
            if destination in announcement.trial_ages_s
        )
        return any(age_s < TRIAL_TIMEOUT_S for age_s in ages_s)

    def may_start_trial(self, destination: int, now: float) -> bool:
        """Whether it is this member's turn to try it. The next one's comes TRIAL_TIMEOUT_S later."""
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
        """This member's trial goes out."""
        self.own_trials[destination] = now

    # What is allowed.

    def permission(self, destination: int, now: float) -> CallPermission:
        """Returns what this member may do at a destination; asked again as a first byte goes."""
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
        """Returns this member's share of a destination's rate, and the sum of those before it by name.

        Shares are by the most that each member has owed, while it owes any; whoever owes nothing leaves all
        to the others. By what each owes at the moment, whoever is a call behind would have the larger share
        and catch up: all would come to call at the same instants.
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

    def note_peak_owed(self, name: str, owed_counts: Mapping[int, int]) -> None:
        """Notes what a member owes, if it never owed more."""
        for number, count in owed_counts.items():
            self.peak_owed[name, number] = max(self.peak_owed.get((name, number), 0), count)

    def admission_delay_s(self, destination: int, class_rank: int, now: float) -> float:
        """Returns after how many seconds a new message may come again; 0: it is accepted.

        Args:
            destination: Of the message.
            class_rank: Of its class by priority weight, 0 the highest.
            now: s.
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


def _carefulness(pair: tuple[float, DestinationEvidence]) -> tuple[bool, float, float]:
    """Sorts the more careful evidence first: down before up, up for a short time before a long one."""
    since, evidence = pair
    return evidence.is_up, since + evidence.state_age_s, since + evidence.age_s


def announcement_interval_s(others: int) -> float:
    """Returns the time between two announcements that say nothing new but figures.

    What a member sends does not grow with the square of the fleet.
    """
    return max(others / ANNOUNCEMENTS_PER_S, MIN_ANNOUNCEMENT_INTERVAL_S)
