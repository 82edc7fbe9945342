"""Dimension `restarts`: the cost of simultaneous restarts for the other members in the first ten seconds.

Uses hollow senders on virtual time. Each restarted member is replaced at once by one that knows no other
member. The traffic of the same fleet at rest over ten seconds is subtracted. A restarted sender also requests
the list of destinations once; that call is counted in the actions of the decision module and not sent.
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
WINDOW_S = 10.0  # virtual time
SETTLING_S = 0.5  # virtual time
SEED = 1
HELLO = "Hello"


@dataclass(frozen=True, slots=True)
class Sizes:
    """The sizes that a run measures.

    Attributes:
        fleet: The members of the fleet in which several restart at once.
        restarted: The numbers of members that restart at once.
        fleets: The sizes of the fleets in which one member restarts.
    """

    fleet: int
    restarted: tuple[int, ...]
    fleets: tuple[int, ...]


SIZES = {
    Effort.SMALL: Sizes(10, (1, 2, 4), (6, 10, 14)),
    Effort.FULL: Sizes(50, (1, 2, 5, 10), (20, 40, 60, 80, 120)),
}


@dataclass(frozen=True, slots=True)
class Excess:
    """The additional traffic of a restart in the first ten seconds."""

    other_bytes: float  # received by each of the other members
    other_datagrams: float  # received by each of the other members
    restarted_bytes: float  # received by each restarted member
    hellos: int  # sent by all members
    is_complete: bool  # at the end, every member knows the current session of every other one


@dataclass(frozen=True, slots=True)
class Run:
    """A fleet ten seconds after some members restarted, or none."""

    fleet: HollowFleet
    traffic: Traffic
    hellos: int


def run_fleet(size: int, restarted: Sequence[str]) -> Run:
    """Runs a fleet of `size` members; two runs of the same size differ only by the restarts."""
    fleet = HollowFleet(size, ANNOUNCEMENT_BYTES, SEED)
    fleet.join_all()
    fleet.run(SETTLING_S)
    fleet.reset_traffic()
    for name in restarted:
        fleet.restart(name)
    fleet.run(WINDOW_S)
    return Run(fleet, fleet.traffic, fleet.body_counts[HELLO])


def measure(size: int, restarted: int) -> Excess:
    """Restarts the last `restarted` members of a fleet at rest and returns the additional traffic."""
    names = [f"n{number}" for number in range(size)]
    others, restarted_names = names[: size - restarted], names[size - restarted :]
    at_rest, after = run_fleet(size, ()), run_fleet(size, restarted_names)
    rest_datagrams, rest_bytes = at_rest.traffic.received_by(others)
    datagrams, total_bytes = after.traffic.received_by(others)
    restarted_bytes = (
        after.traffic.received_by(restarted_names)[1] - at_rest.traffic.received_by(restarted_names)[1]
    )
    return Excess(
        (total_bytes - rest_bytes) / len(others),
        (datagrams - rest_datagrams) / len(others),
        restarted_bytes / restarted,
        after.hellos - at_rest.hellos,
        is_complete(after.fleet),
    )


def is_complete(fleet: HollowFleet) -> bool:
    """Returns whether every member knows the current session of every other one."""
    sessions = {name: node.session for name, node in fleet.nodes.items()}
    for name, node in fleet.nodes.items():
        known = {other: peer.session for other, peer in node.peers.items()}
        if known != {other: session for other, session in sessions.items() if other != name}:
            return False
    return True


def list_calls() -> int:
    """Returns the requests for the list of destinations by a sender that starts with a cached list."""
    dispatcher = policy.make_dispatcher(slots=60, max_open=1_000, must_poll=True)
    cached = EndpointsUpdated(ListingKind.CACHED, policy.full_list(10).endpoints)
    actions = dispatcher.handle(0, [cached])
    return sum(isinstance(action, Subscribe) for action in actions)


def run(effort: Effort) -> Measured:
    """Measures the dimension."""
    sizes = SIZES[effort]
    at_once = {count: measure(sizes.fleet, count) for count in sizes.restarted}
    by_fleet = {size: measure(size, 1) for size in sizes.fleets}
    if not all(each.is_complete for each in (*at_once.values(), *by_fleet.values())):
        raise RuntimeError(f"a restarted member was not known to all others within {WINDOW_S:g} s")
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
    """Returns the costs of simultaneous restarts, by the number of restarted members."""
    scope = f"of a fleet of {sizes.fleet}, in 10 s"
    by_restarted = "restarted members"
    return (
        quantity_of(
            "other_bytes",
            f"bytes that restarts add for each other member {scope}",
            "B",
            by_restarted,
            Source.COUNT,
            [Point(count, round(each.other_bytes)) for count, each in at_once.items()],
            plan.SENDERS_PER_ZONE,
        ),
        quantity_of(
            "hellos",
            f"handshake datagrams that restarts add in all {scope}",
            "datagrams",
            by_restarted,
            Source.COUNT,
            [Point(count, each.hellos) for count, each in at_once.items()],
            plan.SENDERS_PER_ZONE,
        ),
    )


def quantities_by_fleet(by_fleet: dict[int, Excess]) -> tuple[Quantity, ...]:
    """Returns the costs of one restart, by the size of the fleet."""
    most = plan.CONTROL_BYTES_PER_S * WINDOW_S
    reason = "operators' plan: 2 KB/s per sender for control, over 10 s"
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
    """Returns the bytes between a restarted member and one other, by the size of the fleet."""
    return quantity_of(
        "one_pair_bytes",
        "bytes that each other member sends to one restarted member beyond rest in 10 s",
        "B",
        "members",
        Source.COUNT,
        [Point(size, round(each.restarted_bytes / (size - 1), 1)) for size, each in by_fleet.items()],
        plan.SENDERS,
    )
