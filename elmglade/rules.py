"""Every decision of a sender. Its types, events and actions are in elmglade/interface.py.

A circuit breaker per destination (per endpoint where routes are apart, elmglade/breaker.py) decides the
ordinary path: failures in a row open it, messages are held, one trial after the reset timeout closes it or
restarts the timeout, a gap paces calls while closed. The rest guards the six rules or picks the held
message that goes next.

A turn costs what changed (elmglade/schedule.py). What something happened to is noted where it happens:

- `open`: destinations that may take a call now, as far as is known; looked at while slots are free. One
  that takes none leaves, and stands in `freed` for when its gap, wait or timeout ends.
- `examined`: held messages whose turn within their key may have come; `quiet`: when a key has rested.
- `changed`: breakers that something happened to; `overdue`: when the oldest call of one is overdue.
- `deadlines`: when a message may have to end; `ages`: when a destination may have been silent for long
  enough.
"""

import heapq
import itertools
import math
import random
from bisect import insort
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from itertools import islice

from elmglade import interface as face
from elmglade.breaker import NEVER, RESET_TIMEOUT, Breaker, Call, Endpoint, Message, Pace
from elmglade.inherit import believe, tell
from elmglade.interface import Effect, EndpointState, Listing, Outcome
from elmglade.schedule import Agenda, Destination, ListCalls, Rank, worth

DESTINATION_SLOTS = 0.5  # share of the slots that calls to one destination may hold
# May still be running:
UNSETTLED = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.STALE, Outcome.SPOILT, Outcome.CANCELLED})
SCARCE_TIMES = 3  # idle times for which a crowd closes its connections after use where they are scarce
GONE_TIMES = 4  # reset timeouts for which one that may be gone comes last; the list tells of it meanwhile
SCARCE_WITHIN = 1_000_000  # us from a refused connect to a served call: an outage's refusals last for longer
IDLE_AGE = 60_000_000  # us after which what is unused and unlisted is forgotten: above any outage's length
QUIET_AGE = 3_600_000_000  # us of silence after which a listed destination is not judged by old figures
ROUNDING = 1e-9  # of a message: a share that is whole but for the last bits of a float is whole
CALL_SHARE = 1 / 8  # of the aim: guessed time of a call and its way
REFUSALS_KEPT = 2  # of messages still owed, from which a destination is doubtful after a restart
LOOKS = 256  # destinations looked at in a turn; where more wait for a slot, the next turn begins with those
PROSPECT_AGE = 25  # us for each message held that their order, once made, serves: a bound on what it costs


class KeyLine:
    """Rule: messages of one key go one at a time, as taken, and rest after an attempt left unsettled."""

    __slots__ = ("queue", "quiet_until")

    def __init__(self) -> None:
        self.queue: OrderedDict[str, Message] = OrderedDict()
        self.quiet_until = 0

    def head(self) -> Message:
        return next(iter(self.queue.values()))


