"""The utilization of a shared budget, its recovery after the loss of a member, and its cost per message.

Utilization and recovery are measured on virtual time; each result is the mean over several seeds.

utilization: the share of the limit that is used and the share of calls that the receiver refuses, with shared
budgets; with equal shares for a configured fleet size that is right, half or twice the true one; with a
central counter that always answers at once, which is the best possible; and with tokens that members pass to
each other. recovery: the time in s until 90% of the share of a dead member is in use again. overhead: the
time in us that a budget adds to each message.

    ./with-env python -m benchmarks.budgets utilization [--members 40] [--seeds 5]
    ./with-env python -m benchmarks.budgets recovery [--members 40] [--seeds 5]
    ./with-env python -m benchmarks.budgets overhead
"""

import argparse
import statistics
import time
from collections.abc import Callable, Iterable
from functools import partial

from message_sender.budget.definition import Budget
from message_sender.budget.manager import LeaseManager
from message_sender.emulator.shared_budget_fleet import Fleet

US = 1_000_000
MEASURED_FROM, MEASURED_UNTIL = 12.0, 40.0  # s; all members have started by the first, the second is the end
TRANSFER_DURATION = 0.2  # s to transfer tokens: send them, write them to the disks of both members, receive


class TokenPassingFleet(Fleet):
    """Escrow: each member holds tokens, which add up to the limit, and requests more from a random other one.

    A transfer is lost if its receiver dies before it arrives, and the tokens on a lost disk are lost. A lost
    request costs only time, because it is repeated. A token is transferred only a window after its release,
    because a call that was made with it counts until then.
    """

    def __init__(
        self, budget: Budget, members: int, seed: int, demands: Iterable[float], loss: float
    ) -> None:
        super().__init__(budget, members, seed, demands, "tokens", loss=loss)
        each, rest = divmod(budget.limit, members)
        self.tokens = {f"n{number}": each + (number < rest) for number in range(members)}
        for number in range(members):
            self.network.later(self.rng.uniform(0, TRANSFER_DURATION), partial(self.request_tokens, number))

    def start(self, number: int, epoch: int | None = None) -> None:
        """Starts a member; all its tokens count as spent, because its earlier process may have spent them."""
        super().start(number, epoch)
        name = f"n{number}"
        for _ in range(getattr(self, "tokens", {}).get(name, 0)):
            self.enforcers[name].spent_at_us.append(self.clock(number))

    def request_tokens(self, number: int) -> None:
        """Requests spare tokens from a random member, as often as a transfer takes.

        `loss` applies to the request and to its answer.
        """
        name, other = f"n{number}", self.rng.choice(sorted(self.tokens))
        are_running = name in self.network.nodes and other in self.network.nodes and name != other
        is_partitioned = self.network.sides and not any({name, other} <= side for side in self.network.sides)
        is_lost = self.rng.random() < 1 - (1 - self.network.loss) ** 2
        if are_running and not is_partitioned and not is_lost and self.backlog[name] > self.tokens[name]:
            used = self.enforcers[other].usage(self.clock(int(other[1:])))
            needed = min(self.backlog[other] + used, self.budget.limit)
            spare = self.tokens[other] - max(int(needed), used)
            amount = min(spare, int(self.backlog[name]), self.tokens[other])
            if amount > 0:
                self.tokens[other] -= amount
                self.network.later(
                    TRANSFER_DURATION + self.ledger.window, partial(self.receive_tokens, name, amount)
                )
        self.network.later(TRANSFER_DURATION, partial(self.request_tokens, number))

    def receive_tokens(self, name: str, amount: int) -> None:
        """Adds transferred tokens to a member; they are lost if it is not running."""
        if name in self.network.nodes:
            self.tokens[name] += amount

    def may_spend(self, number: int, name: str) -> bool:
        """Whether a member may make a call now; if so, the call counts as made."""
        return self.enforcers[name].try_spend("", self.clock(number), self.tokens[name])


def no_fault(fleet: Fleet) -> None: ...


