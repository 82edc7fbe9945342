"""How a sender on the platform goes from one process to the next: what is told, as JSON, and the steps of
either side. The order of it is in handover/takeover.py, the reasons in docs/design/handover.md."""

import asyncio
import base64
import json
import logging
import os
import socket
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from message_sender.core.engine_config import HandoverState
from message_sender.core.ports import AttemptResult, Completion, CompletionState
from message_sender.handover.link import Packet
from message_sender.handover.takeover import OwnershipHandover
from message_sender.http.discovery import EndpointList
from message_sender.http.server import ServerConnection
from message_sender.policy.events import CallInFlight, InheritedState
from message_sender.policy.model import Endpoint, Outcome

if TYPE_CHECKING:
    from message_sender.service.owner import JournalOwner

STATE_VERSION = 1  # of what is told
#: s after it has handed over: a process whose SIGTERM does not come ends all the same.
RELEASED_PROCESS_END_S = 8.0
SPARE_DESCRIPTORS = 16  # descriptors that a process which has handed over may still hold besides its calls

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """What the process before told."""

    clock_base_ns: int  # the base of its clock, ns
    engine_state: HandoverState
    endpoint_list: EndpointList
    list_sequence: int | None  # of the list; None: it had none from the present address
    destinations: tuple[int, ...]  # all that a list ever named
    returned: tuple[str, ...]  # receivers put back that were not listed as ready yet
    drain_ordered_at: float | None  # s, the loop's clock: when the operators ordered clients away


def encode_engine_state(handed: HandoverState) -> dict[str, Any]:
    return {
        "inherited": asdict(handed.inherited),
        "calls": {name: [number, asdict(call)] for name, (number, call) in handed.calls.items()},
        "ending": {name: [end.state.value, end.retry_after] for name, end in handed.ending.items()},
        "shares": handed.shares,
        "ended": handed.ended,
    }


def decode_engine_state(told: dict[str, Any]) -> HandoverState:
    parts = {name: tuple(tuple(each) for each in value) for name, value in told["inherited"].items()}
    return HandoverState(
        inherited=InheritedState(**parts),
        calls={name: (int(number), CallInFlight(**call)) for name, (number, call) in told["calls"].items()},
        ending={
            name: Completion(CompletionState(state), int(after))
            for name, (state, after) in told["ending"].items()
        },
        shares={name: float(share) for name, share in told["shares"].items()},
        ended=tuple(map(str, told["ended"])),
    )


