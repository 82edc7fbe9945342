"""The capacity of a sender on one core, and its throughput at twice that load.

    python benchmarks/capacity.py [--root FOLDER ...] [--seconds 4] [--clients 4] [--proxy PYTHON]

Measures for each FOLDER (a checkout with its .venv; this checkout by default): the sender's CPU time per
message in us at 500 messages/s; the highest rate of accepted messages over a series of offered rates; and at
twice that rate the share without an answer, the share refused, and the accepted rate relative to the highest
one. The receivers and the platform are those of storm.py; its clients run in several processes, so that they
do not limit the rate. The last lines compare each FOLDER with the first one of the same run. PYTHON is an
interpreter with aiohttp; if it is given, the bare proxy of proxy.py is measured first.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import subprocess
import tempfile
import time
from collections import Counter
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import storm

OFFERED_RATES = (800, 1000, 1200, 1400, 1600, 1900, 2200, 2500)
BASE_RATE = 500  # messages/s at which the CPU time per message is measured


def cpu_seconds(process: int) -> float:
    """Returns the user and system time of a process so far, in s, from /proc/PID/stat (proc(5))."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_client(task: tuple[int, int, float, float, int, float]) -> tuple[int, int, float, Counter[int]]:
    """Offers the share of one client process; runs in that process.

    Args:
        task: The port, the number of the client, its rate in messages/s, the duration in s, its core and the
            start time in s of time.monotonic().

    Returns:
        The numbers of sent and answered messages, the longest delay of a send after its schedule
        time in s, and the number of answers by HTTP status.
    """
    port, number, rate, seconds, core, begin = task
    storm.pin(core)
    generator = storm.LoadGenerator(port, number)

    async def offer() -> tuple[int, int, float]:
        await asyncio.sleep(max(begin - time.monotonic(), 0.0))
        return await generator.offer(rate, seconds)

    return (*asyncio.run(offer()), Counter(generator.answers.values()))


class Sender:
    """Measures a sender, which is started anew for each rate, so that no backlog is carried over."""

    def __init__(self, root: Path, ports: list[int], pool: Any, clients: int, proxy: str = "") -> None:  # noqa: ANN401
        self.root, self.ports, self.pool, self.clients, self.proxy = root, ports, pool, clients, proxy

    def start(self, port: int, state: Path, log: Path) -> subprocess.Popen[bytes]:
        """Starts the sender, or the bare proxy if one is set."""
        if not self.proxy:
            return storm.start(self.root, storm.config(port, *self.ports), state, log)
        script = Path(__file__).with_name("proxy.py")
        process = subprocess.Popen(
            [self.proxy, str(script), str(port), str(self.ports[0])], stderr=subprocess.DEVNULL
        )
        storm.pin(storm.SENDER_CORE, process.pid)
        return process

    async def offer(self, rate: float, seconds: float) -> dict[str, float]:
        """Offers messages at one rate (messages/s) to a new process."""
        with tempfile.TemporaryDirectory() as folder:
            state, port = Path(folder) / "state", storm.free_port()
            state.mkdir()
            process = self.start(port, state, Path(folder) / "log")
            await storm.wait_until_ready(port)
            before = cpu_seconds(process.pid)
            begin = time.monotonic() + 0.3
            tasks = [
                (port, number, rate / self.clients, seconds, storm.CLIENTS_CORE + number, begin)
                for number in range(self.clients)
            ]
            results = self.pool.map(run_client, tasks)
            spent = cpu_seconds(process.pid) - before
            process.terminate()
            process.wait(10)
        sent, answered = sum(each[0] for each in results), sum(each[1] for each in results)
        statuses: Counter[int] = sum((each[3] for each in results), Counter())
        return {
            "rate": rate,
            "accepted_per_s": statuses[202] / seconds,
            "unanswered": 1 - answered / sent,
            "refused": (statuses[429] + statuses[503]) / sent,
            "cpu_us": spent / sent * 1e6,
            "late_ms": max(each[2] for each in results) * 1e3,
        }


async def measure(sender: Sender, seconds: float) -> dict[str, Any]:
    """Measures the CPU time, the highest rate and the behaviour at twice that rate."""
    base = await sender.offer(BASE_RATE, seconds)
    runs = [await sender.offer(rate, seconds) for rate in OFFERED_RATES]
    max_rate = max(each["accepted_per_s"] for each in runs)
    twice = await sender.offer(2 * max_rate, seconds)
    return {
        "root": "bare proxy" if sender.proxy else sender.root.name,
        "cpu_us_at_500": round(base["cpu_us"]),
        "max_per_s": round(max_rate),
        "twice": {
            "offered": round(2 * max_rate),
            "unanswered": round(twice["unanswered"], 4),
            "refused": round(twice["refused"], 3),
            "share_of_max": round(twice["accepted_per_s"] / max_rate, 3),
            "generator_late_ms": round(twice["late_ms"]),
        },
    }


async def compare(options: argparse.Namespace) -> None:
    """Measures all senders and prints each result, and the ratios to the first one."""
    ours, theirs = multiprocessing.Pipe()
    stand_ins = multiprocessing.Process(target=storm.run_peers, args=(theirs,), daemon=True)
    stand_ins.start()
    ports = ours.recv()
    results = []
    with multiprocessing.get_context("spawn").Pool(options.clients) as pool:
        senders = [Sender(each.resolve(), ports, pool, options.clients) for each in options.root]
        if options.proxy:
            senders.insert(0, Sender(storm.ROOT, ports, pool, options.clients, options.proxy))
        for each in senders:
            results.append(await measure(each, options.seconds))
            print(json.dumps(results[-1]), flush=True)
    stop_stand_ins(ours, stand_ins)
    for each in results[1:]:
        cpu = each["cpu_us_at_500"] / results[0]["cpu_us_at_500"]
        rate = each["max_per_s"] / results[0]["max_per_s"]
        print(f"{each['root']}, ratio to the first: CPU time per message {cpu:.2f}, highest rate {rate:.2f}")


def stop_stand_ins(pipe: Connection, stand_ins: multiprocessing.Process) -> None:
    """Ends the process of the stand-ins and waits for it for up to 5 s."""
    pipe.send("end")
    stand_ins.join(5)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--root", type=Path, nargs="+", default=[storm.ROOT])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--clients", type=int, default=4, help="client processes, each on its own core")
    parser.add_argument("--proxy", default="", metavar="PYTHON", help="an interpreter with aiohttp")
    asyncio.run(compare(parser.parse_args()))


if __name__ == "__main__":
    main()
