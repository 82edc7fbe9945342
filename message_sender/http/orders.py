"""What operators ask of a sender on the platform. What changes anything is on record before the yes."""

import asyncio
import json
import logging
from typing import TYPE_CHECKING

from message_sender import interface as face
from message_sender.directory.maintenance import MOST_ID, MOST_OUT, Maintenance, Record
from message_sender.manage.calls import Ask, Call, Reply
from message_sender.manage.figures import Figures

if TYPE_CHECKING:
    from message_sender.http.owner import Owner

NOT_RECORDED = Reply(503, "it could not be put on record, and nothing has changed")

log = logging.getLogger(__name__)


class Orders:
    def __init__(self, sender: "Owner", record: Record, away: bool) -> None:
        """`away`: clients are to be sent away, by an order to an earlier process."""
        self.sender, self.record, self.away = sender, record, away
        self.calls = {
            Ask.TAKES_CLIENTS: self.takes_clients,
            Ask.FIGURES: self.figures,
            Ask.TAKE_OUT: self.take_out,
            Ask.PUT_BACK: self.put_back,
            Ask.SEND_AWAY: self.send_away,
            Ask.COME_BACK: self.come_back,
        }

    @property
    def maintenance(self) -> Maintenance:
        return self.sender.maintenance

    def asked(self, call: Call) -> Reply:
        if self.sender.engine.fate_of and call.ask not in (Ask.TAKES_CLIENTS, Ask.FIGURES):
            return Reply(503, "another process takes over: ask there")
        return self.calls[call.ask](call)

    def takes_clients(self, call: Call) -> Reply:
        return Reply(200, "yes") if self.sender.server.listener else Reply(503, "not yet, or no more")

    def figures(self, call: Call) -> Reply:
        engine, listed = self.sender.engine, self.maintenance.listed
        counts, avoided = engine.counts, sum(map(self.is_avoided, listed))
        current = len(engine.journal.entries)
        return Reply(200, Figures(counts.classes, counts.sends, current, len(listed), avoided).text())

    def is_avoided(self, name: str) -> bool:
        """Whether nothing new goes to a listed endpoint: not ready, its breaker open, or marked bad."""
        known = self.sender.engine.dispatcher.endpoints.get(name)
        opened = known is not None and known.breaker is not None and known.breaker.is_open()
        return known is None or opened or known.bad_until > self.sender.engine.now()

    def take_out(self, call: Call) -> Reply:
        if not self.maintenance.knows(call.receiver):
            return Reply(404, "no receiver of this id is known")
        if len(self.maintenance.out) >= MOST_OUT or len(json.dumps(call.receiver)) > MOST_ID:
            return Reply(503, "no room for one more that is out")
        if not self.recorded(self.maintenance.out | {call.receiver}, self.away):
            return NOT_RECORDED
        self.changed(call.receiver, self.maintenance.take_out(call.receiver))
        return Reply(200, "out")

    def put_back(self, call: Call) -> Reply:
        if not self.maintenance.knows(call.receiver):
            return Reply(404, "no receiver of this id is known")
        if not self.recorded(self.maintenance.out - {call.receiver}, self.away):
            return NOT_RECORDED
        self.changed(call.receiver, self.maintenance.put_back(call.receiver))
        return Reply(200, "back")

    def changed(self, receiver: str, news: face.EndpointsListed | None) -> None:
        """It was restarted or will be: what is kept open to it is of no use any more."""
        self.sender.courier.close_idle(receiver)
        if news:
            self.sender.engine.list_told(news)
        now = "out" if receiver in self.maintenance.out else "in"
        log.info("%s: %s is %s", self.sender.engine.config.name, receiver, now)

    def send_away(self, call: Call) -> Reply:
        if not self.recorded(self.maintenance.out, True):
            return NOT_RECORDED
        if not self.away:
            log.info("%s: clients are sent away", self.sender.engine.config.name)
        self.away = True
        self.sender.drain.fail(asyncio.get_running_loop().time())
        self.sender.send_away()
        return Reply(200, "clients are sent away")

    def come_back(self, call: Call) -> Reply:
        if self.sender.drain.ends_at() is not None:
            return Reply(503, "this process is ending")
        if not self.recorded(self.maintenance.out, False):
            return NOT_RECORDED
        if self.away:
            log.info("%s: back to work", self.sender.engine.config.name)
            self.sender.server.come_back()
        self.away = False
        self.sender.drain.ok()
        return Reply(200, "back to work")

    def recorded(self, out: set[str], away: bool) -> bool:
        """Whether the orders stand on the disk as they are to be."""
        if (out, away) == (self.maintenance.out, self.away):
            return True
        try:
            self.record.save(out, away)
        except OSError as error:
            log.error("the operators' orders cannot be put on record: %s", error)
            return False
        return True
