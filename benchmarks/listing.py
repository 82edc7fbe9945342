"""The cost of one change of the endpoint list in the decision module, by the length of the list.

    python benchmarks/listing.py [--root FOLDER]

Times changes that set one endpoint to draining and back to ready, with 20, 1,000 and 10,000 listed endpoints,
in the decision module of FOLDER (this checkout by default). Prints medians of 5 and their ratios to the first
one.
"""

import argparse
import statistics
import sys
import time
from pathlib import Path
from typing import Any

SIZES, CHANGES, ROUNDS = (20, 1_000, 10_000), 40, 5


def make_dispatcher(interface: Any, dispatcher_class: Any, size: int) -> Any:  # noqa: ANN401
    """Returns a dispatcher that knows a list of `size` endpoints."""
    safe = interface.MessageClass("safe", 2_000_000, 20_000_000, 1.0, 0.3, interface.Effect.IDEMPOTENT)
    settings = interface.Settings((safe,), (("k", interface.Kind()),), 20, 100, 6, "z", 5000)
    dispatcher = dispatcher_class(settings, 1)
    listed = tuple(endpoint(interface, each) for each in range(size))
    dispatcher.handle(0, [interface.EndpointsListed(interface.Listing.FULL, listed)])
    return dispatcher


def endpoint(interface: Any, number: int, state: str = "ready") -> Any:  # noqa: ANN401
    """Returns an endpoint in the given state."""
    return interface.Endpoint(f"e{number}", number // 2, interface.EndpointState(state), "k", "z")


def measure(interface: Any, dispatcher_class: Any, size: int) -> float:  # noqa: ANN401
    """Returns the median time of a change in ms."""
    dispatcher, now, rounds = make_dispatcher(interface, dispatcher_class, size), 0, []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        for number in range(CHANGES):
            now += 1000
            state = "draining" if number % 2 == 0 else "ready"
            change = interface.EndpointsListed(interface.Listing.CHANGES, (endpoint(interface, 7, state),))
            dispatcher.handle(now, [change])
        rounds.append((time.perf_counter() - started_at) / CHANGES * 1e3)
    return statistics.median(rounds)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--root", type=Path, default=Path(__file__).resolve().parent.parent)
    sys.path.insert(0, str(parser.parse_args().root))
    from message_sender import Dispatcher, interface

    medians = {size: measure(interface, Dispatcher, size) for size in SIZES}
    first = medians[SIZES[0]]
    for size, median in medians.items():
        print(f"{size:>7} endpoints: {median:8.3f} ms a change, {median / first:7.1f} times the first")
    return 0


if __name__ == "__main__":
    sys.exit(main())
