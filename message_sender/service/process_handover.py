"""How a sender on the platform passes from one process to the next: the steps of either side.

The order of the steps is in handover/takeover.py, the reasons in docs/design/handover.md, and the form of the
state that is handed over in handover_state.py. After it, the two processes exchange the packets below.
"""

import asyncio
import base64
import json
import logging
import os
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from message_sender.core.ports import AttemptResult
from message_sender.handover.link import Packet
from message_sender.handover.takeover import OwnershipHandover
from message_sender.http.server_connection import ServerConnection
from message_sender.policy.model import Outcome
from message_sender.service.handover_state import OwnerState

if TYPE_CHECKING:
    from message_sender.service.owner import JournalOwner

#: A process that has handed over ends after this time also where no SIGTERM comes.
RELEASED_PROCESS_END_S = 8.0
#: Descriptors that a process which has handed over may still hold besides its calls.
SPARE_DESCRIPTORS = 16

# What a packet between the two processes is about (its key `do`).
CLIENT_PACKET = "client"  # a client's connection
RESULT_PACKET = "fate"  # the result of an attempt that was in flight
CANCEL_PACKET = "call off"  # an attempt in flight is to be cancelled

log = logging.getLogger(__name__)


class ProcessHandover:
    """The handover of one sender, first as the successor of a process, then as the owner."""

    def __init__(self, sender: "JournalOwner", ownership: OwnershipHandover) -> None:
        """Begins without any link to another process.

        Args:
            sender: What is handed over.
            ownership: Of the state folder.
        """
        self.sender = sender
        self.ownership = ownership
        self.reserved_descriptors = 0  # left to the process before

    # As the successor.

    def start(self) -> None:
        """Receives what the process before sends, if there is one, and listens for a successor."""
        self.ownership.serve(self)
        predecessor = self.ownership.predecessor
        if predecessor is None:
            return
        attempts, transport = self.sender.engine.attempts, self.sender.transport
        attempts.predecessor = self
        needed = len(attempts.predecessor_calls) + SPARE_DESCRIPTORS
        self.reserved_descriptors = min(needed, transport.connection_limit // 2)
        transport.connection_limit -= self.reserved_descriptors
        predecessor.attach(self.handle_packet, self.handle_predecessor_end)

    def handle_packet(self, packet: Packet, descriptors: list[int]) -> None:
        """Handles what the process before sends; a malformed packet is logged and dropped."""
        try:
            if packet["do"] == CLIENT_PACKET and len(descriptors) == 1:
                descriptor, descriptors = descriptors[0], []
                self._adopt_client(packet, descriptor)
            elif packet["do"] == RESULT_PACKET:
                self._inherit_result(packet)
        except (KeyError, ValueError, TypeError, OSError) as error:
            log.error("handover packet dropped: error=%r", error)
        for descriptor in descriptors:
            os.close(descriptor)

    def _adopt_client(self, packet: Packet, descriptor: int) -> None:
        connection = socket.socket(fileno=descriptor)
        unread = base64.b64decode(packet["read"])
        self.sender.server.adopt(connection, unread, packet["began"], packet["handed_in"])

    def _inherit_result(self, packet: Packet) -> None:
        result = AttemptResult(Outcome(packet["outcome"]), bool(packet["finished"]), int(packet["wait"]))
        self.sender.engine.inherit_result(packet["message"], int(packet["attempt"]), result)

    def cancel_call(self, message_id: str, number: int) -> None:
        """Asks the process before to cancel a call."""
        if self.ownership.predecessor:
            packet = {"do": CANCEL_PACKET, "message": message_id, "attempt": number}
            self.ownership.predecessor.link.send(packet)

    def handle_predecessor_end(self) -> None:
        """The process before has ended: calls without a result ended with its connections."""
        self.sender.transport.connection_limit += self.reserved_descriptors
        self.reserved_descriptors = 0
        self.ownership.predecessor = None
        engine = self.sender.engine
        unfinished = sorted(engine.attempts.predecessor_calls)
        if unfinished:
            log.warning("predecessor ended: unfinished_calls=%d", len(unfinished))
        for message_id, number in unfinished:
            engine.inherit_result(message_id, number, AttemptResult(Outcome.RESET))

    # As the owner.

    def export_state(self) -> str:
        """Freezes the sender and returns its state as text."""
        sender = self.sender
        sender.server.freeze()
        sender.engine.freeze()
        sender.transport.cancel_unsent()
        return json.dumps(self.encode_state())

    def encode_state(self) -> dict[str, Any]:
        """The sender's state as JSON values."""
        sender = self.sender
        discovery, maintenance = sender.discovery, sender.maintenance
        endpoints = [
            (endpoint, discovery.dials[endpoint_id])
            for endpoint_id, endpoint in maintenance.listed.items()
            if endpoint_id in discovery.dials
        ]
        state = OwnerState(
            clock_base_ns=sender.clock.base,
            engine_state=sender.engine.export_state(),
            list_sequence=discovery.version,
            endpoints=endpoints,
            destinations=discovery.destinations,
            returned=maintenance.returned,
            drain_ordered_at=sender.drain.ordered_at_s,
        )
        return state.encode()

    def resume(self) -> None:
        """The successor is lost before it owned anything: this process goes on."""
        self.sender.transport.is_closing = False
        self.sender.engine.thaw()
        self.sender.server.thaw()

    def release(self) -> None:
        """The successor owns everything: it gets the clients, and the results of calls as they come."""
        sender = self.sender
        sender.engine.release(self.send_result)
        sender.server.release(self.send_client)
        sender.transport.close_all_idle()
        asyncio.get_running_loop().call_later(RELEASED_PROCESS_END_S, sender.terminate)

    def send_client(self, connection: ServerConnection, unread: bytes, on_sent: Callable[[], None]) -> None:
        """Sends a client's connection to the successor.

        Args:
            connection: Of the client.
            unread: What came of a request that was not accepted yet.
            on_sent: Called once the descriptor is with the successor.
        """
        assert self.ownership.successor_link is not None
        packet = {
            "do": CLIENT_PACKET,
            "read": base64.b64encode(unread).decode(),
            "began": connection.began,
            "handed_in": connection.has_submitted,
        }
        self.ownership.successor_link.send(packet, (connection.sock.fileno(),), on_sent)

    def send_result(self, message_id: str, number: int, result: AttemptResult) -> None:
        """Sends the result of a call that was in flight to the successor."""
        if self.ownership.successor_link is None:
            return
        packet = {
            "do": RESULT_PACKET,
            "message": message_id,
            "attempt": number,
            "outcome": result.outcome.value,
            "finished": result.is_final,
            "wait": result.retry_after_us,
        }
        self.ownership.successor_link.send(packet)

    def message_received(self, packet: Packet) -> None:
        """Cancels a call for the successor."""
        if packet.get("do") != CANCEL_PACKET:
            return
        attempt = (packet.get("message", ""), packet.get("attempt", -1))
        if task := self.sender.engine.attempts.calls.get(attempt):
            task.cancel()

    def successor_lost(self) -> None:
        """The successor has ended: calls in flight end with this process, as the next one can't know them."""
        log.warning("successor ended: unfinished_calls=%d", len(self.sender.engine.attempts.calls))
        self.sender.stop(0)

    def superseded(self) -> None:
        """Another process owns the state folder without a handover: this one ends."""
        self.sender.engine.fail("another process has taken over", None)
