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

PATIENCE = 15.0  # s; time limit of waits; only a failing test reaches it
DEADLINE, WINDOW, QUIET = 6.0, 4.0, 0.1  # s
METHOD = "/stromweg.Commands/Send"

CLASSES: dict[str, dict[str, Any]] = {
    "safe": {"effect": "safe"},
    "keyed": {"effect": "keyed", "window_ms": WINDOW * 1000},
    "zoned": {"effect": "keyed", "window_ms": WINDOW * 1000, "window_by_zone": True},
    "unsafe": {"effect": "unsafe"},
    "ordered": {"effect": "keyed", "window_ms": WINDOW * 1000, "in_order": True},
    "ordered-unsafe": {"effect": "unsafe", "in_order": True},
}
KINDS = build_class_rules(WINDOW)
#: Destination and zone by endpoint. Destination 1 has endpoints in two zones, 2 has one endpoint.
ENDPOINTS = {"a": (1, "x"), "b": (1, "y"), "c": (2, "x")}


@dataclass(frozen=True, slots=True)
class Message:
    """A message to submit; `time_left` is in seconds."""

    id: str
    kind: str = "safe"
    destination: int = 2
    key: str = ""
    time_left: float = DEADLINE


@dataclass(slots=True)
class Result:
    """The results that must be equal on both sides.

    Attributes:
        ends: The final state of each message.
        attempts: The number of attempts of each message.
        order: The messages of each key in the order of their first attempts.
    """

    ends: dict[str, str] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    order: dict[str, list[str]] = field(default_factory=dict)


class Side:
    """One sender with scripted endpoints and clients, and a history for the history checker.

    `acts` has the scripted answers of each message, `limits` the sender's limits.
    """

    def __init__(self, state: Path, acts: Mapping[str, Sequence[ScriptedAnswer]], **limits: object) -> None:
        self.state, self.script, self.history = state, Script(acts), History()
        self.limits = limits
        self.ends: dict[str, str] = {}
        self.end_event = asyncio.Event()
        self.stack = AsyncExitStack()
        self.endpoints: dict[str, Any] = {}
        self.keys: dict[str, str] = {}
        self.restarts = 0

    def told(self) -> general.SenderConfig:
        """Returns the sender's configuration."""
        common = {"aim_ms": 2000, "deadline_ms": DEADLINE * 1000}
        listed = [
            {"id": name, "destination": destination, "zone": zone}
            | {"dial": f"127.0.0.1:{self.endpoints[name].port}"}
            for name, (destination, zone) in ENDPOINTS.items()
        ]
        # A destination whose only endpoint is draining: its messages are held until their deadline.
        listed.append({"id": "d", "destination": 9, "dial": "127.0.0.1:9", "state": "draining"})
        return general.read(
            {
                "name": "n",
                "zone": "x",
                "classes": {name: common | kind for name, kind in CLASSES.items()},
                "endpoints": listed,
                "limits": self.limits,
                "rules": {"key_quiet_ms": QUIET * 1000},
            }
        )

    async def __aenter__(self) -> Self:
        for name in ENDPOINTS:
            self.endpoints[name] = await self.stack.enter_async_context(self.endpoint(name))
        await self.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()
        await self.stack.aclose()

    def endpoint(self, name: str) -> Any:  # noqa: ANN401
        """Returns a scripted endpoint, not opened yet."""
        raise NotImplementedError

    async def open(self) -> None:
        """Starts the sender on the state folder."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stops the sender."""
        raise NotImplementedError

    async def hand_in(self, message: Message) -> None:
        """Submits a message; returns once it is admitted or rejected."""
        raise NotImplementedError

    async def restart(self) -> None:
        """Stops the sender at once, with attempts in flight, and starts it again on the same folder.

        The engine is marked as over first: another loop iteration could begin attempts, which the restarted
        sender has to count whether or not they were sent.
        """
        self.engine().over = True
        await self.close()
        self.history.record(SenderRestarted(self.history.clock()))
        self.restarts += 1
        await self.calls_ended()
        await self.open()

    def note(self, message: Message) -> MessageAdmitted:
        """Records a message as admitted, before it is submitted."""
        now = self.history.clock()
        until = now + message.time_left
        admission = MessageAdmitted(now, message.id, message.kind, message.destination, until, message.key)
        self.history.record(admission)
        self.keys[message.id] = message.key
        return admission

    def record_rejection(self, admission: MessageAdmitted) -> None:
        """Replaces the recorded admission of a message by its rejection."""
        self.history.events.remove(admission)
        self.history.record(MessageRejected(self.history.clock(), admission.message))
        self.end(admission.message, "rejected", is_recorded=False)

    def end(self, name: str, state: str, is_recorded: bool = True) -> None:
        """Notes the end of a message; a second end changes its state and so fails the comparison."""
        if is_recorded:
            self.history.record(MessageCompleted(self.history.clock(), name, state))
        self.ends[name] = state if name not in self.ends else f"{self.ends[name]} and {state}"
        self.end_event.set()

    async def all_ended(self, *names: str) -> None:
        """Waits until all the named messages have ended."""
        async with asyncio.timeout(PATIENCE):
            while not all(name in self.ends for name in names):
                self.end_event.clear()
                await self.end_event.wait()

    async def came(self, name: str, times: int = 1) -> None:
        """Waits until the endpoints have completely received this many calls for a message."""
        async with asyncio.timeout(PATIENCE):
            while self.script.call_counts[name] < times:
                await asyncio.sleep(0.002)

    async def calls_ended(self) -> None:
        """Waits until the endpoints have recorded the end of every call that they have received.

        The endpoints share the event loop with the sender. Without this wait, a slow start of the sender
        delays the record of a call that the previous sender had closed, and the checker counts the pause of
        the key from that late record.
        """
        async with asyncio.timeout(PATIENCE):
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

    def result(self) -> Result:
        """Returns the results recorded so far."""
        attempts = Counter(
            each.message for each in self.history.events if type(each).__name__ == "AttemptStarted"
        )
        order: dict[str, list[str]] = {}
        for event in self.history.events:
            name = getattr(event, "message", "")
            if type(event).__name__ == "AttemptStarted" and self.keys.get(name):
                names = order.setdefault(self.keys[name], [])
                if name not in names:
                    names.append(name)
        return Result(dict(sorted(self.ends.items())), dict(sorted(attempts.items())), order)

    def judge(self) -> list[Violation]:
        """Returns the rule violations that the history checker finds."""
        rules = Rules(
            KINDS,
            zones={name: zone for name, (_, zone) in ENDPOINTS.items()},
            destinations={name: destination for name, (destination, _) in ENDPOINTS.items()},
            key_pause=QUIET,
        )
        return HistoryChecker(rules).check(self.history.events)


