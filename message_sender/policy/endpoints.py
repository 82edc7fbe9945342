"""The registry of listed endpoints and of destinations with their breakers, and the schedule of their checks.

Each change is recorded when it happens, so that the cost of an iteration depends only on what changed:

- `available`: destinations that may accept a call now; they are checked while slots are free. A destination
  that turns out to accept no call moves to `reopenings` until its gap, wait or timeout ends.
- `changed_breakers`: breakers that had an event since the last iteration.
- `overdue_checks`: the time at which the oldest call of each breaker becomes overdue.
- `idle_checks`: the time at which a destination may have been unused for long enough to drop its breakers.
"""

from collections import defaultdict

from message_sender.policy.breaker import NEVER, Breaker, TrackedEndpoint
from message_sender.policy.destination import Destination
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.limits import SharedLimits
from message_sender.policy.list_confirmation import ListConfirmation
from message_sender.policy.list_polling import ListPolling
from message_sender.policy.loop_state import LoopState
from message_sender.policy.model import DestinationKind, Endpoint, EndpointState, ListingKind
from message_sender.policy.outage import OutageCause
from message_sender.policy.timers import TimerQueue

UNUSED_BREAKER_AGE_US = 60_000_000  # an unused breaker without a listed endpoint is dropped; above any outage
INACTIVE_DESTINATION_AGE_US = 3_600_000_000  # a destination without calls for this time becomes inactive


