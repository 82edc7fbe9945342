"""A standalone sender as a member of a fleet: connects link, recovery stages and budgets to its engine.

The module is imported only where the configuration has a `[fleet]`.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from message_sender.budget.status import describe_budgets as budget_status
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
from message_sender.recovery.engine_port import RouteRate
from message_sender.recovery.id_inquiry import IdState
from message_sender.recovery.stage_model import Stage
from message_sender.recovery.stages import LONE_INQUIRY_TIMEOUT_S
from message_sender.recovery.status import recovery_status
from message_sender.service.route_rates import announced_rates

if TYPE_CHECKING:
    from message_sender.service.budgets import SharedBudgets

INQUIRY_TIMEOUT_S = 2 * LONE_INQUIRY_TIMEOUT_S  # reached only if the recovery stages fail to end the inquiry

log = logging.getLogger(__name__)


class OutOfServiceEndpoints(Protocol):
    """The endpoints that are out of service at this sender."""

    def remaining_s(self) -> dict[str, float]:
        """Returns the seconds for which each of them stays out of service, by endpoint id."""

    def take_over(self, endpoint: str, remaining_s: float, member: str) -> None:
        """Takes over another member's order: the endpoint stays out of service for `remaining_s` seconds."""


class NoEndpointsOutOfService:
    """Implements `OutOfServiceEndpoints` for a sender on which endpoints are never out of service."""

    def remaining_s(self) -> dict[str, float]:
        """Returns no endpoints."""
        return {}

    def take_over(self, endpoint: str, remaining_s: float, member: str) -> None:
        """Has no effect."""


class EngineView:
    """Implements the recovery coordinator's port to an engine.

    Attributes:
        out_of_service_endpoints: The sender's endpoints that are out of service.
    """

    def __init__(self, engine: Engine) -> None:
        """Initializes without endpoints out of service."""
        self.engine = engine
        self.out_of_service_endpoints: OutOfServiceEndpoints = NoEndpointsOutOfService()

    def now(self) -> int:
        """Returns the time of the engine's clock, in microseconds."""
        return self.engine.now()

    def owed_counts(self) -> dict[int, int]:
        """Returns the number of messages by destination.

        Until the engine has taken over the journal's messages, the journal's entries are counted.
        """
        if self.engine.listener_task is None:
            entries = self.engine.journal.entries.values()
            return dict(Counter(entry.message.destination for entry in entries))
        messages = self.engine.dispatcher.messages.values()
        return dict(Counter(message.destination for message in messages))

    def inherit_state(self, state: InheritedState) -> None:
        """Passes other members' state to the policy."""
        self.engine.post(state)

    def routes(self, number: int) -> list[RouteRate]:
        """Returns each route to a destination with the fleet's rate and the gap between one member's calls.

        The rate is in calls per second, the gap in microseconds; both are 0 if the list announces no rates.
        """
        settings = self.engine.settings
        routes = []
        for route, announced_rate in announced_rates(self.engine, number).items():
            rate = announced_rate if settings.announces_rates else 0.0
            gap_us = 1e6 * settings.fleet_size / rate if rate else 0.0
            routes.append(RouteRate(route, rate, gap_us))
        return routes

    def restored_ids(self) -> list[str]:
        """Returns the ids of the messages in the journal that are not completed."""
        entries = self.engine.journal.entries
        return [message_id for message_id, entry in entries.items() if not entry.completion]

    def id_state(self, message_id: str) -> IdState | None:
        """Returns the state of a message at this sender; None if the message is not known."""
        journal = self.engine.journal
        if entry := journal.entries.get(message_id):
            return IdState.IN_FLIGHT if entry.attempts else IdState.ACCEPTED
        is_completed = message_id in self.engine.table.completed
        if is_completed or message_id in getattr(journal, "finished", ()):
            return IdState.COMPLETED
        return None

    def mark_doubtful(self, message_id: str) -> None:
        """Marks a message that another member may have sent."""
        if entry := self.engine.journal.entries.get(message_id):
            entry.is_doubtful = True

    def has_open_breaker(self, number: int) -> bool:
        """Whether a breaker of the destination is open."""
        destination = self.engine.dispatcher.destinations.get(number)
        if destination is None:
            return False
        return any(breaker.is_open() for breaker in (destination.breakers_by_route or {}).values())

    def out_of_service(self) -> dict[str, float]:
        """Returns the seconds for which endpoints stay out of service here, by endpoint id."""
        return self.out_of_service_endpoints.remaining_s()

    def take_out_of_service(self, endpoint: str, duration_s: float, member: str) -> None:
        """Takes over another member's order: the endpoint stays out of service for `duration_s` seconds."""
        self.out_of_service_endpoints.take_over(endpoint, duration_s, member)


