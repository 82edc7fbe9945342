"""Every decision of a sender. Its types, events and actions are in elmglade/interface.py.

A circuit breaker per destination (per endpoint where routes are apart) decides the ordinary path: failures in
a row open it, messages are held, one trial after the reset timeout closes it or restarts the timeout, a gap
paces calls while closed. The rest guards the six rules or picks the held message that goes next.
"""

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Iterable

from elmglade import interface as face
from elmglade.interface import Effect, EndpointState, Listing, Outcome

FAILURE_THRESHOLD = 3  # failures in a row; a small destination would take too long to show the paper's five
RESET_TIMEOUT = 2_000_000  # us from the last failure to the trial; the design page's figure
GAP_STEP = 100_000  # us, the smallest gap: about one call's time at a destination of usual pace
TOLD_STEP = 0.5  # of the time between calls at this sender's part of the told rate: the step at the most
TOLD_MOST = 4  # times that: the gap at the most; a cold destination takes a fifth, and has its own gap
GAP_SENDERS = 4  # senders up to which the gap ends at the reset timeout; more share a limit more thinly
GAP_SHRINK = 0.15  # share of the gap that a served call takes off: five serve to undo most of a doubling
SICK_SHARE = 0.4  # recent failures among calls from which a destination is doubtful: far above stray errors
MEMORY = 0.125  # weight of the newest call in that share and in the usual time; as TCP smooths round trips
OVERDUE_SPREADS = 4  # mean deviations above the usual time from which a call is overdue; TCP's time-out rule
DESTINATION_SLOTS = 0.5  # share of the slots that calls to one destination may hold
PASSED_OVER = 0.9  # guessed chance that a message passed over now is still served one aim later
# May still be running:
UNSETTLED = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.STALE, Outcome.SPOILT, Outcome.CANCELLED})
COLD_PUSH = 0.75  # of fall_multiple: a returning destination is paced at that times its warm share
ANSWERED = frozenset({Outcome.ERROR, Outcome.SPOILT})
ERROR_WEIGHT = (
    1 / 3
)  # of a failure: an error is an answer, also a spoilt one; the paper allows a threshold for each kind
SCARCE_TIMES = 3  # idle times for which a refused connect makes a crowd close its connections after use
IDLE_AGE = 60_000_000  # us after which what stands unused is forgotten: far above any outage's length
AGE_CHECK = 5_000_000  # us between looks for that
CALL_SHARE = 1 / 8  # of the aim: guessed time of a call and its way
NEVER = math.inf


class Endpoint:
    def __init__(self, listed: face.Endpoint) -> None:
        self.listed, self.out = listed, 0
        self.bad_until, self.last_sent = 0.0, -NEVER
        self.breaker: Breaker


class Message:
    def __init__(self, taken: face.MessageTaken, kind: face.MessageClass, now: int, share: float) -> None:
        self.id, self.kind, self.destination = taken.message, kind, taken.destination
        self.key = taken.key if kind.in_order else ""
        self.until, self.born = now + taken.time_left, now + taken.time_left - kind.deadline
        self.share = share  # 1, or what is left of its worth over its tenant's share
        self.attempts, self.out, self.ended = 0, False, False
        self.risky_since: int | None = None  # sending of the first attempt that may have run
        self.risky_zone = ""


class Call:
    """One call at a destination; several messages share it where they travel as a batch."""

    def __init__(self, breaker: "Breaker", endpoint: Endpoint, now: int) -> None:
        self.breaker, self.endpoint, self.sent = breaker, endpoint, now
        self.messages: dict[str, Message] = {}
        self.settled = self.overdue = self.called_off = False  # settled: its result has been counted

    def risks(self) -> bool:
        return any(each.kind.effect is not Effect.SAFE for each in self.messages.values())


