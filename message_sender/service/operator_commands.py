"""The operators' commands to a sender on the platform; a change is stored on disk before it is confirmed."""

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
    from message_sender.service.journal_owner import JournalOwner

#: The operations that a process still executes after it has handed over.
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
    """Executes operators' commands and stores their orders.

    Attributes:
        sender: The sender that executes the commands.
        store: The file of the orders.
        is_draining: Whether operators have ordered the sender to drain, in this or an earlier process.
        handlers: The method for each operation.
    """

    def __init__(self, sender: "JournalOwner", store: MaintenanceFile, is_draining: bool) -> None:
        """Initializes with the stored orders.

        Args:
            sender: The sender that executes the commands.
            store: The file of the orders.
            is_draining: Whether the stored orders say that the sender drains.
        """
        self.sender = sender
        self.store = store
        self.is_draining = is_draining
        self.handlers = {
            Operation.READINESS: self.accepts_clients,
            Operation.METRICS: self.read_metrics,
            Operation.START_MAINTENANCE: self.start_maintenance,
            Operation.END_MAINTENANCE: self.end_maintenance,
            Operation.DRAIN: self.start_drain,
            Operation.RESUME: self.end_drain,
        }

    @property
    def maintenance(self) -> Maintenance:
        """The endpoints that operators have taken out of service."""
        return self.sender.maintenance

    def execute(self, call: ManagementCall) -> ManagementReply:
        """Executes a call; a process that has handed over rejects all changes."""
        if self.sender.engine.is_handed_over and call.operation not in READ_ONLY_OPERATIONS:
            return HANDED_OVER
        return self.handlers[call.operation](call)

    def accepts_clients(self, _call: ManagementCall) -> ManagementReply:
        """Returns a reply of status 200 if clients can connect, else 503."""
        return ACCEPTS_CLIENTS if self.sender.server.listener else ACCEPTS_NO_CLIENTS

    def read_metrics(self, _call: ManagementCall) -> ManagementReply:
        """Returns the counters and gauges as text."""
        engine = self.sender.engine
        listed = self.maintenance.listed
        counts = engine.table.counts
        avoided_count = sum(map(self.is_avoided, listed))
        metrics = Metrics(
            counts.classes, counts.requests_sent, len(engine.journal.entries), len(listed), avoided_count
        )
        return ManagementReply(200, metrics.text())

    def is_avoided(self, endpoint_id: str) -> bool:
        """Whether a listed endpoint gets no new calls.

        This holds if the policy does not track it as ready, if its breaker is open, or while it is suspect.
        """
        engine = self.sender.engine
        endpoint = engine.dispatcher.endpoints.get(endpoint_id)
        if endpoint is None:
            return True
        is_breaker_open = endpoint.breaker is not None and endpoint.breaker.is_open()
        return is_breaker_open or endpoint.suspect_until > engine.now()

    def start_maintenance(self, call: ManagementCall) -> ManagementReply:
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

    def end_maintenance(self, call: ManagementCall) -> ManagementReply:
        """Returns an endpoint to service."""
        maintenance = self.maintenance
        if not maintenance.is_known(call.endpoint):
            return UNKNOWN_ENDPOINT
        if not self.save(maintenance.out_of_service - {call.endpoint}, self.is_draining):
            return NOT_RECORDED
        self.apply_change(call.endpoint, maintenance.return_to_service(call.endpoint))
        return ManagementReply(200, "back")

    def apply_change(self, endpoint_id: str, update: EndpointsUpdated | None) -> None:
        """Applies a changed order to the engine, and closes idle connections to the endpoint.

        The connections are closed because maintenance usually restarts the endpoint.
        """
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
        """Asks clients to connect to another sender until the drain ends."""
        if not self.save(self.maintenance.out_of_service, True):
            return NOT_RECORDED
        if not self.is_draining:
            log.info("drain started: sender=%s", self.sender.engine.config.name)
        self.is_draining = True
        self.sender.drain.start(asyncio.get_running_loop().time())
        self.sender.start_drain()
        return ManagementReply(200, "clients are sent away")

    def end_drain(self, _call: ManagementCall) -> ManagementReply:
        """Accepts clients again, unless the process is terminating."""
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
        """Stores the orders; returns whether the stored orders are the given ones."""
        if (out_of_service, is_draining) == (self.maintenance.out_of_service, self.is_draining):
            return True
        try:
            self.store.save(out_of_service, is_draining)
        except OSError as error:
            log.error("maintenance state not saved: reason=%s", error)
            return False
        return True
