"""The cost of overrides with a long endpoint list.

Measures the time to process a change of the list, the time to choose an endpoint for a message, the
distribution of attempts by weight, and how long an endpoint still gets calls after `override set`.

    python benchmarks/overrides.py [--endpoints N] [--overrides N]
"""

import argparse
import asyncio
import io
import logging
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path

from message_sender import Dispatcher
from message_sender.configuration import general
from message_sender.control_socket import send_request
from message_sender.discovery.override_layer import OverrideLayer
from message_sender.discovery.overrides import OverrideBook, OverrideKind
from message_sender.policy.actions import Send
from message_sender.policy.events import AttemptEnded, EndpointsUpdated, MessageAccepted
from message_sender.policy.model import (
    DestinationKind,
    Effect,
    Endpoint,
    EndpointState,
    ListingKind,
    MessageClass,
    Outcome,
    Settings,
)
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.history import AttemptStarted, History
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.in_process_sender import running
from message_sender.testbed.script import Script

SECOND = 1_000_000
MESSAGE_CLASS = MessageClass("c", 4 * SECOND, 20 * SECOND, 1.0, 0.3, Effect.IDEMPOTENT)
SETTINGS = Settings((MESSAGE_CLASS,), (("plain", DestinationKind()),), 64, 1000, 6, "z", 5000)
ROUNDS = 400  # changes of the list


