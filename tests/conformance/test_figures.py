"""The metrics for operators equal exactly what the endpoint and the platform recorded."""

import asyncio
import random
from pathlib import Path

import pytest
from peers import Platform as Discovery
from peers import Running, answer_notices, call, config_json, host, run_async_test

from message_sender.testbed.history import AttemptStarted, History, MessageCompleted
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

MESSAGES = 30
TIME_LEFT = 1.5  # s
ACTS = [
    ScriptedAnswer(EndpointBehavior.SERVE),
    ScriptedAnswer(EndpointBehavior.SERVE, 0.05),
    ScriptedAnswer(EndpointBehavior.ERROR),
    ScriptedAnswer(EndpointBehavior.FULL),
    ScriptedAnswer(EndpointBehavior.FULL, 0.05),
    ScriptedAnswer(EndpointBehavior.RESET),
]
STATES = {"returned": "deferred", "failed": "errored"}


def expected_metrics(history: History) -> dict[str, int]:
    """Returns the metrics that follow from a history; a message reported twice has one end."""
    ends = {each.message: each.state for each in history.events if isinstance(each, MessageCompleted)}
    counts = {name: sum(state == name for state in ends.values()) for name in STATES.values()}
    sends = sum(isinstance(each, AttemptStarted) for each in history.events)
    return counts | {"sends": sends, "ended": len(ends)}


@pytest.mark.parametrize("seed", range(6))
def test_metrics_equal_the_recorded_attempts_and_ends(seed: int, tmp_path: Path) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        rng, history = random.Random(seed), History()
        acts = {f"m{at}": [rng.choice(ACTS) for _ in range(rng.randrange(3))] for at in range(MESSAGES)}
        async with (
            HttpEndpoint(
                "r", Script(acts, default=ScriptedAnswer(EndpointBehavior.SERVE)), history
            ) as endpoint,
            Discovery() as platform,
        ):
            on_end = lambda name, end: history.record(MessageCompleted(history.clock(), name, STATES[end]))  # noqa: E731
            task = asyncio.create_task(answer_notices(platform, on_end))
            configuration = config_json(platform, host(f"127.0.0.1:{endpoint.port}")) | {
                "management": "127.0.0.1:0"
            }
            async with Running(configuration, folder) as running:
                client, refused = HttpClient(running.address), 0
                for name in acts:
                    status, _ = await client.post("/c", build_fields(name, rng), b"x")
                    refused += status != 202
                while running.sender.engine.journal.entries or running.sender.engine.attempts.calls:
                    await asyncio.sleep(0.01)
                client.close()
                reply = await call(running.sender.management_server.address(), "GET", "/stats")
            task.cancel()
        lines = (each.removeprefix("edge_balancer.").split("=") for each in reply.body.decode().split())
        metrics = {name.removeprefix("transactions.c."): int(value) for name, value in lines}
        expected = expected_metrics(history)
        assert metrics["sends"] == expected["sends"]
        assert metrics["errored"] == expected["errored"]
        assert metrics["deferred"] == expected["deferred"] + refused
        assert metrics["answered"] == MESSAGES - refused - expected["ended"]
        assert metrics["current"] == 0

    test(tmp_path)


def build_fields(name: str, rng: random.Random) -> dict[str, str]:
    """Returns the header fields of a message; some have so little time left that they are returned."""
    time_left = rng.choice([TIME_LEFT, TIME_LEFT, 0.06])
    fields = {
        "X-Correlation-Id": name,
        "X-Service-Class": "c",
        "X-Time-Left": str(time_left),
        "X-Route-To": "dest=3",
    }
    return fields | {"Idempotency-Key": name}
