"""Memory and latency of a sender whose list has 10,000 destinations without traffic.

    python benchmarks/quiet.py [--root FOLDER] [--unused 10000] [--rounds 3]

Runs two senders of FOLDER in turn, with the stand-ins of storm.py: one lists 20 destinations with traffic,
the other also lists the given number of destinations without traffic. Each gets 300 messages/s for 5 s.
Prints the resident memory of the process before and after in MB, and the median and the 99th percentile of
the response time; the last line has the added memory and the ratios of the response times.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import statistics
import tempfile
from pathlib import Path

import storm

RATE, SECONDS = 300.0, 5.0


def resident_mb(process: int) -> float:
    """Returns the resident memory of a process in MB, from /proc/PID/statm (proc(5))."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def offer(root: Path, ports: list[int], listed: int) -> dict[str, float]:
    """Runs a new sender with `listed` destinations under load."""
    with tempfile.TemporaryDirectory() as folder:
        state, port = Path(folder) / "state", storm.free_port()
        state.mkdir()
        process = storm.start(root, storm.config(port, *ports, listed), state, Path(folder) / "log")
        await storm.wait_until_ready(port)
        await asyncio.sleep(0.5)  # until the sender has read the first list
        before, generator = resident_mb(process.pid), storm.LoadGenerator(port, listed)
        await generator.offer(RATE, SECONDS)
        after = resident_mb(process.pid)
        process.terminate()
        process.wait(10)
    cuts = statistics.quantiles(generator.latencies_s, n=100)
    return {"before_mb": before, "after_mb": after, "p50_ms": cuts[49] * 1e3, "p99_ms": cuts[98] * 1e3}


async def compare(root: Path, unused: int, rounds: int) -> None:
    """Runs both senders alternately and prints each result, and the ratios of the medians."""
    ours, theirs = multiprocessing.Pipe()
    stand_ins = multiprocessing.Process(target=storm.run_peers, args=(theirs,), daemon=True)
    stand_ins.start()
    storm.pin(storm.CLIENTS_CORE)
    ports = ours.recv()
    runs_by_length: dict[int, list[dict[str, float]]] = {
        storm.DESTINATIONS: [],
        storm.DESTINATIONS + unused: [],
    }
    for _ in range(rounds):
        for listed, runs in runs_by_length.items():
            runs.append(await offer(root, ports, listed))
            print(json.dumps({"listed": listed} | {k: round(v, 3) for k, v in runs[-1].items()}), flush=True)
    ours.send("end")
    stand_ins.join(5)
    few, many = (
        {k: statistics.median(x[k] for x in runs) for k in runs[0]} for runs in runs_by_length.values()
    )
    print(f"{unused} unused destinations add {many['after_mb'] - few['after_mb']:.1f} MB; p50 ratio", end=" ")
    print(f"{many['p50_ms'] / few['p50_ms']:.2f}, p99 ratio {many['p99_ms'] / few['p99_ms']:.2f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--root", type=Path, default=storm.ROOT)
    parser.add_argument("--unused", type=int, default=10_000, help="destinations without traffic")
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    asyncio.run(compare(options.root.resolve(), options.unused, options.rounds))


if __name__ == "__main__":
    main()
