"""How a sender on the platform goes from one process to the next: what is told, as JSON, and the steps of
either side. The order of it is in handover/seat.py, the reasons in docs/design/handover.md."""

import asyncio
import base64
import json
import logging
import os
import socket
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from message_sender import interface as face
from message_sender.core.engine import Handed
from message_sender.core.ports import Answer, End, State
from message_sender.handover.link import Packet
from message_sender.handover.seat import Seat
from message_sender.http.platform import Listed
from message_sender.http.server import Connection

if TYPE_CHECKING:
    from message_sender.http.owner import Owner

VERSION = 1  # of what is told
#: s after it has handed over: a process whose SIGTERM does not come ends all the same.
STAYS = 8.0
SPARE = 16  # descriptors that a process which has handed over may still hold besides its calls

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Told:
    """What the process before told."""

    clock: int  # the base of its clock, ns
    engine: Handed
    known: Listed
    seq: int | None  # of the list; None: it had none from the present address
    destinations: tuple[int, ...]  # all that a list ever named
    back: tuple[str, ...]  # receivers put back that were not listed as ready yet
    away_since: float | None  # s, the loop's clock: when the operators ordered clients away


def engine_text(handed: Handed) -> dict[str, Any]:
    return {
        "inherited": asdict(handed.inherited),
        "calls": {name: [number, asdict(call)] for name, (number, call) in handed.calls.items()},
        "ending": {name: [end.state.value, end.retry_after] for name, end in handed.ending.items()},
        "shares": handed.shares,
        "ended": handed.ended,
    }


def engine_from(told: dict[str, Any]) -> Handed:
    parts = {name: tuple(tuple(each) for each in value) for name, value in told["inherited"].items()}
    return Handed(
        inherited=face.Inherited(**parts),
        calls={name: (int(number), face.CallOut(**call)) for name, (number, call) in told["calls"].items()},
        ending={name: End(State(state), int(after)) for name, (state, after) in told["ending"].items()},
        shares={name: float(share) for name, share in told["shares"].items()},
        ended=tuple(map(str, told["ended"])),
    )


def read(text: str) -> Told:
    """Raises ValueError for what this version does not understand, in one line."""
    try:
        told = json.loads(text)
        if told["version"] != VERSION:
            raise ValueError(f"version {told['version']!r} is not known")
        seq = told["seq"]
        known = Listed({"seq": seq or 0, "whole": True, "hosts": told["hosts"]})
        return Told(
            int(told["clock"]), engine_from(told["engine"]), known, seq, tuple(told["destinations"]),
            tuple(told["back"]), told["away_since"],
        )  # fmt: skip
    except (KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {' '.join(str(error).split())}") from None


class Succession:
    """`sender`'s side of it, as the one that follows and as the owner."""

    def __init__(self, sender: "Owner", seat: Seat) -> None:
        self.sender, self.seat = sender, seat
        self.spared = 0  # descriptors left to the process before

    # As the one that follows.

    def begin(self) -> None:
        """The sender takes clients. Hears the process before, if there is one, and listens for the next."""
        self.seat.serve(self)
        if before := self.seat.before:
            engine, courier = self.sender.engine, self.sender.courier
            engine.call_off_elsewhere = self.call_off
            self.spared = min(len(engine.elsewhere) + SPARE, courier.most // 2)
            courier.most -= self.spared
            before.attach(self.told, self.gone)

    def told(self, told: Packet, descriptors: list[int]) -> None:
        """Never raises for what is told."""
        try:
            if told["do"] == "client" and len(descriptors) == 1:
                number, descriptors = descriptors[0], []
                sock = socket.socket(fileno=number)
                text = base64.b64decode(told["read"])
                self.sender.server.adopt(sock, text, told["began"], told["handed_in"])
            elif told["do"] == "fate":
                answer = Answer(face.Outcome(told["outcome"]), bool(told["finished"]), int(told["wait"]))
                self.sender.engine.fate_told(told["message"], int(told["attempt"]), answer)
        except (KeyError, ValueError, TypeError, OSError) as error:
            log.error("what the process before told is dropped: %r", error)
        for each in descriptors:
            os.close(each)

    def call_off(self, name: str, number: int) -> None:
        if self.seat.before:
            self.seat.before.link.send({"do": "call off", "message": name, "attempt": number})

    def gone(self) -> None:
        """The process before has ended. Calls whose fate it has not told ended with its connections."""
        self.sender.courier.most += self.spared
        self.spared = 0
        self.seat.before = None
        engine = self.sender.engine
        if left := sorted(engine.elsewhere):
            log.warning("the process before has ended with %d calls out", len(left))
        for name, number in left:
            engine.fate_told(name, number, Answer(face.Outcome.RESET))

    # As the owner.

    def tell_on(self) -> str:
        sender = self.sender
        sender.server.freeze()
        sender.engine.freeze()
        sender.courier.hold_back()
        return json.dumps(self.state())

    def state(self) -> dict[str, Any]:
        sender = self.sender
        discovery, maintenance = sender.discovery, sender.maintenance
        return {
            "version": VERSION,
            "clock": sender.clock.base,
            "engine": engine_text(sender.engine.told_on()),
            "seq": discovery.seq,
            "hosts": [
                host_text(each, discovery.dials[name])
                for name, each in maintenance.listed.items()
                if name in discovery.dials
            ],
            "destinations": sorted(discovery.destinations),
            "back": sorted(maintenance.back),
            "away_since": sender.drain.ordered_at,
        }

    def take_back(self) -> None:
        self.sender.courier.closing = False
        self.sender.engine.thaw()
        self.sender.server.thaw()

    def let_go(self) -> None:
        sender = self.sender
        sender.engine.let_go(self.tell_fate)
        sender.server.let_go(self.pass_on)
        sender.courier.close_all_idle()
        asyncio.get_running_loop().call_later(STAYS, sender.terminate)

    def pass_on(self, connection: Connection, read: bytes, done: Callable[[], None]) -> None:
        assert self.seat.link is not None
        told = {"do": "client", "read": base64.b64encode(read).decode()}
        told |= {"began": connection.began, "handed_in": connection.handed_in}  # type: ignore[dict-item]
        self.seat.link.send(told, (connection.sock.fileno(),), done)

    def tell_fate(self, name: str, number: int, answer: Answer) -> None:
        if self.seat.link:
            told = {"do": "fate", "message": name, "attempt": number, "outcome": answer.outcome.value}
            self.seat.link.send(told | {"finished": answer.finished, "wait": answer.wait})

    def heard(self, told: Packet) -> None:
        if told.get("do") == "call off":
            task = self.sender.engine.calls.get((told.get("message", ""), told.get("attempt", -1)))
            if task:
                task.cancel()

    def abandoned(self) -> None:
        log.warning("the process that followed is gone: %d calls end here", len(self.sender.engine.calls))
        self.sender.stop(0)

    def end(self) -> None:
        self.sender.engine.fail("another process has taken over", None)


def host_text(listed: face.Endpoint, dial: tuple[str, int]) -> dict[str, Any]:
    """As discovery tells it."""
    return {
        "host": listed.id,
        "dial": f"{dial[0]}:{dial[1]}",
        "site": listed.zone,
        "class": listed.kind,
        "block": listed.destination,
        "health": listed.state.value,
        "share": listed.scale,
    }
