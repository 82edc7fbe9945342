"""The operators' commands to a sender on the platform. A change is on record before it is confirmed."""

import asyncio
import json
import logging
from typing import TYPE_CHECKING

from message_sender.discovery.maintenance import (
    MAX_ID_LENGTH,
    MAX_OUT_OF_SERVICE,
    Maintenance,
    MaintenanceFile,
)
from message_sender.management.calls import ManagementCall, ManagementReply, Operation
from message_sender.management.metrics import Metrics
from message_sender.policy.events import EndpointsUpdated

if TYPE_CHECKING:
    from message_sender.service.owner import JournalOwner

#: What a process that has handed over still answers.
READ_ONLY_OPERATIONS = frozenset({Operation.READINESS, Operation.METRICS})

ACCEPTS_CLIENTS = ManagementReply(200, "yes")
ACCEPTS_NO_CLIENTS = ManagementReply(503, "not yet, or no more")
HANDED_OVER = ManagementReply(503, "another process takes over: ask there")
NOT_RECORDED = ManagementReply(503, "it could not be put on record, and nothing has changed")
UNKNOWN_ENDPOINT = ManagementReply(404, "no receiver of this id is known")
TOO_MANY_OUT_OF_SERVICE = ManagementReply(503, "no room for one more that is out")
ENDING = ManagementReply(503, "this process is ending")

log = logging.getLogger(__name__)


class OperatorCommands:
    """Executes operators' commands and keeps their orders on record.

    Attributes:
        is_draining: Operators have ordered the sender to drain, maybe through an earlier process.
    """

    def __init__(self, sender: "JournalOwner", store: MaintenanceFile, is_draining: bool) -> None:
        """Takes up the orders on record.

        Args:
            sender: Which the commands are for.
            store: The record of the orders.
            is_draining: As recorded.
        """
        self.sender = sender
        self.store = store
        self.is_draining = is_draining
        self.handlers = {
            Operation.READINESS: self.accepts_clients,
            Operation.METRICS: self.read_metrics,
            Operation.START_MAINTENANCE: self.take_out,
            Operation.END_MAINTENANCE: self.put_back,
            Operation.DRAIN: self.start_drain,
            Operation.RESUME: self.end_drain,
        }

    @property
    def maintenance(self) -> Maintenance:
        """The endpoints that are out of service."""
        return self.sender.maintenance

    def execute(self, call: ManagementCall) -> ManagementReply:
        """Executes a call; a process that has handed over changes nothing any more."""
        if self.sender.engine.is_handed_over and call.operation not in READ_ONLY_OPERATIONS:
            return HANDED_OVER
        return self.handlers[call.operation](call)

    def accepts_clients(self, _call: ManagementCall) -> ManagementReply:
        """Whether clients can connect."""
        return ACCEPTS_CLIENTS if self.sender.server.listener else ACCEPTS_NO_CLIENTS

    def read_metrics(self, _call: ManagementCall) -> ManagementReply:
        """Counts and gauges as text."""
        engine = self.sender.engine
        listed = self.maintenance.listed
        counts = engine.table.counts
        avoided_count = sum(map(self.is_avoided, listed))
        metrics = Metrics(
            counts.classes, counts.sends, len(engine.journal.entries), len(listed), avoided_count
        )
        return ManagementReply(200, metrics.text())

    def is_avoided(self, endpoint_id: str) -> bool:
        """Whether no new call goes to a listed endpoint: not ready, its breaker open, or marked bad."""
        engine = self.sender.engine
        endpoint = engine.dispatcher.endpoints.get(endpoint_id)
        if endpoint is None:
            return True
        is_breaker_open = endpoint.breaker is not None and endpoint.breaker.is_open()
        return is_breaker_open or endpoint.suspect_until > engine.now()

    def take_out(self, call: ManagementCall) -> ManagementReply:
        """Takes an endpoint out of service."""
        maintenance = self.maintenance
        if not maintenance.is_known(call.endpoint):
            return UNKNOWN_ENDPOINT
        id_length = len(json.dumps(call.endpoint))
        if len(maintenance.out_of_service) >= MAX_OUT_OF_SERVICE or id_length > MAX_ID_LENGTH:
            return TOO_MANY_OUT_OF_SERVICE
        if not self.save(maintenance.out_of_service | {call.endpoint}, self.is_draining):
            return NOT_RECORDED
        self.apply_change(call.endpoint, maintenance.take_out_of_service(call.endpoint))
        return ManagementReply(200, "out")

    def put_back(self, call: ManagementCall) -> ManagementReply:
        """Puts an endpoint back in service."""
        maintenance = self.maintenance
        if not maintenance.is_known(call.endpoint):
            return UNKNOWN_ENDPOINT
        if not self.save(maintenance.out_of_service - {call.endpoint}, self.is_draining):
            return NOT_RECORDED
        self.apply_change(call.endpoint, maintenance.return_to_service(call.endpoint))
        return ManagementReply(200, "back")

    def apply_change(self, endpoint_id: str, update: EndpointsUpdated | None) -> None:
        """Tells the engine, and closes idle connections: the endpoint was restarted, or will be."""
        self.sender.transport.close_idle(endpoint_id)
        if update:
            self.sender.engine.endpoints_updated(update)
        service_state = "out_of_service" if endpoint_id in self.maintenance.out_of_service else "in_service"
        log.info(
            "maintenance state changed: sender=%s endpoint=%s state=%s",
            self.sender.engine.config.name,
            endpoint_id,
            service_state,
        )

    def start_drain(self, _call: ManagementCall) -> ManagementReply:
        """Asks clients to connect elsewhere until the drain is ended."""
        if not self.save(self.maintenance.out_of_service, True):
            return NOT_RECORDED
        if not self.is_draining:
            log.info("drain started: sender=%s", self.sender.engine.config.name)
        self.is_draining = True
        self.sender.drain.start(asyncio.get_running_loop().time())
        self.sender.start_drain()
        return ManagementReply(200, "clients are sent away")

    def end_drain(self, _call: ManagementCall) -> ManagementReply:
        """Accepts clients again; a process that is ending does not."""
        if self.sender.drain.exit_at_s() is not None:
            return ENDING
        if not self.save(self.maintenance.out_of_service, False):
            return NOT_RECORDED
        if self.is_draining:
            log.info("drain ended: sender=%s", self.sender.engine.config.name)
            self.sender.server.end_drain()
        self.is_draining = False
        self.sender.drain.cancel()
        return ManagementReply(200, "back to work")

    def save(self, out_of_service: set[str], is_draining: bool) -> bool:
        """Records the orders; returns whether they are on disk as they are to be."""
        if (out_of_service, is_draining) == (self.maintenance.out_of_service, self.is_draining):
            return True
        try:
            self.store.save(out_of_service, is_draining)
        except OSError as error:
            log.error("maintenance state not saved: reason=%s", error)
            return False
        return True
