"""What one core can do, and what is left of it at twice that.

    python benchmarks/capacity.py [--root FOLDER ...] [--seconds 4]

For each FOLDER (a checkout with its .venv; this one without the option), with the clients, receivers and
platform of storm.py: CPU microseconds of the sender for a message at 500 a second; the most messages a second
that it took on over a ladder of rates; then twice that: the share left without an answer, the share refused,
and taken on as a share of that most. The last lines compare each FOLDER with the first, in this run.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import tempfile
from collections import Counter
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import storm

LADDER = (800, 1000, 1200, 1400, 1600, 1900, 2200)
CALM = 500


def cpu_seconds(process: int) -> float:
    """User and system time so far, from proc(5)."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Sender:
    """One sender of a checkout, started anew for each rate so that no backlog carries over."""

    def __init__(self, root: Path, ports: list[int]) -> None:
        self.root, self.ports = root, ports

    async def offer(self, rate: float, seconds: float) -> dict[str, float]:
        with tempfile.TemporaryDirectory() as folder:
            state, port = Path(folder) / "state", storm.free_port()
            state.mkdir()
            process = storm.start(self.root, storm.config(port, *self.ports), state, Path(folder) / "log")
            await storm.ready(port)
            run = storm.Storm(port, int(rate))
            before = cpu_seconds(process.pid)
            sent, answered, late = await run.offer(rate, seconds)
            spent = cpu_seconds(process.pid) - before
            statuses = Counter(run.answers.values())
            process.terminate()
            process.wait(10)
        return {
            "rate": rate,
            "taken_a_second": statuses[202] / seconds,
            "unanswered": 1 - answered / sent,
            "refused": (statuses[429] + statuses[503]) / sent,
            "cpu_us": spent / sent * 1e6,
            "late_ms": late * 1e3,
        }


async def measure(root: Path, ports: list[int], seconds: float) -> dict[str, Any]:
    sender = Sender(root, ports)
    calm = await sender.offer(CALM, seconds)
    ladder = [await sender.offer(rate, seconds) for rate in LADDER]
    most = max(each["taken_a_second"] for each in ladder)
    twice = await sender.offer(2 * most, seconds)
    return {
        "root": root.name,
        "cpu_us_at_500": round(calm["cpu_us"]),
        "most_a_second": round(most),
        "twice": {
            "offered": round(2 * most),
            "unanswered": round(twice["unanswered"], 4),
            "refused": round(twice["refused"], 3),
            "of_the_most": round(twice["taken_a_second"] / most, 3),
            "generator_late_ms": round(twice["late_ms"]),
        },
    }


async def main_loop(roots: list[Path], seconds: float) -> None:
    ours, theirs = multiprocessing.Pipe()
    helper = multiprocessing.Process(target=storm.peers, args=(theirs,), daemon=True)
    helper.start()
    storm.pin(storm.CLIENTS_CORE)
    ports = ours.recv()
    found = []
    for root in roots:
        found.append(await measure(root, ports, seconds))
        print(json.dumps(found[-1]), flush=True)
    end(ours, helper)
    for each in found[1:]:
        cpu = each["cpu_us_at_500"] / found[0]["cpu_us_at_500"]
        most = each["most_a_second"] / found[0]["most_a_second"]
        print(f"{each['root']} over the first: CPU a message {cpu:.2f}, most a second {most:.2f}")


def end(pipe: Connection, helper: multiprocessing.Process) -> None:
    pipe.send("end")
    helper.join(5)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--root", type=Path, nargs="+", default=[storm.ROOT])
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    asyncio.run(main_loop([each.resolve() for each in options.root], options.seconds))


if __name__ == "__main__":
    main()
