"""Runs the same messages through two senders: the daemon over HTTP and the plug-in over gRPC."""

import asyncio
import io
from collections import Counter
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

import grpc

from message_sender.configuration import general
from message_sender.core.ports import Completion
from message_sender.emulator.run_plan import build_class_rules
from message_sender.grpc import Channel, open_channel
from message_sender.service.standalone import CompletionWriter, StandaloneSender
from message_sender.testbed.grpc import GrpcEndpoint
from message_sender.testbed.history import (
    AttemptFinished,
    AttemptStarted,
    History,
    MessageAdmitted,
    MessageCompleted,
    MessageRejected,
    SenderRestarted,
)
from message_sender.testbed.history_checker import HistoryChecker, Rules, Violation
from message_sender.testbed.http import HttpClient, HttpEndpoint
from message_sender.testbed.script import Script, ScriptedAnswer

TIMEOUT_S = 15.0  # time limit of waits; only a failing test reaches it
DEADLINE_S, IDEMPOTENCY_WINDOW_S, KEY_PAUSE_S = 6.0, 4.0, 0.1
METHOD = "/stromweg.Commands/Send"

CLASS_SETTINGS: dict[str, dict[str, Any]] = {
    "safe": {"effect": "safe"},
    "keyed": {"effect": "keyed", "window_ms": IDEMPOTENCY_WINDOW_S * 1000},
    "zoned": {"effect": "keyed", "window_ms": IDEMPOTENCY_WINDOW_S * 1000, "window_by_zone": True},
    "unsafe": {"effect": "unsafe"},
    "ordered": {"effect": "keyed", "window_ms": IDEMPOTENCY_WINDOW_S * 1000, "in_order": True},
    "ordered-unsafe": {"effect": "unsafe", "in_order": True},
}
CLASS_RULES = build_class_rules(IDEMPOTENCY_WINDOW_S)
#: Destination and zone by endpoint. Destination 1 has endpoints in two zones; destination 2 has one endpoint.
ENDPOINTS = {"a": (1, "x"), "b": (1, "y"), "c": (2, "x")}


@dataclass(frozen=True, slots=True)
class Message:
    """A message to submit; `time_left` is in seconds."""

    id: str
    message_class: str = "safe"
    destination: int = 2
    key: str = ""
    time_left: float = DEADLINE_S


@dataclass(slots=True)
class Result:
    """The results that must be equal on both sides.

    Attributes:
        final_states: The final state of each message, by message id.
        attempts: The number of attempts of each message.
        order: The messages of each key in the order of their first attempts.
    """

    final_states: dict[str, str] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    order: dict[str, list[str]] = field(default_factory=dict)


