"""A sender of our own as a member of a fleet: the link, the stages and the snapshot beside its engine.
Imported only where the configuration has a `[fleet]` or the journal survives the machine."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from message_sender.budget.status import status as budget_status
from message_sender.configuration.general import FleetConfig
from message_sender.configuration.resources import SharedBudget
from message_sender.core.engine import Engine
from message_sender.core.hooks import EngineHooks
from message_sender.fleet.node import LocalMember
from message_sender.fleet.seal import KeyFileError
from message_sender.fleet.udp import FleetLink
from message_sender.message import Message
from message_sender.policy.events import InheritedState
from message_sender.policy.model import Outcome
from message_sender.recovery.coordinator import Coordinator
from message_sender.recovery.id_inquiry import IdState
from message_sender.recovery.stages import ALONE, Stage
from message_sender.service.routes import announced_rates

if TYPE_CHECKING:
    from message_sender.service.budgets import SharedBudgets

log = logging.getLogger(__name__)


class EngineView:
    """What the coordinator needs of an engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        #: What is kept out of service here, s left; and what another one keeps so.
        self.away: Callable[[], dict[str, float]] = dict
        self.keep_away: Callable[[str, float, str], None] = lambda endpoint, left, by: None

    def now(self) -> int:
        return self.engine.now()

    def owed(self) -> dict[int, int]:
        """From the journal until the engine has begun, which takes over what stands there."""
        if self.engine.listener_task is None:
            return dict(Counter(each.message.destination for each in self.engine.journal.entries.values()))
        return dict(Counter(each.destination for each in self.engine.dispatcher.messages.values()))

    def inherit(self, told: InheritedState) -> None:
        self.engine.post(told)

    def routes(self, number: int) -> list[tuple[str, float, float]]:
        settings = self.engine.settings
        return [
            (route, rate, 1e6 * settings.fleet_size / rate if rate else 0.0)
            for route, told in announced_rates(self.engine, number).items()
            for rate in [told if settings.announces_rates else 0.0]
        ]

    def ids(self) -> list[str]:
        return [name for name, each in self.engine.journal.entries.items() if not each.verdict]

    def known(self, name: str) -> IdState | None:
        journal = self.engine.journal
        if entry := journal.entries.get(name):
            return IdState.OUT if entry.attempts else IdState.TAKEN
        over = name in self.engine.table.completed or name in getattr(journal, "over_ids", ())
        return IdState.ENDED if over else None

    def doubt(self, name: str) -> None:
        if entry := self.engine.journal.entries.get(name):
            entry.doubtful = True

    def is_open(self, number: int) -> bool:
        at = self.engine.dispatcher.destinations.get(number)
        return at is not None and any(each.is_open() for each in (at.own or {}).values())


class Membership(EngineHooks):
    """Raises KeyFileError and OSError where the link cannot be; the sender then serves alone, and says so."""

    def __init__(
        self,
        engine: Engine,
        config: FleetConfig,
        state: Path,
        ready: Callable[[bool], None],
        budgets: tuple[SharedBudget, ...] = (),
        may_come: bool = False,
    ) -> None:
        """`may_come`: the first budget may come while the sender runs."""
        self.engine, self.set_ready = engine, ready
        me = LocalMember(engine.config.name, config.advertise, config.seeds, config.size)
        self.link = FleetLink(me, config.listen, config.key_file, state)
        self.view = EngineView(engine)
        self.coordinator = Coordinator(self.link.node, self.view, engine.settings, self.link.loop.time)
        self.link.step = self.step
        self.budgets: SharedBudgets | None = None
        if budgets or may_come:
            from message_sender.service import budgets as shared

            self.budgets = shared.SharedBudgets(engine, self.link, budgets, config.size)
        self.inquiry_ended: asyncio.Future[None] = self.link.loop.create_future()
        self.coordinator.changed = self.stage_changed

    async def start(self, waits: Mapping[int, float]) -> None:
        """Until the others have been asked: no longer than stated. `waits`: s that destinations are to be
        left alone for, as was known before."""
        for number, wait in waits.items():
            self.coordinator.stages.waited_before(number, wait, self.link.loop.time())
        await self.link.start()
        engine = self.engine
        assert self.link.task
        self.link.task.add_done_callback(engine.task_ended)  # a defect ends more than the link
        engine.hooks.add(self)
        if self.budgets:
            self.budgets.bind()
        try:
            async with asyncio.timeout(2 * ALONE):
                await self.inquiry_ended
        except TimeoutError:
            log.error("stage: asking did not end by itself")
        if self.link.node.behind:
            self.mark_all_doubtful()

    def mark_all_doubtful(self) -> None:
        """Others know a later start of this name: what stands on this disk is not the latest, and what is
        owed here may have run, or ended, since."""
        held = self.engine.journal.entries.values()
        log.error("fleet: this disk is old or empty; %d messages on it are doubtful", len(held))
        for entry in held:
            entry.doubtful = True

    def stage_changed(self, stage: Stage) -> None:
        if stage > Stage.ASKING and not self.inquiry_ended.done():
            self.inquiry_ended.set_result(None)
        self.set_ready(stage >= Stage.OPENING)

    def step(self, now: float) -> None:
        self.coordinator.step(now)
        if self.budgets:
            self.budgets.step(now)

    def configure(self, budgets: tuple[SharedBudget, ...], size: int) -> None:
        """The configuration was read anew."""
        if self.budgets:
            self.budgets.configure(budgets, size)

    def waits_for_start(self, budgets: tuple[SharedBudget, ...]) -> list[str]:
        """What could not be put in force at once, a text for each budget."""
        assert self.budgets
        return self.budgets.waits_for_start(budgets)

    def describe_budgets(self) -> dict[str, object]:
        return budget_status(self.budgets.desk) if self.budgets else {}

    def destination_of(self, endpoint: str) -> int | None:
        known = self.engine.dispatcher.endpoints.get(endpoint)
        return known.listed.destination if known else None

    def messages_restored(self) -> None:
        """The messages found at the start count from now on."""
        self.coordinator.bind(self.link.loop.time())

    def may_call(self, endpoint: str) -> bool:
        number = self.destination_of(endpoint)
        return number is None or self.coordinator.may_call(number)

    def call_started(self, endpoint: str) -> None:
        if (number := self.destination_of(endpoint)) is not None:
            self.coordinator.began(number)

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        if (number := self.destination_of(endpoint)) is not None:
            self.coordinator.outcome(number, outcome)

    def retry_after_received(self, endpoint: str, wait: int) -> None:
        if (number := self.destination_of(endpoint)) is not None:
            self.coordinator.asked_to_wait(number, wait)

    def admission_delay_us(self, message: Message) -> int:
        if after := self.coordinator.admits(message.destination, message.message_class):
            return after
        if self.budgets and (after := self.budgets.admits(message)):
            return after
        self.coordinator.comes(message.destination)
        return 0

    def is_open(self) -> bool:
        """Whether new messages are taken on, of some class."""
        return self.coordinator.stages.stage >= Stage.OPENING

    def close(self) -> None:
        if self.budgets:
            self.budgets.close()
        self.link.close()


def join_fleet(
    engine: Engine,
    config: FleetConfig,
    state: Path,
    ready: Callable[[bool], None],
    budgets: tuple[SharedBudget, ...] = (),
    may_come: bool = False,
) -> Membership | None:
    """None where the link cannot be made: the record says why."""
    try:
        return Membership(engine, config, state, ready, budgets, may_come)
    except (KeyFileError, OSError) as error:
        log.error("fleet: this sender serves alone: %s", error)
        return None
