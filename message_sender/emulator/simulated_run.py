"""One run of a sender in virtual time: the real engine, policy and journal, with models of everything else.

The seed determines the complete run: the messages of clients, the behavior of each destination, the duration
of calls, the endpoints that drain, and the times at which the process is killed (at an instant, or between
two writes to its disk). The run ends when the deadlines of all messages have passed; then the history is
checked against the rules. A kill ends the event loop with all of its tasks, as SIGKILL ends a process. The
next process starts on the same folder, and the environment continues from the same instant.
"""

import asyncio
import contextlib
import gc
import logging
import random
import tempfile
import warnings
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from message_sender.core.engine import Engine
from message_sender.core.engine_config import EngineConfig
from message_sender.core.ports import Completion
from message_sender.discovery.static import StaticDirectory
from message_sender.emulator.isolation import sealed
from message_sender.emulator.loop import VirtualLoop
from message_sender.emulator.run_models import RunCaller, RunCompletionListener, RunTransport
from message_sender.emulator.run_plan import (
    CLASS_RULES,
    DEADLINE_S,
    KEY_PAUSE_S,
    WARM_UP_S,
    Drain,
    RunAction,
    RunPlan,
    RunSpec,
    ScheduledEvent,
    SubmitMessage,
    build_settings,
)
from message_sender.emulator.trace import encode_trace
from message_sender.emulator.wall_clock import EPOCH_US, SECOND_US
from message_sender.journal.process_journal import Journal
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import ListingKind
from message_sender.testbed import history as seen
from message_sender.testbed.event_stream import DestinationBehavior
from message_sender.testbed.history import History
from message_sender.testbed.history_checker import HistoryChecker, Rules, Violation

WARM_CAPACITY = 10.0  # calls a second; above the mean load of a destination
COLD_CAPACITY_SHARE = 0.2
MIN_OUTAGE_S = 0.5  # a shorter one cannot be distinguished from a single failure
END_MARGIN_S = 1.0
DISK_BYTES = 2_000_000
OUTAGES = frozenset(
    {
        DestinationBehavior.SHUT,
        DestinationBehavior.SILENT,
        DestinationBehavior.REFUSES,
        DestinationBehavior.ERRS,
    }
)


class ProcessKilled(SystemExit):  # of all exceptions, asyncio passes SystemExit on from tasks and callbacks
    """SIGKILL: the loop ends at once."""


@dataclass
class Outcomes:
    """Results of a run.

    Attributes:
        breaches: Violations of the delivery rules.
        trace: The history as lines of JSON.
        ends: Number of completed messages by state.
        calls: Number of calls.
        kills: Number of kills.
        told_again: Completions of which a later process notified the listener again.
        scheduled: The scheduled events that took place.
    """

    breaches: list[Violation]
    trace: list[str]
    ends: dict[str, int] = field(default_factory=dict)
    calls: int = 0
    kills: int = 0
    told_again: int = 0
    scheduled: list[ScheduledEvent] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RunCompletion:
    """The last completion of a message, with the process that notified it."""

    state: str
    process: int


