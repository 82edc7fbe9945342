"""Latency and CPU time per message of the plug-in, compared with a bare gRPC call and with the daemon.

    python benchmarks/plugin.py [--rounds 5] [--messages 400] [--json FILE]

Each variant runs in its own processes on one pinned core, with the endpoint on another core. The variants
alternate within a round, and the medians over the rounds are printed. Messages are sent one after the other.

- bare: a `grpc.aio` call from the host to the endpoint.
- plugin: the same call through the plug-in, including journal and policy.
- daemon: the host posts to `message-sender serve` on the same core, which calls the HTTP endpoint. A message
  ends when the host reads its final state from the daemon's output. CPU time is that of host and daemon.
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
WARM_UP = 50  # messages that are sent before the measurement
METHOD, BODY = "/stromweg.Commands/Send", b"x" * 200
CLASS = {"effect": "keyed", "aim_ms": 4000, "deadline_ms": 20000, "window_ms": 5000, "in_order": True}
METADATA = (("elmglade-destination", "1"), ("idempotency-key", "i"))


def pin(core: int) -> None:
    """Pins this process to a core; core numbers wrap around if there are fewer cores."""
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, {cores[core % len(cores)]})


def plugin_config(port: int) -> dict[str, Any]:
    """Returns the configuration of the plug-in with one endpoint."""
    endpoint = {"id": "e", "destination": 1, "dial": f"127.0.0.1:{port}"}
    return {"listen": "127.0.0.1:0", "classes": {"command": CLASS}, "endpoints": [endpoint]}


def daemon_config(port: int) -> str:
    """Returns the configuration file of the daemon with one endpoint."""
    lines = ['listen = "127.0.0.1:0"', "[classes.command]"]
    lines += [f"{name} = {json.dumps(value)}" for name, value in CLASS.items()]
    return "\n".join([*lines, "[[endpoints]]", 'id="e"', "destination=1", f'dial="127.0.0.1:{port}"', ""])


class DiscardingHistory(History):
    """A history that discards all events, because the benchmark does not check them."""

    def note(self, event: HistoryEvent) -> None:
        pass


async def run_endpoints() -> None:
    """Runs both endpoints until the end of standard input; prints their ports first."""
    pin(ENDPOINT_CORE)
    history = DiscardingHistory()
    async with (
        GrpcEndpoint("e", Script(), history) as grpc_endpoint,
        HttpEndpoint("e", Script(), history) as http_endpoint,
    ):
        print(grpc_endpoint.port, http_endpoint.port, flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def measure_latencies(send: Any, messages: int) -> list[float]:  # noqa: ANN401
    """Sends messages one after the other and returns the latencies in s, without those of the warm-up."""
    for number in range(WARM_UP):
        await send(-1 - number)
    latencies = []
    for number in range(messages):
        started_at = time.perf_counter()
        await send(number)
        latencies.append(time.perf_counter() - started_at)
    return latencies


def cpu_seconds(who: int = resource.RUSAGE_SELF) -> float:
    """Returns the user and system time so far, in s."""
    usage = resource.getrusage(who)
    return usage.ru_utime + usage.ru_stime


async def measure_bare(port: int, messages: int) -> list[float]:
    """Measures bare gRPC calls."""
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        stub = channel.unary_unary(METHOD)

        async def send(number: int) -> None:
            await stub(BODY, timeout=20, metadata=(*METADATA, ("elmglade-id", f"b{number}")))

        return await measure_latencies(send, messages)


async def measure_plugin(port: int, messages: int) -> list[float]:
    """Measures calls through the plug-in."""
    with tempfile.TemporaryDirectory() as state:
        channel = await open_channel(plugin_config(port), state)
        stub = channel.unary_unary(METHOD)

        async def send(number: int) -> None:
            await stub(BODY, timeout=20, metadata=(*METADATA, ("elmglade-id", f"p{number}")))

        latencies = await measure_latencies(send, messages)
        await channel.close()
        return latencies


async def measure_daemon(port: int, messages: int) -> list[float]:
    """Measures messages through the daemon."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "c.toml"
        file.write_text(daemon_config(port))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "message_sender", "serve", "--config", str(file), "--state", folder),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        assert process.stdout is not None and process.stderr is not None
        while not (ready := re.search(rb"ready on (\S+):(\d+)", await process.stderr.readline())):
            pass
        client = HttpClient((ready[1].decode(), int(ready[2])))
        output = process.stdout

        async def send(number: int) -> None:
            fields = {"X-Correlation-Id": f"d{number}", "X-Service-Class": "command", "X-Time-Left": "20"}
            fields |= {"X-Route-To": "dest=1", "Idempotency-Key": "i"}
            status, _ = await client.post("/command", fields, BODY)
            assert status == 202 and b"delivered" in await output.readline()

        latencies = await measure_latencies(send, messages)
        client.close()
        process.terminate()
        await process.wait()
        return latencies


