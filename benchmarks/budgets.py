"""What a shared budget gives and costs, on virtual time; every row is of several seeds, all in one run.

use: the share of a limit that is used and the share of calls that the receiver refuses, by budgets, by even
parts of a fleet size that is right, half and twice the true one, by a counter that always answers at once
(the best possible), and by tokens that go from hand to hand; dead: s until 90% of a dead member's part is in
use again; way: us that a budget adds to a message's way.

    ./with-env python -m benchmarks.budgets use [--members 40] [--draws 5]
    ./with-env python -m benchmarks.budgets dead
    ./with-env python -m benchmarks.budgets way
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
SINCE, UNTIL = 12.0, 40.0  # s: when all have begun, and the end
TAKES = 0.2  # s that tokens are under way: sent, put on two disks, heard


class Hands(Fleet):
    """Escrow: tokens of the whole lie with members, and go to who asks a random other one. A token that is on
    its way when its receiver dies, or lies on a disk that is lost, is gone; a word that is lost is not, as it
    is said again. Spent counts on for a span before a token goes."""

    def __init__(self, budget: Budget, members: int, seed: int, works: Iterable[float], loss: float) -> None:
        super().__init__(budget, members, seed, works, "hands", loss=loss)
        each, rest = divmod(budget.limit, members)
        self.tokens = {f"n{number}": each + (number < rest) for number in range(members)}
        for number in range(members):
            self.network.later(self.rng.uniform(0, TAKES), partial(self.beg, number))

    def start(self, number: int, epoch: int | None = None) -> None:
        """What its life before spent counts: all of its tokens may have been."""
        super().start(number, epoch)
        name = f"n{number}"
        for _ in range(getattr(self, "tokens", {}).get(name, 0)):
            self.enforcers[name].spent_at_us.append(self.clock(number))

    def beg(self, number: int) -> None:
        name, other = f"n{number}", self.rng.choice(sorted(self.tokens))
        there = name in self.network.nodes and other in self.network.nodes and name != other
        apart = self.network.sides and not any({name, other} <= side for side in self.network.sides)
        lost = self.rng.random() < 1 - (1 - self.network.loss) ** 2
        if there and not apart and not lost and self.backlog[name] > self.tokens[name]:
            used = self.enforcers[other].usage(self.clock(int(other[1:])))
            needs = min(self.backlog[other] + used, self.budget.limit)
            spare = self.tokens[other] - max(int(needs), used)
            most = min(spare, int(self.backlog[name]), self.tokens[other])
            if most > 0:
                self.tokens[other] -= most
                self.network.later(TAKES + self.ledger.window, partial(self.get, name, most))
        self.network.later(TAKES, partial(self.beg, number))

    def get(self, name: str, most: int) -> None:
        if name in self.network.nodes:
            self.tokens[name] += most

    def may_spend(self, number: int, name: str) -> bool:
        return self.enforcers[name].try_spend("", self.clock(number), self.tokens[name])


def calm(fleet: Fleet) -> None: ...


def churn(fleet: Fleet) -> None:
    """A tenth of the members come and go each minute."""
    count = len(fleet.rates)
    for turn in range(max(round(count * UNTIL / 600), 1)):
        number, at = fleet.rng.randrange(count), fleet.rng.uniform(SINCE, UNTIL - 5)
        fleet.network.later(at, partial(fleet.end, number))
        fleet.network.later(at + 3 + turn % 3, partial(fleet.start, number))


def split(fleet: Fleet) -> None:
    names = [f"n{number}" for number in range(len(fleet.rates))]
    larger = len(names) * 3 // 5
    fleet.network.later(SINCE, lambda: fleet.network.split(names[:larger], names[larger:]))


def halved(fleet: Fleet) -> None:
    fleet.network.later(20.0, lambda: fleet.set_limit(fleet.receiver_limit // 2))


def power(fleet: Fleet) -> None:
    for number in range(len(fleet.rates)):
        fleet.network.later(SINCE, partial(fleet.restart, number))


def gone(fleet: Fleet) -> None:
    """One dies for good, with its disk."""
    fleet.network.later(SINCE, partial(fleet.end, 1))


TROUBLES: dict[str, tuple[Callable[[Fleet], None], float]] = {
    "calm": (calm, 0.0), "5% loss": (calm, 0.05), "20% loss": (calm, 0.2), "churn": (churn, 0.0),
    "a split 3:2": (split, 0.0), "halved at 20 s": (halved, 0.0), "power loss at 12 s": (power, 0.0),
    "one dies for good": (gone, 0.0),
}  # fmt: skip


def works(kind: str, members: int, whole: int) -> list[float]:
    """Calls a second that come, 1.5 times what the receiver takes in all."""
    shares = [1.0 if kind == "even" else 1 / (1 + number) for number in range(members)]
    return [1.5 * whole * each / sum(shares) for each in shares]


def row(
    how: str, members: int, kind: str, trouble: str, draws: int, guess: int = 0, lease: int = US
) -> list[float]:
    """Mean share used, mean share refused and the most in any span over the whole."""
    whole, found = 4 * members + 40, []
    act, loss = TROUBLES[trouble]
    for seed in range(draws):
        budget = Budget("hub", "calls", whole, members, US, lease_us=lease)
        told = works(kind, members, whole)
        if how == "hands":
            fleet: Fleet = Hands(budget, members, seed, told, loss)
        else:
            fleet = Fleet(budget, members, seed, told, how, guess, loss)
        act(fleet)
        fleet.network.run(UNTIL)
        ledger = fleet.ledger
        takes = whole * (0.643 if trouble.startswith("halved") else 1.0)  # 8 s of the whole, 20 s of a half
        refused = ledger.rejected / max(len(ledger.calls), 1)
        found.append([ledger.utilization(SINCE, UNTIL, 1) / takes, refused, ledger.peak() / whole])
    return [statistics.fmean(each) for each in zip(*found, strict=True)]


def use(members: int, draws: int) -> None:
    ways = [("budget", 0), ("budget, lease 4 s", 0), ("hands", 0), ("counter", 0)]
    ways += [("guess", members), ("guess", max(members // 2, 1)), ("guess", members * 2)]
    for kind in ("even", "zipf"):
        for trouble in TROUBLES:
            for how, guess in ways:
                if trouble != "calm" and how == "guess" and guess != members:
                    continue
                name, _, lease = how.partition(", lease ")
                told = row(name, members, kind, trouble, draws, guess, 4 * US if lease else US)
                label = f"even parts of {guess}" if guess else how
                print(
                    f"{members:4d} {kind} {trouble:<18} {label:<20} used {told[0]:.3f}  refused {told[1]:.4f}"
                    f"  most in a span {told[2]:.2f}",
                    flush=True,
                )


def dead(members: int, draws: int) -> None:
    for lease in (US, 2 * US):
        for whose in ("a member's", "the keeper's"):
            took = [back(members, seed, lease, whose == "the keeper's") for seed in range(draws)]
            print(
                f"{members} members, lease {lease // US} s, {whose} part: in use again after "
                f"{statistics.fmean(took):.1f} s, at the most {max(took):.1f} s"
            )


def back(members: int, seed: int, lease: int, keeper: bool) -> float:
    whole = 12 * members
    budget = Budget("hub", "calls", whole, members, US, lease_us=lease)
    fleet = Fleet(budget, members, seed, works("even", members, whole))
    fleet.network.run(20.0)
    desk = fleet.managers["n0"]
    kept = int(desk.ledgers["hub"].grantor()[1:])
    fleet.end(kept if keeper else (kept + 1) % members)
    for tenth in range(1, 300):
        fleet.network.run(20.0 + tenth / 10)
        if sum(each.ledgers["hub"].share() for each in fleet.managers.values()) >= whole * (
            1 - 0.1 / members
        ):
            return tenth / 10
    return float("inf")


def way() -> None:
    """A hold, a look, a reservation and the last check, beside a bare loop."""
    now = time.monotonic_ns
    desk = LeaseManager("a", 1, lambda: now() // 1000)
    book = desk.open(Budget("hub", "calls", 1000, 1, 1000, lease_us=10_000), lambda: 9)
    count, until = 0, time.perf_counter() + 0.1
    while time.perf_counter() < until:
        desk.tick(())
    began = time.perf_counter()
    while count < 50_000:
        if count % 500 == 0:
            desk.tick(())
        desk.available_at("hub")
        book.enforcer.reserve("m")
        desk.try_spend(["hub"], "m")
        count += 1
    print(
        f"{(time.perf_counter() - began) / count * 1e6:.1f} us a message; spent {book.enforcer.spent_total}"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["use", "dead", "way"])
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--draws", type=int, default=5)
    told = parser.parse_args()
    if told.what == "way":
        way()
    else:
        {"use": use, "dead": dead}[told.what](told.members, told.draws)


if __name__ == "__main__":
    main()
