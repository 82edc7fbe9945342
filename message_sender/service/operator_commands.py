"""What operators ask of a sender on the platform. What changes anything is on record before the yes."""

import asyncio
import json
import logging
from typing import TYPE_CHECKING

from message_sender.discovery.maintenance import MOST_ID, MOST_OUT, Maintenance, MaintenanceFile
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
        self.sender, self.store, self.is_draining = sender, record, away
        self.handlers = {
            Operation.TAKES_CLIENTS: self.takes_clients,
            Operation.FIGURES: self.read_metrics,
            Operation.TAKE_OUT: self.take_out,
            Operation.PUT_BACK: self.put_back,
            Operation.SEND_AWAY: self.start_drain,
            Operation.COME_BACK: self.end_drain,
        }

    @property
    def maintenance(self) -> Maintenance:
        return self.sender.maintenance

    def execute(self, call: ManagementCall) -> ManagementReply:
        if self.sender.engine.is_handed_over and call.ask not in (
            Operation.TAKES_CLIENTS,
            Operation.FIGURES,
        ):
            return ManagementReply(503, "another process takes over: ask there")
        return self.handlers[call.ask](call)

    def takes_clients(self, call: ManagementCall) -> ManagementReply:
        return (
            ManagementReply(200, "yes")
            if self.sender.server.listener
            else ManagementReply(503, "not yet, or no more")
        )

    def read_metrics(self, call: ManagementCall) -> ManagementReply:
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
        return known is None or opened or known.bad_until > self.sender.engine.now()

    def take_out(self, call: ManagementCall) -> ManagementReply:
        if not self.maintenance.knows(call.receiver):
            return ManagementReply(404, "no receiver of this id is known")
        if len(self.maintenance.out) >= MOST_OUT or len(json.dumps(call.receiver)) > MOST_ID:
            return ManagementReply(503, "no room for one more that is out")
        if not self.save(self.maintenance.out | {call.receiver}, self.is_draining):
            return NOT_RECORDED
        self.apply_change(call.receiver, self.maintenance.take_out(call.receiver))
        return ManagementReply(200, "out")

    def put_back(self, call: ManagementCall) -> ManagementReply:
        if not self.maintenance.knows(call.receiver):
            return ManagementReply(404, "no receiver of this id is known")
        if not self.save(self.maintenance.out - {call.receiver}, self.is_draining):
            return NOT_RECORDED
        self.apply_change(call.receiver, self.maintenance.put_back(call.receiver))
        return ManagementReply(200, "back")

    def apply_change(self, receiver: str, news: EndpointsUpdated | None) -> None:
        """It was restarted or will be: what is kept open to it is of no use any more."""
        self.sender.transport.close_idle(receiver)
        if news:
            self.sender.engine.endpoints_updated(news)
        now = "out" if receiver in self.maintenance.out else "in"
        log.info("%s: %s is %s", self.sender.engine.config.name, receiver, now)

    def start_drain(self, call: ManagementCall) -> ManagementReply:
        if not self.save(self.maintenance.out, True):
            return NOT_RECORDED
        if not self.is_draining:
            log.info("%s: clients are sent away", self.sender.engine.config.name)
        self.is_draining = True
        self.sender.drain.fail(asyncio.get_running_loop().time())
        self.sender.start_drain()
        return ManagementReply(200, "clients are sent away")

    def end_drain(self, call: ManagementCall) -> ManagementReply:
        if self.sender.drain.ends_at() is not None:
            return ManagementReply(503, "this process is ending")
        if not self.save(self.maintenance.out, False):
            return NOT_RECORDED
        if self.is_draining:
            log.info("%s: back to work", self.sender.engine.config.name)
            self.sender.server.come_back()
        self.is_draining = False
        self.sender.drain.ok()
        return ManagementReply(200, "back to work")

    def save(self, out: set[str], away: bool) -> bool:
        """Whether the orders stand on the disk as they are to be."""
        if (out, away) == (self.maintenance.out, self.is_draining):
            return True
        try:
            self.store.save(out, away)
        except OSError as error:
            log.error("the operators' orders cannot be put on record: %s", error)
            return False
        return True
