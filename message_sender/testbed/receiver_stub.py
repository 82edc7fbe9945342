"""Stand-in receivers for clusters: endpoints with a rate limit, simulated faults and call counts."""

import asyncio
import json
import threading
import time
from collections import defaultdict
from collections.abc import Coroutine
from typing import Any, Self

from message_sender.testbed.history import History, max_count_within
from message_sender.testbed.http import LOOPBACK, HttpEndpoint
from message_sender.testbed.script import EndpointBehavior, Script, ScriptedAnswer

RATE_WINDOW_S = 1.0


class ReceiverStub(HttpEndpoint):
    """A receiver that rejects the calls above its rate limit.

    Attributes:
        rate: The rate limit, in calls per second.
        response_delay: The duration of a served call, in seconds.
        failure_delay: If not 0, every call fails after this delay in seconds.
        retry_after: If not 0, every call is rejected with this Retry-After in seconds.
        call_times: The monotonic time of each call, in seconds.
        rejected: The number of calls above the rate limit.
        served_at: The times of the served calls, by message.
        repeat_times: The times of calls for messages that had been received before.
    """

    def __init__(self, name: str, history: History, rate: float) -> None:
        """Create a receiver that serves every call within its rate limit."""
        super().__init__(name, Script(rule=self.choose_answer), history)
        self.rate = rate
        self.response_delay = 0.0
        self.failure_delay = 0.0
        self.retry_after = 0.0
        self.call_times: list[float] = []
        self.rejected = 0
        self.served_at: dict[str, list[float]] = defaultdict(list)
        self.seen_messages: set[str] = set()
        self.repeat_times: list[float] = []

    def choose_answer(self, message: str) -> ScriptedAnswer | None:
        """Record a call, and return the answer; None leaves the answer to the script's default."""
        now = time.monotonic()
        self.call_times.append(now)
        if message in self.seen_messages:
            self.repeat_times.append(now)
        self.seen_messages.add(message)
        if self.failure_delay:
            return ScriptedAnswer(EndpointBehavior.ERROR, self.failure_delay)
        if self.retry_after:
            return ScriptedAnswer(EndpointBehavior.FULL, self.retry_after)
        latest = self.call_times[-int(self.rate * 2 + 10) :]
        if sum(1 for at in latest if at > now - RATE_WINDOW_S) > self.rate:
            self.rejected += 1
            return ScriptedAnswer(EndpointBehavior.FULL)
        self.served_at[message].append(now)
        return ScriptedAnswer(EndpointBehavior.SERVE, self.response_delay) if self.response_delay else None

    def max_count_within(self, span: float) -> int:
        """Return the highest number of calls in any interval of `span` seconds."""
        return max_count_within(self.call_times, span)

    def to_config(self) -> str:
        """Return the TOML table that lists the receiver as an endpoint of destination 1."""
        table = {
            "id": self.name,
            "zone": "a",
            "destination": 1,
            "dial": f"{LOOPBACK}:{self.port}",
            "rate": self.rate,
        }
        return "\n".join(["[[endpoints]]", *(f"{key} = {json.dumps(value)}" for key, value in table.items())])


class ThreadedReceiverStub(ReceiverStub):
    """A receiver with its own thread and event loop.

    Other work of this process does not delay the receiver.
    """

    def run_on_thread(self, work: Coroutine[Any, Any, Any]) -> asyncio.Future[Any]:
        """Run a coroutine on the receiver's event loop, and return a future of the caller's event loop."""
        return asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, self.loop))

    async def __aenter__(self) -> Self:
        """Start the thread, and listen on its event loop."""
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        await self.run_on_thread(super().__aenter__())
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the receiver and stop its thread."""
        await self.run_on_thread(super().__aexit__())
        self.loop.call_soon_threadsafe(self.loop.stop)
        await asyncio.to_thread(self.thread.join)
        self.loop.close()
