"""What one core can do, and what is left of it at twice that.

    python benchmarks/capacity.py [--root FOLDER ...] [--seconds 4] [--clients 4] [--proxy PYTHON]

For each FOLDER (a checkout with its .venv; this one without the option), with receivers and platform of
storm.py and its clients in several processes, so that they are not what is measured: CPU microseconds of the
sender for a message at 500 a second; the most messages a second that it took on over a ladder of rates; then
twice that: the share left without an answer, the share refused, and taken on as a share of that most. The
last lines compare each FOLDER with the first, in this run. PYTHON is an interpreter that has aiohttp: the
bare proxy of proxy.py is then measured first.
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

LADDER = (800, 1000, 1200, 1400, 1600, 1900, 2200, 2500)
CALM = 500


def cpu_seconds(process: int) -> float:
    """User and system time so far, from proc(5)."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def one_client(told: tuple[int, int, float, float, int, float]) -> tuple[int, int, float, Counter[int]]:
    """Its part of a rate: sent, answered in time, the worst lateness of its own in s, and what it heard."""
    port, number, rate, seconds, core, begin = told
    storm.pin(core)
    run = storm.Storm(port, number)

    async def offer() -> tuple[int, int, float]:
        await asyncio.sleep(max(begin - time.monotonic(), 0.0))
        return await run.offer(rate, seconds)

    return (*asyncio.run(offer()), Counter(run.answers.values()))


class Sender:
    """What is measured, started anew for each rate so that no backlog carries over."""

    def __init__(self, root: Path, ports: list[int], pool: Any, clients: int, proxy: str = "") -> None:  # noqa: ANN401
        self.root, self.ports, self.pool, self.clients, self.proxy = root, ports, pool, clients, proxy

    def start(self, port: int, state: Path, log: Path) -> subprocess.Popen[bytes]:
        if not self.proxy:
            return storm.start(self.root, storm.config(port, *self.ports), state, log)
        script = Path(__file__).with_name("proxy.py")
        process = subprocess.Popen(
            [self.proxy, str(script), str(port), str(self.ports[0])], stderr=subprocess.DEVNULL
        )
        storm.pin(storm.SENDER_CORE, process.pid)
        return process

    async def offer(self, rate: float, seconds: float) -> dict[str, float]:
        with tempfile.TemporaryDirectory() as folder:
            state, port = Path(folder) / "state", storm.free_port()
            state.mkdir()
            process = self.start(port, state, Path(folder) / "log")
            await storm.ready(port)
            before = cpu_seconds(process.pid)
            begin = time.monotonic() + 0.3
            parts = [
                (port, number, rate / self.clients, seconds, storm.CLIENTS_CORE + number, begin)
                for number in range(self.clients)
            ]
            found = self.pool.map(one_client, parts)
            spent = cpu_seconds(process.pid) - before
            process.terminate()
            process.wait(10)
        sent, answered = sum(each[0] for each in found), sum(each[1] for each in found)
        statuses: Counter[int] = sum((each[3] for each in found), Counter())
        return {
            "rate": rate,
            "taken_a_second": statuses[202] / seconds,
            "unanswered": 1 - answered / sent,
            "refused": (statuses[429] + statuses[503]) / sent,
            "cpu_us": spent / sent * 1e6,
            "late_ms": max(each[2] for each in found) * 1e3,
        }


async def measure(sender: Sender, seconds: float) -> dict[str, Any]:
    calm = await sender.offer(CALM, seconds)
    ladder = [await sender.offer(rate, seconds) for rate in LADDER]
    most = max(each["taken_a_second"] for each in ladder)
    twice = await sender.offer(2 * most, seconds)
    return {
        "root": "bare proxy" if sender.proxy else sender.root.name,
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


async def main_loop(options: argparse.Namespace) -> None:
    ours, theirs = multiprocessing.Pipe()
    helper = multiprocessing.Process(target=storm.peers, args=(theirs,), daemon=True)
    helper.start()
    ports = ours.recv()
    found = []
    with multiprocessing.get_context("spawn").Pool(options.clients) as pool:
        senders = [Sender(each.resolve(), ports, pool, options.clients) for each in options.root]
        if options.proxy:
            senders.insert(0, Sender(storm.ROOT, ports, pool, options.clients, options.proxy))
        for each in senders:
            found.append(await measure(each, options.seconds))
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
    parser.add_argument("--clients", type=int, default=4, help="processes, each on a core of its own")
    parser.add_argument("--proxy", default="", metavar="PYTHON")
    asyncio.run(main_loop(parser.parse_args()))


if __name__ == "__main__":
    main()