class Breaker:
    """The paper's breaker, with the gap, told waits and the warm-up after an outage."""

    def __init__(self, settings: face.Settings, chance: random.Random) -> None:
        self.settings, self.chance = settings, chance
        self.failures, self.trial_at, self.trial = 0, -NEVER, None
        self.crowd = max(settings.fleet_size / GAP_SENDERS, 1)
        self.most_gap = RESET_TIMEOUT * self.crowd
        self.step, self.gap, self.gap_changed = GAP_STEP * self.crowd, 0.0, -NEVER
        self.out, self.last_sent, self.wait_until = 0, -NEVER, 0
        self.unserved, self.sick, self.cold_since = 0, 0.0, -NEVER  # unserved: calls since the last served
        self.served_sent = -NEVER  # sending of the newest call that was served
        self.least_aim = min(each.aim for each in settings.classes)
        self.took, self.spread, self.known = self.least_aim / 4, self.least_aim / 8, 1
        self.calls, self.span, self.last_served = 0.1, RESET_TIMEOUT / 20 * self.crowd, NEVER
        self.told_gap = NEVER  # between own calls at this sender's part of the rate that the list tells

    def told_rate(self, rate: float) -> None:
        """Guards busy destinations from gaps made for small ones: both ends follow the told rate."""
        self.told_gap = 1e6 * self.settings.fleet_size / rate
        self.step = min(GAP_STEP * self.crowd, TOLD_STEP * self.told_gap)
        self.most_gap = min(RESET_TIMEOUT * self.crowd, TOLD_MOST * self.told_gap)

    def ready_at(self, now: int) -> float:
        """When the next call may go; NEVER while a trial's result decides it."""
        if self.failures >= FAILURE_THRESHOLD:
            return NEVER if self.trial else max(self.wait_until, self.trial_at)
        return max(self.wait_until, self.last_sent + max(self.gap, self.cold_gap(now)))

    def restart(self, now: int) -> None:
        """Guards a destination that is down from a crowd: a failed trial waits out the gap of a cold one."""
        timeout: float = RESET_TIMEOUT
        if self.trial and self.crowd > 1:
            self.cold_since = now
            timeout = max(timeout, self.cold_gap(now) * self.chance.uniform(0.5, 1.5))
        self.trial, self.trial_at = None, now + timeout

    def cold_gap(self, now: int) -> float:
        """Rule: a returning destination is not pushed over. Own usual rate times the share that is warm; a
        sender that was started again knows no usual rate, only its part of the told one."""
        if (warm := (now - self.cold_since) / self.settings.cold) >= 1:
            return 0.0
        share = self.settings.cold_from + (1 - self.settings.cold_from) * max(warm, 0.0)
        push = self.settings.fall_multiple * COLD_PUSH * share
        return min(min(self.span / self.calls, self.told_gap) / push, 2 * self.most_gap)

    def overdue_at(self, call: Call) -> float:
        return call.sent + self.patience()

    def patience(self) -> float:
        """How long a call may take before it is overdue."""
        return max(self.took + OVERDUE_SPREADS * self.spread, self.least_aim / 4)

    def failed(self, now: int, weight: float = 1, run: float = FAILURE_THRESHOLD) -> None:
        self.failures += weight
        self.restart(now)
        self.sick += (1 - self.sick) * MEMORY
        self.doubt(now, run)

    def refused(self, now: int, call: Call) -> None:
        if call is self.trial:
            self.restart(now)
        if call.sent >= self.gap_changed:  # calls sent before the gap last grew say nothing of it
            self.gap, self.gap_changed = min(max(2 * self.gap, self.step), self.most_gap), now
            self.doubt(now, max(FAILURE_THRESHOLD / self.crowd, 2))
            late = self.chance.uniform(0, 2 * self.gap) * (1 - 1 / self.crowd)  # told alike, back apart
            self.wait_until = max(self.wait_until, now) + math.ceil(late)

    def doubt(self, now: int, run: float) -> None:
        """What may be an outage restarts the warm-up: a run of unserved calls, or many failures of late."""
        self.unserved += 1
        if self.unserved >= run or self.sick >= SICK_SHARE:
            self.cold_since = now

    def served(self, now: int, call: Call) -> None:
        took = now - call.sent
        self.served_sent = max(self.served_sent, call.sent)
        self.known += 1
        weight = max(MEMORY, 1 / self.known)  # the first guess counts as one call
        self.spread += (abs(took - self.took) - self.spread) * weight
        self.took += (took - self.took) * weight
        passed = now - self.last_served
        if self.unserved == 0 and self.cold_gap(now) == 0 and passed >= 0:
            fade = math.exp(-passed / self.settings.cold)
            self.calls, self.span = self.calls * fade + 1, self.span * fade + passed
        self.last_served = now
        self.gap = max(self.gap, self.step if self.failures >= FAILURE_THRESHOLD else 0) * (1 - GAP_SHRINK)
        self.gap *= self.gap >= self.step / 2
        self.failures, self.unserved, self.trial = 0, 0, None
        self.sick *= 1 - MEMORY


