"""Ten thousand destinations behind one sender on real sockets, judged by the referee.

Five listeners stand for all of them: which destination a call is for follows from its message, and a listener
tells no waits, so that none of them speaks for another one's destination.
"""

import asyncio
import io
import random
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

from peers import play

from message_sender.configuration import general
from message_sender.policy.model import Effect
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.history import AttemptStarted, History, MessageAdmitted, MessageCompleted
from message_sender.testbed.history_checker import ClassRule, HistoryChecker, Rules
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

MANY, LISTENERS, MESSAGES, CLIENTS = 10_000, 5, 1_200, 12
DEADLINE = 8.0  # s
ORDERED = {"effect": "keyed", "window_ms": 4000, "in_order": True}


class Scene:
    def __init__(self) -> None:
        self.history, self.ended = History(), asyncio.Event()
        self.ends: Counter[str] = Counter()
        rng = random.Random(4)
        acts = {
            f"m{n}": [
                rng.choice((ScriptedAnswer(EndpointBehavior.ERROR), ScriptedAnswer(EndpointBehavior.RESET)))
            ]
            for n in range(0, MESSAGES, 50)
        }
        self.script = Script(
            {name: [*each, ScriptedAnswer(EndpointBehavior.SERVE)] for name, each in acts.items()}
        )
        # Half of the messages go to ten busy ones, the others each to one that sees no second one.
        quiet = rng.sample(range(10, MANY), MESSAGES)
        self.places = [n // 2 % 10 if n % 2 else quiet[n] for n in range(MESSAGES)]

    def told(self, ports: list[int]) -> general.SenderConfig:
        dials = [f"127.0.0.1:{port}" for port in ports] * (MANY // LISTENERS)
        listed = [{"id": f"e{n}", "destination": n, "dial": dial} for n, dial in enumerate(dials)]
        common = {"aim_ms": 2000, "deadline_ms": DEADLINE * 1000}
        classes = {"safe": {"effect": "safe"} | common, "ordered": ORDERED | common}
        limits = {"slots": 32, "max_open": 2000}
        return general.read({"name": "n", "classes": classes, "endpoints": listed, "limits": limits})

    def end(self, name: str, state: str) -> None:
        self.history.record(MessageCompleted(self.history.clock(), name, state))
        self.ends[state] += 1
        if self.ends.total() == MESSAGES:
            self.ended.set()

    async def hand_in(self, client: HttpClient, numbers: range) -> None:
        for number in numbers:
            kind, key = ("ordered", f"k{number % CLIENTS}") if number % 3 == 0 else ("safe", "")
            now = self.history.clock()
            self.history.record(
                MessageAdmitted(now, f"m{number}", kind, self.places[number], now + DEADLINE, key)
            )
            fields = {"X-Correlation-Id": f"m{number}", "X-Service-Class": kind, "Idempotency-Key": "i"}
            fields |= {"X-Time-Left": str(DEADLINE + 0.05), "X-Route-To": f"dest={self.places[number]}"}
            status, _ = await client.post(f"/{kind}", fields | ({"X-Session-Key": key} if key else {}), b"x")
            assert status == 202


@play
async def test_ten_thousand_destinations_keep_every_rule(state: Path) -> None:
    scene = Scene()
    async with AsyncExitStack() as stack:
        listeners = [HttpEndpoint(f"l{n}", scene.script, scene.history) for n in range(LISTENERS)]
        for each in listeners:
            await stack.enter_async_context(each)
        completion_listener = CompletionWriter(
            io.StringIO(), lambda name, end: scene.end(name, end.state.value)
        )
        sender = StandaloneSender(scene.told([each.port for each in listeners]), state, completion_listener)
        await sender.start()
        running = asyncio.create_task(sender.run())
        clients = [HttpClient(sender.server.address()[:2]) for _ in range(CLIENTS)]
        # One client a key, so that the order of a key is that in which its messages are handed in.
        await asyncio.gather(
            *(scene.hand_in(client, range(n, MESSAGES, CLIENTS)) for n, client in enumerate(clients))
        )
        await asyncio.wait_for(scene.ended.wait(), 2 * DEADLINE)
        awake = sum(
            each.breakers_by_route is not None for each in sender.engine.dispatcher.destinations.values()
        )
        for client in clients:
            client.close()
        sender.stop(0)
        assert await running == 0, sender.engine.defect
    kinds = {"safe": ClassRule(), "ordered": ClassRule(Effect.KEYED, 4.0, is_ordered=True)}
    places = {f"l{n}": -1 for n in range(LISTENERS)}
    assert HistoryChecker(Rules(kinds, {}, places, key_pause=0.1)).check(scene.history.events) == []
    assert scene.ends["delivered"] >= MESSAGES - MESSAGES // 50 and awake == MESSAGES // 2 + 10
    assert sum(isinstance(each, AttemptStarted) for each in scene.history.events) >= MESSAGES