class Dispatcher:
    def __init__(self, settings: face.Settings, seed: int) -> None:
        """One sender's decisions; `seed` is that of its chance, which is used for spreading alone."""
        self.settings, self.random = settings, random.Random(seed)
        self.pace = Pace.of(settings, self.random)
        self.classes = {each.name: each for each in settings.classes}
        self.kinds = defaultdict(face.Kind, settings.kinds)
        self.fees = dict(settings.zone_fees)
        self.quotas = {name: rate / settings.fleet_size for name, rate in settings.tenants if rate > 0}
        # One second's share may be saved up.
        self.credit = {name: (rate, 0) for name, rate in self.quotas.items()}  # left, as of when
        self.endpoints: dict[str, Endpoint] = {}
        self.destinations: dict[int, Destination] = {}
        self.batches = any(kind.batch > 1 for _, kind in settings.kinds)
        self.messages: dict[str, Message] = {}
        self.unanswered: dict[str, Message] = {}  # ended, but not over yet
        self.keys: dict[str, KeyLine] = {}
        self.calls: dict[tuple[str, int], Call] = {}
        self.idle: dict[str, Endpoint] = {}  # with a call just ended
        self.out: dict[Call, None] = {}  # distinct calls, oldest first
        self.stuck: dict[Call, None] = {}  # of these, the overdue ones
        self.deadlines: list[tuple[float, int, Message]] = []  # a heap: when a message may have to end
        self.quiet: list[tuple[int, str]] = []  # a heap: when a key has rested
        self.open: dict[int, None] = {}
        self.freed: Agenda[int] = Agenda()
        self.overdue: Agenda[Breaker] = Agenda()
        self.ages: Agenda[int] = Agenda()
        self.changed: dict[Breaker, None] = {}
        self.examined: list[Message] = []
        self.room: list[tuple[float, int, Message]] = []  # what makes room, the least promising first
        self.room_until = -NEVER  # when that order is too old
        self.now, self.wake_at = -NEVER, NEVER
        self.count = itertools.count()
        self.stops_at = NEVER
        self.list_calls = ListCalls(settings, self.random)
        self.actions: list[face.Action] = []
        self.leave: face.Leave | None = None  # of a budget that a fleet shares
        self.looks = 0  # items looked at, ever: what a turn costs is counted by it

    def handle(self, now_us: int, events: Iterable[face.Event]) -> list[face.Action]:
        """What follows from these events at that time. Raises ValueError for a clock that went back, a class
        that is not in the settings and a message that was taken before."""
        if now_us < self.now:
            raise ValueError(f"the clock went back from {self.now} to {now_us}")
        self.now, self.actions = now_us, []
        for event in events:
            self.hear(event)
        self.find_overdue()
        self.end_due()
        self.send_next()
        self.keep_room()
        self.age_out()
        self.set_wake()
        return self.actions

    # What happened.

    def hear(self, event: face.Event) -> None:
        match event:
            case face.MessageTaken():
                self.take(event)
            case face.MessageRestored():
                self.restore(event)
            case face.Inherited():
                self.inherit(event)
            case face.AttemptEnded():
                self.attempt_ended(event)
            case face.EndpointsListed():
                self.list_endpoints(event)
            case face.MessageWithdrawn(message) if message in self.messages:
                self.finish(self.messages[message])
            case face.EndAnswered(message) if message in self.unanswered:
                self.finish(self.unanswered.pop(message))
            case face.Stopping(left):
                self.stops_at = self.now + left

    def take(self, taken: face.MessageTaken, share: float | None = None) -> None:
        if taken.message_class not in self.classes:
            raise ValueError(f"unknown class {taken.message_class}")
        if taken.message in self.messages:
            raise ValueError(f"message {taken.message} was taken before")
        share = self.within_share(taken.tenant) if share is None else share
        message = Message(taken, self.classes[taken.message_class], int(self.now), share)
        self.messages[message.id] = message
        heapq.heappush(self.deadlines, (message.until, next(self.count), message))
        if message.key:
            self.keys.setdefault(message.key, KeyLine()).queue[message.id] = message
        self.hold(message)

    def hold(self, message: Message) -> None:
        at = self.arouse(message.destination)
        message.number = next(self.count)
        at.hold(message)
        self.examined.append(message)
        if self.room_until > self.now and self.may_refuse(message):
            turns = len(self.keys[message.key].queue) - 1 if message.key and not message.attempts else 0
            insort(self.room, self.prospect(message, at, turns))

    def arouse(self, number: int) -> Destination:
        """A destination that is needed. One that was silent for long is warmed like one that was out."""
        if (at := self.destinations.get(number)) is None:
            at = self.destinations[number] = Destination(number)
        if at.own is None:
            at.own = {}
            self.set_breakers(at)
            for each in at.breakers if at.silent_since is not None else ():
                each.cold_since = self.now
            self.ages.set(number, self.now + IDLE_AGE)
        return at

    def all_breakers(self) -> list[Breaker]:
        """Of the destinations that are awake."""
        return [each for at in self.destinations.values() for each in (at.own or {}).values()]

    def restore(self, kept: face.MessageRestored) -> None:
        """Rules: a call that was out at the end may have run, and may still; its key rests."""
        self.take(kept.taken, kept.share)
        message = self.messages[kept.taken.message]
        message.attempts, message.risky_since = kept.attempts, kept.risky_since
        message.risky_zone = kept.risky_zone
        if kept.ended:
            self.unanswered[message.id] = message
            self.finish(message)
            return
        if kept.call:
            self.resume(message, kept.call)
            return
        if not kept.handed:
            self.rest(message.key)
        self.watch_window(message)
        if not self.may_send_again(message):
            self.end(message)
        for name, outcome in kept.outcomes:
            breaker = endpoint.breaker if (endpoint := self.endpoints.get(name)) else None
            # Guards a destination that came back meanwhile, cold. What is called off was far overdue.
            if breaker and (outcome in face.FAILURES or outcome is Outcome.CANCELLED):
                breaker.count_failure(int(self.now), outcome)
                breaker.trial_at = self.now
            elif breaker and outcome is Outcome.FULL:
                breaker.doubt(int(self.now), REFUSALS_KEPT)

    def resume(self, message: Message, out: face.CallOut) -> None:
        """Rules: a call that the process before has out holds its message, key and trial until it ends."""
        at, number = self.arouse(message.destination), message.destination
        gone = face.Endpoint(out.endpoint, number, EndpointState.GONE, "", out.zone)
        endpoint = self.endpoints.get(out.endpoint) or Endpoint(gone)
        call = Call(self.breaker_of(at, endpoint.listed), endpoint, out.sent, next(self.count))
        self.begin(call, message, message.attempts - 1)
        if out.trial:
            call.breaker.trial = call
        if out.overdue:
            call.overdue = True
            del call.breaker.fresh[call]
            call.breaker.stuck[call] = self.stuck[call] = None

    def inherit(self, told: face.Inherited) -> None:
        for number, route, values in told.breakers:
            own = self.arouse(number).own
            assert own is not None
            breaker = own.setdefault(route, Breaker(self.pace, number))
            believe(breaker, values)
            self.touch(breaker)
        for name, values in told.endpoints:
            if name in self.endpoints:
                believe(self.endpoints[name], values)
        for key, until in told.keys:
            self.keys.setdefault(key, KeyLine()).quiet_until = until
            heapq.heappush(self.quiet, (until, key))
        self.credit |= {tenant: (left, at) for tenant, left, at in told.credit if tenant in self.quotas}
        for number, since in told.silent:
            if (found := self.destinations.get(number)) and found.own is None:
                found.silent_since = since

    def tell_on(self) -> face.Inherited:
        """For the process that follows."""
        keys = {name: line.quiet_until for name, line in self.keys.items() if line.quiet_until > self.now}
        return tell(self.destinations.values(), self.endpoints.values(), keys, self.credit)

    def within_share(self, tenant: str) -> float:
        if tenant not in self.quotas:
            return 1.0  # no share is told; nothing is kept by a name that any client may make up
        rate, (left, since) = self.quotas[tenant], self.credit[tenant]
        left = min(left + rate * (self.now - since) / 1e6, max(rate, 1.0))
        within = left >= 1 - ROUNDING
        self.credit[tenant] = left - within, int(self.now)
        return 1.0 if within else self.settings.over_share_worth

    def attempt_ended(self, ended: face.AttemptEnded) -> None:
        if (call := self.calls.pop((ended.message, ended.attempt), None)) is None:
            return
        message = call.messages.pop(ended.message)
        message.out = False
        self.settle(call, ended)
        if ended.outcome in UNSETTLED:
            self.rest(message.key)
        if ended.outcome not in face.NEVER_RAN and message.risky_since is None:
            message.risky_since, message.risky_zone = call.sent, call.endpoint.listed.zone
        if message.ended or ended.finished:
            self.finish(message)
        elif self.now + self.settings.tick >= message.until or not self.may_send_again(message):
            self.end(message)
        else:
            self.hold(message)
            self.watch_window(message)

    def rest(self, key: str) -> None:
        if line := self.keys.get(key):
            line.quiet_until = int(self.now) + self.settings.key_quiet
            heapq.heappush(self.quiet, (line.quiet_until, key))

    def watch_window(self, message: Message) -> None:
        """A held message that may be repeated only for a while is looked at again when that is over."""
        if message.risky_since is not None and message.kind.effect is Effect.KEYED:
            last = self.repeat_until(message, message.risky_since) + self.settings.tick
            heapq.heappush(self.deadlines, (last, next(self.count), message))

    def repeat_until(self, message: Message, sent: int) -> float:
        """Until when a repeat may go; `sent` is when an attempt went that may have run."""
        since = sent if message.risky_since is None else message.risky_since
        return since + message.kind.window - 2 * self.settings.tick - message.kind.aim * CALL_SHARE

    def settle(self, call: Call, ended: face.AttemptEnded) -> None:
        """The first result of a call speaks for all its messages."""
        breaker, endpoint, now = call.breaker, call.endpoint, int(self.now)
        self.touch(breaker)
        if ended.wait:  # rule: told waits are heeded, from each answer that tells one
            breaker.wait_until = max(breaker.wait_until, now + ended.wait)
        if not call.messages:
            breaker.out -= 1
            endpoint.out -= 1
            self.idle[endpoint.listed.id] = endpoint
            if ended.outcome is Outcome.CONNECT_FAILED and not call.overdue:
                endpoint.refused_at = now
            for kind in (self.out, self.stuck, breaker.fresh, breaker.stuck):
                kind.pop(call, None)
        if call.settled:
            return  # a batch has one fate
        call.settled = True
        breaker.fresh.pop(call, None)
        if ended.outcome is Outcome.OK:
            breaker.served(now, call)
            endpoint.bad_until = 0.0
            if now - endpoint.refused_at < SCARCE_WITHIN:
                endpoint.scarce_until = now + SCARCE_TIMES * self.settings.conn_idle
        elif ended.outcome is Outcome.FULL:
            breaker.refused(now, call, ended.wait)
        elif self.speaks(call, ended.outcome):
            alone = ended.outcome is Outcome.CONNECT_FAILED and self.is_alone(call)
            endpoint.bad_until = now + RESET_TIMEOUT * (GONE_TIMES if alone else 1)
            if not alone:
                breaker.count_failure(now, ended.outcome)
        elif call is breaker.trial:
            breaker.trial = None

    def speaks(self, call: Call, outcome: Outcome) -> bool:
        """Whether this end speaks against the destination, and has not done so before. Guards it from those
        that go with little time left: a call that is not overdue was given up for its message's sake. In a
        crowd, whose members see few calls, each counts: a returning destination is not to be pushed over."""
        if outcome not in face.FAILURES or call.overdue:
            return False
        return outcome is not Outcome.TIMEOUT or call is call.breaker.trial or self.pace.crowd > 1

    def is_alone(self, call: Call) -> bool:
        """Whether a refused connect speaks against its endpoint alone, as another one is not known to be bad.
        Guards a crowd, whose list may be old, from holding back what that one would take."""
        if self.pace.crowd <= 1 or call is call.breaker.trial:
            return False
        at = self.destinations[call.breaker.destination]
        others = [each for each in at.endpoints if each.breaker is call.breaker and each is not call.endpoint]
        return any(each.bad_until <= self.now for each in others)

    def touch(self, breaker: Breaker) -> None:
        """Something happened to it: it may be free now, and its calls may be overdue at another time."""
        self.changed[breaker] = None
        self.open[breaker.destination] = None

    # Who is there.

    def list_endpoints(self, listed: face.EndpointsListed) -> None:
        """Rule: drains are kept, from the moment they are told: only ready endpoints are known here."""
        if listed.listing is Listing.FAILED:
            self.list_calls.failed(self.now)
            return
        if listed.listing is Listing.CACHED:
            self.list_calls.start(self.now)
        self.list_calls.tries, known = 0, self.endpoints
        touched: dict[int, None] = {}  # destinations, in the order in which they were named
        if listed.listing is not Listing.CHANGES:
            self.endpoints = {}
            for each in known.values():
                self.destinations[each.listed.destination].endpoints.clear()
                each.breaker = None
                touched[each.listed.destination] = None
        for told in listed.endpoints:
            self.list_one(told, known, touched)
        for destination in touched:
            self.relist(self.destinations[destination])
        if listed.returned:
            self.warm(frozenset(listed.returned))

    def list_one(self, told: face.Endpoint, known: dict[str, Endpoint], touched: dict[int, None]) -> None:
        endpoint = known.get(told.id) or self.endpoints.get(told.id) or Endpoint(told)
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

    def unlist(self, endpoint: Endpoint) -> None:
        del self.endpoints[endpoint.listed.id]
        self.destinations[endpoint.listed.destination].endpoints.remove(endpoint)
        endpoint.breaker = None

    def warm(self, returned: frozenset[str]) -> None:
        """Guards what was kept out of service, all of its endpoints, from what was held for it meanwhile."""
        found = {self.endpoints[name].listed.destination: None for name in returned if name in self.endpoints}
        for at in map(self.destinations.__getitem__, found):
            before = [each.breaker for each in at.endpoints if each.listed.id not in returned]
            for breaker in at.breakers:
                if breaker not in before:
                    breaker.cold_since = int(self.now)
            if at.own is None and not before:
                at.silent_since = self.now

    def relist(self, at: Destination) -> None:
        """What follows from a destination's endpoints; the others cost nothing."""
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
            if self.settings.rates_told and endpoint.listed.scale > 0:
                breaker.told_rate(endpoint.listed.scale)
        at.breakers = tuple(dict.fromkeys(each.breaker for each in at.endpoints if each.breaker))
        self.open[at.number] = None

    def breaker_of(self, at: Destination, listed: face.Endpoint) -> Breaker:
        assert at.own is not None
        key = listed.id if self.kinds[listed.kind].apart else ""
        if key not in at.own:
            at.own[key] = Breaker(self.pace, at.number)
        return at.own[key]

    # Calls that take too long.

    def find_overdue(self) -> None:
        """Guards against hangs, silence and slowness: a call far too slow counts as a failure at once; with
        no slot free the oldest far overdue is called off, harmless first. May lose a heavy message. Where
        calls sent later have been served, it is not the destination that is slow: the call or its
        connection is lost, and what may be sent again is called off and sent again."""
        changed = self.set_overdue()
        late: list[Call] = []
        for breaker in self.overdue.due(self.now):
            self.touch(breaker)
            patience = breaker.patience()
            late += itertools.takewhile(lambda call, p=patience: self.now >= call.sent + p, breaker.fresh)  # type: ignore[misc]
        for call in sorted(late, key=lambda each: each.number):
            self.is_overdue(call)
        if not self.settings.may_cancel:
            return
        changed |= self.set_overdue()
        short = len(self.out) >= self.settings.slots
        # Nothing else can have become hopeless; but where slots are short, time alone tells.
        stuck = self.stuck if short else [call for breaker in changed for call in breaker.stuck]
        for call in sorted(stuck, key=lambda each: (each.risks(), each.number)):
            self.looks += 1
            if not call.called_off and self.is_hopeless(call, short):
                call.called_off, short = True, False
                self.actions += [face.CancelAttempt(x.id, x.attempts - 1) for x in call.messages.values()]

    def set_overdue(self) -> dict[Breaker, None]:
        """The breakers that something happened to since, each due again when its oldest call is overdue."""
        changed, self.changed = self.changed, {}
        for breaker in changed:
            self.overdue.set(breaker, breaker.overdue_at())
        return changed

    def is_overdue(self, call: Call) -> None:
        self.looks += 1
        call.overdue = True
        del call.breaker.fresh[call]
        call.breaker.stuck[call] = self.stuck[call] = None
        call.breaker.failed(int(self.now))
        call.endpoint.bad_until = self.now + RESET_TIMEOUT
        self.touch(call.breaker)

    def is_hopeless(self, call: Call, short: bool) -> bool:
        """Whether an overdue call is called off."""
        lost = self.now - call.sent > 1.5 * call.breaker.patience()
        alone = call.breaker.served_sent > call.sent and self.may_repeat(call)
        harmless = not call.risks() and call.breaker.is_open()
        return alone or harmless or (short and lost)

    def may_repeat(self, call: Call) -> bool:
        """Whether all its messages may go once more, though this call may have run."""
        return all(
            each.attempts < self.settings.max_attempts and self.may_repeat_at(self.now, each, call.sent)
            for each in call.messages.values()
        )

    def may_repeat_at(self, now: float, message: Message, sent: int | None) -> bool:
        """Rule: no effect twice. `sent` is when an attempt went that may have run; None: none has."""
        if sent is None or message.kind.effect is Effect.SAFE:
            return True
        return message.kind.effect is Effect.KEYED and now < self.repeat_until(message, sent)

    # The rules: what a message may still do, and its one final answer.

    def may_send_again(self, message: Message) -> bool:
        """Rule: no effect twice."""
        left = message.attempts < self.settings.max_attempts
        return left and self.may_repeat_at(self.now, message, message.risky_since)

    def may_refuse(self, message: Message) -> bool:
        """Rule: no effect twice; a refusal tells the client that trying again is harmless."""
        if message.risky_since is None or message.kind.effect is Effect.SAFE:
            return True
        return message.kind.effect is Effect.KEYED and not message.kind.window_by_zone

    def end(self, message: Message) -> None:
        refusal = face.Refuse(message.id, self.come_again())
        self.actions.append(refusal if self.may_refuse(message) else face.Fail(message.id))
        if self.settings.ends_answered:
            self.unanswered[message.id] = message
        self.finish(message)

    def come_again(self) -> int:
        return min(RESET_TIMEOUT, self.settings.max_retry_after)

    def finish(self, message: Message) -> None:
        if not message.ended:
            message.ended = True
            del self.messages[message.id]
            self.destinations[message.destination].release(message)
        if message.id in self.unanswered:
            return  # rule: order; nothing for its key goes before its notice is answered
        if (line := self.keys.get(message.key)) and not message.out and message.id in line.queue:
            del line.queue[message.id]
            if line.queue:
                self.examined.append(line.head())
            elif line.quiet_until <= self.now:
                del self.keys[message.key]

    def end_due(self) -> None:
        """Rule: no message is lost. Held ones are ended a tick ahead of their time, or when no more attempt
        is allowed them; one that is out is looked at again when its attempt ends."""
        soon = self.now + self.settings.tick
        while self.deadlines and self.deadlines[0][0] <= soon:
            self.looks += 1
            message = heapq.heappop(self.deadlines)[2]
            over = message.until <= soon or not self.may_send_again(message)
            if over and not message.ended and not message.out:
                self.end(message)

    def in_turn(self, message: Message) -> bool:
        """Rule: order per key. A message's own further attempts need no rest."""
        line = self.keys.get(message.key)
        return not line or (line.head() is message and (message.attempts > 0 or self.now >= line.quiet_until))

    def is_held(self, message: Message) -> bool:
        return not (message.ended or message.out)

    # Which message goes next, and where.

    def find_in_turn(self) -> None:
        """What may go since its key has rested, or since it or the one before it came or went."""
        while self.quiet and self.quiet[0][0] <= self.now:
            self.looks += 1
            key = heapq.heappop(self.quiet)[1]
            if (line := self.keys.get(key)) and line.quiet_until <= self.now:
                if line.queue:
                    self.examined.append(line.head())
                else:
                    del self.keys[key]
        for message in self.examined:
            self.looks += 1
            if self.is_held(message) and not message.queued and self.in_turn(message):
                self.destinations[message.destination].queue(message, self.settings.halves)
                self.open[message.destination] = None
        self.examined = []

    def find_open(self) -> list[Destination]:
        """Destinations that take a call now and have a message for it."""
        for number in self.freed.due(self.now):
            self.open[number] = None
        found = []
        for number in list(islice(self.open, LOOKS)) if len(self.out) < self.settings.slots else ():
            self.looks += 1
            at = self.destinations.get(number)
            if at is None or not at.groups:
                del self.open[number]
            elif any(map(self.may_call, at.breakers)):
                found.append(at)
            else:
                self.shut(at)
        if len(self.open) > LOOKS:
            for at in found:  # those behind them come first in the next turn
                self.open[at.number] = self.open.pop(at.number)
        return found

    def shut(self, at: Destination) -> None:
        """It takes no call before its time, or before something happens to it."""
        self.open.pop(at.number, None)
        free = at.free_at(int(self.now))
        if self.leave and at.endpoints:
            free = max(free, min(self.leave.free_at(each.listed, int(self.now)) for each in at.endpoints))
        self.freed.set(at.number, free if free > self.now else NEVER)

    def send_next(self) -> None:
        """The one ordered pass: what goes next, over all destinations that take a call now."""
        self.find_in_turn()
        self.send_best(self.find_open())
        # Guards against a crowd's idle connections that fill what endpoints accept.
        if self.pace.crowd > 1:
            scarce = {name: each for name, each in self.idle.items() if self.now < each.scarce_until}
            self.actions += [face.CloseIdle(name) for name, each in scarce.items() if not each.out]
        self.idle = {}

    def send_best(self, found: list[Destination]) -> None:
        heap: list[tuple[Rank, Message, Destination]] = []
        aside: list[Message] = []  # may go to one zone or endpoint alone, which takes nothing now
        batches: dict[str, Call] = {}
        for at in found:
            self.push_best(heap, at)
        while heap:
            self.looks += 1
            _, message, at = heapq.heappop(heap)
            if not self.may_send_again(message):
                self.end(message)
            elif not self.in_turn(message):
                at.leave(message)  # its key rests after all; `quiet` brings it back
            elif endpoint := self.choose(message, batches):
                self.send(message, endpoint, batches)
            elif message.risky_zone or message.pinned:
                at.leave(message)
                aside.append(message)
            elif len(self.out) < self.settings.slots:
                self.shut(at)
                continue
            else:
                continue  # only a slot is missing: it stays open
            if len(self.out) >= self.settings.slots and not self.batches:
                break
            self.push_best(heap, at)
        for message in aside:
            self.destinations[message.destination].queue(message, self.settings.halves)

    def push_best(self, heap: list[tuple[Rank, Message, Destination]], at: Destination) -> None:
        if best := at.best(int(self.now)):
            heapq.heappush(heap, (*best, at))

    def leave_grew(self, number: int) -> None:
        """A part of a budget has grown; the next turn looks at its destination."""
        if number in self.destinations:
            self.open[number] = None

    def wait_told(self, endpoint: str, until: int) -> None:
        """Rule: waits. It binds calls that are about to go before their turn of events comes."""
        told = {call.breaker for call in self.out if call.endpoint.listed.id == endpoint}
        if known := self.endpoints.get(endpoint):  # else it drains or has gone, and its destination waits on
            self.arouse(known.listed.destination)
            assert known.breaker is not None
            told.add(known.breaker)
        for breaker in told:
            breaker.wait_until = max(breaker.wait_until, until)

    def may_still_go(self, endpoint: str, now: int, message: str = "") -> bool:
        """Rules: drains, waits and the time for which a repeat does no harm, asked again as a call's first
        byte goes: its connection took a while."""
        known, sent = self.endpoints.get(endpoint), self.messages.get(message)
        if known is None or (known.breaker and known.breaker.wait_until > now):
            return False
        return sent is None or self.may_repeat_at(now, sent, sent.risky_since)

    def avoids(self, endpoint: str, now: int) -> bool:
        """Whether nothing new goes there: it is not ready, its breaker is open, or it is marked bad."""
        known = self.endpoints.get(endpoint)
        opened = known is not None and known.breaker is not None and known.breaker.is_open()
        return known is None or opened or known.bad_until > now

    def choose(self, message: Message, batches: dict[str, Call]) -> Endpoint | None:
        options: list[tuple[tuple[float, ...], int, Endpoint]] = []
        weighted = self.destinations[message.destination].weighted
        pinned = self.holds_pin(message)
        for endpoint in self.destinations[message.destination].endpoints:
            listed = endpoint.listed
            if pinned and listed.id != message.pinned:
                continue
            if message.kind.window_by_zone and message.risky_zone not in ("", listed.zone):
                continue  # rule: no effect twice; only that zone drops the repeat
            assert endpoint.breaker is not None
            joins = self.may_join(batches.get(listed.id), listed)
            if not (joins or self.may_call(endpoint.breaker)):
                continue
            if self.leave and not joins and self.leave.free_at(listed, int(self.now)) > self.now:
                continue
            options.append((self.rank(endpoint, joins, weighted), len(options), endpoint))
        return min(options)[-1] if options else None

    def rank(self, endpoint: Endpoint, joins: bool, weighted: bool) -> tuple[float, ...]:
        """The lowest goes first. Guards the cheapest of several routes apart from a crowd, which uses up its
        limit and is refused: there a route's turn comes by its rate times the time that it rested."""
        listed, apart = endpoint.listed, self.kinds[endpoint.listed.kind].apart
        bad, load = max(endpoint.bad_until, self.now), endpoint.turns if weighted else endpoint.out
        if apart and self.pace.crowd > 1:
            return bad, not joins, load, (endpoint.last_sent - self.now) * listed.scale
        fee, away = self.fees.get(listed.zone, 0.0) if apart else 0.0, listed.zone != self.settings.zone
        return bad, fee, not joins, load, away, endpoint.last_sent

    def holds_pin(self, message: Message) -> bool:
        """A pin binds while its endpoint is there, and not against the rule on repeats."""
        known = self.endpoints.get(message.pinned) if message.pinned else None
        if known is None or known.listed.destination != message.destination:
            return False
        return not message.kind.window_by_zone or message.risky_zone in ("", known.listed.zone)

    def may_join(self, call: Call | None, listed: face.Endpoint) -> bool:
        if call is None or call.breaker.trial is call:
            return False
        return len(call.messages) < self.kinds[listed.kind].batch

    def may_call(self, breaker: Breaker) -> bool:
        if len(self.out) >= self.settings.slots or breaker.ready_at(int(self.now)) > self.now:
            return False
        if self.now + breaker.patience() > self.stops_at:
            return False  # it might be out when the process ends, and then may have run
        return breaker.out < max(2, self.settings.slots * DESTINATION_SLOTS)

    def send(self, message: Message, endpoint: Endpoint, batches: dict[str, Call]) -> None:
        call, breaker = batches.get(name := endpoint.listed.id), endpoint.breaker
        assert breaker is not None
        if call is None or not self.may_join(call, endpoint.listed):
            call = batches[name] = Call(breaker, endpoint, int(self.now), next(self.count))
            if self.leave:
                self.leave.reserve(endpoint.listed, message.id)
            endpoint.turns += 1 / endpoint.listed.weight
            breaker.last_sent = endpoint.last_sent = self.now
            if breaker.is_open():
                breaker.trial = call
        self.begin(call, message, message.attempts)
        self.actions.append(face.Send(message.id, name, message.until - int(self.now), message.attempts))
        message.attempts += 1

    def begin(self, call: Call, message: Message, attempt: int) -> None:
        """From now on the message is out with this call."""
        if call not in self.out:
            self.out[call] = call.breaker.fresh[call] = None
            call.breaker.out += 1
            call.endpoint.out += 1
            self.touch(call.breaker)
        call.messages[message.id] = message
        self.calls[message.id, attempt] = call
        message.out = True
        self.destinations[message.destination].release(message)

    # Room, age, and when to look again.

    def prospect(self, message: Message, at: Destination, turns: int) -> tuple[float, int, Message]:
        """Worth when its turn comes, behind `turns` others of its key; of equal ones the first held goes.
        Guards new messages against a room full of what cannot go soon."""
        kind = message.kind
        then = max(at.ready_at(int(self.now)), self.now) + kind.aim * (0.5 + turns * CALL_SHARE)
        value = worth(kind, message.share, then - message.born, self.settings.halves)
        return value, message.number, message

    def keep_room(self) -> None:
        """Ends the least promising of what is held where no room is left for one more. Their order is made
        anew only now and then: a walk over all that is held costs so much of a core at the most."""
        excess = len(self.messages) - self.settings.max_open + 1
        if self.now >= self.room_until:
            self.room = []
            if excess > 0:
                self.order_room()
        while excess > 0 and self.room:
            message = self.room.pop(0)[-1]
            if self.is_held(message) and self.may_refuse(message):
                self.end(message)
                excess -= 1

    def order_room(self) -> None:
        places: dict[str, int] = {}
        for line in self.keys.values():
            places |= {name: place for place, name in enumerate(line.queue)}
        self.looks += len(self.messages) + len(places)
        self.room = sorted(
            self.prospect(each, self.destinations[each.destination], places.get(each.id, 0))
            for each in self.messages.values()
            if self.is_held(each) and self.may_refuse(each)
        )
        self.room_until = self.now + max(PROSPECT_AGE * len(self.messages), 1)

    def age_out(self) -> None:
        """Guards a process that lasts from what past destinations leave behind, and quiet ones from being
        judged by old figures."""
        for number in self.ages.due(self.now):
            self.looks += 1
            if (at := self.destinations.get(number)) is None or at.own is None:
                continue
            self.looks += len(at.own)
            for key, each in list(at.own.items()):
                if each not in at.breakers and self.is_unused(each, IDLE_AGE):
                    self.forget(at, key)
            if at.held or not all(self.is_unused(each, QUIET_AGE) for each in at.own.values()):
                self.ages.set(number, self.now + IDLE_AGE)
            else:
                self.fall_asleep(at)

    def is_unused(self, breaker: Breaker, age: int) -> bool:
        return not breaker.out and max(breaker.last_sent, breaker.wait_until) + age <= self.now

    def forget(self, at: Destination, key: str) -> None:
        """A breaker that was not used for so long; when that was is all that is kept of it."""
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

    def set_wake(self) -> None:
        if self.list_calls.is_due(self.now):
            self.actions.append(face.Subscribe())
        self.set_overdue()
        due = [self.list_calls.at, self.overdue.next(), self.freed.next()]
        due += [each[0] - self.settings.tick for each in self.deadlines[:1]]
        due += [each[0] for each in self.quiet[:1]]
        at = min((each for each in due if each > self.now), default=NEVER)
        if at < self.wake_at or self.wake_at <= self.now < at < NEVER:
            self.wake_at = at
            self.actions.append(face.WakeAfter(max(math.ceil(at - self.now), self.settings.tick)))
