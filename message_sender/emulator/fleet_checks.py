"""Checks the history of a simulated fleet against the delivery rules."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from message_sender.emulator.fleet_topology import Topology
from message_sender.emulator.scenario import Scenario
from message_sender.policy.model import Effect
from message_sender.testbed import history as seen
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules, Violation

MIN_OUTAGE_S = 2.0  # a shorter one cannot be distinguished from a limit's window or from one slow call
COMPLETION_TOLERANCE_S = 0.35  # a tick, a notification and the duration of a start
DRAIN_TOLERANCE_S = 0.05
DEFAULT_WARM_UP_S = 1.0


@dataclass(frozen=True, slots=True)
class ObservedFailure:
    """A sender's call that did not succeed. `at` is in seconds of virtual time."""

    destination: int
    sender: str
    at: float


class FleetChecker:
    """Finds violations in what happened to one fleet."""

    def __init__(self, scenario: Scenario, topology: Topology, failures: Sequence[ObservedFailure]) -> None:
        """Prepares the checks of one run.

        Args:
            scenario: The scenario that was run.
            topology: The receivers after the run.
            failures: All failed calls of the run.
        """
        self.scenario = scenario
        self.topology = topology
        self.failures = failures

    def find_violations(self, events: Sequence[seen.HistoryEvent]) -> list[Violation]:
        """Returns the violations of the delivery rules and of the load rule for warming destinations."""
        outages = list(self.find_outages())
        violations = HistoryChecker(self.build_rules(events)).check([*outages, *events])
        violations += self.find_overloads(outages)
        return violations

    def build_rules(self, events: Sequence[seen.HistoryEvent]) -> Rules:
        """Returns the rules that hold in this scenario."""
        classes = {
            name: ClassRule(Effect(each.effect), each.window_s, False, each.in_order)
            for name, each in self.scenario.classes.items()
        }
        capacity = {
            number: receiver.terms.capacity()
            for number, receiver in self.topology.shared_receivers().items()
            if receiver.terms.cold_s
        }
        first_group = self.scenario.destinations[0]
        # A paused process cannot complete messages during the pause.
        pauses_s = [each.for_s for each in self.scenario.incidents if each.what == "pause"]
        return Rules(
            classes,
            {},
            self._number_destinations(events),
            capacity,
            late_tolerance=COMPLETION_TOLERANCE_S + max(pauses_s, default=0.0),
            drain_grace=self.scenario.fleet.grace_s + DRAIN_TOLERANCE_S,
            key_pause=self.scenario.fleet.key_rest_s,
            slow_start=first_group.cold_s or DEFAULT_WARM_UP_S,
            slow_start_from=first_group.cold_from,
            max_overload=first_group.push,
            overload_interval=first_group.push_s,
        )

    def _number_destinations(self, events: Sequence[seen.HistoryEvent]) -> dict[str, int]:
        """Returns the destination of each endpoint called; a separate route counts as one of its own.

        A Retry-After of a separate route applies to that route only. Its number is negative.
        """
        numbers: dict[str, int] = {}
        separate_routes = 0
        for event in events:
            if not isinstance(event, seen.AttemptStarted) or event.endpoint in numbers:
                continue
            destination = destination_of(event.endpoint)
            if self.topology.group_of(destination).apart:
                separate_routes += 1
                numbers[event.endpoint] = -separate_routes
            else:
                numbers[event.endpoint] = destination
        return numbers

    def find_outages(self) -> Iterator[seen.Outage]:
        """Yields the outages, each with the senders that saw a call fail in it.

        The other senders cannot know of the outage and are not held responsible.
        """
        for number, receiver in self.topology.shared_receivers().items():
            spans = [(each.at, each.until) for each in receiver.phases if each.is_outage()]
            spans += [(each.at, each.at + receiver.terms.fallen_s) for each in receiver.overload_failures]
            for start, end in spans:
                observers = frozenset(
                    each.sender
                    for each in self.failures
                    if each.destination == number and start <= each.at < end
                )
                if end - start > MIN_OUTAGE_S and observers:
                    yield seen.Outage(start, end, number, observers)

    def find_overloads(self, outages: Sequence[seen.Outage]) -> Iterator[Violation]:
        """Yields the overload failures that senders caused although they had seen the outage before.

        A sender is responsible if it saw that outage; an overload failure counts if at least two thirds of
        its calls came from such senders. The calls in the history do not show the failure, because no call to
        a failed destination completes.
        """
        for number, receiver in self.topology.shared_receivers().items():
            for failure in receiver.overload_failures:
                earlier = [x for x in outages if x.destination == number and x.until <= failure.at]
                if not earlier:
                    continue
                observers = max(earlier, key=lambda outage: outage.until).seen_by
                responsible = sum(sender in observers for sender in failure.senders)
                if 3 * responsible >= 2 * len(failure.senders):
                    text = f"destination {number} failed by overload after {responsible} calls"
                    yield Violation("cold", failure.at, text)


def destination_of(endpoint: str) -> int:
    """Returns the destination number that an endpoint's id (`e<destination>-<index>`) contains."""
    return int(endpoint[1:].partition("-")[0])