class Side:
    """One sender with scripted endpoints and clients, and a history for the history checker.

    Attributes:
        final_states: The final state of each completed message, by message id.
        completion_event: Set whenever a message completes.
        endpoints: The running scripted endpoints, by name.
        keys: The ordering key of each submitted message, by message id; empty if the message has none.
        restarts: How often the sender has been restarted.
    """

    def __init__(
        self, state_folder: Path, answers: Mapping[str, Sequence[ScriptedAnswer]], **limits: object
    ) -> None:
        """Creates a side whose sender is not started.

        Args:
            state_folder: The sender's state folder.
            answers: The scripted answers to each message, by message id.
            limits: The sender's limits, as in its configuration.
        """
        self.state_folder, self.script, self.history = state_folder, Script(answers), History()
        self.limits = limits
        self.final_states: dict[str, str] = {}
        self.completion_event = asyncio.Event()
        self.stack = AsyncExitStack()
        self.endpoints: dict[str, Any] = {}
        self.keys: dict[str, str] = {}
        self.restarts = 0

    def configuration(self) -> general.SenderConfig:
        """Returns the sender's configuration."""
        common = {"aim_ms": 2000, "deadline_ms": DEADLINE_S * 1000}
        endpoints = [
            {"id": name, "destination": destination, "zone": zone}
            | {"dial": f"127.0.0.1:{self.endpoints[name].port}"}
            for name, (destination, zone) in ENDPOINTS.items()
        ]
        # A destination whose only endpoint is draining: its messages are held until their deadline.
        endpoints.append({"id": "d", "destination": 9, "dial": "127.0.0.1:9", "state": "draining"})
        return general.read(
            {
                "name": "n",
                "zone": "x",
                "classes": {name: common | settings for name, settings in CLASS_SETTINGS.items()},
                "endpoints": endpoints,
                "limits": self.limits,
                "rules": {"key_quiet_ms": KEY_PAUSE_S * 1000},
            }
        )

    async def __aenter__(self) -> Self:
        for name in ENDPOINTS:
            self.endpoints[name] = await self.stack.enter_async_context(self.make_endpoint(name))
        await self.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()
        await self.stack.aclose()

    def make_endpoint(self, name: str) -> Any:  # noqa: ANN401
        """Creates a scripted endpoint that is not started."""
        raise NotImplementedError

    async def open(self) -> None:
        """Starts the sender on the state folder."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stops the sender."""
        raise NotImplementedError

    async def submit(self, message: Message) -> None:
        """Submits a message; returns once it is admitted or rejected."""
        raise NotImplementedError

    async def restart(self) -> None:
        """Stops the sender at once, with attempts in flight, and starts it again on the same state folder.

        The engine is first marked as ended. Otherwise another iteration of the event loop could begin
        attempts, which the restarted sender has to count whether or not they were sent.
        """
        self.engine().over = True
        await self.close()
        self.history.record(SenderRestarted(self.history.clock()))
        self.restarts += 1
        await self.wait_until_calls_ended()
        await self.open()

    def record_admission(self, message: Message) -> MessageAdmitted:
        """Records a message as admitted, before it is submitted."""
        now = self.history.clock()
        deadline = now + message.time_left
        admission = MessageAdmitted(
            now, message.id, message.message_class, message.destination, deadline, message.key
        )
        self.history.record(admission)
        self.keys[message.id] = message.key
        return admission

    def record_rejection(self, admission: MessageAdmitted) -> None:
        """Replaces the recorded admission of a message by its rejection."""
        self.history.events.remove(admission)
        self.history.record(MessageRejected(self.history.clock(), admission.message))
        self.record_completion(admission.message, "rejected", in_history=False)

    def record_completion(self, message_id: str, state: str, in_history: bool = True) -> None:
        """Records the final state of a message.

        A second completion is appended to the first, so that the comparison with the expected state fails.

        Args:
            message_id: The message.
            state: Its final state.
            in_history: Whether the history records the completion as well.
        """
        if in_history:
            self.history.record(MessageCompleted(self.history.clock(), message_id, state))
        self.final_states[message_id] = (
            state if message_id not in self.final_states else f"{self.final_states[message_id]} and {state}"
        )
        self.completion_event.set()

    async def wait_until_completed(self, *message_ids: str) -> None:
        """Waits until all these messages have a final state."""
        async with asyncio.timeout(TIMEOUT_S):
            while not all(each in self.final_states for each in message_ids):
                self.completion_event.clear()
                await self.completion_event.wait()

    async def wait_for_calls(self, message_id: str, count: int = 1) -> None:
        """Waits until the endpoints have received at least `count` calls for a message in full."""
        async with asyncio.timeout(TIMEOUT_S):
            while self.script.call_counts[message_id] < count:
                await asyncio.sleep(0.002)

    async def wait_until_calls_ended(self) -> None:
        """Waits until the endpoints have recorded the end of every call that they have received.

        The endpoints share the event loop with the sender. Without this wait, a slow start of the sender
        delays the record of a call that the previous sender had closed, and the checker counts the pause of
        the key from that late record.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while self.calls_in_flight():
                await asyncio.sleep(0.002)

    def calls_in_flight(self) -> set[int]:
        """Returns the numbers of the calls without a recorded end."""
        events = self.history.events
        started = {event.call for event in events if isinstance(event, AttemptStarted)}
        return started - {event.call for event in events if isinstance(event, AttemptFinished)}

    def engine(self) -> Any:  # noqa: ANN401
        """Returns the sender's engine."""
        raise NotImplementedError

    def collect_result(self) -> Result:
        """Returns the results recorded so far."""
        attempts = Counter(
            each.message for each in self.history.events if type(each).__name__ == "AttemptStarted"
        )
        order: dict[str, list[str]] = {}
        for event in self.history.events:
            message_id = getattr(event, "message", "")
            if type(event).__name__ == "AttemptStarted" and self.keys.get(message_id):
                message_ids = order.setdefault(self.keys[message_id], [])
                if message_id not in message_ids:
                    message_ids.append(message_id)
        return Result(dict(sorted(self.final_states.items())), dict(sorted(attempts.items())), order)

    def find_violations(self) -> list[Violation]:
        """Returns the rule violations that the history checker finds in the recorded history."""
        rules = Rules(
            CLASS_RULES,
            zones={name: zone for name, (_, zone) in ENDPOINTS.items()},
            destinations={name: destination for name, (destination, _) in ENDPOINTS.items()},
            key_pause=KEY_PAUSE_S,
        )
        return HistoryChecker(rules).check(self.history.events)