class KeyLine:
    """Rule: messages of one key go one at a time, as taken, and rest after an attempt left unsettled."""

    def __init__(self) -> None:
        self.queue: list[Message] = []
        self.quiet_until = 0


class Dispatcher:
    def __init__(self, settings: face.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {each.name: each for each in settings.classes}
        self.kinds = defaultdict(face.Kind, settings.kinds)
        self.fees = dict(settings.zone_fees)
        self.quotas = {name: rate / settings.fleet_size for name, rate in settings.tenants if rate > 0}
        self.credit, self.credited = dict(self.quotas), 0  # one second's share may be saved up
        self.endpoints: dict[str, Endpoint] = {}
        self.by_destination: dict[int, list[Endpoint]] = {}
        self.breakers: dict[tuple[int, str], Breaker] = {}
        self.breakers_at: dict[int, list[Breaker]] = {}  # of the endpoints that are listed
        self.batches = any(kind.batch > 1 for _, kind in settings.kinds)
        self.messages: dict[str, Message] = {}
        self.waiting: dict[int, dict[str, Message]] = {}
        self.unanswered: dict[str, Message] = {}  # ended, but not over yet
        self.keys: dict[str, KeyLine] = {}
        self.calls: dict[tuple[str, int], Call] = {}
        self.idle: dict[str, Endpoint] = {}  # with a call just ended
        self.scarce_until = 0  # connects were refused of late
        self.out: dict[Call, None] = {}  # distinct calls, oldest first
        self.deadlines: list[tuple[float, int, Message]] = []  # a heap: when a message may have to end
        self.quiet: list[tuple[int, str]] = []  # a heap: when a key has rested
        self.now, self.wake_at, self.count = -NEVER, NEVER, itertools.count()
        self.stops_at, self.aged = NEVER, -NEVER
        self.subscribe_at, self.subscribe_tries = (-NEVER if settings.must_ask else NEVER), 0
        self.actions: list[face.Action] = []

    def handle(self, now_us: int, events: Iterable[face.Event]) -> list[face.Action]:
        if now_us < self.now:
            raise ValueError(f"the clock went back from {self.now} to {now_us}")
        self.now, self.actions = now_us, []
        for event in events:
            match event:
                case face.MessageTaken():
                    self.take(event)
                case face.MessageRestored():
                    self.restore(event)
                case face.AttemptEnded():
                    self.attempt_ended(event)
                case face.EndpointsListed():
                    self.list_endpoints(event)
                case face.MessageWithdrawn(message) if message in self.messages:
                    self.finish(self.messages[message])
                case face.EndAnswered(message) if message in self.unanswered:
                    self.finish(self.unanswered.pop(message))
                case face.Stopping(left):
                    self.stops_at = now_us + left
        self.find_overdue()
        self.end_due()
        self.send_next()
        self.keep_room()
        self.age_out()
        self.set_wake()
        return self.actions

    # What happened.

    def take(self, taken: face.MessageTaken) -> None:
        if taken.message_class not in self.classes:
            raise ValueError(f"unknown class {taken.message_class}")
        if taken.message in self.messages:
            raise ValueError(f"message {taken.message} was taken before")
        share = self.within_share(taken.tenant)
        message = Message(taken, self.classes[taken.message_class], self.now, share)
        self.messages[message.id] = message
        self.waiting.setdefault(message.destination, {})[message.id] = message
        heapq.heappush(self.deadlines, (message.until, next(self.count), message))
        if message.key:
            self.keys.setdefault(message.key, KeyLine()).queue.append(message)

    def restore(self, kept: face.MessageRestored) -> None:
        """Rules: a call that was out at the end may have run, and may still; its key rests."""
        self.take(kept.taken)
        message = self.messages[kept.taken.message]
        message.attempts, message.risky_since = kept.attempts, kept.risky_since
        message.risky_zone = kept.risky_zone
        self.rest(message.key)
        self.watch_window(message)
        if not self.may_send_again(message):
            self.end(message)
        for name, outcome in kept.outcomes:
            endpoint = self.endpoints.get(name)
            # Guards a destination that came back meanwhile, cold. What is called off was far overdue.
            if endpoint and (outcome in face.FAILURES or outcome is Outcome.CANCELLED):
                breaker = endpoint.breaker
                self.count_failure(breaker, outcome)
                breaker.trial_at = self.now

    def count_failure(self, breaker: Breaker, outcome: Outcome) -> None:
        weight = ERROR_WEIGHT if outcome in ANSWERED else 1
        breaker.failed(self.now, weight, max(FAILURE_THRESHOLD / breaker.crowd, 2))

    def within_share(self, tenant: str) -> float:
        passed = (self.now - self.credited) / 1e6
        self.credited = self.now
        for name, rate in self.quotas.items():
            self.credit[name] = min(self.credit[name] + rate * passed, max(rate, 1.0))
        if tenant not in self.credit:
            return 1.0  # no share is told; nothing is kept by a name that any client may make up
        within = self.credit[tenant] >= 1
        self.credit[tenant] -= within
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
            self.waiting.setdefault(message.destination, {})[message.id] = message
            self.watch_window(message)

    def rest(self, key: str) -> None:
        if line := self.keys.get(key):
            line.quiet_until = self.now + self.settings.key_quiet
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
        breaker, endpoint = call.breaker, call.endpoint
        if ended.wait:  # rule: told waits are heeded, from each answer that tells one
            breaker.wait_until = max(breaker.wait_until, self.now + ended.wait)
        if not call.messages:
            breaker.out -= 1
            endpoint.out -= 1
            self.idle[endpoint.listed.id] = endpoint
            if ended.outcome is Outcome.CONNECT_FAILED and not call.overdue:
                self.scarce_until = self.now + SCARCE_TIMES * self.settings.conn_idle
            del self.out[call]
        if call.settled:
            return  # a batch has one fate
        call.settled = True
        if ended.outcome is Outcome.OK:
            breaker.served(self.now, call)
            endpoint.bad_until = 0.0
        elif ended.outcome is Outcome.FULL:
            breaker.refused(self.now, call)
        elif ended.outcome in face.FAILURES and not call.overdue:
            self.count_failure(breaker, ended.outcome)
            endpoint.bad_until = self.now + RESET_TIMEOUT
        elif call is breaker.trial:
            breaker.trial = None

    def list_endpoints(self, listed: face.EndpointsListed) -> None:
        """Rule: drains are kept, from the moment they are told: only ready endpoints are known here."""
        if listed.listing is Listing.FAILED:
            self.subscribe_tries += 1
            span = min(self.settings.ask_within, RESET_TIMEOUT * 2**self.subscribe_tries) / 4
            self.subscribe_at = self.now + span * self.random.uniform(0.5, 1)
            return
        self.subscribe_tries, known = 0, self.endpoints
        if listed.listing is not Listing.CHANGES:
            self.endpoints, self.by_destination, self.breakers_at = {}, {}, {}
        touched = {}  # destinations, in the order in which they were named
        for each in listed.endpoints:
            endpoint = known.get(each.id) or self.endpoints.get(each.id) or Endpoint(each)
            if endpoint.listed.destination != each.destination and each.id in self.endpoints:
                self.unlist(endpoint)
                touched[endpoint.listed.destination] = None
            touched[each.destination] = None
            endpoint.listed = each
            if each.state is not EndpointState.READY:
                self.unlist(endpoint)
            elif each.id not in self.endpoints:
                self.endpoints[each.id] = endpoint
                self.by_destination.setdefault(each.destination, []).append(endpoint)
        for destination in touched:
            self.relist(destination)

    def unlist(self, endpoint: Endpoint) -> None:
        if self.endpoints.pop(endpoint.listed.id, None):
            self.by_destination[endpoint.listed.destination].remove(endpoint)

    def relist(self, destination: int) -> None:
        """What follows from a destination's endpoints; the others cost nothing."""
        self.breakers_at.pop(destination, None)
        if not self.by_destination.get(destination):
            self.by_destination.pop(destination, None)
            return
        at = self.breakers_at[destination] = []
        for endpoint in self.by_destination[destination]:
            endpoint.breaker = breaker = self.breaker_of(endpoint)
            if self.settings.rates_told and endpoint.listed.scale > 0:
                breaker.told_rate(endpoint.listed.scale)
            if breaker not in at:
                at.append(breaker)

    def find_overdue(self) -> None:
        """Guards against hangs, silence and slowness: a call far too slow counts as a failure at once; with
        no slot free the oldest far overdue is called off, harmless first. May lose a heavy message. Where
        calls sent later have been served, it is not the destination that is slow: the call or its
        connection is lost, and what may be sent again is called off and sent again."""
        for call in [each for each in self.out if not (each.overdue or each.settled)]:
            if self.now >= call.breaker.overdue_at(call):
                call.overdue = True
                call.breaker.failed(self.now)
                call.endpoint.bad_until = self.now + RESET_TIMEOUT
        short = len(self.out) >= self.settings.slots
        stuck = [each for each in self.out if each.overdue and not each.called_off]
        for call in sorted(stuck, key=Call.risks) if self.settings.may_cancel else ():
            lost = self.now - call.sent > 1.5 * (call.breaker.overdue_at(call) - call.sent)
            alone = call.breaker.served_sent > call.sent and self.may_repeat(call)
            harmless = not call.risks() and call.breaker.failures >= FAILURE_THRESHOLD
            if alone or harmless or (short and lost):
                call.called_off, short = True, False
                self.actions += [face.CancelAttempt(x.id, x.attempts - 1) for x in call.messages.values()]

    def may_repeat(self, call: Call) -> bool:
        """Whether all its messages may go once more, though this call may have run."""
        return all(
            each.attempts < self.settings.max_attempts
            and (
                each.kind.effect is Effect.SAFE
                or (each.kind.effect is Effect.KEYED and self.now < self.repeat_until(each, call.sent))
            )
            for each in call.messages.values()
        )

    # The rules: what a message may still do, and its one final answer.

    def may_send_again(self, message: Message) -> bool:
        """Rule: no effect twice."""
        if message.attempts >= self.settings.max_attempts:
            return False
        if message.risky_since is None or message.kind.effect is Effect.SAFE:
            return True
        until = self.repeat_until(message, message.risky_since)
        return message.kind.effect is Effect.KEYED and self.now < until

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
            self.waiting.get(message.destination, {}).pop(message.id, None)
        if message.id in self.unanswered:
            return  # rule: order; nothing for its key goes before its notice is answered
        if (line := self.keys.get(message.key)) and not message.out and message in line.queue:
            line.queue.remove(message)
            if not line.queue and line.quiet_until <= self.now:
                del self.keys[message.key]

    def end_due(self) -> None:
        """Rule: no message is lost. Held ones are ended a tick ahead of their time, or when no more attempt
        is allowed them; one that is out is looked at again when its attempt ends."""
        soon = self.now + self.settings.tick
        while self.deadlines and self.deadlines[0][0] <= soon:
            message = heapq.heappop(self.deadlines)[2]
            over = message.until <= soon or not self.may_send_again(message)
            if over and not message.ended and not message.out:
                self.end(message)

    def in_turn(self, message: Message) -> bool:
        """Rule: order per key. A message's own further attempts need no rest."""
        row = self.keys.get(message.key)
        return not row or (row.queue[0] is message and (message.attempts > 0 or self.now >= row.quiet_until))

    # Preferences: which message goes next, and where.

    def worth(self, message: Message, at: float) -> float:
        kind, late = message.kind, max(at - message.born - message.kind.aim, 0)
        even = 1 - (1 - kind.late_worth) * late / max(kind.deadline - kind.aim, 1)
        left = max(0.5 ** (late / kind.aim), kind.late_worth) if self.settings.halves else even
        return kind.worth * message.share * left if at < message.until else 0.0

    def urgency(self, message: Message) -> float:
        """What is lost by passing the message over now."""
        return self.worth(message, self.now) - PASSED_OVER * self.worth(message, self.now + message.kind.aim)

    def prospect(self, message: Message, ready_at: float) -> float:
        """Worth when its turn comes; guards new messages against a room full of what cannot go soon."""
        turns = self.keys[message.key].queue.index(message) if message.key else 0
        at = max(ready_at, self.now)
        return self.worth(message, at + message.kind.aim * (0.5 + turns * CALL_SHARE))

    def keep_room(self) -> None:
        if (excess := len(self.messages) - self.settings.max_open + 1) <= 0:
            return
        held = []
        for destination, line in self.waiting.items():
            ready_at = self.ready_at(destination)
            held += [(self.prospect(x, ready_at), len(held), x) for x in line.values() if self.may_refuse(x)]
        for _, _, message in heapq.nsmallest(excess, held, key=lambda each: each[0]):
            self.end(message)

    def breaker_of(self, endpoint: Endpoint) -> Breaker:
        listed = endpoint.listed
        key = (listed.destination, listed.id if self.kinds[listed.kind].apart else "")
        if key not in self.breakers:
            self.breakers[key] = Breaker(self.settings, self.random)
        return self.breakers[key]

    def ready_at(self, destination: int) -> float:
        at = self.breakers_at.get(destination, ())
        return min((each.ready_at(self.now) for each in at), default=NEVER)

    def send_next(self) -> None:
        """The one ordered pass: what goes next, over all destinations."""
        ready = []
        for destination, held in self.waiting.items() if len(self.out) < self.settings.slots else ():
            if held and any(map(self.may_call, self.breakers_at.get(destination, ()))):
                ready += [each for each in held.values() if self.in_turn(each)]
        if len(ready) > 1:
            ready.sort(key=lambda each: (-self.urgency(each), each.born))
        batches: dict[str, Call] = {}
        shut = set()  # destinations that take no more in this pass
        for message in ready:
            if message.destination in shut:
                continue
            if not self.may_send_again(message):
                self.end(message)
            elif endpoint := self.choose(message, batches):
                self.send(message, endpoint, batches)
            elif not message.risky_zone:
                shut.add(message.destination)
            if len(self.out) >= self.settings.slots and not self.batches:
                break
        # Guards against a crowd's idle connections that fill what endpoints accept.
        if self.settings.fleet_size > GAP_SENDERS and self.now < self.scarce_until:
            self.actions += [face.CloseIdle(name) for name, each in self.idle.items() if not each.out]
        self.idle = {}

    def wait_told(self, endpoint: str, until: int) -> None:
        """Rule: waits. It binds calls that are about to go before their turn of events comes."""
        told = {call.breaker for call in self.out if call.endpoint.listed.id == endpoint}
        if known := self.endpoints.get(endpoint):  # else it drains or has gone, and its destination waits on
            told.add(known.breaker)
        for breaker in told:
            breaker.wait_until = max(breaker.wait_until, until)

    def may_still_go(self, endpoint: str, now: int) -> bool:
        """Rules: drains and waits, asked again as a call's first byte goes: its connection took a while."""
        known = self.endpoints.get(endpoint)
        return known is not None and known.breaker.wait_until <= now

    def choose(self, message: Message, batches: dict[str, Call]) -> Endpoint | None:
        options = []
        for endpoint in self.by_destination.get(message.destination, ()):
            if message.kind.window_by_zone and message.risky_zone not in ("", endpoint.listed.zone):
                continue  # rule: no effect twice; only that zone drops the repeat
            breaker, listed = endpoint.breaker, endpoint.listed
            joins = self.may_join(batches.get(listed.id), listed)
            if not (joins or self.may_call(breaker)):
                continue
            fee = self.fees.get(listed.zone, 0.0) if self.kinds[listed.kind].apart else 0.0
            bad, away = max(endpoint.bad_until, self.now), listed.zone != self.settings.zone
            rank = (bad, fee, not joins, endpoint.out, away, endpoint.last_sent)
            options.append((rank, len(options), endpoint))
        return min(options)[-1] if options else None

    def may_join(self, call: Call | None, listed: face.Endpoint) -> bool:
        open_for_more = call and call.breaker.trial is not call
        return bool(open_for_more) and len(call.messages) < self.kinds[listed.kind].batch

    def may_call(self, breaker: Breaker) -> bool:
        if len(self.out) >= self.settings.slots or breaker.ready_at(self.now) > self.now:
            return False
        if self.now + breaker.patience() > self.stops_at:
            return False  # it might be out when the process ends, and then may have run
        return breaker.out < max(2, self.settings.slots * DESTINATION_SLOTS)

    def send(self, message: Message, endpoint: Endpoint, batches: dict[str, Call]) -> None:
        call = batches.get(name := endpoint.listed.id)
        breaker = endpoint.breaker
        if not self.may_join(call, endpoint.listed):
            call = batches[name] = Call(breaker, endpoint, self.now)
            self.out[call] = None
            breaker.out += 1
            endpoint.out += 1
            breaker.last_sent = endpoint.last_sent = self.now
            if breaker.failures >= FAILURE_THRESHOLD:
                breaker.trial = call
        call.messages[message.id] = message
        self.calls[message.id, message.attempts] = call
        self.actions.append(face.Send(message.id, name, message.until - self.now, message.attempts))
        message.attempts += 1
        message.out = True
        del self.waiting[message.destination][message.id]

    def age_out(self) -> None:
        """Guards a process that lasts from what past keys, routes and destinations leave behind."""
        while self.quiet and self.quiet[0][0] <= self.now:
            key = heapq.heappop(self.quiet)[1]
            if (line := self.keys.get(key)) and not line.queue and line.quiet_until <= self.now:
                del self.keys[key]
        if self.now < self.aged + AGE_CHECK:
            return
        self.aged = self.now
        self.waiting = {name: held for name, held in self.waiting.items() if held}
        listed = {breaker for at in self.breakers_at.values() for breaker in at}
        for key, each in list(self.breakers.items()):
            unused = not each.out and max(each.last_sent, each.wait_until) + IDLE_AGE <= self.now
            if unused and each not in listed:
                del self.breakers[key]

    def set_wake(self) -> None:
        if self.subscribe_at <= self.now:
            self.subscribe_at = NEVER
            self.actions.append(face.Subscribe())
        due = [self.subscribe_at, *(each[0] - self.settings.tick for each in self.deadlines[:1])]
        due += [each[0] for each in self.quiet[:1]]
        due += [call.breaker.overdue_at(call) for call in self.out if not call.overdue]
        due += [self.ready_at(destination) for destination, held in self.waiting.items() if held]
        at = min((each for each in due if each > self.now), default=NEVER)
        if at < self.wake_at or self.wake_at <= self.now < at < NEVER:
            self.wake_at = at
            self.actions.append(face.WakeAfter(max(math.ceil(at - self.now), self.settings.tick)))
