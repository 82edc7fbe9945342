"""The messages of a sender: permitted repeats, order within a key, limit on their number, completion.

This module enforces these rules:

- A message never takes effect twice: `may_retry`, `may_reject`.
- Messages of one key are sent one at a time, in the order in which they were accepted: `KeyQueue`.
- No message is lost: each is completed before its deadline, see `expire_due`.
"""

import heapq
from bisect import insort
from collections import OrderedDict

from message_sender.policy.actions import Fail, Reject
from message_sender.policy.breaker import NEVER, RESET_TIMEOUT_US
from message_sender.policy.destination import Destination
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.events import MessageAccepted
from message_sender.policy.loop_state import LoopState
from message_sender.policy.model import Effect
from message_sender.policy.pending_message import PendingMessage
from message_sender.policy.urgency import weight_at_age

CREDIT_TOLERANCE = 1e-9  # messages; absorbs rounding errors in a credit that should be 1
CALL_TIME_FRACTION = 1 / 8  # of the latency objective: the expected time of a call
SHEDDING_AGE_FRACTION = 0.7  # of the lifetime of a message, after which it may be shed
SHEDDING_ORDER_AGE_US = 25  # the shedding order is kept for this time per message: bounds the cost of sorting

#: An entry of the shedding order: expected weight and sequence number of a message, and the message.
SheddingRank = tuple[float, int, PendingMessage]


class KeyQueue:
    """The messages of one key. The key pauses after an attempt with an unknown result.

    Attributes:
        messages: The messages by id, in the order in which they were accepted.
        paused_until: End of the pause.
    """

    def __init__(self) -> None:
        """Creates an empty queue of a key that is not paused."""
        self.messages: OrderedDict[str, PendingMessage] = OrderedDict()
        self.paused_until = 0

    def head(self) -> PendingMessage:
        """Returns the message to send next; the queue must not be empty."""
        return next(iter(self.messages.values()))


