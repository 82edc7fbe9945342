"""In which order service returns after a start. Pure: times are seconds of the caller's clock.

The rules:

- **asking** (from the start): who is there, who else is returning, what they see, and whether they know an
  id that is owed here. It ends once as many have spoken as the fleet has and have answered about the ids, or
  `ASK` after the first one spoke, or after `ALONE` with nobody. Nothing is sent.
- **feeling**: of each destination for which something is held and of which nobody has fresh evidence, one
  member of all makes one trial, and tells all. It is the one that a hash of member and destination puts
  first among those that hold something for it; where that one dies or says nothing for `TRIAL`, the next
  one. It ends once each destination that this one owes to is *felt*, up or down, or after `FEEL`.
- **owed first**: what is owed goes, at each destination by shares of its rate, by the most that each member
  has held for it, and by its warm share while it is cold. One word frees all: the first call of each waits
  for its place in the row. New messages are taken on for destinations to which the fleet owes nothing. It
  ends once this one owes nothing to a destination that is up, or after `OWED`.
- **opening**: new messages by class, the most valuable one first, `STEP` apart. After the last one: **open**.
- A destination that is down holds nobody up: its trials go on, one of the whole fleet at a time, in every
  stage, `AGAIN` after the last one.
- A destination that a trial finds up, and of which nobody knew anything, may have come back with us: it
  warms up from then on, as one that was seen down does.
- Evidence is what a member saw with its own eyes, with its age. Of two the younger one wins, and of two that
  are as young the more careful. What anybody says can make a destination wait for a trial, never send
  without one.
- Whoever is cut off from all others goes through the same stages alone, in the longest times at the most.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

import xxhash

ASK, ALONE = 0.6, 1.5  # s
FEEL, OWED = 6.0, 60.0
STEP, CLASSES = 0.3, 8  # s between two classes, and those that are told apart: later ones open with the last
TRIAL = 1.5  # s that a trial may take before the next member makes one
AGAIN = 1.0  # s between two trials of one that is down
FRESH = 10.0  # s for which evidence that a destination is up saves it a trial
WORDS = 100.0  # datagrams a second that such words may cost their sender
LONG_AGO = 1e6  # s, the age of what tells nothing
SAME = 0.2  # s by which two pieces of evidence are as young


class Stage(IntEnum):
    READING = 0
    ASKING = 1
    FEELING = 2
    OWED = 3
    OPENING = 4
    OPEN = 5


#: s, with nobody answering.
LONGEST = {Stage.ASKING: ALONE, Stage.FEELING: FEEL, Stage.OWED: OWED, Stage.OPENING: STEP * CLASSES}


@dataclass(frozen=True, slots=True)
class DestinationEvidence:
    """What one member knows of a destination. Ages in s."""

    up: bool
    age: float  # of this evidence
    since: float = 0.0  # of its state: up for so long; 0 where that is not known
    cold: bool = False  # it was down before: it warms up from then on
    wait: float = 0.0  # s that it is to be left alone, as it told


@dataclass(frozen=True, slots=True)
class StageAnnouncement:
    """What a member says of itself."""

    stage: Stage = Stage.ASKING
    owed: Mapping[int, int] = field(default_factory=dict)  # held messages by destination
    seen: Mapping[int, DestinationEvidence] = field(default_factory=dict)
    trials: Mapping[int, float] = field(default_factory=dict)  # its trials that are out, and for how long
    away: Mapping[str, float] = field(default_factory=dict)  # endpoints kept out of service, s left


@dataclass(frozen=True, slots=True)
class CallPermission:
    """What this member may do at a destination now."""

    calls: bool  # at all
    trial: bool = False  # one call alone
    share: float = 1.0  # of its rate
    phase: float = 0.0  # the part of its own gap that its first call waits: all are freed by one word
    warm: float | None = None  # s for which it has been warming up; None: it is warm
    wait: float = 0.0


HELD = CallPermission(False)


class Stages:
    def __init__(self, me: str, size: int, now: float) -> None:
        self.me, self.size = me, size
        self.stage, self.since, self.why = Stage.ASKING, now, "started"
        self.began = now
        self.first_heard: float | None = None
        self.words: dict[str, StageAnnouncement] = {}  # of the others, with ages as of `at`
        self.at: dict[str, float] = {}
        self.seen: dict[int, tuple[DestinationEvidence, float]] = {}  # with own eyes, and when
        self.trials: dict[int, float] = {}  # own, out: since when
        self.tried: dict[int, float] = {}  # when the fleet's last trial was known to be over
        self.owed: dict[int, int] = {}
        self.most: dict[tuple[str, int], int] = {}  # messages ever held at once: by member and destination
        self.unanswered = 0  # questions about ids
        self.changes: list[tuple[float, Stage, str]] = []

    # What is heard.

    def heard(self, name: str, word: StageAnnouncement, now: float) -> None:
        if self.first_heard is None:
            self.first_heard = now
        self.words[name], self.at[name] = word, now
        self.hold(name, word.owed)

    def gone(self, names: Iterable[str]) -> None:
        for name in names:
            self.words.pop(name, None)
            self.at.pop(name, None)

    def saw(self, destination: int, up: bool, now: float, wait: float = 0.0) -> None:
        """A call of this one's own came to an end there."""
        before = self.believed(destination, now)
        was_trial = self.trials.pop(destination, None) is not None
        down_before = before is not None and not before.up
        if up:
            cold = was_trial if before is None else down_before or before.cold
            since = 0.0 if down_before or before is None else before.since
            self.seen[destination] = DestinationEvidence(True, 0.0, since, cold, wait), now
        elif was_trial or before is None or not before.up or now - self.tried.get(destination, -1e9) > AGAIN:
            self.seen[destination] = DestinationEvidence(False, 0.0, 0.0, True, wait), now
        if was_trial:
            self.tried[destination] = now

    def asked_to_wait(self, destination: int, wait: float, now: float) -> None:
        known, at = self.seen.get(destination, (DestinationEvidence(True, 0.0), now))
        self.seen[destination] = (
            DestinationEvidence(known.up, 0.0, known.since + now - at, known.cold, wait),
            now,
        )

    def waited_before(self, destination: int, wait: float, now: float) -> None:
        """A wait that was told in the life before; it says nothing of the destination's state."""
        self.seen[destination] = DestinationEvidence(True, LONG_AGO, wait=wait), now

    def believed(self, destination: int, now: float) -> DestinationEvidence | None:
        """The youngest evidence of anybody; of two that are as young the more careful; the longest wait of
        all."""
        found = [
            (max(now - self.at[name], 0.0), told)
            for name, word in self.words.items()
            if (told := word.seen.get(destination))
        ]
        if destination in self.seen:
            own, at = self.seen[destination]
            found.append((max(now - at, 0.0), own))
        if not found:
            return None
        near = min(by + each.age for by, each in found) + SAME
        by, best = min(
            (each for each in found if each[0] + each[1].age <= near),
            key=lambda x: (x[1].up, x[0] + x[1].since, x[0] + x[1].age),
        )
        wait = max(each.wait - by for by, each in found)
        return DestinationEvidence(best.up, best.age + by, best.since + by, best.cold, max(wait, 0.0))

    # What follows.

    def tick(self, owed: Mapping[int, int], now: float) -> None:
        """`owed`: what this one holds, by destination."""
        self.owed = dict(owed)
        self.hold(self.me, owed)
        stage = self.next(now)
        if stage:
            self.go(*stage, now)

    def go(self, stage: Stage, why: str, now: float) -> None:
        self.stage, self.since, self.why = stage, now, why
        self.changes.append((now, stage, why))

    def next(self, now: float) -> tuple[Stage, str] | None:
        spent = now - self.since
        match self.stage:
            case Stage.ASKING:
                return self.after_asking(now)
            case Stage.FEELING:
                felt = {
                    number
                    for number in self.owed
                    if (seen := self.believed(number, now)) and self.is_fresh(seen)
                }
                if len(felt) == len(self.owed):
                    return Stage.OWED, f"{len(felt)} destinations are felt"
                if spent >= FEEL:
                    return Stage.OWED, f"{len(self.owed) - len(felt)} destinations could not be felt"
            case Stage.OWED:
                left = sum(count for number, count in self.owed.items() if self.is_up(number, now))
                if not left:
                    return Stage.OPENING, "nothing is owed to a destination that is up"
                if spent >= OWED:
                    return Stage.OPENING, f"{left} messages are still owed"
            case Stage.OPENING if spent >= LONGEST[Stage.OPENING]:
                return Stage.OPEN, "all classes are open"
        return None

    def after_asking(self, now: float) -> tuple[Stage, str] | None:
        if self.size <= 1:
            return Stage.FEELING, "a fleet of one"
        returning = sum(1 for word in self.words.values() if word.stage < Stage.OPENING)
        told = f"{len(self.words)} of {self.size - 1} others spoke, {returning} are returning too"
        if len(self.words) >= self.size - 1 and not self.unanswered:
            return Stage.FEELING, told
        if self.first_heard is not None and now - max(self.first_heard, self.began) >= ASK:
            return Stage.FEELING, told
        if now - self.began >= ALONE:
            return Stage.FEELING, "nobody answered" if not self.words else told
        return None

    def is_fresh(self, seen: DestinationEvidence) -> bool:
        return seen.age <= FRESH

    def is_up(self, destination: int, now: float) -> bool:
        seen = self.believed(destination, now)
        return seen is not None and seen.up

    def candidates(self, destination: int) -> list[str]:
        """Those that hold something for it, the one first that is to try it."""
        found = [name for name, word in self.words.items() if word.owed.get(destination)]
        if self.owed.get(destination):
            found.append(self.me)
        return sorted(
            found, key=lambda name: xxhash.xxh3_64_intdigest(f"{name} {destination}".encode()), reverse=True
        )

    def out_elsewhere(self, destination: int, now: float) -> bool:
        """Whether another one's trial is out, as far as is known."""
        found = (
            word.trials[destination] + now - self.at[name]
            for name, word in self.words.items()
            if destination in word.trials
        )
        return any(since < TRIAL for since in found)

    def holds_trial(self, destination: int, now: float) -> bool:
        """Whether it is this one's turn to try it. The next one's comes `TRIAL` later."""
        if destination in self.trials:
            return True
        if self.out_elsewhere(destination, now):
            return False
        seen = self.believed(destination, now)
        since = self.since if self.stage is Stage.FEELING else self.began
        last = max(
            now - seen.age + AGAIN if seen and not seen.up else since, self.tried.get(destination, 0.0)
        )
        order = self.candidates(destination)
        return self.me in order and now >= last + order.index(self.me) * TRIAL

    def leave(self, destination: int, now: float) -> CallPermission:
        """Asked before each turn and again at the last moment before a first byte."""
        if self.stage <= Stage.ASKING:
            return HELD
        seen = self.believed(destination, now)
        wait = seen.wait if seen else 0.0
        if wait > 0:
            return CallPermission(False, wait=wait)
        if seen and seen.up and (self.is_fresh(seen) or self.stage is Stage.OPEN):
            warm = seen.since if seen.cold else None
            share, phase = self.share(destination)
            return CallPermission(True, share=share, phase=phase, warm=warm)
        if seen is None and self.stage >= Stage.OPENING:
            return CallPermission(True)
        return CallPermission(True, trial=True) if self.holds_trial(destination, now) else HELD

    def share(self, destination: int) -> tuple[float, float]:
        """Of the destination's rate, by the most that each has held for it, while it holds any; whoever holds
        nothing leaves all to the others. And the shares of those before this one in the order of names.

        By what each holds at the moment, whoever is a call behind would have the larger share and catch up:
        all would come to call at the same instants."""
        mine = max(self.most.get((self.me, destination), 0), 1)
        others = [
            (name, self.most[name, destination])
            for name, word in self.words.items()
            if word.owed.get(destination)
        ]
        whole = mine + sum(count for _, count in others)
        return mine / whole, sum(count for name, count in others if name < self.me) / whole

    def hold(self, name: str, owed: Mapping[int, int]) -> None:
        for number, count in owed.items():
            self.most[name, number] = max(self.most.get((name, number), 0), count)

    def begins_trial(self, destination: int, now: float) -> None:
        self.trials[destination] = now

    def admits(self, destination: int, rank: int, now: float) -> float:
        """s after which a new message may come again, 0: it is taken on. `rank`: of its class by worth, 0
        first."""
        if self.stage is Stage.OPEN:
            return 0.0
        if self.stage is Stage.OPENING:
            return max(STEP * min(rank, CLASSES) - (now - self.since), 0.0)
        if self.stage is Stage.OWED:
            everybody = (self.owed, *(word.owed for word in self.words.values()))
            return 1.0 if any(each.get(destination) for each in everybody) else 0.0
        return 0.5

    def word(self, now: float) -> StageAnnouncement:
        """What this one says of itself."""
        seen = {number: aged(each, now - at) for number, (each, at) in self.seen.items()}
        trials = {number: now - at for number, at in self.trials.items()}
        return StageAnnouncement(self.stage, self.owed, seen, trials)


def spacing(others: int) -> float:
    """s between two words of a member that say nothing new but figures: what is sent does not grow with the
    square of the fleet."""
    return max(others / WORDS, 0.1)


def aged(seen: DestinationEvidence, by: float) -> DestinationEvidence:
    """`by`: s. Whoever looked at its clock before the evidence came makes it no younger by that."""
    by = max(by, 0.0)
    return DestinationEvidence(seen.up, seen.age + by, seen.since + by, seen.cold, max(seen.wait - by, 0.0))
