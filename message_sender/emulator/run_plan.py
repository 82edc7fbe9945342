"""The plan of a simulated run, drawn from its seed: messages, destination faults, drains and kills."""

import random
from dataclasses import dataclass

from message_sender.discovery.static import StaticEndpoint
from message_sender.emulator.wall_clock import EPOCH_US, SECOND_US
from message_sender.message import Message
from message_sender.policy.model import (
    DestinationKind,
    Effect,
    Endpoint,
    EndpointState,
    MessageClass,
    Settings,
)
from message_sender.testbed.event_stream import DestinationBehavior
from message_sender.testbed.history_checker import ClassRule

KEY_PAUSE_S = 0.1
DEDUPLICATION_WINDOW_S = 3.0
DEADLINE_S = 6.0
WARM_UP_S = 5.0
UNREACHABLE_ADDRESS = ("0.0.0.0", 9)


def build_class_rules(window_s: float) -> dict[str, ClassRule]:
    """Returns one message class of every kind that the rules distinguish.

    Args:
        window_s: How long receivers drop repeated messages with an idempotency key.
    """
    return {
        "safe": ClassRule(),
        "keyed": ClassRule(Effect.KEYED, window_s),
        "zoned": ClassRule(Effect.KEYED, window_s, is_zonal=True),
        "unsafe": ClassRule(Effect.UNSAFE),
        "ordered": ClassRule(Effect.KEYED, window_s, is_ordered=True),
        "ordered-unsafe": ClassRule(Effect.UNSAFE, is_ordered=True),
    }


CLASS_RULES = build_class_rules(DEDUPLICATION_WINDOW_S)


def build_settings() -> Settings:
    """Returns the sender's settings, the same in every run."""
    classes = tuple(
        MessageClass(
            name,
            2 * SECOND_US,
            int(DEADLINE_S * SECOND_US),
            1.0,
            0.3,
            rule.effect,
            int(rule.idempotency_window * SECOND_US),
            rule.is_zonal,
            rule.is_ordered,
        )
        for name, rule in CLASS_RULES.items()
    )
    return Settings(
        classes=classes,
        kinds=(("plain", DestinationKind()), ("apart", DestinationKind(has_separate_routes=True))),
        slots=12,
        max_open=200,
        max_attempts=6,
        zone="x",
        tick=5_000,
        max_retry_after=SECOND_US,
        slow_start=int(WARM_UP_S * SECOND_US),
        key_pause=int(KEY_PAUSE_S * SECOND_US),
        drain_grace=SECOND_US // 2,
        acknowledges_completions=True,
    )


def build_endpoints(destination: int) -> list[StaticEndpoint]:
    """Returns the endpoints of a destination: two for odd numbers, separate routes for every third."""
    kind = "apart" if destination % 3 == 2 else "plain"
    endpoints = []
    for index in range(1 + destination % 2):
        name, zone = f"e{destination}-{index}", "xy"[index % 2]
        endpoint = Endpoint(name, destination, EndpointState.READY, kind, zone)
        endpoints.append(StaticEndpoint(endpoint, UNREACHABLE_ADDRESS))
    return endpoints


@dataclass(frozen=True)
class RunSpec:
    """The size of a run. Everything else is drawn from the seed.

    Attributes:
        seconds: How long messages arrive.
        rate: Messages a second.
        destinations: Number of destinations.
        keys: Number of ordering keys.
        trouble: Probability of each further fault of a destination.
        drains: Number of endpoints that drain.
        kills: Number of kills at an instant; 0 also excludes a kill between two writes.
    """

    seconds: float = 2.0
    rate: float = 30.0
    destinations: int = 4
    keys: int = 4
    trouble: float = 0.5
    drains: int = 1
    kills: int = 1


@dataclass(frozen=True)
class SubmitMessage:
    """A client submits a message."""

    message: Message


@dataclass(frozen=True)
class Drain:
    """An endpoint begins to drain."""

    endpoint: str


@dataclass(frozen=True)
class Kill:
    """The process is killed."""


RunAction = SubmitMessage | Drain | Kill


@dataclass(frozen=True)
class ScheduledEvent:
    """One event of a plan.

    Attributes:
        number: Number of the event, which is the same in every run of the seed.
        at: Seconds of virtual time.
        text: What happens, for reports.
        action: What the run does at that time; None for a fault of a destination and for a kill before a
            write to the disk.
    """

    number: int
    at: float
    text: str
    action: RunAction | None = None