class EndpointRegistry:
    """The known endpoints and destinations.

    Attributes:
        endpoints: Endpoints that are listed as ready, by id.
        destinations: All destinations that are listed, active or inactive, by number.
        list_confirmation: Whether calls wait for a list.
        shared_limits: The limits that the fleet shares; None if there are none.
    """

    def __init__(self, loop: LoopState) -> None:
        """Creates an empty registry."""
        self.loop = loop
        self.settings = loop.settings
        self.kinds = defaultdict(DestinationKind, loop.settings.kinds)
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.destinations: dict[int, Destination] = {}
        self.available: dict[int, None] = {}
        self.reopenings = TimerQueue[int]()
        self.idle_checks = TimerQueue[int]()
        self.overdue_checks = TimerQueue[Breaker]()
        self.changed_breakers: dict[Breaker, None] = {}
        self.list_polling = ListPolling(loop.settings, loop.random)
        self.list_confirmation = ListConfirmation(loop.settings)
        self.shared_limits: SharedLimits | None = None

    def activate(self, number: int) -> Destination:
        """Activates a destination and returns it; after inactivity it warms up as after an outage."""
        if (destination := self.destinations.get(number)) is None:
            destination = self.destinations[number] = Destination(number)
        if destination.breakers_by_route is None:
            destination.breakers_by_route = {}
            self.assign_breakers(destination)
            if destination.inactive_since is not None:
                for breaker in destination.breakers:
                    breaker.outage.begin_warm_up(self.loop.now, OutageCause.INACTIVE)
            self.idle_checks.schedule(number, self.loop.now + UNUSED_BREAKER_AGE_US)
        return destination

    def all_breakers(self) -> list[Breaker]:
        """Returns the breakers of all active destinations."""
        return [
            breaker
            for destination in self.destinations.values()
            for breaker in (destination.breakers_by_route or {}).values()
        ]

    # The endpoint list.

    def update_endpoints(self, update: EndpointsUpdated) -> None:
        """Applies an update of the endpoint list.

        A drain takes effect as soon as it is announced, so only endpoints that are ready are kept.
        """
        if update.listing is ListingKind.FAILED:
            self.list_polling.poll_failed(self.loop.now)
            self.list_confirmation.watch_ended(self.loop.now)
            return
        if update.listing is ListingKind.CACHED:
            self.list_polling.process_started(self.loop.now)
            self.list_confirmation.process_started(self.loop.now)
        elif update.listing is ListingKind.FULL:  # operators' orders come as changes
            self.list_confirmation.list_received(self.loop.now)
        known = self.endpoints
        changed: dict[int, None] = {}  # changed destinations, in the order in which the update names them
        if update.listing is not ListingKind.CHANGES:
            known = self.endpoints.copy()
            self.endpoints.clear()
            for endpoint in known.values():
                self.destinations[endpoint.listed.destination].endpoints.clear()
                endpoint.breaker = None
                changed[endpoint.listed.destination] = None
        for listed in update.endpoints:
            self.update_endpoint(listed, known, changed)
        for number in changed:
            self.refresh_destination(self.destinations[number])
        self.warm_up_returned(frozenset(update.returned))

    def update_endpoint(
        self, listed: Endpoint, known: dict[str, TrackedEndpoint], changed: dict[int, None]
    ) -> None:
        """Applies one entry of a list.

        Args:
            listed: The entry.
            known: The endpoints before the update.
            changed: Collects the numbers of changed destinations.
        """
        endpoint = known.get(listed.id) or self.endpoints.get(listed.id) or TrackedEndpoint(listed)
        if endpoint.listed.destination != listed.destination and listed.id in self.endpoints:
            self.remove_endpoint(endpoint)
            changed[endpoint.listed.destination] = None
        endpoint.listed = listed
        if listed.state is not EndpointState.READY:
            if listed.id in self.endpoints:
                self.remove_endpoint(endpoint)
                changed[listed.destination] = None
            return
        changed[listed.destination] = None
        if listed.id not in self.endpoints:
            self.endpoints[listed.id] = endpoint
            if listed.destination not in self.destinations:
                self.destinations[listed.destination] = Destination(listed.destination)
            self.destinations[listed.destination].endpoints.append(endpoint)

    def remove_endpoint(self, endpoint: TrackedEndpoint) -> None:
        """Removes an endpoint that is no longer ready."""
        del self.endpoints[endpoint.listed.id]
        self.destinations[endpoint.listed.destination].endpoints.remove(endpoint)
        endpoint.breaker = None

    def warm_up_returned(self, returned: frozenset[str]) -> None:
        """Starts the warm-up of each breaker whose endpoints were all out of service.

        Messages are waiting for them and would otherwise be sent together.

        Args:
            returned: Ids of the endpoints that were out of service.
        """
        numbers = {
            self.endpoints[name].listed.destination: None for name in returned if name in self.endpoints
        }
        for destination in map(self.destinations.__getitem__, numbers):
            in_service = [each.breaker for each in destination.endpoints if each.listed.id not in returned]
            for breaker in destination.breakers:
                if breaker not in in_service:
                    breaker.outage.begin_warm_up(int(self.loop.now), OutageCause.RETURNED)
                    self.loop.status.check(breaker, self.loop.now)
            if destination.breakers_by_route is None and not in_service:
                destination.inactive_since = self.loop.now

    def refresh_destination(self, destination: Destination) -> None:
        """Updates the data derived from the endpoints of one destination."""
        destination.is_weighted = any(each.listed.weight != 1 for each in destination.endpoints)
        for endpoint in destination.endpoints:
            endpoint.weighted_calls = 0.0
        if destination.breakers_by_route is not None:
            self.assign_breakers(destination)
        elif not destination.endpoints:
            del self.destinations[destination.number]

    def assign_breakers(self, destination: Destination) -> None:
        """Assigns its breaker to each listed endpoint of an active destination."""
        for endpoint in destination.endpoints:
            endpoint.breaker = breaker = self.breaker_for(destination, endpoint.listed)
            if self.settings.announces_rates and endpoint.listed.scale > 0:
                breaker.set_announced_rate(endpoint.listed.scale)
        breakers = (each.breaker for each in destination.endpoints if each.breaker)
        destination.breakers = tuple(dict.fromkeys(breakers))
        self.available[destination.number] = None

    def breaker_for(self, destination: Destination, listed: Endpoint) -> Breaker:
        """Returns the breaker of an endpoint of an active destination."""
        assert destination.breakers_by_route is not None
        route = listed.id if self.kinds[listed.kind].has_separate_routes else ""
        if route not in destination.breakers_by_route:
            destination.breakers_by_route[route] = Breaker(self.loop.context, destination.number, route)
        return destination.breakers_by_route[route]

    # Timing of calls.

    def end_hold_if_over(self) -> None:
        """Spreads the calls of the messages that have waited for a list, once they no longer wait.

        The senders of a fleet receive their lists at the same time.
        """
        if self.list_confirmation.take_end(self.loop.now):
            for destination in list(self.destinations.values()):
                if destination.pending:
                    self.delay_first_call(destination.number)

    def delay_first_call(self, number: int) -> None:
        """Delays the first call after a restart at random.

        Otherwise a large fleet that restarts together would send all restored messages together. The delay
        is at most the time between calls of a member with the mean part of the traffic.
        """
        if self.loop.context.fleet_factor <= 1:
            return
        for breaker in self.destinations[number].breakers:
            if breaker.last_sent == -NEVER and not breaker.wait_until:
                gap = min(breaker.announced_gap, breaker.max_gap)
                breaker.wait_until = int(self.loop.now + self.loop.random.uniform(0, gap))

    def mark_changed(self, breaker: Breaker) -> None:
        """Records an event of a breaker: it may accept a call, and its overdue check may have moved."""
        self.changed_breakers[breaker] = None
        self.available[breaker.destination] = None

    def schedule_overdue_checks(self) -> dict[Breaker, None]:
        """Schedules a check of each changed breaker for the time when its oldest call becomes overdue.

        Returns:
            The changed breakers.
        """
        changed = self.changed_breakers
        self.changed_breakers = {}
        for breaker in changed:
            self.overdue_checks.schedule(breaker, breaker.overdue_at())
            if breaker.failures or breaker.outage.warm_up_since > -NEVER:
                self.loop.status.check(breaker, self.loop.now)
        return changed

    def mark_unavailable(self, destination: Destination) -> None:
        """Records that a destination accepts no call now, and schedules its next check."""
        self.available.pop(destination.number, None)
        self.schedule_reopening(destination)

    def schedule_reopening(self, destination: Destination) -> None:
        """Schedules a check of a destination for the next time at which one of its breakers allows a call."""
        now = int(self.loop.now)
        ready_at = NEVER
        for breaker in destination.breakers:
            at = breaker.earliest_ready_at(now)
            if now < at < ready_at:
                ready_at = at
        if self.shared_limits and destination.endpoints:
            available_at = min(
                self.shared_limits.available_at(each.listed, now) for each in destination.endpoints
            )
            ready_at = max(destination.earliest_ready_at(now), available_at)
        self.reopenings.schedule(destination.number, ready_at if ready_at > now else NEVER)

    def recheck_destination(self, number: int) -> None:
        """Makes the next iteration check a destination for which this sender's part of a limit has grown."""
        if number in self.destinations:
            self.available[number] = None

    # Expiry.

    def expire_unused(self) -> None:
        """Drops unused breakers.

        This bounds the memory of a long-lived process, and avoids decisions based on outdated statistics.
        """
        for number in self.idle_checks.pop_due(self.loop.now):
            self.loop.examined_items += 1
            destination = self.destinations.get(number)
            if destination is None or destination.breakers_by_route is None:
                continue
            by_route = destination.breakers_by_route
            self.loop.examined_items += len(by_route)
            for route, breaker in list(by_route.items()):
                if breaker not in destination.breakers and self.is_unused(breaker, UNUSED_BREAKER_AGE_US):
                    self.drop_breaker(destination, route)
            if destination.pending or not all(
                self.is_unused(breaker, INACTIVE_DESTINATION_AGE_US) for breaker in by_route.values()
            ):
                self.idle_checks.schedule(number, self.loop.now + UNUSED_BREAKER_AGE_US)
            else:
                self.deactivate(destination)

    def is_unused(self, breaker: Breaker, age_us: int) -> bool:
        """Whether no call is in flight, and the last call and the last wait are at least `age_us` ago."""
        return not breaker.in_flight and max(breaker.last_sent, breaker.wait_until) + age_us <= self.loop.now

    def drop_breaker(self, destination: Destination, route: str) -> None:
        """Drops an unused breaker and keeps only the time of its last call."""
        assert destination.breakers_by_route is not None
        breaker = destination.breakers_by_route.pop(route)
        if breaker.last_sent > -NEVER:
            destination.inactive_since = max(breaker.last_sent, destination.inactive_since or 0)
        self.overdue_checks.schedule(breaker, NEVER)
        self.loop.status.forget(breaker)
        self.changed_breakers.pop(breaker, None)

    def deactivate(self, destination: Destination) -> None:
        """Drops all breakers of a destination, and the destination itself if it is not listed."""
        for route in list(destination.breakers_by_route or ()):
            self.drop_breaker(destination, route)
        self.reopenings.schedule(destination.number, NEVER)
        self.available.pop(destination.number, None)
        destination.breakers_by_route = None
        destination.breakers = ()
        for endpoint in destination.endpoints:
            endpoint.breaker = None
        if not destination.endpoints:
            del self.destinations[destination.number]