def churn(fleet: Fleet) -> None:
    """Ends a tenth of the members per minute, each for 3 to 5 s."""
    count = len(fleet.rates)
    for turn in range(max(round(count * MEASURED_UNTIL / 600), 1)):
        number, at = fleet.rng.randrange(count), fleet.rng.uniform(MEASURED_FROM, MEASURED_UNTIL - 5)
        fleet.network.later(at, partial(fleet.end, number))
        fleet.network.later(at + 3 + turn % 3, partial(fleet.start, number))


def partition(fleet: Fleet) -> None:
    """Partitions the network 3:2 for good."""
    names = [f"n{number}" for number in range(len(fleet.rates))]
    larger = len(names) * 3 // 5
    fleet.network.later(MEASURED_FROM, lambda: fleet.network.split(names[:larger], names[larger:]))


def halve_limit(fleet: Fleet) -> None:
    """Halves the limit at 20 s."""
    fleet.network.later(20.0, lambda: fleet.set_limit(fleet.receiver_limit // 2))


def power_loss(fleet: Fleet) -> None:
    """Restarts all members at once."""
    for number in range(len(fleet.rates)):
        fleet.network.later(MEASURED_FROM, partial(fleet.restart, number))


def permanent_failure(fleet: Fleet) -> None:
    """Ends one member for good, with its disk."""
    fleet.network.later(MEASURED_FROM, partial(fleet.end, 1))


#: The faults by title, each with the share of datagrams that the network loses.
FAULTS: dict[str, tuple[Callable[[Fleet], None], float]] = {
    "no fault": (no_fault, 0.0), "5% loss": (no_fault, 0.05), "20% loss": (no_fault, 0.2),
    "churn": (churn, 0.0), "partition 3:2": (partition, 0.0), "halved at 20 s": (halve_limit, 0.0),
    "power loss at 12 s": (power_loss, 0.0), "one dies for good": (permanent_failure, 0.0),
}  # fmt: skip


def demands_of(distribution: str, members: int, limit: int) -> list[float]:
    """Returns the calls per second that arise at each member, in total 1.5 times what the receiver accepts.

    Args:
        distribution: "even" or "zipf".
        members: The number of members.
        limit: The calls per second that the receiver accepts.
    """
    shares = [1.0 if distribution == "even" else 1 / (1 + number) for number in range(members)]
    return [1.5 * limit * each / sum(shares) for each in shares]


def measure_utilization(
    how: str, members: int, distribution: str, fault: str, seeds: int, guess: int = 0, lease: int = US
) -> list[float]:
    """Measures one scheme under one fault.

    Args:
        how: What limits a member: "tokens", or one of those that `Fleet` knows.
        members: The number of members.
        distribution: The distribution of the demand over the members, as in `demands_of`.
        fault: A key of `FAULTS`.
        seeds: The number of runs.
        guess: The fleet size that members assume if `how` is "guess".
        lease: The duration of a lease in us.

    Returns:
        The means over the seeds: the used share of the limit, the share of calls that the receiver refused,
        and the most calls in any window, relative to the limit.
    """
    limit, results = 4 * members + 40, []
    inject, loss = FAULTS[fault]
    for seed in range(seeds):
        budget = Budget("hub", "calls", limit, members, US, lease_us=lease)
        demands = demands_of(distribution, members, limit)
        if how == "tokens":
            fleet: Fleet = TokenPassingFleet(budget, members, seed, demands, loss)
        else:
            fleet = Fleet(budget, members, seed, demands, how, guess, loss)
        inject(fleet)
        fleet.network.run(MEASURED_UNTIL)
        ledger = fleet.ledger
        # The mean limit: 8 s of the whole one and 20 s of half of it.
        mean_limit = limit * (0.643 if fault.startswith("halved") else 1.0)
        refused = ledger.rejected / max(len(ledger.calls), 1)
        results.append(
            [
                ledger.utilization(MEASURED_FROM, MEASURED_UNTIL, 1) / mean_limit,
                refused,
                ledger.peak() / limit,
            ]
        )
    return [statistics.fmean(each) for each in zip(*results, strict=True)]


def print_utilization(members: int, seeds: int) -> None:
    """Prints a line for each scheme under each fault; wrong fleet sizes only without faults."""
    schemes = [("budget", 0), ("budget, lease 4 s", 0), ("tokens", 0), ("counter", 0)]
    schemes += [("guess", members), ("guess", max(members // 2, 1)), ("guess", members * 2)]
    for distribution in ("even", "zipf"):
        for fault in FAULTS:
            for scheme, guess in schemes:
                if fault != "no fault" and scheme == "guess" and guess != members:
                    continue
                how, _, lease = scheme.partition(", lease ")
                means = measure_utilization(
                    how, members, distribution, fault, seeds, guess, 4 * US if lease else US
                )
                label = f"equal shares of 1/{guess}" if guess else scheme
                print(
                    f"{members:4d} {distribution} {fault:<18} {label:<20} used {means[0]:.3f}  "
                    f"refused {means[1]:.4f}  peak per window {means[2]:.2f}",
                    flush=True,
                )


def print_recovery(members: int, seeds: int) -> None:
    """Prints the time until the share of a dead member is in use again, by lease and role of the member."""
    for lease in (US, 2 * US):
        for role in ("a member", "the grantor"):
            times = [measure_recovery(members, seed, lease, role == "the grantor") for seed in range(seeds)]
            print(
                f"{members} members, lease {lease // US} s, share of {role}: in use again after "
                f"{statistics.fmean(times):.1f} s, {max(times):.1f} s at most"
            )


def measure_recovery(members: int, seed: int, lease: int, of_grantor: bool) -> float:
    """Returns the time in s until 90% of the share of a member that died is leased to others.

    Args:
        members: The number of members.
        seed: The seed of the run.
        lease: The duration of a lease in us.
        of_grantor: Whether the member that grants the leases dies, instead of another one.
    """
    limit = 12 * members
    budget = Budget("hub", "calls", limit, members, US, lease_us=lease)
    fleet = Fleet(budget, members, seed, demands_of("even", members, limit))
    fleet.network.run(20.0)
    manager = fleet.managers["n0"]
    grantor = int(manager.ledgers["hub"].grantor()[1:])
    fleet.end(grantor if of_grantor else (grantor + 1) % members)
    for tenth in range(1, 300):
        fleet.network.run(20.0 + tenth / 10)
        if sum(each.ledgers["hub"].share() for each in fleet.managers.values()) >= limit * (
            1 - 0.1 / members
        ):
            return tenth / 10
    return float("inf")


def print_overhead() -> None:
    """Prints the time that a budget adds to each message, at a member without others.

    It includes the check for free capacity, the reservation, the spending of a call and the loop itself, with
    a tick of the manager every 500 messages.
    """
    now = time.monotonic_ns
    manager = LeaseManager("a", 1, lambda: now() // 1000)
    ledger = manager.open(Budget("hub", "calls", 1000, 1, 1000, lease_us=10_000), lambda: 9)
    count, until = 0, time.perf_counter() + 0.1
    while time.perf_counter() < until:
        manager.tick(())
    started_at = time.perf_counter()
    while count < 50_000:
        if count % 500 == 0:
            manager.tick(())
        manager.available_at("hub")
        ledger.enforcer.reserve("m")
        manager.try_spend(["hub"], "m")
        count += 1
    print(
        f"{(time.perf_counter() - started_at) / count * 1e6:.1f} us per message; "
        f"{ledger.enforcer.spent_total} calls spent"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("what", choices=["utilization", "recovery", "overhead"])
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--seeds", type=int, default=5, help="runs of each case")
    options = parser.parse_args()
    if options.what == "overhead":
        print_overhead()
    else:
        {"utilization": print_utilization, "recovery": print_recovery}[options.what](
            options.members, options.seeds
        )


if __name__ == "__main__":
    main()