class DaemonSide(Side):
    """The daemon, called over HTTP."""

    def make_endpoint(self, name: str) -> HttpEndpoint:
        return HttpEndpoint(name, self.script, self.history)

    async def open(self) -> None:
        completion_listener = CompletionWriter(
            io.StringIO(),
            lambda message_id, completion: self.record_completion(message_id, completion.state.value),
        )
        self.sender = StandaloneSender(self.configuration(), self.state_folder, completion_listener)
        await self.sender.start()
        self.running = asyncio.create_task(self.sender.run())
        self.client = HttpClient(self.sender.server.address()[:2])

    async def close(self) -> None:
        self.client.close()
        self.sender.stop(0)
        assert await self.running == 0, self.sender.engine.defect

    def engine(self) -> Any:  # noqa: ANN401
        return self.sender.engine

    async def submit(self, message: Message) -> None:
        admission = self.record_admission(message)
        fields = {
            "X-Correlation-Id": message.id,
            "X-Service-Class": message.message_class,
            # The HTTP server deducts the time in transit; 0.05 s more gives messages the same time on both
            # sides.
            "X-Time-Left": f"{message.time_left + 0.05:.3f}",
            "X-Route-To": f"dest={message.destination}",
            "X-Session-Key": message.key,
            "Idempotency-Key": f"i-{message.id}",
        }
        status, _ = await self.client.post(f"/{message.message_class}", fields, b"body")
        if status != 202:
            self.record_rejection(admission)


class PluginSide(Side):
    """The plug-in in this process, called over gRPC."""

    channel: Channel

    def make_endpoint(self, name: str) -> GrpcEndpoint:
        return GrpcEndpoint(name, self.script, self.history)

    async def open(self) -> None:
        self.channel = await open_channel(self.configuration(), self.state_folder)
        self.calls: dict[str, Any] = {}
        self.tasks: list[asyncio.Task[None]] = []
        channel_notify = self.channel.notify

        def notify(message_id: str, completion: Completion) -> bool:
            awaits_acknowledgement = channel_notify(message_id, completion)
            collected = self.channel.collect(message_id)
            assert collected == completion and self.channel.collect(message_id) is None
            self.record_completion(message_id, completion.state.value)
            return awaits_acknowledgement

        self.channel.notify = notify  # type: ignore[method-assign]
        for message_id in self.keys:  # messages that completed while the channel was opened
            if message_id not in self.final_states and (completion := self.channel.collect(message_id)):
                self.record_completion(message_id, completion.state.value)

    async def close(self) -> None:
        await self.channel.close()
        await asyncio.gather(*self.tasks)  # each call has ended or failed because the channel was closed

    def engine(self) -> Any:  # noqa: ANN401
        return self.channel.engine

    async def submit(self, message: Message) -> None:
        admission = self.record_admission(message)
        metadata = [
            ("elmglade-class", message.message_class),
            ("elmglade-destination", str(message.destination)),
            ("elmglade-id", message.id),
            ("elmglade-key", message.key),
            ("idempotency-key", f"i-{message.id}"),
        ]
        call = self.channel.unary_unary(METHOD)(b"body", timeout=message.time_left, metadata=metadata)
        self.calls[message.id] = call
        self.tasks.append(asyncio.create_task(self.wait_for_call(message.id, admission, call)))
        async with asyncio.timeout(TIMEOUT_S):
            while message.id in self.channel.engine.table.arrivals:
                await asyncio.sleep(0)

    async def wait_for_call(self, message_id: str, admission: MessageAdmitted, call: Any) -> None:  # noqa: ANN401
        """Waits for the end of a call and records the final state of its message."""
        done = asyncio.Event()
        call.add_done_callback(lambda _: done.set())
        await done.wait()
        if call.cancelled():
            return
        code, details = await call.code(), await call.details()
        if details.startswith("the channel was closed"):
            return  # the message is stored and continues after the next open
        if details.startswith("turned away"):
            self.record_rejection(admission)
        elif code is grpc.StatusCode.OK:
            assert await call == b"body"
            self.record_completion(message_id, "delivered")
        elif code is grpc.StatusCode.UNAVAILABLE:
            self.record_completion(message_id, "refused")
        elif code is grpc.StatusCode.CANCELLED:
            self.record_completion(message_id, "withdrawn")
        else:
            self.record_completion(message_id, "failed")


SIDES: dict[str, type[Side]] = {"daemon": DaemonSide, "plugin": PluginSide}
