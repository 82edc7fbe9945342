"""Records event streams of the decision module and replays them in another version.

    python benchmarks/streams.py record FOLDER [--seeds N] [--root CHECKOUT]
    python benchmarks/streams.py replay FOLDER [--root CHECKOUT]
    python benchmarks/streams.py cost [--root CHECKOUT]

`record` runs a closed simulation (message_sender/testbed/event_stream.py) with the decision module of
CHECKOUT (this checkout by default) and writes one file per seed. `replay` prints the first call of each file
at which the module of CHECKOUT returns other actions, with both lists of actions. `cost` prints the CPU time
per message: without faults, with 100 destinations down, and with 10,000 listed destinations, most of which
get no message.
"""

import argparse
import importlib.util
import statistics
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent


def load_stream() -> Any:  # noqa: ANN401
    """Loads the simulation of this checkout, which then imports the decision module of the measured one."""
    spec = importlib.util.spec_from_file_location(
        "stream", ROOT / "message_sender" / "testbed" / "event_stream.py"
    )
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    sys.modules["stream"] = module
    spec.loader.exec_module(module)
    return module


def record(stream: Any, dispatcher_class: Any, folder: Path, seeds: int) -> None:  # noqa: ANN401
    """Records one file per seed in `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(seeds):
        world = stream.StreamWorld(stream.StreamShape(rate=(30, 60, 120)[seed % 3]), seed)
        with open(folder / f"{seed}.jsonl", "w") as out:
            dispatcher = dispatcher_class(world.settings, seed)
            recorder = stream.Recorder(out, world.settings, seed, dispatcher.handle)
            world.run(recorder, lambda *_: None)
        print(f"{seed}: {dict(world.action_counts)}")


def replay(stream: Any, dispatcher_class: Any, folder: Path) -> int:  # noqa: ANN401
    """Replays each file up to the first difference; returns the number of files with one.

    WakeAfter actions are not compared.
    """
    differing = 0
    for file in sorted(folder.glob("*.jsonl"), key=lambda each: int(each.stem)):
        with open(file) as source:
            recorded = stream.read(source)
            settings, seed = next(recorded)
            module, calls, difference = dispatcher_class(settings, seed), 0, None
            for now, events, actions in recorded:
                calls += 1
                actual = [each for each in module.handle(now, events) if type(each).__name__ != "WakeAfter"]
                expected = [each for each in actions if type(each).__name__ != "WakeAfter"]
                if actual != expected and difference is None:
                    difference = calls, now, actual, expected
                    break
        differing += difference is not None
        if difference:
            call, now, actual, expected = difference
            print(
                f"{file.name}: call {call} at {now / 1e6:.3f} s:\n  returned {actual}\n  recorded {expected}"
            )
        else:
            print(f"{file.name}: the same over {calls} calls")
    return differing


def measure(stream: Any, dispatcher_class: Any, shape: Any, skip: float) -> tuple[float, int]:  # noqa: ANN401
    """Measures the decision module in one simulation.

    Returns:
        The CPU time in us per message accepted after `skip` seconds, and the number of messages held at the
        end.
    """
    world = stream.StreamWorld(shape, 1)
    module = dispatcher_class(world.settings, 1)
    spent_ns, accepted = 0.0, 0

    def handle(now: int, events: list[Any]) -> list[Any]:
        nonlocal spent_ns, accepted
        started_at = time.process_time_ns()
        actions: list[Any] = module.handle(now, events)
        if now >= skip * 1e6:
            spent_ns += time.process_time_ns() - started_at
            # MessageTaken is the name of the event in older checkouts.
            accepted += sum(type(each).__name__ in ("MessageAccepted", "MessageTaken") for each in events)
        return actions

    world.run(handle, lambda *_: None)
    return spent_ns / max(accepted, 1) / 1e3, len(module.messages)


def cost(stream: Any, dispatcher_class: Any) -> None:  # noqa: ANN401
    """Prints the CPU time per message in each situation, the median of three runs."""
    settings = {"slots": 64, "max_open": 4_500, "announces_rates": False, "fleet_size": 1}
    base = {
        "fault_share": 0,
        "list_change_rate": 0,
        "keys": 0,
        "rate": 200.0,
        "seconds": 24.0,
        "settings": settings,
    }
    shapes = {
        "20 destinations, none down": stream.StreamShape(destinations=20, **base),
        "100 of 120 destinations down": stream.StreamShape(
            destinations=120, down=100, **base | {"rate": 300.0}
        ),
        "10,000 destinations, most unused": stream.StreamShape(
            destinations=10_000, **base | {"seconds": 12.0}
        ),
    }
    first = None
    for name, shape in shapes.items():
        skip = 14.0 if shape.down else 2.0
        results = [measure(stream, dispatcher_class, shape, skip) for _ in range(3)]
        cost_us, held = statistics.median(each[0] for each in results), results[0][1]
        first = first or cost_us
        print(f"{name:>32}: {cost_us:8.1f} us/message, {cost_us / first:6.2f} of the first; {held} held")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("record", "replay", "cost"))
    parser.add_argument("folder", type=Path, nargs="?", metavar="FOLDER")
    parser.add_argument("--seeds", type=int, default=12)
    parser.add_argument("--root", type=Path, default=ROOT, metavar="CHECKOUT")
    options = parser.parse_args()
    sys.path.insert(0, str(options.root))
    from message_sender import Dispatcher

    stream = load_stream()
    if options.what == "cost":
        cost(stream, Dispatcher)
    elif options.folder is None:
        parser.error(f"{options.what} requires FOLDER")
    elif options.what == "record":
        record(stream, Dispatcher, options.folder, options.seeds)
    else:
        return 1 if replay(stream, Dispatcher, options.folder) else 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
