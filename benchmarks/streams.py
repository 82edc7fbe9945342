"""Records event streams of the decision module and lets another version hear them.

    python benchmarks/streams.py record FOLDER [--seeds N] [--root CHECKOUT]
    python benchmarks/streams.py replay FOLDER [--root CHECKOUT]
    python benchmarks/streams.py cost [--root CHECKOUT]

`record` plays a closed world (message_sender/testbed/event_stream.py) with the module of CHECKOUT (this one
without the option) and writes a file a seed. `replay` tells at which call of each file the module of CHECKOUT
first says something else, and what. `cost` tells the CPU of one message, calm, with 100 destinations down and
beside 10,000 quiet ones.
"""

import argparse
import importlib.util
import statistics
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent.parent


def load_stream() -> Any:  # noqa: ANN401
    """This checkout's streams, over the interface of the module that is measured."""
    spec = importlib.util.spec_from_file_location(
        "stream", HERE / "message_sender" / "testbed" / "event_stream.py"
    )
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    sys.modules["stream"] = module
    spec.loader.exec_module(module)
    return module


def record(stream: Any, dispatcher: Any, folder: Path, seeds: int) -> None:  # noqa: ANN401
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(seeds):
        world = stream.StreamWorld(stream.StreamShape(rate=(30, 60, 120)[seed % 3]), seed)
        with open(folder / f"{seed}.jsonl", "w") as out:
            made = dispatcher(world.settings, seed)
            recorder = stream.Recorder(out, world.settings, seed, made.handle)
            world.run(recorder, lambda *_: None)
        print(f"{seed}: {dict(world.action_counts)}")


def replay(stream: Any, dispatcher: Any, folder: Path) -> int:  # noqa: ANN401
    differing = 0
    for file in sorted(folder.glob("*.jsonl"), key=lambda each: int(each.stem)):
        with open(file) as source:
            told = stream.read(source)
            settings, seed = next(told)
            module, calls, at = dispatcher(settings, seed), 0, None
            for now, events, actions in told:
                calls += 1
                kept = [each for each in module.handle(now, events) if type(each).__name__ != "WakeAfter"]
                wanted = [each for each in actions if type(each).__name__ != "WakeAfter"]
                if kept != wanted and at is None:
                    at = calls, now, kept, wanted
                    break
        differing += at is not None
        if at:
            print(f"{file.name}: call {at[0]} at {at[1] / 1e6:.3f} s:\n  says {at[2]}\n  said {at[3]}")
        else:
            print(f"{file.name}: the same over {calls} calls")
    return differing


def measure(stream: Any, dispatcher: Any, shape: Any, skip: float) -> tuple[float, int]:  # noqa: ANN401
    """CPU us of the module for a message taken after `skip` seconds, and messages held at the end."""
    world = stream.StreamWorld(shape, 1)
    module = dispatcher(world.settings, 1)
    spent, taken = 0.0, 0

    def handle(now: int, events: list[Any]) -> list[Any]:
        nonlocal spent, taken
        began = time.process_time_ns()
        actions: list[Any] = module.handle(now, events)
        if now >= skip * 1e6:
            spent += time.process_time_ns() - began
            taken += sum(type(each).__name__ in ("MessageAccepted", "MessageTaken") for each in events)
        return actions

    world.run(handle, lambda *_: None)
    return spent / max(taken, 1) / 1e3, len(module.messages)


def cost(stream: Any, dispatcher: Any) -> None:  # noqa: ANN401
    small = {"slots": 64, "max_open": 4_500, "announces_rates": False, "fleet_size": 1}
    calm = {
        "fault_share": 0,
        "list_change_rate": 0,
        "keys": 0,
        "rate": 200.0,
        "seconds": 24.0,
        "settings": small,
    }
    shapes = {
        "calm, 20 destinations": stream.StreamShape(destinations=20, **calm),
        "100 of 120 down": stream.StreamShape(destinations=120, down=100, **calm | {"rate": 300.0}),
        "beside 10,000 quiet": stream.StreamShape(destinations=10_000, **calm | {"seconds": 12.0}),
    }
    first = None
    for name, shape in shapes.items():
        skip = 14.0 if shape.down else 2.0
        found = [measure(stream, dispatcher, shape, skip) for _ in range(3)]
        took, held = statistics.median(each[0] for each in found), found[0][1]
        first = first or took
        print(f"{name:>24}: {took:8.1f} us a message, {took / first:6.2f} times the first; {held} held")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("record", "replay", "cost"))
    parser.add_argument("folder", type=Path, nargs="?")
    parser.add_argument("--seeds", type=int, default=12)
    parser.add_argument("--root", type=Path, default=HERE)
    told = parser.parse_args()
    sys.path.insert(0, str(told.root))
    from message_sender import Dispatcher

    stream = load_stream()
    if told.what == "cost":
        cost(stream, Dispatcher)
    elif told.folder is None:
        parser.error(f"{told.what} needs a folder")
    elif told.what == "record":
        record(stream, Dispatcher, told.folder, told.seeds)
    else:
        return 1 if replay(stream, Dispatcher, told.folder) else 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
