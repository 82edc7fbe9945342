"""The calls in flight: what their results say of their destinations, and which of them take too long."""

from itertools import takewhile

from message_sender.policy.actions import CancelAttempt, CloseIdle
from message_sender.policy.breaker import RESET_TIMEOUT_US, ActiveCall, PendingMessage, TrackedEndpoint
from message_sender.policy.endpoints import EndpointRegistry
from message_sender.policy.events import AttemptEnded
from message_sender.policy.model import FAILURES, Outcome
from message_sender.policy.pending import PendingQueue
from message_sender.policy.schedule import LoopState

SCARCE_IDLE_TIMES = 3  # idle times for which a crowd closes its connections after use where they are scarce
GONE_RESET_TIMEOUTS = 4  # reset timeouts for which one that may be gone comes last; the list tells of it meanwhile
SCARCITY_WINDOW_US = 1_000_000  # us from a refused connect to a served call: an outage's refusals last for longer


class InFlightCalls:
    def __init__(self, loop: LoopState, registry: EndpointRegistry, pending: PendingQueue) -> None:
        self.loop, self.settings, self.registry, self.pending = loop, loop.settings, registry, pending
        self.calls: dict[tuple[str, int], ActiveCall] = {}
        self.idle: dict[str, TrackedEndpoint] = {}  # with a call just ended
        self.out: dict[ActiveCall, None] = {}  # distinct calls, oldest first
        self.stuck: dict[ActiveCall, None] = {}  # of these, the overdue ones

    def begin(self, call: ActiveCall, message: PendingMessage, attempt: int) -> None:
        """From now on the message is out with this call."""
        if call not in self.out:
            self.out[call] = call.breaker.fresh[call] = None
            call.breaker.out += 1
            call.endpoint.out += 1
            self.registry.touch(call.breaker)
        call.messages[message.id] = message
        self.calls[message.id, attempt] = call
        message.out = True
        self.registry.destinations[message.destination].release(message)

    def settle(self, call: ActiveCall, ended: AttemptEnded) -> None:
        """The first result of a call speaks for all its messages."""
        breaker, endpoint, now = call.breaker, call.endpoint, int(self.loop.now)
        self.registry.touch(breaker)
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
            if now - endpoint.refused_at < SCARCITY_WINDOW_US:
                endpoint.scarce_until = now + SCARCE_IDLE_TIMES * self.settings.conn_idle
        elif ended.outcome is Outcome.FULL:
            breaker.refused(now, call, ended.wait)
        elif self.speaks(call, ended.outcome):
            alone = ended.outcome is Outcome.CONNECT_FAILED and self.is_alone(call)
            endpoint.bad_until = now + RESET_TIMEOUT_US * (GONE_RESET_TIMEOUTS if alone else 1)
            if not alone:
                breaker.failed(now, ended.outcome)
        elif call is breaker.trial:
            breaker.trial = None

    def speaks(self, call: ActiveCall, outcome: Outcome) -> bool:
        """Whether this result counts against the destination, and has not before. A timeout that is not
        overdue came from a message with little time left, and does not. In a large fleet, whose members see
        few calls, each counts: a returning destination is not to be overloaded."""
        if outcome not in FAILURES or call.overdue:
            return False
        return outcome is not Outcome.TIMEOUT or call is call.breaker.trial or self.loop.pace.crowd > 1

    def is_alone(self, call: ActiveCall) -> bool:
        """Whether a refused connect counts against its endpoint alone, as another one is not known to be bad:
        a large fleet, whose list may be old, must not hold back what that one would accept."""
        if self.loop.pace.crowd <= 1 or call is call.breaker.trial:
            return False
        at = self.registry.destinations[call.breaker.destination]
        others = [each for each in at.endpoints if each.breaker is call.breaker and each is not call.endpoint]
        return any(each.bad_until <= self.loop.now for each in others)

    def find_overdue(self) -> None:
        """Count calls that are far too slow as failures at once, and cancel hopeless ones. With no slot free
        the oldest far overdue one is cancelled, harmless ones first; this may lose a heavy message. Where
        later calls were served the call or its connection counts as lost, and what may be repeated is."""
        changed, now = self.registry.set_overdue(), self.loop.now
        late: list[ActiveCall] = []
        for breaker in self.registry.overdue.due(now):
            self.registry.touch(breaker)
            patience = breaker.patience()
            late += takewhile(lambda call, p=patience: now >= call.sent + p, breaker.fresh)  # type: ignore[misc]
        for call in sorted(late, key=lambda each: each.number):
            self.is_overdue(call)
        if not self.settings.may_cancel:
            return
        changed |= self.registry.set_overdue()
        short = len(self.out) >= self.settings.slots
        # Nothing else can have become hopeless; but where slots are short, time alone tells.
        stuck = self.stuck if short else [call for breaker in changed for call in breaker.stuck]
        for call in sorted(stuck, key=lambda each: (each.risks(), each.number)):
            self.loop.looks += 1
            if not call.called_off and self.is_hopeless(call, short):
                call.called_off, short = True, False
                for each in call.messages.values():
                    self.loop.actions.append(CancelAttempt(each.id, each.attempts - 1))

    def is_overdue(self, call: ActiveCall) -> None:
        self.loop.looks += 1
        call.overdue = True
        del call.breaker.fresh[call]
        call.breaker.stuck[call] = self.stuck[call] = None
        call.breaker.failed(int(self.loop.now))
        call.endpoint.bad_until = self.loop.now + RESET_TIMEOUT_US
        self.registry.touch(call.breaker)

    def is_hopeless(self, call: ActiveCall, short: bool) -> bool:
        """Whether an overdue call is cancelled."""
        lost = self.loop.now - call.sent > 1.5 * call.breaker.patience()
        alone = call.breaker.served_sent > call.sent and self.may_repeat(call)
        harmless = not call.risks() and call.breaker.is_open()
        return alone or harmless or (short and lost)

    def may_repeat(self, call: ActiveCall) -> bool:
        """Whether all its messages may go once more, though this call may have run."""
        return all(
            each.attempts < self.settings.max_attempts
            and self.pending.may_repeat_at(self.loop.now, each, call.sent)
            for each in call.messages.values()
        )

    def retry_after_received(self, endpoint: str, until: int) -> None:
        """Rule: waits are kept. This one applies to calls that go before the next loop iteration too."""
        told = {call.breaker for call in self.out if call.endpoint.listed.id == endpoint}
        if known := self.registry.endpoints.get(endpoint):  # else it drains or has gone: that one waits on
            self.registry.arouse(known.listed.destination)
            assert known.breaker is not None
            told.add(known.breaker)
        for breaker in told:
            breaker.wait_until = max(breaker.wait_until, until)

    def close_scarce(self) -> None:
        """In a large fleet, close idle connections to endpoints that accept no more of them."""
        idle, self.idle = self.idle if self.loop.pace.crowd > 1 else {}, {}
        scarce = [name for name, each in idle.items() if not each.out and self.loop.now < each.scarce_until]
        self.loop.actions += map(CloseIdle, scarce)
