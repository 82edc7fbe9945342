"""Ten thousand destinations behind one sender on real sockets, checked by the history checker.

Five listeners serve all of the destinations. The destination of a call follows from its message, and the
listeners announce no waits, because a wait would apply to the wrong destination.
"""

import asyncio
import io
import random
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

from peers import run_async_test

from message_sender.configuration import general
from message_sender.policy.model import Effect
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.history import AttemptStarted, History, MessageAdmitted, MessageCompleted
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

DESTINATIONS, LISTENERS, MESSAGES, CLIENTS = 10_000, 5, 1_200, 12
DEADLINE = 8.0  # s
ORDERED = {"effect": "keyed", "window_ms": 4000, "in_order": True}


class Scenario:
    def __init__(self) -> None:
        self.history, self.all_completed = History(), asyncio.Event()
        self.completions: Counter[str] = Counter()
        rng = random.Random(4)
        answers = {
            f"m{n}": [
                rng.choice((ScriptedAnswer(EndpointBehavior.ERROR), ScriptedAnswer(EndpointBehavior.RESET)))
            ]
            for n in range(0, MESSAGES, 50)
        }
        self.script = Script(
            {name: [*each, ScriptedAnswer(EndpointBehavior.SERVE)] for name, each in answers.items()}
        )
        # Half of the messages go to ten busy destinations, each of the others to a destination of its own.
        quiet = rng.sample(range(10, DESTINATIONS), MESSAGES)
        self.destinations = [n // 2 % 10 if n % 2 else quiet[n] for n in range(MESSAGES)]

    def config(self, ports: list[int]) -> general.SenderConfig:
        dials = [f"127.0.0.1:{port}" for port in ports] * (DESTINATIONS // LISTENERS)
        listed = [{"id": f"e{n}", "destination": n, "dial": dial} for n, dial in enumerate(dials)]
        common = {"aim_ms": 2000, "deadline_ms": DEADLINE * 1000}
        classes = {"safe": {"effect": "safe"} | common, "ordered": ORDERED | common}
        limits = {"slots": 32, "max_open": 2000}
        return general.read({"name": "n", "classes": classes, "endpoints": listed, "limits": limits})

    def record_completion(self, name: str, state: str) -> None:
        self.history.record(MessageCompleted(self.history.clock(), name, state))
        self.completions[state] += 1
        if self.completions.total() == MESSAGES:
            self.all_completed.set()

    async def submit(self, client: HttpClient, numbers: range) -> None:
        for number in numbers:
            kind, key = ("ordered", f"k{number % CLIENTS}") if number % 3 == 0 else ("safe", "")
            now = self.history.clock()
            self.history.record(
                MessageAdmitted(now, f"m{number}", kind, self.destinations[number], now + DEADLINE, key)
            )
            fields = {"X-Correlation-Id": f"m{number}", "X-Service-Class": kind, "Idempotency-Key": "i"}
            fields |= {"X-Time-Left": str(DEADLINE + 0.05), "X-Route-To": f"dest={self.destinations[number]}"}
            status, _ = await client.post(f"/{kind}", fields | ({"X-Session-Key": key} if key else {}), b"x")
            assert status == 202


@run_async_test
async def test_ten_thousand_destinations_violate_no_rule(state: Path) -> None:
    scenario = Scenario()
    async with AsyncExitStack() as stack:
        listeners = [HttpEndpoint(f"l{n}", scenario.script, scenario.history) for n in range(LISTENERS)]
        for each in listeners:
            await stack.enter_async_context(each)
        completion_listener = CompletionWriter(
            io.StringIO(), lambda name, end: scenario.record_completion(name, end.state.value)
        )
        sender = StandaloneSender(
            scenario.config([each.port for each in listeners]), state, completion_listener
        )
        await sender.start()
        running = asyncio.create_task(sender.run())
        clients = [HttpClient(sender.server.address()[:2]) for _ in range(CLIENTS)]
        # One client for each key, so that the messages of a key are submitted in a known order.
        await asyncio.gather(
            *(scenario.submit(client, range(n, MESSAGES, CLIENTS)) for n, client in enumerate(clients))
        )
        await asyncio.wait_for(scenario.all_completed.wait(), 2 * DEADLINE)
        tracked = sum(
            each.breakers_by_route is not None for each in sender.engine.dispatcher.destinations.values()
        )
        for client in clients:
            client.close()
        sender.stop(0)
        assert await running == 0, sender.engine.defect
    class_rules = {"safe": ClassRule(), "ordered": ClassRule(Effect.KEYED, 4.0, is_ordered=True)}
    destinations = {f"l{n}": -1 for n in range(LISTENERS)}
    assert (
        HistoryChecker(Rules(class_rules, {}, destinations, key_pause=0.1)).check(scenario.history.events)
        == []
    )
    assert scenario.completions["delivered"] >= MESSAGES - MESSAGES // 50 and tracked == MESSAGES // 2 + 10
    assert sum(isinstance(each, AttemptStarted) for each in scenario.history.events) >= MESSAGES
