"""The figures that operators read, against what an endpoint and the platform saw: equal to the last one."""

import asyncio
import random
from pathlib import Path

import pytest
from peers import Platform as Discovery
from peers import Running, answer_notices, call, config_json, host, play

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


def seen(history: History) -> dict[str, int]:
    """What the figures must say; a message that is told twice has one end."""
    ends = {each.message: each.state for each in history.events if isinstance(each, MessageCompleted)}
    told = {name: sum(state == name for state in ends.values()) for name in STATES.values()}
    sends = sum(isinstance(each, AttemptStarted) for each in history.events)
    return told | {"sends": sends, "ended": len(ends)}


@pytest.mark.parametrize("seed", range(6))
def test_the_figures_are_what_was_seen(seed: int, tmp_path: Path) -> None:
    @play
    async def test(folder: Path) -> None:
        rng, history = random.Random(seed), History()
        acts = {f"m{at}": [rng.choice(ACTS) for _ in range(rng.randrange(3))] for at in range(MESSAGES)}
        async with (
            HttpEndpoint(
                "r", Script(acts, default=ScriptedAnswer(EndpointBehavior.SERVE)), history
            ) as endpoint,
            Discovery() as there,
        ):
            heard = lambda name, state: history.record(MessageCompleted(history.clock(), name, STATES[state]))  # noqa: E731
            task = asyncio.create_task(answer_notices(there, heard))
            told = config_json(there, host(f"127.0.0.1:{endpoint.port}")) | {"management": "127.0.0.1:0"}
            async with Running(told, folder) as running:
                client, refused = HttpClient(running.address), 0
                for name in acts:
                    status, _ = await client.post("/c", fields(name, rng), b"x")
                    refused += status != 202
                while running.sender.engine.journal.entries or running.sender.engine.attempts.calls:
                    await asyncio.sleep(0.01)
                client.close()
                reply = await call(running.sender.management_server.address(), "GET", "/stats")
            task.cancel()
        lines = (each.removeprefix("edge_balancer.").split("=") for each in reply.body.decode().split())
        figures = {name.removeprefix("transactions.c."): int(value) for name, value in lines}
        found = seen(history)
        assert figures["sends"] == found["sends"]
        assert figures["errored"] == found["errored"]
        assert figures["deferred"] == found["deferred"] + refused
        assert figures["answered"] == MESSAGES - refused - found["ended"]
        assert figures["current"] == 0

    test(tmp_path)


def fields(name: str, rng: random.Random) -> dict[str, str]:
    """Some messages have next to no time, and are handed back."""
    left = rng.choice([TIME_LEFT, TIME_LEFT, 0.06])
    told = {
        "X-Correlation-Id": name,
        "X-Service-Class": "c",
        "X-Time-Left": str(left),
        "X-Route-To": "dest=3",
    }
    return told | {"Idempotency-Key": name}
