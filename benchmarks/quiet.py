"""Memory and latency beside 10,000 destinations that are listed and quiet.

    python benchmarks/quiet.py [--root FOLDER] [--quiet 10000] [--rounds 3]

Two senders of FOLDER in turn, with the stand-ins of storm.py: one knows its 20 busy destinations, the other
as many quiet ones more. Each gets 300 messages a second for 5 s. Told are the resident memory of the process
before and after, and the 50th and 99th percentile of the time to the answer; the last line has the ratios.
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
    """MB, from proc(5)."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def offer(root: Path, ports: list[int], listed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        state, port = Path(folder) / "state", storm.free_port()
        state.mkdir()
        process = storm.start(root, storm.config(port, *ports, listed), state, Path(folder) / "log")
        await storm.ready(port)
        await asyncio.sleep(0.5)  # the first list is read
        before, run = resident(process.pid), storm.Storm(port, listed)
        await run.offer(RATE, SECONDS)
        after = resident(process.pid)
        process.terminate()
        process.wait(10)
    cut = statistics.quantiles(run.took, n=100)
    return {"before_mb": before, "after_mb": after, "p50_ms": cut[49] * 1e3, "p99_ms": cut[98] * 1e3}


async def main_loop(root: Path, quiet: int, rounds: int) -> None:
    ours, theirs = multiprocessing.Pipe()
    helper = multiprocessing.Process(target=storm.peers, args=(theirs,), daemon=True)
    helper.start()
    storm.pin(storm.CLIENTS_CORE)
    ports = ours.recv()
    found: dict[int, list[dict[str, float]]] = {storm.DESTINATIONS: [], storm.DESTINATIONS + quiet: []}
    for _ in range(rounds):
        for listed, runs in found.items():
            runs.append(await offer(root, ports, listed))
            print(json.dumps({"listed": listed} | {k: round(v, 3) for k, v in runs[-1].items()}), flush=True)
    ours.send("end")
    helper.join(5)
    few, many = ({k: statistics.median(x[k] for x in runs) for k in runs[0]} for runs in found.values())
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