def resident_memory() -> int:
    """Returns the resident memory of this process in kB."""
    return int(re.search(r"VmRSS:\s+(\d+)", Path("/proc/self/status").read_text())[1])  # type: ignore[index]


def run_variant(variant: str, port: int, messages: int) -> None:
    """Measures one variant in this process and prints the results as JSON."""
    pin(HOST_CORE)
    latencies = asyncio.run(
        {"bare": measure_bare, "plugin": measure_plugin, "daemon": measure_daemon}[variant](port, messages)
    )
    cpu_s = cpu_seconds() + (cpu_seconds(resource.RUSAGE_CHILDREN) if variant == "daemon" else 0.0)
    ordered = sorted(latencies)
    quantiles = {"p50": statistics.median(ordered), "p99": ordered[int(0.99 * len(ordered)) - 1]}
    print(
        json.dumps(
            {name: value * 1e6 for name, value in quantiles.items()}
            | {"cpu": cpu_s, "rss": resident_memory()}
        )
    )


def run_process(variant: str, ports: list[int], messages: int) -> dict[str, float]:
    """Measures one variant in a new process and returns its results."""
    port = ports[1] if variant == "daemon" else ports[0]
    command = [
        sys.executable,
        __file__,
        "--variant",
        variant,
        "--port",
        str(port),
        "--messages",
        str(messages),
    ]
    output = subprocess.run(command, capture_output=True, check=True, text=True, timeout=120).stdout
    return json.loads(output.splitlines()[-1])  # type: ignore[no-any-return]


def measure(rounds: int, messages: int) -> dict[str, dict[str, float]]:
    """Returns the medians over the rounds by variant.

    The CPU time per message is the difference between a long and a short run, which removes the cost of the
    start.
    """
    command = [sys.executable, __file__, "--variant", "endpoints"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        ports = [int(each) for each in process.stdout.readline().split()]
        results: dict[str, list[dict[str, float]]] = {"bare": [], "plugin": [], "daemon": []}
        for _ in range(rounds):
            for variant, rows in results.items():
                short, row = run_process(variant, ports, messages // 4), run_process(variant, ports, messages)
                row["cpu"] = (row["cpu"] - short["cpu"]) / (messages - messages // 4) * 1e6
                rows.append(row)
        process.communicate("")
    return {
        variant: {name: statistics.median(row[name] for row in rows) for name in rows[0]}
        for variant, rows in results.items()
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--messages", type=int, default=400)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--variant", help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.variant == "endpoints":
        asyncio.run(run_endpoints())
        return 0
    if options.variant:
        run_variant(options.variant, options.port, options.messages)
        return 0
    medians = measure(options.rounds, options.messages)
    print(f"{'':8}{'p50 us':>9}{'p99 us':>9}{'CPU us':>9}{'RSS kB':>9}")
    for variant, row in medians.items():
        print(f"{variant:8}" + "".join(f"{row[name]:>9.0f}" for name in ("p50", "p99", "cpu", "rss")))
    print(
        f"plugin minus bare: {medians['plugin']['p50'] - medians['bare']['p50']:.0f} us (target: at most 400)"
    )
    share = 1 - medians["plugin"]["p50"] / medians["daemon"]["p50"]
    print(f"plugin, saving compared with daemon: {share:.0%} (target: at least 33%)")
    if options.json:
        options.json.write_text(json.dumps(medians, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
