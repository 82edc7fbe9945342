"""Records what happens in a simulated fleet: its history, its figures and the failures that senders saw."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from message_sender.core.ports import Completion
from message_sender.emulator.arrivals import ClientMessage
from message_sender.emulator.figures import Figures
from message_sender.emulator.fleet_checks import ObservedFailure, destination_of
from message_sender.emulator.scenario import Scenario
from message_sender.emulator.wall_clock import SECOND_US
from message_sender.policy.model import Outcome
from message_sender.testbed import history as seen
from message_sender.testbed.history import EffectApplied, History

ATTEMPTS_PER_SUBMISSION = 3  # distance between the random draws of two submissions of one message


@dataclass(frozen=True, slots=True)
class RecordedCompletion:
    """The last completion of a message, with the sender and incarnation that notified it."""

    state: str
    sender: str
    incarnation: int


class FleetRecorder:
    """Collects the results of one run."""

    def __init__(self, scenario: Scenario, time: Callable[[], float]) -> None:
        """Starts with empty records.

        Args:
            scenario: The scenario that runs.
            time: The virtual clock, in seconds.
        """
        self.scenario = scenario
        self.time = time
        self.history = History(time)
        self.figures = Figures()
        self.failures: list[ObservedFailure] = []
        self.open_messages: dict[int, ClientMessage] = {}  # until `EXPIRY_DELAY_S` after their deadlines
        self.attempt_counts: Counter[str] = Counter()  # by message id, over all senders
        self.answered: set[int] = set()
        self.delivered: set[int] = set()
        self.finished_calls: set[int] = set()
        self.completions: dict[str, RecordedCompletion] = {}

    def message_offered(self, message: ClientMessage) -> None:
        """Records that a client begins to submit a message."""
        weight = self.scenario.classes[message.message_class].worth
        self.open_messages[message.number] = message
        self.figures.offered += 1
        self.figures.asked += weight
        self.figures.second(self.time()).offered += 1
        self.figures.tenants.setdefault(message.tenant, [0.0, 0.0])[0] += weight

    def message_expired(self, number: int) -> None:
        """Drops a message to which no client or sender can refer any more."""
        del self.open_messages[number]
        self.figures.unanswered += number not in self.answered
        self.answered.discard(number)
        self.delivered.discard(number)

    def call_finished(
        self, has_effect: bool, message: ClientMessage, call: int, effect: EffectApplied, wait_s: float
    ) -> None:
        """Records that a call ends at its endpoint, possibly after its sender has abandoned it.

        Args:
            has_effect: Whether the receiver executed the message.
            message: The message.
            call: Number of the call in the history.
            effect: What the sender can know of the execution.
            wait_s: The Retry-After that the endpoint announced; 0 for none.
        """
        if call not in self.finished_calls:
            self.finished_calls.add(call)
            self.history.record_end(call, effect, wait_s)
        if has_effect:
            self.effect_applied(message)

    def call_abandoned(self, call: int) -> None:
        """Records that a sender abandons a call, whose effect is unknown to that sender."""
        if call not in self.finished_calls:
            self.finished_calls.add(call)
            self.history.record_end(call, EffectApplied.MAYBE)

    def effect_applied(self, message: ClientMessage) -> None:
        """Records that a receiver executes a message; only the first execution counts as its delivery."""
        if message.number in self.delivered or message.number not in self.open_messages:
            self.figures.twice += 1
            return
        self.delivered.add(message.number)
        self._record_delivery(message)

    def _record_delivery(self, message: ClientMessage) -> None:
        kind = self.scenario.classes[message.message_class]
        latency_s = self.time() - message.at
        lateness = max(latency_s - kind.aim_s, 0.0) / max(kind.deadline_s - kind.aim_s, 1e-9)
        weight = kind.worth * (1 - (1 - kind.late_worth) * lateness) if lateness < 1 else 0.0
        self.figures.delivered += 1
        self.figures.earned += weight
        self.figures.tenants[message.tenant][1] += weight
        self.figures.latency.record_value(max(int(latency_s * SECOND_US), 1))
        second = self.figures.second(message.at)
        second.good += latency_s <= kind.aim_s
        second.late += latency_s > kind.aim_s

    def attempt_finished(self, sender: str, endpoint: str, outcome: Outcome) -> None:
        """Records the outcome of a call as its sender sees it."""
        if outcome is Outcome.NOT_SENT:
            return
        destination = destination_of(endpoint)
        if outcome is not Outcome.OK:
            self.failures.append(ObservedFailure(destination, sender, self.time()))
        self.figures.calls[outcome.value] += 1
        second = self.figures.second(self.time())
        second.calls += 1
        second.refused += outcome is Outcome.FULL
        second.failed += outcome not in (Outcome.OK, Outcome.FULL)
        self.figures.destinations.setdefault(destination, Counter())[outcome.value] += 1

    def message_completed(self, sender: str, incarnation: int, message: str, completion: Completion) -> None:
        """Records a completion of which a sender notifies its listener.

        A later incarnation of the sender may repeat the same completion (docs/design/emulator.md).
        """
        state = completion.state.value
        previous = self.completions.get(message)
        self.completions[message] = RecordedCompletion(state, sender, incarnation)
        is_repeated = (
            previous is not None
            and (previous.state, previous.sender) == (state, sender)
            and previous.incarnation < incarnation
        )
        if is_repeated:
            self.figures.told_again += 1
            return
        self.figures.ends[state] += 1
        self.history.record(seen.MessageCompleted(self.time(), message, state))

    def is_open(self, message_id: str) -> bool:
        """Whether the client's message behind a message id may still be delivered."""
        return int(message_id[1:].partition(".")[0]) in self.open_messages

    def count_attempt(self, message_id: str) -> tuple[ClientMessage, int]:
        """Counts a call for a message id.

        Returns:
            The client's message, and the number of this call among the calls of all its submissions.
        """
        number, _, submission = message_id[1:].partition(".")
        message = self.open_messages[int(number)]
        self.attempt_counts[message_id] += 1
        attempt = int(submission or 0) * ATTEMPTS_PER_SUBMISSION + self.attempt_counts[message_id] - 1
        return message, attempt
