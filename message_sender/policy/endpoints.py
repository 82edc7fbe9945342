"""Registry of the listed endpoints, of destinations and their breakers, and of when to check each.

Changes are recorded where they happen, so that the cost of an iteration depends on what changed alone:
- `open`: destinations that may accept a call now, as far as is known; checked while slots are free. One
  that accepts none moves to `freed`, until its gap, wait or timeout ends.
- `changed`: breakers that had an event; `overdue`: when the oldest call of one is overdue;
  `ages`: when a destination may have been idle for long enough.
"""

from collections import defaultdict

from message_sender.policy.breaker import NEVER, Breaker, TrackedEndpoint
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.limits import SharedLimits
from message_sender.policy.model import DestinationKind, Endpoint, EndpointState, ListingKind
from message_sender.policy.schedule import Destination, ListPolling, LoopState, TimerQueue

UNUSED_BREAKER_AGE_US = 60_000_000  # us after which what is unused and unlisted is forgotten: above any outage's length
INACTIVE_DESTINATION_AGE_US = 3_600_000_000  # us of silence after which a listed destination is not judged by old figures


class EndpointRegistry:
    def __init__(self, loop: LoopState) -> None:
        self.loop, self.settings = loop, loop.settings
        self.kinds = defaultdict(DestinationKind, loop.settings.kinds)
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.destinations: dict[int, Destination] = {}
        self.open: dict[int, None] = {}
        self.freed, self.ages = TimerQueue[int](), TimerQueue[int]()
        self.overdue = TimerQueue[Breaker]()
        self.changed: dict[Breaker, None] = {}
        self.list_calls = ListPolling(loop.settings, loop.random)
        self.leave: SharedLimits | None = None  # of a budget that a fleet shares

    def arouse(self, number: int) -> Destination:
        """Return a destination, awake. One that was idle for long is warmed up like one that was down."""
        if (at := self.destinations.get(number)) is None:
            at = self.destinations[number] = Destination(number)
        if at.own is None:
            at.own = {}
            self.set_breakers(at)
            for each in at.breakers if at.silent_since is not None else ():
                each.cold_since = self.loop.now
            self.ages.set(number, self.loop.now + UNUSED_BREAKER_AGE_US)
        return at

    def all_breakers(self) -> list[Breaker]:
        return [each for at in self.destinations.values() for each in (at.own or {}).values()]

    def list_endpoints(self, listed: EndpointsUpdated) -> None:
        """Apply a list. Rule: drains count once they are announced, so only ready endpoints are kept here."""
        if listed.listing is ListingKind.FAILED:
            self.list_calls.failed(self.loop.now)
            return
        if listed.listing is ListingKind.CACHED:
            self.list_calls.start(self.loop.now)
        known = self.endpoints
        touched: dict[int, None] = {}  # destinations, in the order in which they were named
        if listed.listing is not ListingKind.CHANGES:
            known = self.endpoints.copy()
            self.endpoints.clear()
            for each in known.values():
                self.destinations[each.listed.destination].endpoints.clear()
                each.breaker = None
                touched[each.listed.destination] = None
        for told in listed.endpoints:
            self.list_one(told, known, touched)
        for destination in touched:
            self.relist(self.destinations[destination])
        self.warm(frozenset(listed.returned))

    def list_one(self, told: Endpoint, known: dict[str, TrackedEndpoint], touched: dict[int, None]) -> None:
        endpoint = known.get(told.id) or self.endpoints.get(told.id) or TrackedEndpoint(told)
        if endpoint.listed.destination != told.destination and told.id in self.endpoints:
            self.unlist(endpoint)
            touched[endpoint.listed.destination] = None
        endpoint.listed = told
        if told.state is not EndpointState.READY:
            if told.id in self.endpoints:
                self.unlist(endpoint)
                touched[told.destination] = None
            return
        touched[told.destination] = None
        if told.id not in self.endpoints:
            self.endpoints[told.id] = endpoint
            if told.destination not in self.destinations:
                self.destinations[told.destination] = Destination(told.destination)
            self.destinations[told.destination].endpoints.append(endpoint)

    def unlist(self, endpoint: TrackedEndpoint) -> None:
        del self.endpoints[endpoint.listed.id]
        self.destinations[endpoint.listed.destination].endpoints.remove(endpoint)
        endpoint.breaker = None

    def warm(self, returned: frozenset[str]) -> None:
        """Warm up what was out of service with all its endpoints, as messages were held for it meanwhile."""
        found = {self.endpoints[name].listed.destination: None for name in returned if name in self.endpoints}
        for at in map(self.destinations.__getitem__, found):
            before = [each.breaker for each in at.endpoints if each.listed.id not in returned]
            for breaker in at.breakers:
                if breaker not in before:
                    breaker.cold_since = int(self.loop.now)
            if at.own is None and not before:
                at.silent_since = self.loop.now

    def relist(self, at: Destination) -> None:
        """Update what derives from the endpoints of one destination; the others cost nothing."""
        at.weighted = any(each.listed.weight != 1 for each in at.endpoints)
        for each in at.endpoints:
            each.turns = 0.0
        if at.own is not None:
            self.set_breakers(at)
        elif not at.endpoints:
            del self.destinations[at.number]

    def set_breakers(self, at: Destination) -> None:
        for endpoint in at.endpoints:
            endpoint.breaker = breaker = self.breaker_of(at, endpoint.listed)
            if self.settings.announces_rates and endpoint.listed.scale > 0:
                breaker.told_rate(endpoint.listed.scale)
        at.breakers = tuple(dict.fromkeys(each.breaker for each in at.endpoints if each.breaker))
        self.open[at.number] = None

    def breaker_of(self, at: Destination, listed: Endpoint) -> Breaker:
        assert at.own is not None
        key = listed.id if self.kinds[listed.kind].apart else ""
        if key not in at.own:
            at.own[key] = Breaker(self.loop.pace, at.number)
        return at.own[key]

    def spread(self, number: int) -> None:
        """Delay the first call after a restart at random, by a mean member's time between calls at the most:
        a fleet that restarts at one time would send all that it found together."""
        for each in self.destinations[number].breakers if self.loop.pace.crowd > 1 else ():
            if each.last_sent == -NEVER and not each.wait_until:
                gap = min(each.told_gap, each.most_gap)
                each.wait_until = int(self.loop.now + self.loop.random.uniform(0, gap))

    def touch(self, breaker: Breaker) -> None:
        """Record an event of a breaker: it may be free now, and its calls may be overdue at another time."""
        self.changed[breaker] = None
        self.open[breaker.destination] = None

    def set_overdue(self) -> dict[Breaker, None]:
        """Return the breakers that had an event, each due again when its oldest call is overdue."""
        changed, self.changed = self.changed, {}
        for breaker in changed:
            self.overdue.set(breaker, breaker.overdue_at())
        return changed

    def shut(self, at: Destination) -> None:
        """Mark a destination that accepts no call before its time, or before it has an event."""
        self.open.pop(at.number, None)
        free = at.free_at(int(self.loop.now))
        if self.leave and at.endpoints:
            now = int(self.loop.now)
            free = max(free, min(self.leave.free_at(each.listed, now) for each in at.endpoints))
        self.freed.set(at.number, free if free > self.loop.now else NEVER)

    def leave_grew(self, number: int) -> None:
        """A share of a budget has grown: the next iteration checks its destination."""
        if number in self.destinations:
            self.open[number] = None

    def age_out(self) -> None:
        """Forget breakers that are not used: bounds the memory of a process that runs for long, and
        keeps idle destinations from being judged by old figures."""
        for number in self.ages.due(self.loop.now):
            self.loop.looks += 1
            if (at := self.destinations.get(number)) is None or at.own is None:
                continue
            self.loop.looks += len(at.own)
            for key, each in list(at.own.items()):
                if each not in at.breakers and self.is_unused(each, UNUSED_BREAKER_AGE_US):
                    self.forget(at, key)
            if at.held or not all(self.is_unused(each, INACTIVE_DESTINATION_AGE_US) for each in at.own.values()):
                self.ages.set(number, self.loop.now + UNUSED_BREAKER_AGE_US)
            else:
                self.fall_asleep(at)

    def is_unused(self, breaker: Breaker, age: int) -> bool:
        return not breaker.out and max(breaker.last_sent, breaker.wait_until) + age <= self.loop.now

    def forget(self, at: Destination, key: str) -> None:
        """Drop a breaker that is not used; of it only the time of its last use is kept."""
        assert at.own is not None
        breaker = at.own.pop(key)
        if breaker.last_sent > -NEVER:
            at.silent_since = max(breaker.last_sent, at.silent_since or 0)
        self.overdue.set(breaker, NEVER)
        self.changed.pop(breaker, None)

    def fall_asleep(self, at: Destination) -> None:
        for key in list(at.own or ()):
            self.forget(at, key)
        self.freed.set(at.number, NEVER)
        self.open.pop(at.number, None)
        at.own, at.breakers = None, ()
        for endpoint in at.endpoints:
            endpoint.breaker = None
        if not at.endpoints:
            del self.destinations[at.number]
