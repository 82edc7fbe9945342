"""The messages of a sender: what each may still do, order within a key, limit on their number, their end.

`examined`: held messages that may be the next of their key; `quiet`: when the pause of a key ends;
`deadlines`: when a message may have to end.
"""

import heapq
from bisect import insort
from collections import OrderedDict

from message_sender.policy.actions import Fail, Reject
from message_sender.policy.breaker import NEVER, RESET_TIMEOUT_US, PendingMessage
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.events import MessageAccepted
from message_sender.policy.model import Effect
from message_sender.policy.schedule import Destination, LoopState, weight_at_age

CREDIT_TOLERANCE = 1e-9  # of a message: a share that is whole but for the last bits of a float is whole
CALL_TIME_FRACTION = 1 / 8  # of the aim: guessed time of a call and its way
SHEDDING_AGE_FRACTION = 0.7  # of its time: the operators price what was taken on and is returned sooner
SHEDDING_ORDER_AGE_US = 25  # us for each message held that their order, once made, serves: a bound on what it costs


class KeyQueue:
    """Rule: messages of one key go one at a time, as taken, and pause after an attempt of unknown result."""

    def __init__(self) -> None:
        self.queue, self.quiet_until = OrderedDict(), 0  # type: OrderedDict[str, PendingMessage], int

    def head(self) -> PendingMessage:
        return next(iter(self.queue.values()))


