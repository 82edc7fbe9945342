"""What one change of the directory's list costs the decision module, by the length of the list.

    python benchmarks/listing.py [--root FOLDER]

Times changes that take one endpoint out and in again, at 20, 1,000 and 10,000 listed endpoints of the module
in FOLDER (this checkout without the option), medians of 5, and tells each as a multiple of the first.
"""

import argparse
import statistics
import sys
import time
from pathlib import Path
from typing import Any

SIZES, CHANGES, ROUNDS = (20, 1_000, 10_000), 40, 5


def world(face: Any, dispatcher: Any, size: int) -> Any:  # noqa: ANN401
    safe = face.MessageClass("safe", 2_000_000, 20_000_000, 1.0, 0.3, face.Effect.IDEMPOTENT)
    settings = face.Settings((safe,), (("k", face.Kind()),), 20, 100, 6, "z", 5000)
    made = dispatcher(settings, 1)
    listed = tuple(entry(face, each) for each in range(size))
    made.handle(0, [face.EndpointsListed(face.Listing.FULL, listed)])
    return made


def entry(face: Any, number: int, state: str = "ready") -> Any:  # noqa: ANN401
    return face.Endpoint(f"e{number}", number // 2, face.EndpointState(state), "k", "z")


def measure(face: Any, dispatcher: Any, size: int) -> float:  # noqa: ANN401
    """Milliseconds a change."""
    made, now, rounds = world(face, dispatcher, size), 0, []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for number in range(CHANGES):
            now += 1000
            state = "draining" if number % 2 == 0 else "ready"
            change = face.EndpointsListed(face.Listing.CHANGES, (entry(face, 7, state),))
            made.handle(now, [change])
        rounds.append((time.perf_counter() - began) / CHANGES * 1e3)
    return statistics.median(rounds)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--root", type=Path, default=Path(__file__).resolve().parent.parent)
    sys.path.insert(0, str(parser.parse_args().root))
    from message_sender import Dispatcher, interface

    found = {size: measure(interface, Dispatcher, size) for size in SIZES}
    for size, took in found.items():
        print(f"{size:>7} endpoints: {took:8.3f} ms a change, {took / found[SIZES[0]]:7.1f} times the first")
    return 0


if __name__ == "__main__":
    sys.exit(main())