class DaemonSide(Side):
    """The daemon, called over HTTP."""

    def endpoint(self, name: str) -> HttpEndpoint:
        return HttpEndpoint(name, self.script, self.history)

    async def open(self) -> None:
        completion_listener = CompletionWriter(
            io.StringIO(), lambda name, end: self.end(name, end.state.value)
        )
        self.sender = StandaloneSender(self.told(), self.state, completion_listener)
        await self.sender.start()
        self.running = asyncio.create_task(self.sender.run())
        self.client = HttpClient(self.sender.server.address()[:2])

    async def close(self) -> None:
        self.client.close()
        self.sender.stop(0)
        assert await self.running == 0, self.sender.engine.defect

    def engine(self) -> Any:  # noqa: ANN401
        return self.sender.engine

    async def hand_in(self, message: Message) -> None:
        admission = self.note(message)
        fields = {
            "X-Correlation-Id": message.id,
            "X-Service-Class": message.kind,
            # Compensates for the transit time that the HTTP server deducts, so that messages have the same
            # time on both sides.
            "X-Time-Left": f"{message.time_left + 0.05:.3f}",
            "X-Route-To": f"dest={message.destination}",
            "X-Session-Key": message.key,
            "Idempotency-Key": f"i-{message.id}",
        }
        status, _ = await self.client.post(f"/{message.kind}", fields, b"body")
        if status != 202:
            self.record_rejection(admission)


class PluginSide(Side):
    """The plug-in in this process, called over gRPC."""

    channel: Channel

    def endpoint(self, name: str) -> GrpcEndpoint:
        return GrpcEndpoint(name, self.script, self.history)

    async def open(self) -> None:
        self.channel = await open_channel(self.told(), self.state)
        self.calls: dict[str, Any] = {}
        self.tasks: list[asyncio.Task[None]] = []
        channel_notify = self.channel.notify

        def notify(name: str, end: Completion) -> bool:
            is_kept = channel_notify(name, end)
            collected = self.channel.collect(name)
            assert collected == end and self.channel.collect(name) is None
            self.end(name, end.state.value)
            return is_kept

        self.channel.notify = notify  # type: ignore[method-assign]
        for name in self.keys:  # messages that ended while the channel was opened
            if name not in self.ends and (end := self.channel.collect(name)):
                self.end(name, end.state.value)

    async def close(self) -> None:
        await self.channel.close()
        await asyncio.gather(*self.tasks)  # each call has ended or got the closing of the channel

    def engine(self) -> Any:  # noqa: ANN401
        return self.channel.engine

    async def hand_in(self, message: Message) -> None:
        admission = self.note(message)
        metadata = [
            ("elmglade-class", message.kind),
            ("elmglade-destination", str(message.destination)),
            ("elmglade-id", message.id),
            ("elmglade-key", message.key),
            ("idempotency-key", f"i-{message.id}"),
        ]
        call = self.channel.unary_unary(METHOD)(b"body", timeout=message.time_left, metadata=metadata)
        self.calls[message.id] = call
        self.tasks.append(asyncio.create_task(self.wait(message.id, admission, call)))
        async with asyncio.timeout(PATIENCE):
            while message.id in self.channel.engine.table.arrivals:
                await asyncio.sleep(0)

    async def wait(self, name: str, admission: MessageAdmitted, call: Any) -> None:  # noqa: ANN401
        """Waits for the end of a call and records its state."""
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
            self.end(name, "delivered")
        elif code is grpc.StatusCode.UNAVAILABLE:
            self.end(name, "refused")
        elif code is grpc.StatusCode.CANCELLED:
            self.end(name, "withdrawn")
        else:
            self.end(name, "failed")


SIDES: dict[str, type[Side]] = {"daemon": DaemonSide, "plugin": PluginSide}
