"""Memory and latency of a sender that lists 10,000 destinations without traffic.

    python benchmarks/quiet.py [--root FOLDER] [--quiet 10000] [--rounds 3]

Runs two senders of FOLDER in turn, with the stand-ins of storm.py: one lists 20 busy destinations, the other
also lists the given number of destinations without traffic. Each gets 300 messages/s for 5 s. Prints the
resident memory of the process before and after in MB, and the median and the 99th percentile of the response
time; the last line has the added memory and the ratios of the response times.
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


def resident(process: int) -> float:
    """Returns the resident memory of a process in MB, from /proc/PID/statm (proc(5))."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def offer(root: Path, ports: list[int], listed: int) -> dict[str, float]:
    """Runs a new sender with `listed` destinations under load."""
    with tempfile.TemporaryDirectory() as folder:
        state, port = Path(folder) / "state", storm.free_port()
        state.mkdir()
        process = storm.start(root, storm.config(port, *ports, listed), state, Path(folder) / "log")
        await storm.ready(port)
        await asyncio.sleep(0.5)  # until the sender has read the first list
        before, run = resident(process.pid), storm.Storm(port, listed)
        await run.offer(RATE, SECONDS)
        after = resident(process.pid)
        process.terminate()
        process.wait(10)
    cuts = statistics.quantiles(run.latencies_s, n=100)
    return {"before_mb": before, "after_mb": after, "p50_ms": cuts[49] * 1e3, "p99_ms": cuts[98] * 1e3}


async def main_loop(root: Path, quiet: int, rounds: int) -> None:
    ours, theirs = multiprocessing.Pipe()
    stand_ins = multiprocessing.Process(target=storm.peers, args=(theirs,), daemon=True)
    stand_ins.start()
    storm.pin(storm.CLIENTS_CORE)
    ports = ours.recv()
    runs_by_length: dict[int, list[dict[str, float]]] = {
        storm.DESTINATIONS: [],
        storm.DESTINATIONS + quiet: [],
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
    print(f"added by {quiet} quiet ones: {many['after_mb'] - few['after_mb']:.1f} MB; p50 times", end=" ")
    print(f"{many['p50_ms'] / few['p50_ms']:.2f}, p99 times {many['p99_ms'] / few['p99_ms']:.2f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--root", type=Path, default=storm.ROOT)
    parser.add_argument("--quiet", type=int, default=10_000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    asyncio.run(main_loop(options.root.resolve(), options.quiet, options.rounds))


if __name__ == "__main__":
    main()