class PendingQueue:
    def __init__(self, loop: LoopState, registry: EndpointRegistry) -> None:
        self.loop, self.settings, self.registry = loop, (settings := loop.settings), registry
        self.classes = {each.name: each for each in settings.classes}
        self.quotas = {name: rate / settings.fleet_size for name, rate in settings.tenants if rate > 0}
        self.credit = {name: (rate, 0) for name, rate in self.quotas.items()}  # left, and when
        self.messages: dict[str, PendingMessage] = {}
        self.unanswered: dict[str, PendingMessage] = {}  # ended, but not over yet
        self.keys: dict[str, KeyQueue] = {}
        self.deadlines: list[tuple[float, int, PendingMessage]] = []  # a heap: when a message may have to end
        self.quiet: list[tuple[int, str]] = []  # a heap: when a key has rested
        self.examined: list[PendingMessage] = []
        self.room: list[tuple[float, int, PendingMessage]] = []  # what makes room, the least promising first
        self.room_until = -NEVER  # when that order is too old

    def take(self, taken: MessageAccepted, share: float | None = None) -> None:
        if taken.message_class not in self.classes:
            raise ValueError(f"unknown class {taken.message_class}")
        if taken.message in self.messages:
            raise ValueError(f"message {taken.message} was taken before")
        share = self.within_share(taken.tenant) if share is None else share
        message = PendingMessage(taken, self.classes[taken.message_class], int(self.loop.now), share)
        self.messages[message.id] = message
        heapq.heappush(self.deadlines, (message.until, next(self.loop.count), message))
        if message.key:
            self.keys.setdefault(message.key, KeyQueue()).queue[message.id] = message
        self.hold(message)

    def within_share(self, tenant: str) -> float:
        if tenant not in self.quotas:
            return 1.0  # no share is told; nothing is kept by a name that any client may make up
        rate, (left, since) = self.quotas[tenant], self.credit[tenant]
        left = min(left + rate * (self.loop.now - since) / 1e6, max(rate, 1.0))
        within = left >= 1 - CREDIT_TOLERANCE
        self.credit[tenant] = left - within, int(self.loop.now)
        return 1.0 if within else self.settings.over_quota_weight

    def hold(self, message: PendingMessage) -> None:
        at = self.registry.arouse(message.destination)
        message.number = next(self.loop.count)
        at.hold(message)
        self.examined.append(message)
        if self.room_until > self.loop.now and self.may_refuse(message):
            turns = len(self.keys[message.key].queue) - 1 if message.key and not message.attempts else 0
            insort(self.room, self.prospect(message, at, turns))

    def rest(self, key: str) -> None:
        if line := self.keys.get(key):
            line.quiet_until = int(self.loop.now) + self.settings.key_pause
            heapq.heappush(self.quiet, (line.quiet_until, key))

    def watch_window(self, message: PendingMessage) -> None:
        """A held message that may be repeated only for a while is looked at again when that is over."""
        if message.risky_since is not None and message.kind.effect is Effect.KEYED:
            last = self.repeat_until(message, message.risky_since) + self.settings.tick
            heapq.heappush(self.deadlines, (last, next(self.loop.count), message))

    def repeat_until(self, message: PendingMessage, sent: int) -> float:
        """Until when a repeat may go; `sent` is when an attempt went that may have run."""
        since = sent if message.risky_since is None else message.risky_since
        return (
            since
            + message.kind.idempotency_window
            - 2 * self.settings.tick
            - message.kind.latency_objective * CALL_TIME_FRACTION
        )

    def may_repeat_at(self, now: float, message: PendingMessage, sent: int | None) -> bool:
        """Rule: no effect twice. `sent` is when an attempt went that may have run; None: none has."""
        if sent is None or message.kind.effect is Effect.IDEMPOTENT:
            return True
        return message.kind.effect is Effect.KEYED and now < self.repeat_until(message, sent)

    def may_send_again(self, message: PendingMessage) -> bool:
        """Rule: no effect twice."""
        left = message.attempts < self.settings.max_attempts
        return left and self.may_repeat_at(self.loop.now, message, message.risky_since)

    def may_refuse(self, message: PendingMessage) -> bool:
        """Rule: no effect twice; a refusal tells the client that trying again is harmless."""
        if message.risky_since is None or message.kind.effect is Effect.IDEMPOTENT:
            return True
        return message.kind.effect is Effect.KEYED and not message.kind.is_window_zonal

    def end(self, message: PendingMessage) -> None:
        refusal = Reject(message.id, self.suggest_retry_after())
        self.loop.actions.append(refusal if self.may_refuse(message) else Fail(message.id))
        if self.settings.acknowledges_completions:
            self.unanswered[message.id] = message
        self.finish(message)

    def suggest_retry_after(self) -> int:
        return min(RESET_TIMEOUT_US, self.settings.max_retry_after)

    def finish(self, message: PendingMessage) -> None:
        if not message.ended:
            message.ended = True
            del self.messages[message.id]
            self.registry.destinations[message.destination].release(message)
        if message.id in self.unanswered:
            return  # rule: order; nothing for its key goes before its notice is answered
        if (line := self.keys.get(message.key)) and not message.out and message.id in line.queue:
            del line.queue[message.id]
            if line.queue:
                self.examined.append(line.head())
            elif line.quiet_until <= self.loop.now:
                del self.keys[message.key]

    def end_due(self) -> None:
        """Rule: no message is lost. Held ones are ended a tick ahead of their time, or when no more attempt
        is allowed them; one that is out is looked at again when its attempt ends."""
        soon = self.loop.now + self.settings.tick
        while self.deadlines and self.deadlines[0][0] <= soon:
            self.loop.looks += 1
            message = heapq.heappop(self.deadlines)[2]
            over = message.until <= soon or not self.may_send_again(message)
            if over and not message.ended and not message.out:
                self.end(message)

    def in_turn(self, message: PendingMessage) -> bool:
        """Rule: order per key. A message's own further attempts need no rest."""
        line = self.keys.get(message.key)
        rested = not line or message.attempts > 0 or self.loop.now >= line.quiet_until
        return not line or (line.head() is message and rested)

    def is_held(self, message: PendingMessage) -> bool:
        return not (message.ended or message.out)

    def find_in_turn(self) -> None:
        """Queue what may go as the pause of its key ended, or as it or the one before it came or went."""
        while self.quiet and self.quiet[0][0] <= self.loop.now:
            self.loop.looks += 1
            key = heapq.heappop(self.quiet)[1]
            if (line := self.keys.get(key)) and line.quiet_until <= self.loop.now:
                if line.queue:
                    self.examined.append(line.head())
                else:
                    del self.keys[key]
        for message in self.examined:
            self.loop.looks += 1
            if self.is_held(message) and not message.queued and self.in_turn(message):
                self.registry.destinations[message.destination].queue(
                    message, self.settings.halves_late_weight
                )
                self.registry.open[message.destination] = None
        self.examined = []

    def prospect(
        self, message: PendingMessage, at: Destination, turns: int
    ) -> tuple[float, int, PendingMessage]:
        """Worth when it is likely to be sent, behind `turns` others of its key; of equal ones the first held
        goes. Protects new messages from a queue that is full of what cannot go soon."""
        kind = message.kind
        then = max(at.ready_at(int(self.loop.now)), self.loop.now) + kind.latency_objective * (
            0.5 + turns * CALL_TIME_FRACTION
        )
        value = weight_at_age(kind, message.share, then - message.born, self.settings.halves_late_weight)
        return value, message.number, message

    def may_return(self, message: PendingMessage) -> bool:
        """Whether it may be ended for room: late; or, unless a start found it, told to wait too long, in its
        first iteration (not taken on yet), or in a small fleet, whose members can tell whose turn comes."""
        waited, life = self.loop.now - message.came, message.until - message.came
        told = [each.wait_until for each in self.registry.destinations[message.destination].breakers]
        early = self.loop.pace.crowd <= 1 or not waited or min(told, default=0) >= message.until
        return waited >= SHEDDING_AGE_FRACTION * life or (early and not message.restored)

    def keep_room(self, below: float = NEVER) -> None:
        """End the least promising held messages, of a share `below` this one, when the queue is full. Their
        order is rebuilt only now and then, which bounds the CPU time of walking over all that is held."""
        excess = len(self.messages) - self.settings.max_open + 1
        if self.loop.now >= self.room_until:
            self.room = self.order_room() if excess > 0 else []
        while excess > 0 and self.room and self.room[0][2].share < below:
            message = self.room.pop(0)[2]
            if self.is_held(message) and self.may_refuse(message) and self.may_return(message):
                self.end(message)
                excess -= 1

    def order_room(self) -> list[tuple[float, int, PendingMessage]]:
        places: dict[str, int] = {}
        for line in self.keys.values():
            places |= {name: place for place, name in enumerate(line.queue)}
        self.loop.looks += len(self.messages) + len(places)
        self.room_until = self.loop.now + max(SHEDDING_ORDER_AGE_US * len(self.messages), 1)
        return sorted(
            self.prospect(each, self.registry.destinations[each.destination], places.get(each.id, 0))
            for each in self.messages.values()
            if self.is_held(each) and self.may_refuse(each)
        )