class SimulatedRun:
    """A run over all its processes.

    Attributes:
        kill_count: Number of kills so far, which is also the number of the present process.
        write_count: Writes to the disk so far.
    """

    def __init__(self, seed: int, spec: RunSpec, state: Path, excluded: frozenset[int] = frozenset()) -> None:
        """Draws the plan of the run.

        Args:
            seed: Seed of all random draws.
            spec: The size of the run.
            state: The sender's state folder.
            excluded: Numbers of scheduled events that do not take place.
        """
        self.seed = seed
        self.spec = spec
        self.state = state
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.history = History(self.time)
        self.plan = RunPlan(spec, self.rng, excluded)
        self.pending_events = self.plan.actions_by_time()
        self.completions: dict[str, RunCompletion] = {}
        self.kill_count = 0
        self.repeated_completions = 0
        self.write_count = 0
        self.failures: list[tuple[int, float]] = []  # destination and time of each failed call
        self.end_s = spec.seconds + DEADLINE_S + END_MARGIN_S
        self.directory = StaticDirectory(self.plan.endpoints)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.loop.time()

    def read_clock_us(self) -> int:
        """Returns the wall clock in microseconds."""
        return EPOCH_US + round(self.time() * SECOND_US)

    def behavior_of(self, endpoint: str) -> DestinationBehavior:
        """Returns how an endpoint's destination behaves now."""
        now = self.time()
        for phase in self.plan.phases[self.plan.destination_of[endpoint]]:
            if phase.start <= now < phase.end:
                return phase.behavior
        return DestinationBehavior.SERVES

    def record_failure(self, endpoint: str) -> None:
        """Records that the sender saw a call fail, and can therefore know of an outage."""
        self.failures.append((self.plan.destination_of[endpoint], self.time()))

    def message_completed(self, message: str, completion: Completion) -> None:
        """Records a completion.

        A later process may notify the same one again: the process before may have been killed between its
        notification and its record.
        """
        state = completion.state.value
        previous = self.completions.get(message)
        self.completions[message] = RunCompletion(state, self.kill_count)
        if previous and previous.state == state and previous.process < self.kill_count:
            self.repeated_completions += 1
            return
        self.history.record(seen.MessageCompleted(self.time(), message, state))

    def open_journal(self, folder: Path, limit_bytes: int) -> Journal:
        """Opens the journal of a process that starts."""
        return Journal(folder, limit_bytes)

    def start(self) -> None:
        """Starts a process on the state folder."""
        known = tuple(each.endpoint for each in self.plan.endpoints)
        config = EngineConfig("n", self.state, self.seed, DISK_BYTES, build_settings(), known)
        self.engine = Engine(config, self.read_clock_us, open_journal=self.open_journal)
        self._count_writes()
        self.directory.on_update = self.engine.endpoints_updated
        self.engine.set_ports(RunTransport(self), self.directory, RunCompletionListener(self))
        self.engine.start()
        self.engine.endpoints_updated(EndpointsUpdated(ListingKind.FULL, self.directory.endpoints()))

    def _count_writes(self) -> None:
        append = self.engine.journal.append

        def append_or_kill(record: bytes, *args: bool, **kwargs: bool) -> bool:
            self.write_count += 1
            if self.write_count == self.plan.kill_at_write:
                raise ProcessKilled
            return append(record, *args, **kwargs)

        self.engine.journal.append = append_or_kill  # type: ignore[method-assign]

    def run(self) -> Outcomes:
        """Runs to the end, over as many processes as it takes.

        Raises:
            RuntimeError: The engine stopped because of a defect.
        """
        try:
            while not self.run_process():
                self.history.record(seen.SenderRestarted(self.time()))
        finally:
            self.terminate()
        return self._build_outcomes()

    def run_process(self) -> bool:
        """Runs one process; returns whether the run has ended. After a kill, prepares a new event loop."""
        try:
            self.loop.run_until_complete(self._play_events())
        except ProcessKilled:
            self.terminate()
            self.loop = VirtualLoop(self.time())
            self.kill_count += 1
            return False
        return True

    async def _play_events(self) -> None:
        self.start()
        while self.pending_events:
            event = self.pending_events[0]
            if event.at > self.time():
                await asyncio.sleep(event.at - self.time())
                continue
            del self.pending_events[0]
            if event.action:
                self._apply(event.action)
        await asyncio.sleep(max(self.end_s - self.time(), 0.0))
        if self.engine.defect:
            raise RuntimeError(self.engine.defect)

    def _apply(self, action: RunAction) -> None:
        match action:
            case SubmitMessage(message):
                self.engine.submit(message, RunCaller(self, message))
            case Drain(endpoint):
                self.directory.drain(endpoint)
                self.history.record(seen.EndpointDrained(self.time(), endpoint))
            case _:
                raise ProcessKilled

    def terminate(self) -> None:
        """Ends the process as a kill does: its files are closed, and none of its tasks runs any more."""
        self.engine.journal.release()
        self.engine.is_closed = True
        self.loop.set_exception_handler(ignore_loop_exception)
        for task in asyncio.all_tasks(self.loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]  # killed tasks stay pending
        self.loop.close()

    def _build_outcomes(self) -> Outcomes:
        events = self.history.events
        states = Counter(each.state for each in events if isinstance(each, seen.MessageCompleted))
        return Outcomes(
            self._find_violations(),
            encode_trace(events),
            dict(states),
            self.history.calls,
            self.kill_count,
            self.repeated_completions,
            self.plan.events,
        )

    def _find_violations(self) -> list[Violation]:
        rules = Rules(
            CLASS_RULES,
            zones={each.endpoint.id: each.endpoint.zone for each in self.plan.endpoints},
            # A Retry-After of a separate route applies to that route only.
            destinations={
                each.endpoint.id: -number if each.endpoint.kind == "apart" else each.endpoint.destination
                for number, each in enumerate(self.plan.endpoints, 1)
            },
            key_pause=KEY_PAUSE_S,
        )
        load_rules = Rules(
            CLASS_RULES,
            destinations=self.plan.destination_of,
            capacity=dict.fromkeys(self.plan.phases, WARM_CAPACITY),
            slow_start=WARM_UP_S,
            slow_start_from=COLD_CAPACITY_SHARE,
        )
        violations = HistoryChecker(rules).check(self.history.events)
        load_violations = HistoryChecker(load_rules).check([*self._find_outages(), *self.history.events])
        return violations + [each for each in load_violations if each.rule == "cold"]

    def _find_outages(self) -> list[seen.Outage]:
        """Returns the outages in which the sender saw a call fail; it cannot know of the others."""
        outages = []
        for number, phases in self.plan.phases.items():
            for phase in phases:
                is_outage = phase.behavior in OUTAGES and phase.end - phase.start >= MIN_OUTAGE_S
                is_seen = any(
                    destination == number and phase.start <= at < phase.end
                    for destination, at in self.failures
                )
                if is_outage and is_seen:
                    outages.append(seen.Outage(phase.start, phase.end, number))
        return outages


def ignore_loop_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Exception handler of the event loop of a killed process."""


def simulate(seed: int, spec: RunSpec | None = None, without: frozenset[int] = frozenset()) -> Outcomes:
    """Performs the run that a seed determines.

    Args:
        seed: The seed.
        spec: The size of the run; None for the default.
        without: Numbers of scheduled events that do not take place.

    Raises:
        EmulationError: The engine used a real clock, thread or socket, or unseeded randomness.
    """
    with isolated_folder() as folder:
        return SimulatedRun(seed, spec or RunSpec(), folder, without).run()


@contextlib.contextmanager
def isolated_folder() -> Iterator[Path]:
    """Provides a temporary folder, and isolates the run in its block, which logs nothing."""
    disabled_level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    # Objects of a killed loop are collected after the run, not in the middle of the next process.
    gc.disable()
    try:
        with tempfile.TemporaryDirectory() as folder, sealed():
            yield Path(folder)
    finally:
        with warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # coroutines that a kill left unstarted
            gc.collect()
        gc.enable()
        logging.disable(disabled_level)
