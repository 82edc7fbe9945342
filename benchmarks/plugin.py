"""The plug-in beside a bare gRPC call and beside the daemon: latency and CPU of a message.

    python benchmarks/plugin.py [--rounds 5] [--messages 400] [--json FILE]

Each way runs as whole processes on one pinned core, the endpoint on another; the ways take turns within a
round, and the medians over the rounds are told. A message is sent when the one before is over.

- bare: a `grpc.aio` call from the host to the endpoint.
- plugin: the same call through the plug-in (journal and rules included).
- daemon: the host posts to `message-sender serve` on the same core, which calls the HTTP endpoint; over when
  the host reads the final answer from the daemon's output. CPU is that of host and daemon together.
"""

import argparse
import asyncio
import json
import os
import re
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import grpc

from message_sender.grpc import open_channel
from message_sender.testbed.grpc import GrpcEndpoint
from message_sender.testbed.history import History, HistoryEvent
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import Script

ROOT = Path(__file__).resolve().parent.parent
HOST_CORE, ENDPOINT_CORE = 0, 1
WARM_UP = 50  # messages that do not count
METHOD, BODY = "/stromweg.Commands/Send", b"x" * 200
CLASS = {"effect": "keyed", "aim_ms": 4000, "deadline_ms": 20000, "window_ms": 5000, "in_order": True}
METADATA = (("elmglade-destination", "1"), ("idempotency-key", "i"))


def pin(core: int) -> None:
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, {cores[core % len(cores)]})


def told(port: int) -> dict[str, Any]:
    endpoint = {"id": "e", "destination": 1, "dial": f"127.0.0.1:{port}"}
    return {"listen": "127.0.0.1:0", "classes": {"command": CLASS}, "endpoints": [endpoint]}


def toml(port: int) -> str:
    lines = ['listen = "127.0.0.1:0"', "[classes.command]"]
    lines += [f"{name} = {json.dumps(value)}" for name, value in CLASS.items()]
    return "\n".join([*lines, "[[endpoints]]", 'id="e"', "destination=1", f'dial="127.0.0.1:{port}"', ""])


class Unkept(History):
    """Nothing is judged here, so nothing is kept."""

    def note(self, event: HistoryEvent) -> None:
        pass


async def endpoints() -> None:
    pin(ENDPOINT_CORE)
    history = Unkept()
    async with GrpcEndpoint("e", Script(), history) as one, HttpEndpoint("e", Script(), history) as two:
        print(one.port, two.port, flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def timed(send: Any, messages: int) -> list[float]:  # noqa: ANN401
    for number in range(WARM_UP):
        await send(-1 - number)
    taken = []
    for number in range(messages):
        began = time.perf_counter()
        await send(number)
        taken.append(time.perf_counter() - began)
    return taken


def cpu(who: int = resource.RUSAGE_SELF) -> float:
    used = resource.getrusage(who)
    return used.ru_utime + used.ru_stime


async def bare(port: int, messages: int) -> list[float]:
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        stub = channel.unary_unary(METHOD)

        async def send(number: int) -> None:
            await stub(BODY, timeout=20, metadata=(*METADATA, ("elmglade-id", f"b{number}")))

        return await timed(send, messages)


async def plugin(port: int, messages: int) -> list[float]:
    with tempfile.TemporaryDirectory() as state:
        channel = await open_channel(told(port), state)
        stub = channel.unary_unary(METHOD)

        async def send(number: int) -> None:
            await stub(BODY, timeout=20, metadata=(*METADATA, ("elmglade-id", f"p{number}")))

        taken = await timed(send, messages)
        await channel.close()
        return taken


async def daemon(port: int, messages: int) -> list[float]:
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "c.toml"
        file.write_text(toml(port))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "message_sender", "serve", "--config", str(file), "--state", folder),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        assert process.stdout is not None and process.stderr is not None
        while not (found := re.search(rb"ready on (\S+):(\d+)", await process.stderr.readline())):
            pass
        client = HttpClient((found[1].decode(), int(found[2])))
        out = process.stdout

        async def send(number: int) -> None:
            fields = {"X-Correlation-Id": f"d{number}", "X-Service-Class": "command", "X-Time-Left": "20"}
            fields |= {"X-Route-To": "dest=1", "Idempotency-Key": "i"}
            status, _ = await client.post("/command", fields, BODY)
            assert status == 202 and b"delivered" in await out.readline()

        taken = await timed(send, messages)
        client.close()
        process.terminate()
        await process.wait()
        return taken


def memory() -> int:
    """Resident size in kB."""
    return int(re.search(r"VmRSS:\s+(\d+)", Path("/proc/self/status").read_text())[1])  # type: ignore[index]


def work(way: str, port: int, messages: int) -> None:
    pin(HOST_CORE)
    taken = asyncio.run({"bare": bare, "plugin": plugin, "daemon": daemon}[way](port, messages))
    used = cpu() + (cpu(resource.RUSAGE_CHILDREN) if way == "daemon" else 0.0)
    ordered = sorted(taken)
    told = {"p50": statistics.median(ordered), "p99": ordered[int(0.99 * len(ordered)) - 1]}
    print(json.dumps({name: value * 1e6 for name, value in told.items()} | {"cpu": used, "rss": memory()}))


def one(way: str, ports: list[int], messages: int) -> dict[str, float]:
    port = ports[1] if way == "daemon" else ports[0]
    words = [sys.executable, __file__, "--way", way, "--port", str(port), "--messages", str(messages)]
    out = subprocess.run(words, capture_output=True, check=True, text=True, timeout=120).stdout
    return json.loads(out.splitlines()[-1])  # type: ignore[no-any-return]


def measure(rounds: int, messages: int) -> dict[str, dict[str, float]]:
    """Medians by way. CPU a message is a long run's less a short one's: starting costs both alike."""
    words = [sys.executable, __file__, "--way", "endpoints"]
    with subprocess.Popen(words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        ports = [int(each) for each in process.stdout.readline().split()]
        found: dict[str, list[dict[str, float]]] = {"bare": [], "plugin": [], "daemon": []}
        for _ in range(rounds):
            for way, rows in found.items():
                short, row = one(way, ports, messages // 4), one(way, ports, messages)
                row["cpu"] = (row["cpu"] - short["cpu"]) / (messages - messages // 4) * 1e6
                rows.append(row)
        process.communicate("")
    return {
        way: {name: statistics.median(row[name] for row in rows) for name in rows[0]}
        for way, rows in found.items()
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--messages", type=int, default=400)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--way", help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.way == "endpoints":
        asyncio.run(endpoints())
        return 0
    if options.way:
        work(options.way, options.port, options.messages)
        return 0
    found = measure(options.rounds, options.messages)
    print(f"{'':8}{'p50 us':>9}{'p99 us':>9}{'CPU us':>9}{'RSS kB':>9}")
    for way, row in found.items():
        print(f"{way:8}" + "".join(f"{row[name]:>9.0f}" for name in ("p50", "p99", "cpu", "rss")))
    print(f"plugin over bare: {found['plugin']['p50'] - found['bare']['p50']:.0f} us (aim: at most 400)")
    share = 1 - found["plugin"]["p50"] / found["daemon"]["p50"]
    print(f"plugin under daemon: {share:.0%} (aim: at least 33%)")
    if options.json:
        options.json.write_text(json.dumps(found, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