class Membership(EngineHooks):
    """One sender's link to the fleet, its recovery stages and its shared budgets."""

    def __init__(
        self,
        engine: Engine,
        config: FleetConfig,
        state: Path,
        set_ready: Callable[[bool], None],
        budgets: tuple[SharedBudget, ...] = (),
        may_add_budgets: bool = False,
    ) -> None:
        """Builds the link without opening it.

        Args:
            engine: The sender's engine.
            config: The link's configuration.
            state: The state folder.
            set_ready: Called with True when new messages are accepted from then on, else with False.
            budgets: The budgets that the fleet shares.
            may_add_budgets: Whether the first budget may be added while the sender runs.

        Raises:
            KeyFileError: There is no key to seal datagrams with.
            OSError: The state folder cannot be used.
        """
        self.engine = engine
        self.set_ready = set_ready
        local_member = LocalMember(engine.config.name, config.advertise, config.seeds, config.size)
        self.link = FleetLink(local_member, config.listen, config.key_file, state)
        self.view = EngineView(engine)
        self.coordinator = Coordinator(self.link.node, self.view, engine.settings, self.link.loop.time)
        self.link.on_tick = self.step
        self.budgets: SharedBudgets | None = None
        if budgets or may_add_budgets:
            from message_sender.service import budgets as shared

            self.budgets = shared.SharedBudgets(engine, self.link, budgets, config.size)
        self.inquiry_ended: asyncio.Future[None] = self.link.loop.create_future()
        self.coordinator.on_stage_changed = self.stage_changed

    async def start(self, waits: Mapping[int, float]) -> None:
        """Opens the link, and returns when the inquiry of the other members has ended or timed out.

        Args:
            waits: Seconds for which destinations must not be called, from this sender's stored state.

        Raises:
            OSError: The address cannot be bound.
        """
        for number, wait_s in waits.items():
            self.coordinator.stages.restore_retry_after(number, wait_s, self.link.loop.time())
        await self.link.start()
        assert self.link.task
        self.link.task.add_done_callback(self.engine.task_ended)  # a defect in the task ends the sender
        self.engine.hooks.add(self)
        if self.budgets:
            self.budgets.bind()
        try:
            async with asyncio.timeout(INQUIRY_TIMEOUT_S):
                await self.inquiry_ended
        except TimeoutError:
            log.error("fleet: inquiry of the other members timed out: timeout_s=%.1f", INQUIRY_TIMEOUT_S)
        if self.link.node.is_behind:
            self.mark_all_doubtful()

    def mark_all_doubtful(self) -> None:
        """Marks all messages as doubtful, because other members have seen a later start of this name.

        The disk does not have the latest state, so that a stored message may already have been sent or
        completed by that later start.
        """
        entries = self.engine.journal.entries.values()
        log.error("fleet: state folder outdated, its messages are doubtful: messages=%d", len(entries))
        for entry in entries:
            entry.is_doubtful = True

    def stage_changed(self, stage: Stage) -> None:
        """Handles a change of the recovery stage; called by the coordinator."""
        if stage > Stage.INQUIRING and not self.inquiry_ended.done():
            self.inquiry_ended.set_result(None)
        self.set_ready(stage >= Stage.ADMITTING)

    def step(self, now: float) -> None:
        """Does the periodic work.

        Args:
            now: The loop's time in seconds; the link calls this several times a second.
        """
        self.coordinator.step(now)
        if self.budgets:
            self.budgets.step(now)

    def configure(self, budgets: tuple[SharedBudget, ...], size: int) -> None:
        """Applies budgets from a changed configuration; `size` is the number of members in the fleet."""
        if self.budgets:
            self.budgets.configure(budgets, size)

    def changes_for_next_start(self, budgets: tuple[SharedBudget, ...]) -> list[str]:
        """Returns one text for each change of a budget that needs a restart."""
        assert self.budgets
        return self.budgets.changes_for_next_start(budgets)

    def describe_budgets(self) -> dict[str, object]:
        """Returns the state of each budget by name, for the control socket."""
        return budget_status(self.budgets.manager) if self.budgets else {}

    def status(self) -> dict[str, object]:
        """Returns the recovery stage and the members, for the control socket."""
        return recovery_status(self.coordinator)

    def destination_of(self, endpoint: str) -> int | None:
        """Returns the destination for which an endpoint is listed; None if it is not listed."""
        tracked = self.engine.dispatcher.endpoints.get(endpoint)
        return tracked.listed.destination if tracked else None

    def messages_restored(self) -> None:
        """Makes the coordinator include the restored messages in its permissions."""
        self.coordinator.apply_permissions(self.link.loop.time())

    def may_call(self, endpoint: str) -> bool:
        """Whether the recovery stage permits a call to the endpoint's destination."""
        number = self.destination_of(endpoint)
        return number is None or self.coordinator.may_call(number)

    def call_started(self, endpoint: str) -> None:
        """Counts a call to the endpoint's destination."""
        if (number := self.destination_of(endpoint)) is not None:
            self.coordinator.call_started(number)

    def attempt_finished(self, endpoint: str, outcome: Outcome) -> None:
        """Passes the outcome to the recovery stages."""
        if (number := self.destination_of(endpoint)) is not None:
            self.coordinator.call_finished(number, outcome)

    def retry_after_received(self, endpoint: str, delay_us: int) -> None:
        """Passes a Retry-After to the other members."""
        if (number := self.destination_of(endpoint)) is not None:
            self.coordinator.retry_after_received(number, delay_us)

    def admission_delay_us(self, message: Message) -> int:
        """Returns the delay in microseconds that the recovery stage or a tenant's budget requires.

        The result 0 admits the message.
        """
        if delay_us := self.coordinator.admission_delay_us(message.destination, message.message_class):
            return delay_us
        if self.budgets and (delay_us := self.budgets.tenant_delay_us(message)):
            return delay_us
        self.coordinator.message_admitted(message.destination)
        return 0

    def is_open(self) -> bool:
        """Whether new messages of at least one class are accepted."""
        return self.coordinator.stages.stage >= Stage.ADMITTING

    def close(self) -> None:
        """Releases unused shares of budgets and closes the link."""
        if self.budgets:
            self.budgets.close()
        self.link.close()


def join_fleet(
    engine: Engine,
    config: FleetConfig,
    state: Path,
    set_ready: Callable[[bool], None],
    budgets: tuple[SharedBudget, ...] = (),
    may_add_budgets: bool = False,
) -> Membership | None:
    """Builds a `Membership`.

    Returns:
        None if the membership cannot be built; the reason is logged, and the sender runs without the fleet.
    """
    try:
        return Membership(engine, config, state, set_ready, budgets, may_add_budgets)
    except (KeyFileError, OSError) as error:
        log.error("fleet: sender runs without the fleet: reason=%s", error)
        return None
