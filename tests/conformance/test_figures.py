"""The sender's metrics equal exactly what the endpoint and the platform recorded."""

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
TIME_LEFT_S = 1.5
ANSWERS = [
    ScriptedAnswer(EndpointBehavior.SERVE),
    ScriptedAnswer(EndpointBehavior.SERVE, 0.05),
    ScriptedAnswer(EndpointBehavior.ERROR),
    ScriptedAnswer(EndpointBehavior.FULL),
    ScriptedAnswer(EndpointBehavior.FULL, 0.05),
    ScriptedAnswer(EndpointBehavior.RESET),
]
#: The metric that counts each state in which the platform is notified of a message.
METRIC_NAMES = {"returned": "deferred", "failed": "errored"}


def expected_metrics(history: History) -> dict[str, int]:
    """Returns the metrics that follow from a history; a message that is reported twice counts once."""
    final_states = {each.message: each.state for each in history.events if isinstance(each, MessageCompleted)}
    counts = {name: sum(state == name for state in final_states.values()) for name in METRIC_NAMES.values()}
    sends = sum(isinstance(each, AttemptStarted) for each in history.events)
    return counts | {"sends": sends, "ended": len(final_states)}


@pytest.mark.parametrize("seed", range(6))
def test_metrics_equal_the_recorded_attempts_and_ends(seed: int, tmp_path: Path) -> None:
    @run_async_test
    async def test(folder: Path) -> None:
        rng, history = random.Random(seed), History()
        answers = {
            f"m{number}": [rng.choice(ANSWERS) for _ in range(rng.randrange(3))] for number in range(MESSAGES)
        }
        async with (
            HttpEndpoint(
                "r", Script(answers, default=ScriptedAnswer(EndpointBehavior.SERVE)), history
            ) as endpoint,
            Discovery() as platform,
        ):
            record_notice = lambda message_id, state: history.record(  # noqa: E731
                MessageCompleted(history.clock(), message_id, METRIC_NAMES[state])
            )
            task = asyncio.create_task(answer_notices(platform, record_notice))
            configuration = config_json(platform, host(f"127.0.0.1:{endpoint.port}")) | {
                "management": "127.0.0.1:0"
            }
            async with Running(configuration, folder) as running:
                client, rejected = HttpClient(running.address), 0
                for message_id in answers:
                    status, _ = await client.post("/c", build_fields(message_id, rng), b"x")
                    rejected += status != 202
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
        assert metrics["deferred"] == expected["deferred"] + rejected
        assert metrics["answered"] == MESSAGES - rejected - expected["ended"]
        assert metrics["current"] == 0

    test(tmp_path)


def build_fields(message_id: str, rng: random.Random) -> dict[str, str]:
    """Returns the header fields of a message; some messages have too little time left to be delivered."""
    time_left = rng.choice([TIME_LEFT_S, TIME_LEFT_S, 0.06])
    fields = {
        "X-Correlation-Id": message_id,
        "X-Service-Class": "c",
        "X-Time-Left": str(time_left),
        "X-Route-To": "dest=3",
    }
    return fields | {"Idempotency-Key": message_id}