def listed(count: int) -> tuple[Endpoint, ...]:
    """Returns `count` endpoints, two for each destination."""
    return tuple(Endpoint(f"e{each}", each // 2, EndpointState.READY, "plain", "z") for each in range(count))


def make_layer(count: int, overrides: int) -> OverrideLayer:
    """Returns a layer with `overrides` overrides of alternating kinds over a list of `count` endpoints."""
    book = OverrideBook()
    for each in range(overrides):
        kind = (OverrideKind.OUT, OverrideKind.WEIGHT, OverrideKind.PIN)[each % 3]
        name = f"e{each * (count // max(overrides, 1))}"
        details = {"weight": 3.0, "destination": each * (count // max(overrides, 1)) // 2}
        book.set(kind, name, "me", "bench", 0, 3600 * SECOND, 1, **details)  # type: ignore[arg-type]
    layer = OverrideLayer(book)
    layer.apply_update(EndpointsUpdated(ListingKind.FULL, listed(count)))
    layer.refresh(1)
    return layer


def change_cost(layer: OverrideLayer, count: int) -> float:
    """Returns the median time in us to apply a change of one endpoint."""
    costs = []
    for each in range(ROUNDS):
        state = EndpointState.DRAINING if each % 2 else EndpointState.READY
        changed = Endpoint(f"e{(each // 2 * 37) % count}", (each // 2 * 37) % count // 2, state, "plain", "z")
        started_at = time.perf_counter()
        layer.apply_update(EndpointsUpdated(ListingKind.CHANGES, (changed,)))
        costs.append((time.perf_counter() - started_at) * 1e6)
    return statistics.median(costs)


def choice_cost(update: EndpointsUpdated, count: int) -> float:
    """Returns the time in us to accept, send and complete a message: the median over blocks of messages."""
    dispatcher = Dispatcher(SETTINGS, 1)
    now, costs = SECOND, []
    dispatcher.handle(now, [update])
    for block in range(20):
        started_at = time.perf_counter()
        for each in range(200):
            now += 1000
            name = f"m{block}.{each}"
            accepted = MessageAccepted(name, "c", (each * 31) % (count // 2), 20 * SECOND)
            if any(isinstance(x, Send) for x in dispatcher.handle(now, [accepted])):
                now += 1000
                dispatcher.handle(now, [AttemptEnded(name, 0, Outcome.OK, True)])
        costs.append((time.perf_counter() - started_at) * 1e6 / 200)
    return statistics.median(costs)


def share_error(weights: tuple[float, ...], messages: int = 10_000) -> float:
    """Returns the largest difference between an endpoint's share of attempts and its weight, in points."""
    dispatcher, now, count = Dispatcher(SETTINGS, 1), SECOND, Counter[str]()
    endpoints = [
        Endpoint(f"e{n}", 1, EndpointState.READY, "plain", "z", weight=weight)
        for n, weight in enumerate(weights)
    ]
    dispatcher.handle(now, [EndpointsUpdated(ListingKind.FULL, tuple(endpoints))])
    for each in range(messages):
        now += 1000
        actions = dispatcher.handle(now, [MessageAccepted(f"m{each}", "c", 1, 20 * SECOND)])
        count.update(x.endpoint for x in actions if isinstance(x, Send))
        dispatcher.handle(now, [AttemptEnded(f"m{each}", 0, Outcome.OK, True)])
    total = sum(weights)
    return max(abs(count[f"e{n}"] / messages - weight / total) * 100 for n, weight in enumerate(weights))


async def time_to_last_call() -> float:
    """Returns the ms from the start of `override set` to the last call to its endpoint, under load."""
    history = History()
    async with HttpEndpoint("e0", Script(), history) as one, HttpEndpoint("e1", Script(), history) as two:
        settings = {
            "classes": {"c": {"effect": "safe", "aim_ms": 4000, "deadline_ms": 8000}},
            "endpoints": [
                {"id": each.name, "destination": 1, "dial": f"127.0.0.1:{each.port}"} for each in (one, two)
            ],
        }
        with tempfile.TemporaryDirectory() as folder:
            sender = StandaloneSender(general.read(settings), Path(folder), CompletionWriter(io.StringIO()))
            async with running(sender):
                stop = False

                async def submit_messages(number: int) -> None:
                    client, count = HttpClient(sender.server.address()[:2]), 0
                    while not stop:
                        count += 1
                        fields = {
                            "X-Correlation-Id": f"{number}.{count}",
                            "X-Service-Class": "c",
                            "X-Time-Left": "5",
                        }
                        await client.post("/c", fields | {"X-Route-To": "dest=1"}, b"x")
                    client.close()

                clients = [asyncio.create_task(submit_messages(number)) for number in range(8)]
                await asyncio.sleep(0.5)
                now, started_at = time.time_ns() // 1000, time.monotonic()
                request = {"do": "set", "kind": "out", "endpoint": "e0", "who": "me", "why": "bench"}
                await asyncio.to_thread(
                    send_request, Path(folder), request | {"begins": now, "until": now + 60 * SECOND}
                )
                await asyncio.sleep(0.3)
                stop = True
                await asyncio.gather(*clients)
    call_times = [
        each.at - started_at
        for each in history.events
        if isinstance(each, AttemptStarted) and each.endpoint == "e0"
    ]
    return max(call_times) * 1e3


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--endpoints", type=int, default=10_000)
    parser.add_argument("--overrides", type=int, default=1_000)
    options = parser.parse_args()
    logging.disable(logging.ERROR)
    count = options.endpoints
    layer = make_layer(count, options.overrides)
    print(f"{count} endpoints, {options.overrides} overrides in force")
    print(f"  a change of the list, applied to the overlay: {change_cost(layer, count):.1f} us")
    started_at = time.perf_counter()
    layer.book.set(OverrideKind.OUT, "e5", "me", "bench", 1, SECOND, 1)
    layer.refresh(2)
    print(f"  an override set and applied to the overlay: {(time.perf_counter() - started_at) * 1e6:.0f} us")
    without = EndpointsUpdated(ListingKind.FULL, listed(count))
    overridden = EndpointsUpdated(ListingKind.FULL, tuple(layer.published.values()))
    ratios = [choice_cost(overridden, count) / choice_cost(without, count) for _ in range(5)]
    print(f"  decision module, time per message relative to no overrides: {statistics.median(ratios):.3f} "
          f"({min(ratios):.3f} to {max(ratios):.3f})")  # fmt: skip
    for weights in ((1.0, 2.0), (1.0, 1.0, 8.0), (0.1, 5.0, 1.0, 1.0)):
        print(f"  shares with weights {weights}: at most {share_error(weights):.2f} percentage points off")
    times = [asyncio.run(time_to_last_call()) for _ in range(5)]
    median, longest = statistics.median(times), max(times)
    print(
        f"  from `override set` to the last call of its endpoint: {median:.1f} ms, at most {longest:.1f} ms"
    )


if __name__ == "__main__":
    main()
