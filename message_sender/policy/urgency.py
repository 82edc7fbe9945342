"""Selects the message to send next: the one whose weight loses most if another message is sent first.

A message has the weight of its class until the latency objective, and loses weight from then to the deadline.
Its urgency is the weight that is expected to be lost by serving another message first. The messages of one
destination, class and weight factor form a `ReadyGroup`. Their urgency is the same function of their age,
which is monotonic between a few known ages (`urgency_breakpoints`). The most urgent message is therefore at
an end of one of these ranges, and the cost of the search does not depend on the number of messages.
"""

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from message_sender.policy.breaker import NEVER
from message_sender.policy.model import MessageClass
from message_sender.policy.pending_message import PendingMessage

LATER_SERVICE_CHANCE = 0.9  # probability that a message passed over now is served one latency objective later
LINEAR_SEARCH_LIMIT = 8  # up to this number, messages are compared one by one


def weight_at_age(message_class: MessageClass, factor: float, age: float, halves_late_weight: bool) -> float:
    """Returns the weight of a message.

    Args:
        message_class: Class of the message.
        factor: Weight factor of the message.
        age: Time since the full deadline of the class began to run, us.
        halves_late_weight: The weight halves with each latency objective by which the message is late;
            otherwise it falls linearly.
    """
    if age >= message_class.deadline:
        return 0.0
    objective = message_class.latency_objective
    late_weight = message_class.late_priority_weight
    lateness = max(age - objective, 0)
    remaining: float
    if halves_late_weight:
        remaining = max(0.5 ** (lateness / objective), late_weight)
    else:
        remaining = 1 - (1 - late_weight) * lateness / max(message_class.deadline - objective, 1)
    return message_class.priority_weight * factor * remaining


def urgency(message_class: MessageClass, factor: float, age: float, halves_late_weight: bool) -> float:
    """Returns the weight that is expected to be lost if the message is passed over now."""
    later = weight_at_age(message_class, factor, age + message_class.latency_objective, halves_late_weight)
    return weight_at_age(message_class, factor, age, halves_late_weight) - LATER_SERVICE_CHANCE * later


def urgency_breakpoints(message_class: MessageClass, halves_late_weight: bool) -> tuple[float, ...]:
    """Returns the ages, in us, between which `urgency` is monotonic.

    The weight begins to fall at the latency objective and drops to 0 at the deadline; a halving weight stops
    falling at its minimum. `urgency` looks ahead by one latency objective, so it also bends one latency
    objective before each of these ages.
    """
    objective = message_class.latency_objective
    late_weight = message_class.late_priority_weight
    bends = [float(objective), float(message_class.deadline)]
    if halves_late_weight and 0 < late_weight < 1:
        bends.append(objective * (1 - math.log2(late_weight)))
    ages = {age for bend in bends for age in (bend, bend - objective)}
    return tuple(sorted(age for age in ages if age >= 0))


class Rank(NamedTuple):
    """Sort key of messages: the most urgent first, then the oldest, then the first to become pending."""

    urgency: float  # negated, so that the most urgent message sorts first
    created_at: int
    sequence: int


class ReadyGroup:
    """Messages of one destination, class and weight factor that may be sent, ordered by age.

    Attributes:
        curve: The arguments of `urgency` that all messages of the group share.
        breakpoints: Ages, in us, between which the urgency is monotonic.
        messages: Creation time, sequence number and message, the oldest first.
    """

    __slots__ = ("breakpoints", "curve", "messages")

    def __init__(self, message_class: MessageClass, factor: float, halves_late_weight: bool) -> None:
        """Creates an empty group."""
        self.curve = (message_class, factor, halves_late_weight)
        self.breakpoints = urgency_breakpoints(message_class, halves_late_weight)
        self.messages: list[tuple[int, int, PendingMessage]] = []

    def add(self, message: PendingMessage) -> None:
        """Adds a message."""
        insort(self.messages, (message.created_at, message.sequence, message))

    def remove(self, message: PendingMessage) -> None:
        """Removes a message of the group."""
        del self.messages[bisect_left(self.messages, (message.created_at, message.sequence))]

    def most_urgent(self, now: int) -> tuple[Rank, PendingMessage]:
        """Returns the message to send first, with its rank; the group must not be empty."""
        if len(self.messages) <= LINEAR_SEARCH_LIMIT:
            return min(self.ranked(now, range(len(self.messages))))
        return min(self.ranked(now, self.candidates(now)))

    def ranked(self, now: int, positions: Iterable[int]) -> Iterator[tuple[Rank, PendingMessage]]:
        """Yields the messages at the given positions, each with its rank."""
        message_class, factor, halves_late_weight = self.curve
        for position in positions:
            created_at, sequence, message = self.messages[position]
            loss = urgency(message_class, factor, now - created_at, halves_late_weight)
            yield Rank(-loss, created_at, sequence), message

    def candidates(self, now: int) -> set[int]:
        """Returns the positions at which the most urgent message can be.

        For each range of ages in which the urgency is monotonic, these are the oldest message of the range
        and the first one of the youngest messages.
        """
        positions: set[int] = set()
        end = len(self.messages)
        for age in (*self.breakpoints, NEVER):
            start = bisect_right(self.messages, (now - age, NEVER)) if age < NEVER else 0
            if start < end:
                youngest = bisect_left(self.messages, (self.messages[end - 1][0], -1))
                positions |= {start, max(start, youngest)}
            end = min(start, end)
        return positions
