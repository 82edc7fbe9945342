"""Dimension `restarts`: what members that restart at once cost the others in the first ten seconds.

Hollow senders on virtual time: each restarted member is replaced in an instant by one that knows nobody. What
the same fleet sends at rest in ten seconds is subtracted. A restarted sender also asks for the list of
destinations once; that call is counted by the decision module, not sent.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.scale import plan, policy
from benchmarks.scale.hollow import HollowFleet, Traffic
from benchmarks.scale.quantity import quantity_of
from benchmarks.scale.results import Allowance, Effort, Figure, Measured, Point, Quantity, Source
from message_sender.policy.actions import Subscribe
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import ListingKind

ANNOUNCEMENT_BYTES = 200
WINDOW_S = 10.0  # virtual
SETTLING_S = 0.5  # virtual
SEED = 1
HELLO = "Hello"


@dataclass(frozen=True, slots=True)
class Sizes:
    """Fleets of `fleet` members of which `restarted` restart at once; and fleets of which one does."""

    fleet: int
    restarted: tuple[int, ...]
    fleets: tuple[int, ...]


SIZES = {
    Effort.SMALL: Sizes(10, (1, 2, 4), (6, 10, 14)),
    Effort.FULL: Sizes(50, (1, 2, 5, 10), (20, 40, 60, 80, 120)),
}


@dataclass(frozen=True, slots=True)
class Excess:
    """What a restart added in the first ten seconds."""

    other_bytes: float  # received by each of the other members
    other_datagrams: float
    restarted_bytes: float  # received by each restarted member
    hellos: int  # sent by all
    is_whole: bool  # every member knows every other one's present epoch at the end


@dataclass(frozen=True, slots=True)
class Run:
    """A fleet after ten seconds, in which some members restarted at the beginning or none did."""

    fleet: HollowFleet
    traffic: Traffic
    hellos: int


def run_fleet(size: int, restarted: Sequence[str]) -> Run:
    """The same fleet each time: two runs differ by the restarts alone."""
    fleet = HollowFleet(size, ANNOUNCEMENT_BYTES, SEED)
    fleet.acquaint()
    fleet.run(SETTLING_S)
    fleet.forget_traffic()
    for name in restarted:
        fleet.restart(name)
    fleet.run(WINDOW_S)
    return Run(fleet, fleet.traffic, fleet.kinds[HELLO])


def measure(size: int, restarted: int) -> Excess:
    """Restarts the last members of a fleet at rest."""
    names = [f"n{number}" for number in range(size)]
    others, gone = names[: size - restarted], names[size - restarted :]
    calm, after = run_fleet(size, ()), run_fleet(size, gone)
    calm_datagrams, calm_bytes = calm.traffic.received_by(others)
    datagrams, total_bytes = after.traffic.received_by(others)
    gone_bytes = after.traffic.received_by(gone)[1] - calm.traffic.received_by(gone)[1]
    return Excess(
        (total_bytes - calm_bytes) / len(others),
        (datagrams - calm_datagrams) / len(others),
        gone_bytes / restarted,
        after.hellos - calm.hellos,
        is_whole(after.fleet),
    )


def is_whole(fleet: HollowFleet) -> bool:
    """Whether every member believes every other one's present session."""
    sessions = {name: node.session for name, node in fleet.nodes.items()}
    for name, node in fleet.nodes.items():
        known = {other: peer.session for other, peer in node.peers.items()}
        if known != {other: session for other, session in sessions.items() if other != name}:
            return False
    return True


def list_calls() -> int:
    """Calls for the list of destinations that a sender makes as it starts with the list that it knew."""
    dispatcher = policy.make_dispatcher(slots=60, max_open=1_000, must_poll=True)
    told = EndpointsUpdated(ListingKind.CACHED, policy.full_list(10).endpoints)
    actions = dispatcher.handle(0, [told])
    return sum(isinstance(action, Subscribe) for action in actions)


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    sizes = SIZES[effort]
    at_once = {count: measure(sizes.fleet, count) for count in sizes.restarted}
    by_fleet = {size: measure(size, 1) for size in sizes.fleets}
    if not all(each.is_whole for each in (*at_once.values(), *by_fleet.values())):
        raise RuntimeError("a restarted member was not known to all within ten seconds")
    figures = (
        Figure(
            "list_calls",
            "calls for the destination list by each restarted sender",
            "",
            Source.COUNT,
            list_calls(),
        ),
    )
    return Measured((*quantities_at_once(sizes, at_once), *quantities_by_fleet(by_fleet)), figures)


def quantities_at_once(sizes: Sizes, at_once: dict[int, Excess]) -> tuple[Quantity, ...]:
    where = f"of a fleet of {sizes.fleet}, in 10 s"
    by_restarted = "restarted members"
    return (
        quantity_of(
            "other_bytes",
            f"bytes that restarts add for each other member {where}",
            "B",
            by_restarted,
            Source.COUNT,
            [Point(count, round(each.other_bytes)) for count, each in at_once.items()],
            plan.SENDERS_PER_ZONE,
        ),
        quantity_of(
            "hellos",
            f"handshake datagrams that restarts add in all {where}",
            "datagrams",
            by_restarted,
            Source.COUNT,
            [Point(count, each.hellos) for count, each in at_once.items()],
            plan.SENDERS_PER_ZONE,
        ),
    )


def quantities_by_fleet(by_fleet: dict[int, Excess]) -> tuple[Quantity, ...]:
    most = plan.CONTROL_BYTES_PER_S * WINDOW_S
    reason = "letter: 2 KB/s a sender for control, over 10 s"
    pair = pair_quantity(by_fleet)
    return (
        quantity_of(
            "one_other_bytes",
            "bytes that one restart adds for each other member in 10 s",
            "B",
            "members",
            Source.COUNT,
            [Point(size, round(each.other_bytes)) for size, each in by_fleet.items()],
            plan.SENDERS,
            Allowance("one restart, at each other member", most, reason),
        ),
        pair,
        quantity_of(
            "one_restarted_bytes",
            "bytes that one restarted member receives beyond rest in 10 s (grows with the square: at the "
            "planned size it is one_pair_bytes times the other members)",
            "B",
            "members",
            Source.COUNT,
            [Point(size, round(each.restarted_bytes)) for size, each in by_fleet.items()],
            plan.SENDERS,
            Allowance("one restart, at the restarted member", most, reason),
            planned_value=pair.planned_value * (plan.SENDERS - 1),
        ),
        quantity_of(
            "one_pair_hellos",
            "handshake datagrams between one restarted member and each other one in 10 s",
            "datagrams",
            "members",
            Source.COUNT,
            [Point(size, round(each.hellos / (size - 1), 2)) for size, each in by_fleet.items()],
            plan.SENDERS,
        ),
    )


def pair_quantity(by_fleet: dict[int, Excess]) -> Quantity:
    return quantity_of(
        "one_pair_bytes",
        "bytes that each other member sends to one restarted member beyond rest in 10 s",
        "B",
        "members",
        Source.COUNT,
        [Point(size, round(each.restarted_bytes / (size - 1), 1)) for size, each in by_fleet.items()],
        plan.SENDERS,
    )