class PendingQueue:
    """All messages of a sender.

    Attributes:
        quotas: Messages a second that this sender may accept of each tenant.
        credit: Unused quota of each tenant in messages, and the time of that figure.
        messages: Messages that are not completed, by id.
        unacknowledged: Completed messages whose completion is not acknowledged.
        keys: The queue of each key.
        deadlines: Heap of the times at which a message may have to be completed.
        key_pauses: Heap of the times at which the pause of a key ends.
        to_examine: Pending messages that may be the next of their key.
        shedding_order: Messages that may be shed, those with the least expected weight first.
        shedding_order_until: When the shedding order expires.
    """

    def __init__(self, loop: LoopState, registry: EndpointRegistry) -> None:
        """Creates an empty queue."""
        settings = loop.settings
        self.loop = loop
        self.settings = settings
        self.registry = registry
        self.classes = {each.name: each for each in settings.classes}
        self.quotas = {name: rate / settings.fleet_size for name, rate in settings.tenants if rate > 0}
        self.credit = {name: (rate, 0) for name, rate in self.quotas.items()}
        self.messages: dict[str, PendingMessage] = {}
        self.unacknowledged: dict[str, PendingMessage] = {}
        self.keys: dict[str, KeyQueue] = {}
        self.deadlines: list[tuple[float, int, PendingMessage]] = []
        self.key_pauses: list[tuple[int, str]] = []
        self.to_examine: list[PendingMessage] = []
        self.shedding_order: list[SheddingRank] = []
        self.shedding_order_until = -NEVER

    def accept(self, accepted: MessageAccepted, weight_factor: float | None = None) -> None:
        """Adds a message.

        Args:
            accepted: The message.
            weight_factor: As determined by an earlier process; None to determine it from the quota.

        Raises:
            ValueError: The class is unknown, or the message was accepted before.
        """
        if accepted.message_class not in self.classes:
            raise ValueError(f"unknown class {accepted.message_class}")
        if accepted.message in self.messages:
            raise ValueError(f"message {accepted.message} was accepted before")
        if weight_factor is None:
            weight_factor = self.weight_factor_for(accepted.tenant)
        message_class = self.classes[accepted.message_class]
        message = PendingMessage(accepted, message_class, int(self.loop.now), weight_factor)
        self.messages[message.id] = message
        heapq.heappush(self.deadlines, (message.deadline, next(self.loop.sequence), message))
        if message.key:
            self.keys.setdefault(message.key, KeyQueue()).messages[message.id] = message
        self.enqueue(message)

    def weight_factor_for(self, tenant: str) -> float:
        """Returns the weight factor of a new message, and deducts the message from its tenant's quota."""
        if tenant not in self.quotas:
            return 1.0  # clients can invent names, so no state is kept for an unknown tenant
        rate = self.quotas[tenant]
        credit, since = self.credit[tenant]
        credit = min(credit + rate * (self.loop.now - since) / 1e6, max(rate, 1.0))
        is_within_quota = credit >= 1 - CREDIT_TOLERANCE
        self.credit[tenant] = credit - is_within_quota, int(self.loop.now)
        return 1.0 if is_within_quota else self.settings.over_quota_weight

    def enqueue(self, message: PendingMessage) -> None:
        """Makes a message pending, that is, waiting to be sent."""
        destination = self.registry.activate(message.destination)
        message.sequence = next(self.loop.sequence)
        destination.add_pending(message)
        self.to_examine.append(message)
        if self.shedding_order_until > self.loop.now and self.may_reject(message):
            is_behind_others = message.key and not message.attempts
            position = len(self.keys[message.key].messages) - 1 if is_behind_others else 0
            insort(self.shedding_order, self.shedding_rank(message, destination, position))

    def pause_key(self, key: str) -> None:
        """Pauses a key after an attempt with an unknown result."""
        if queue := self.keys.get(key):
            queue.paused_until = int(self.loop.now) + self.settings.key_pause
            heapq.heappush(self.key_pauses, (queue.paused_until, key))

    # Permitted repeats.

    def schedule_window_check(self, message: PendingMessage) -> None:
        """Schedules a check for the time from which a pending message may no longer be repeated."""
        if message.uncertain_since is not None and message.message_class.effect is Effect.KEYED:
            check_at = self.repeat_until(message, message.uncertain_since) + self.settings.tick
            heapq.heappush(self.deadlines, (check_at, next(self.loop.sequence), message))

    def repeat_until(self, message: PendingMessage, sent_at: int) -> float:
        """Returns the time until which a repeat may be sent, us.

        Args:
            message: A message of a KEYED class.
            sent_at: When an attempt that may have run was sent.
        """
        since = sent_at if message.uncertain_since is None else message.uncertain_since
        return (
            since
            + message.message_class.idempotency_window
            - 2 * self.settings.tick
            - message.message_class.latency_objective * CALL_TIME_FRACTION
        )

    def may_repeat_at(self, now: float, message: PendingMessage, sent_at: int | None) -> bool:
        """Whether a repeat is certain to have no second effect.

        Args:
            now: When the repeat would be sent, us.
            message: The message.
            sent_at: When an attempt that may have run was sent; None if there is none.
        """
        if sent_at is None or message.message_class.effect is Effect.IDEMPOTENT:
            return True
        return message.message_class.effect is Effect.KEYED and now < self.repeat_until(message, sent_at)

    def may_retry(self, message: PendingMessage) -> bool:
        """Whether another attempt is allowed and certain to have no second effect."""
        has_attempts = message.counted_attempts() < self.settings.max_attempts
        return has_attempts and self.may_repeat_at(self.loop.now, message, message.uncertain_since)

    def may_reject(self, message: PendingMessage) -> bool:
        """Whether the client may submit the message again without a second effect."""
        message_class = message.message_class
        if message.uncertain_since is None or message_class.effect is Effect.IDEMPOTENT:
            return True
        return message_class.effect is Effect.KEYED and not message_class.is_window_zonal

    # Completion.

    def complete(self, message: PendingMessage) -> None:
        """Rejects or fails a message."""
        rejection = Reject(message.id, self.suggest_retry_after())
        self.loop.actions.append(rejection if self.may_reject(message) else Fail(message.id))
        if self.settings.acknowledges_completions:
            self.unacknowledged[message.id] = message
        self.remove(message)

    def suggest_retry_after(self) -> int:
        """Returns the Retry-After to suggest to clients, us; 0 for none."""
        return min(RESET_TIMEOUT_US, self.settings.max_retry_after)

    def remove(self, message: PendingMessage) -> None:
        """Removes a completed message, and releases the next message of its key if nothing is outstanding."""
        if not message.is_completed:
            message.is_completed = True
            del self.messages[message.id]
            self.registry.destinations[message.destination].remove_pending(message)
        if message.id in self.unacknowledged:
            return  # to keep the order, no message of the key is sent before the acknowledgement
        queue = self.keys.get(message.key)
        if queue and not message.is_in_flight and message.id in queue.messages:
            del queue.messages[message.id]
            if queue.messages:
                self.to_examine.append(queue.head())
            elif queue.paused_until <= self.loop.now:
                del self.keys[message.key]

    def expire_due(self) -> None:
        """Completes messages one tick before their deadline, and messages that may not be attempted again.

        A message in flight is not completed here; it is checked when its attempt ends.
        """
        cutoff = self.loop.now + self.settings.tick
        while self.deadlines and self.deadlines[0][0] <= cutoff:
            self.loop.examined_items += 1
            message = heapq.heappop(self.deadlines)[2]
            is_expired = message.deadline <= cutoff or not self.may_retry(message)
            if is_expired and not message.is_completed and not message.is_in_flight:
                self.complete(message)

    # Order within a key.

    def is_next_of_key(self, message: PendingMessage) -> bool:
        """Whether the message is the next one of its key; a retry does not wait for the pause of the key."""
        queue = self.keys.get(message.key)
        is_unpaused = not queue or message.attempts > 0 or self.loop.now >= queue.paused_until
        return not queue or (queue.head() is message and is_unpaused)

    def is_pending(self, message: PendingMessage) -> bool:
        """Whether the message is waiting to be sent."""
        return not (message.is_completed or message.is_in_flight)

    def find_ready(self) -> None:
        """Marks pending messages as ready once they are next of their key and its pause has ended."""
        while self.key_pauses and self.key_pauses[0][0] <= self.loop.now:
            self.loop.examined_items += 1
            key = heapq.heappop(self.key_pauses)[1]
            if (queue := self.keys.get(key)) and queue.paused_until <= self.loop.now:
                if queue.messages:
                    self.to_examine.append(queue.head())
                else:
                    del self.keys[key]
        for message in self.to_examine:
            self.loop.examined_items += 1
            if self.is_pending(message) and not message.is_ready and self.is_next_of_key(message):
                destination = self.registry.destinations[message.destination]
                destination.add_ready(message, self.settings.halves_late_weight)
                self.registry.available[message.destination] = None
        self.to_examine = []

    # Load shedding.

    def shedding_rank(self, message: PendingMessage, destination: Destination, position: int) -> SheddingRank:
        """Returns the sort key of a message in the shedding order.

        The key is the weight of the message at the time when it is likely to be sent. Among equal weights,
        the message that became pending first is shed first. New messages are thus not rejected because the
        queue is full of messages that cannot be sent soon.

        Args:
            message: The message.
            destination: Its destination.
            position: Number of messages of its key that are ahead of it.
        """
        message_class = message.message_class
        delay = message_class.latency_objective * (0.5 + position * CALL_TIME_FRACTION)
        sent_at = max(destination.ready_at(int(self.loop.now)), self.loop.now) + delay
        age = sent_at - message.created_at
        halves_late_weight = self.settings.halves_late_weight
        weight = weight_at_age(message_class, message.weight_factor, age, halves_late_weight)
        return weight, message.sequence, message

    def may_shed(self, message: PendingMessage) -> bool:
        """Whether a message may be completed to make room in the queue.

        It may be if most of its lifetime has passed. A message that was not restored may also be completed in
        three other cases: the destination announced a wait beyond the deadline; the message was accepted in
        this iteration, so the client has not been told yet; or the fleet is small, so its members can predict
        which message will be sent.
        """
        age = self.loop.now - message.received_at
        lifetime = message.deadline - message.received_at
        breakers = self.registry.destinations[message.destination].breakers
        wait_until = min((each.wait_until for each in breakers), default=0)
        may_shed_early = self.loop.context.fleet_factor <= 1 or not age or wait_until >= message.deadline
        return age >= SHEDDING_AGE_FRACTION * lifetime or (may_shed_early and not message.is_restored)

    def shed_excess(self, below: float = NEVER) -> None:
        """Completes the pending messages with the least expected weight while the queue is full.

        The shedding order is rebuilt only once it has expired, which bounds the CPU time spent on sorting.

        Args:
            below: Only messages with a weight factor below this value are shed.
        """
        excess = len(self.messages) - self.settings.max_open + 1
        if self.loop.now >= self.shedding_order_until:
            self.shedding_order = self.rank_for_shedding() if excess > 0 else []
        while excess > 0 and self.shedding_order and self.shedding_order[0][2].weight_factor < below:
            message = self.shedding_order.pop(0)[2]
            if self.is_pending(message) and self.may_reject(message) and self.may_shed(message):
                self.complete(message)
                excess -= 1

    def rank_for_shedding(self) -> list[SheddingRank]:
        """Returns all messages that may be rejected, those with the least expected weight first."""
        positions: dict[str, int] = {}
        for queue in self.keys.values():
            positions |= {name: position for position, name in enumerate(queue.messages)}
        self.loop.examined_items += len(self.messages) + len(positions)
        self.shedding_order_until = self.loop.now + max(SHEDDING_ORDER_AGE_US * len(self.messages), 1)
        return sorted(
            self.shedding_rank(each, self.registry.destinations[each.destination], positions.get(each.id, 0))
            for each in self.messages.values()
            if self.is_pending(each) and self.may_reject(each)
        )