def decode_state(text: str) -> PredecessorState:
    """Raises ValueError for what this version does not understand, in one line."""
    try:
        told = json.loads(text)
        if told["version"] != STATE_VERSION:
            raise ValueError(f"version {told['version']!r} is not known")
        seq = told["seq"]
        known = EndpointList({"seq": seq or 0, "whole": True, "hosts": told["hosts"]})
        return PredecessorState(
            int(told["clock"]), decode_engine_state(told["engine"]), known, seq, tuple(told["destinations"]),
            tuple(told["back"]), told["away_since"],
        )  # fmt: skip
    except (KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {' '.join(str(error).split())}") from None


class ProcessHandover:
    """`sender`'s side of it, as the one that follows and as the owner."""

    def __init__(self, sender: "JournalOwner", seat: OwnershipHandover) -> None:
        self.sender, self.ownership = sender, seat
        self.reserved_descriptors = 0  # descriptors left to the process before

    # As the one that follows.

    def start(self) -> None:
        """The sender takes clients. Hears the process before, if there is one, and listens for the next."""
        self.ownership.serve(self)
        if before := self.ownership.before:
            engine, transport = self.sender.engine, self.sender.transport
            engine.attempts.predecessor = self
            self.reserved_descriptors = min(
                len(engine.attempts.predecessor_calls) + SPARE_DESCRIPTORS, transport.most // 2
            )
            transport.most -= self.reserved_descriptors
            before.attach(self.handle_packet, self.handle_predecessor_end)

    def handle_packet(self, told: Packet, descriptors: list[int]) -> None:
        """Never raises for what is told."""
        try:
            if told["do"] == "client" and len(descriptors) == 1:
                number, descriptors = descriptors[0], []
                sock = socket.socket(fileno=number)
                text = base64.b64decode(told["read"])
                self.sender.server.adopt(sock, text, told["began"], told["handed_in"])
            elif told["do"] == "fate":
                answer = AttemptResult(Outcome(told["outcome"]), bool(told["finished"]), int(told["wait"]))
                self.sender.engine.inherit_result(told["message"], int(told["attempt"]), answer)
        except (KeyError, ValueError, TypeError, OSError) as error:
            log.error("what the process before told is dropped: %r", error)
        for each in descriptors:
            os.close(each)

    def cancel_call(self, name: str, number: int) -> None:
        """Asks the process before to cancel a call."""
        if self.ownership.before:
            self.ownership.before.link.send({"do": "call off", "message": name, "attempt": number})

    def handle_predecessor_end(self) -> None:
        """The process before has ended. Calls whose fate it has not told ended with its connections."""
        self.sender.transport.most += self.reserved_descriptors
        self.reserved_descriptors = 0
        self.ownership.before = None
        engine = self.sender.engine
        if left := sorted(engine.attempts.predecessor_calls):
            log.warning("the process before has ended with %d calls out", len(left))
        for name, number in left:
            engine.inherit_result(name, number, AttemptResult(Outcome.RESET))

    # As the owner.

    def export_state(self) -> str:
        sender = self.sender
        sender.server.freeze()
        sender.engine.freeze()
        sender.transport.hold_back()
        return json.dumps(self.encode_state())

    def encode_state(self) -> dict[str, Any]:
        sender = self.sender
        discovery, maintenance = sender.discovery, sender.maintenance
        return {
            "version": STATE_VERSION,
            "clock": sender.clock.base,
            "engine": encode_engine_state(sender.engine.export_state()),
            "seq": discovery.seq,
            "hosts": [
                encode_endpoint(each, discovery.dials[name])
                for name, each in maintenance.listed.items()
                if name in discovery.dials
            ],
            "destinations": sorted(discovery.destinations),
            "back": sorted(maintenance.back),
            "away_since": sender.drain.ordered_at,
        }

    def resume(self) -> None:
        self.sender.transport.closing = False
        self.sender.engine.thaw()
        self.sender.server.thaw()

    def release(self) -> None:
        sender = self.sender
        sender.engine.release(self.send_result)
        sender.server.let_go(self.send_client)
        sender.transport.close_all_idle()
        asyncio.get_running_loop().call_later(RELEASED_PROCESS_END_S, sender.terminate)

    def send_client(self, connection: ServerConnection, read: bytes, done: Callable[[], None]) -> None:
        assert self.ownership.link is not None
        told = {"do": "client", "read": base64.b64encode(read).decode()}
        told |= {"began": connection.began, "handed_in": connection.handed_in}  # type: ignore[dict-item]
        self.ownership.link.send(told, (connection.sock.fileno(),), done)

    def send_result(self, name: str, number: int, answer: AttemptResult) -> None:
        if self.ownership.link:
            told = {"do": "fate", "message": name, "attempt": number, "outcome": answer.outcome.value}
            self.ownership.link.send(told | {"finished": answer.finished, "wait": answer.wait})

    def message_received(self, told: Packet) -> None:
        if told.get("do") == "call off":
            task = self.sender.engine.attempts.calls.get((told.get("message", ""), told.get("attempt", -1)))
            if task:
                task.cancel()

    def successor_lost(self) -> None:
        log.warning(
            "the process that followed is gone: %d calls end here", len(self.sender.engine.attempts.calls)
        )
        self.sender.stop(0)

    def superseded(self) -> None:
        self.sender.engine.fail("another process has taken over", None)


def encode_endpoint(listed: Endpoint, dial: tuple[str, int]) -> dict[str, Any]:
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