@dataclass(frozen=True, slots=True)
class DestinationPhase:
    """How a destination behaves from `start` until `end`, in seconds of virtual time."""

    start: float
    end: float
    behavior: DestinationBehavior


class RunPlan:
    """The events and faults that are drawn before a run.

    Attributes:
        endpoints: All endpoints.
        destination_of: The destination of each endpoint, by endpoint id.
        events: The events that take place, in the order in which they were drawn.
        phases: When each destination misbehaves.
        kill_at_write: The write to the disk before which the process is killed; 0 for none.
    """

    def __init__(self, spec: RunSpec, rng: random.Random, excluded: frozenset[int]) -> None:
        """Draws the plan.

        Args:
            spec: The size of the run.
            rng: Source of all random draws; the run continues to draw from it.
            excluded: Numbers of events that are drawn but do not take place.
        """
        self.spec = spec
        self.rng = rng
        self.excluded = excluded
        self.drawn_count = 0
        self.endpoints = [each for number in range(spec.destinations) for each in build_endpoints(number)]
        self.destination_of = {each.endpoint.id: each.endpoint.destination for each in self.endpoints}
        self.events: list[ScheduledEvent] = []
        self.phases = {number: self._draw_phases(number) for number in range(spec.destinations)}
        self._draw_messages()
        self._draw_drains()
        self._draw_kills()
        self.kill_at_write = self._draw_kill_at_write()

    def actions_by_time(self) -> list[ScheduledEvent]:
        """Returns the events that have an action, earliest first."""
        return sorted((each for each in self.events if each.action), key=lambda event: event.at)

    def _add_event(self, at: float, text: str, action: RunAction | None = None) -> bool:
        """Numbers an event; returns whether it takes place."""
        self.drawn_count += 1
        if self.drawn_count in self.excluded:
            return False
        self.events.append(ScheduledEvent(self.drawn_count, at, text, action))
        return True

    def _draw_phases(self, destination: int) -> list[DestinationPhase]:
        phases = []
        at = 0.0
        while self.rng.random() < self.spec.trouble and at < self.spec.seconds + 2:
            at += self.rng.uniform(0, 1.5)
            end = at + self.rng.uniform(0.1, 3.0)
            behavior = self.rng.choice(list(DestinationBehavior)[1:])
            if self._add_event(at, f"destination {destination}: {behavior.value} until {end:.3f}"):
                phases.append(DestinationPhase(at, end, behavior))
            at = end
        return phases

    def _draw_messages(self) -> None:
        at = 0.0
        for number in range(int(self.spec.seconds * self.spec.rate)):
            at += self.rng.expovariate(self.spec.rate)
            message = self._draw_message(number, at)
            key = f" of key {message.key}" if message.key else ""
            left_s = (message.deadline_us - EPOCH_US) / SECOND_US - at
            text = (
                f"{message.id}, {message.message_class}{key}, for {message.destination}, {left_s:.3f} s left"
            )
            self._add_event(at, text, SubmitMessage(message))

    def _draw_message(self, number: int, at: float) -> Message:
        rng = self.rng
        message_class = rng.choice(list(CLASS_RULES))
        left_s = rng.choice((DEADLINE_S, rng.uniform(0.05, DEADLINE_S)))
        key = f"k{rng.randrange(self.spec.keys)}" if CLASS_RULES[message_class].is_ordered else ""
        deadline_us = EPOCH_US + int((at + left_s) * SECOND_US)
        destination = rng.randrange(self.spec.destinations)
        return Message(f"m{number}", message_class, destination, deadline_us, "", key, "i", False, b"body")

    def _draw_drains(self) -> None:
        for _ in range(self.spec.drains):
            name = self.rng.choice(self.endpoints).endpoint.id
            self._add_event(self.rng.uniform(0, self.spec.seconds), f"{name} drains", Drain(name))

    def _draw_kills(self) -> None:
        for _ in range(self.spec.kills if self.rng.random() < 0.5 else 0):
            self._add_event(self.rng.uniform(0, self.spec.seconds + 3), "a kill", Kill())

    def _draw_kill_at_write(self) -> int:
        if not self.spec.kills or self.rng.random() < 0.5:
            return 0
        write = self.rng.randrange(1, int(4 * self.spec.seconds * self.spec.rate))
        is_kept = self._add_event(0.0, f"a kill before write {write} to the disk")
        return write if is_kept else 0
