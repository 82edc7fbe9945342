"""What operators ask of a sender on the platform. What changes anything is on record before the yes."""

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

NOT_RECORDED = ManagementReply(503, "it could not be put on record, and nothing has changed")

log = logging.getLogger(__name__)


class OperatorCommands:
    def __init__(self, sender: "JournalOwner", record: MaintenanceFile, away: bool) -> None:
        """`away`: clients are to be sent away, by an order to an earlier process."""
        self.sender, self.record, self.away = sender, record, away
        self.calls = {
            Operation.READINESS: self.takes_clients,
            Operation.METRICS: self.figures,
            Operation.START_MAINTENANCE: self.take_out,
            Operation.END_MAINTENANCE: self.put_back,
            Operation.DRAIN: self.send_away,
            Operation.RESUME: self.come_back,
        }

    @property
    def maintenance(self) -> Maintenance:
        return self.sender.maintenance

    def asked(self, call: ManagementCall) -> ManagementReply:
        if self.sender.engine.is_handed_over and call.operation not in (
            Operation.READINESS,
            Operation.METRICS,
        ):
            return ManagementReply(503, "another process takes over: ask there")
        return self.calls[call.operation](call)

    def takes_clients(self, call: ManagementCall) -> ManagementReply:
        return (
            ManagementReply(200, "yes")
            if self.sender.server.listener
            else ManagementReply(503, "not yet, or no more")
        )

    def figures(self, call: ManagementCall) -> ManagementReply:
        engine, listed = self.sender.engine, self.maintenance.listed
        counts, avoided = engine.table.counts, sum(map(self.is_avoided, listed))
        current = len(engine.journal.entries)
        return ManagementReply(
            200, Metrics(counts.classes, counts.sends, current, len(listed), avoided).text()
        )

    def is_avoided(self, name: str) -> bool:
        """Whether nothing new goes to a listed endpoint: not ready, its breaker open, or marked bad."""
        known = self.sender.engine.dispatcher.endpoints.get(name)
        opened = known is not None and known.breaker is not None and known.breaker.is_open()
        return known is None or opened or known.suspect_until > self.sender.engine.now()

    def take_out(self, call: ManagementCall) -> ManagementReply:
        if not self.maintenance.is_known(call.endpoint):
            return ManagementReply(404, "no receiver of this id is known")
        if (
            len(self.maintenance.out_of_service) >= MAX_OUT_OF_SERVICE
            or len(json.dumps(call.endpoint)) > MAX_ID_LENGTH
        ):
            return ManagementReply(503, "no room for one more that is out")
        if not self.recorded(self.maintenance.out_of_service | {call.endpoint}, self.away):
            return NOT_RECORDED
        self.changed(call.endpoint, self.maintenance.take_out_of_service(call.endpoint))
        return ManagementReply(200, "out")

    def put_back(self, call: ManagementCall) -> ManagementReply:
        if not self.maintenance.is_known(call.endpoint):
            return ManagementReply(404, "no receiver of this id is known")
        if not self.recorded(self.maintenance.out_of_service - {call.endpoint}, self.away):
            return NOT_RECORDED
        self.changed(call.endpoint, self.maintenance.return_to_service(call.endpoint))
        return ManagementReply(200, "back")

    def changed(self, receiver: str, news: EndpointsUpdated | None) -> None:
        """It was restarted or will be: what is kept open to it is of no use any more."""
        self.sender.transport.close_idle(receiver)
        if news:
            self.sender.engine.endpoints_updated(news)
        now = "out" if receiver in self.maintenance.out_of_service else "in"
        log.info("%s: %s is %s", self.sender.engine.config.name, receiver, now)

    def send_away(self, call: ManagementCall) -> ManagementReply:
        if not self.recorded(self.maintenance.out_of_service, True):
            return NOT_RECORDED
        if not self.away:
            log.info("%s: clients are sent away", self.sender.engine.config.name)
        self.away = True
        self.sender.drain.start(asyncio.get_running_loop().time())
        self.sender.send_away()
        return ManagementReply(200, "clients are sent away")

    def come_back(self, call: ManagementCall) -> ManagementReply:
        if self.sender.drain.exit_at_s() is not None:
            return ManagementReply(503, "this process is ending")
        if not self.recorded(self.maintenance.out_of_service, False):
            return NOT_RECORDED
        if self.away:
            log.info("%s: back to work", self.sender.engine.config.name)
            self.sender.server.come_back()
        self.away = False
        self.sender.drain.cancel()
        return ManagementReply(200, "back to work")

    def recorded(self, out: set[str], away: bool) -> bool:
        """Whether the orders stand on the disk as they are to be."""
        if (out, away) == (self.maintenance.out_of_service, self.away):
            return True
        try:
            self.record.save(out, away)
        except OSError as error:
            log.error("the operators' orders cannot be put on record: %s", error)
            return False
        return True
