"""The handover of a platform sender from one process to its successor: the steps of both sides.

handover/takeover.py defines the order of the steps, docs/design/handover.md explains it, and
handover_state.py defines the format of the state. After the state, the two processes exchange the packets
below.
"""

import asyncio
import base64
import json
import logging
import os
import socket
from functools import partial
from typing import TYPE_CHECKING, Any

from message_sender.core.ports import AttemptResult
from message_sender.handover.link import OutgoingPacket, Packet
from message_sender.handover.takeover import OwnershipHandover
from message_sender.http.server_connection import ServerConnection
from message_sender.policy.model import Outcome
from message_sender.service.handover_state import OwnerState

if TYPE_CHECKING:
    from message_sender.service.journal_owner import JournalOwner

#: A process that has handed over terminates itself after this time if it receives no SIGTERM.
RELEASED_PROCESS_END_S = 8.0
#: Descriptors that a process may still hold besides its calls after it has handed over.
SPARE_DESCRIPTORS = 16

# The kinds of packets between the two processes, as the values of the packets' key `do`.
CLIENT_PACKET = "client"  # passes a client's connection
RESULT_PACKET = "fate"  # reports the result of an attempt that was in flight
CANCEL_PACKET = "call off"  # requests the cancellation of an attempt in flight

log = logging.getLogger(__name__)


class ProcessHandover:
    """Handles the handover of one sender, first as the successor of a process, then as the owner."""

    def __init__(self, sender: "JournalOwner", ownership: OwnershipHandover) -> None:
        """Initializes without a link to another process.

        Args:
            sender: The sender that is handed over.
            ownership: Passes ownership of the state folder between processes.
        """
        self.sender = sender
        self.ownership = ownership
        self.reserved_descriptors = 0  # descriptors that the predecessor may still use
        self.is_released = False  # a successor serves the clients

    # Successor side.

    def start(self) -> None:
        """Listens for a successor, and receives packets from the predecessor, if there is one."""
        self.ownership.serve(self)
        predecessor = self.ownership.predecessor
        if predecessor is None:
            return
        attempts, transport = self.sender.engine.attempts, self.sender.transport
        attempts.predecessor = self
        needed = len(attempts.predecessor_calls) + SPARE_DESCRIPTORS
        self.reserved_descriptors = min(needed, transport.connection_limit // 2)
        transport.connection_limit -= self.reserved_descriptors
        predecessor.attach(self.handle_predecessor_packet, self.handle_predecessor_end)

    def handle_predecessor_packet(self, packet: Packet, descriptors: list[int]) -> None:
        """Handles a packet from the predecessor; a malformed packet is logged and dropped."""
        try:
            if packet["do"] == CLIENT_PACKET and len(descriptors) == 1:
                descriptor, descriptors = descriptors[0], []
                self._receive_client(packet, descriptor)
            elif packet["do"] == RESULT_PACKET:
                self._inherit_result(packet)
        except (KeyError, ValueError, TypeError, OSError) as error:
            log.error("handover packet dropped: error=%r", error)
        for descriptor in descriptors:
            os.close(descriptor)

    def _receive_client(self, packet: Packet, descriptor: int) -> None:
        """Serves a client's connection, or passes it on if the successor serves the clients already."""
        successor_link = self.ownership.successor_link
        if not self.is_released or successor_link is None:
            self._adopt_client(packet, descriptor)
            return
        close_descriptor = partial(os.close, descriptor)
        successor_link.send_later(partial(OutgoingPacket.encode, packet, (descriptor,), close_descriptor))

    def _adopt_client(self, packet: Packet, descriptor: int) -> None:
        connection = socket.socket(fileno=descriptor)
        unread = base64.b64decode(packet["read"])
        self.sender.server.adopt(connection, unread, packet["began"], packet["handed_in"])

    def _inherit_result(self, packet: Packet) -> None:
        result = AttemptResult(Outcome(packet["outcome"]), bool(packet["finished"]), int(packet["wait"]))
        self.sender.engine.inherit_result(packet["message"], int(packet["attempt"]), result)

    def cancel_call(self, message_id: str, number: int) -> None:
        """Asks the predecessor to cancel a call."""
        if self.ownership.predecessor:
            packet = {"do": CANCEL_PACKET, "message": message_id, "attempt": number}
            self.ownership.predecessor.link.send(packet)

    def handle_predecessor_end(self) -> None:
        """Handles the predecessor's end: its calls without a result count as reset connections."""
        self.sender.transport.connection_limit += self.reserved_descriptors
        self.reserved_descriptors = 0
        self.ownership.predecessor = None
        engine = self.sender.engine
        unfinished = sorted(engine.attempts.predecessor_calls)
        if unfinished:
            log.warning("predecessor ended: unfinished_calls=%d", len(unfinished))
        for message_id, number in unfinished:
            engine.inherit_result(message_id, number, AttemptResult(Outcome.RESET))

    # Owner side.

    def export_state(self) -> str:
        """Freezes the sender, cancels its unsent calls and returns its state as JSON text."""
        sender = self.sender
        sender.server.freeze()
        sender.engine.freeze()
        sender.transport.cancel_unsent()
        return json.dumps(self.encode_state())

    def encode_state(self) -> dict[str, Any]:
        """Returns the sender's state as JSON values."""
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
        """Resumes this process, because the successor ended before it owned the state folder."""
        self.sender.transport.is_closing = False
        self.sender.engine.thaw()
        self.sender.server.thaw()

    def release(self) -> None:
        """Starts to pass clients and results of calls to the successor, which now owns the state folder."""
        sender = self.sender
        self.is_released = True
        sender.engine.release(self.send_result)
        sender.server.release(self.send_client)
        sender.transport.close_all_idle()
        asyncio.get_running_loop().call_later(RELEASED_PROCESS_END_S, sender.terminate)

    def send_client(self, connection: ServerConnection) -> None:
        """Sends a client's connection to the successor, and closes it here once the system has accepted it.

        The packet is built only when the link can send it: the encoded requests of all clients at once would
        take more memory than the requests themselves.
        """
        assert self.ownership.successor_link is not None
        self.ownership.successor_link.send_later(partial(self._client_packet, connection))

    def _client_packet(self, connection: ServerConnection) -> OutgoingPacket | None:
        """Returns the packet that passes a client's connection; None if it has ended meanwhile."""
        if not connection.can_be_handed_over():
            return None
        packet = {
            "do": CLIENT_PACKET,
            "read": base64.b64encode(connection.unfinished_request()).decode(),
            "began": connection.began,
            "handed_in": connection.has_submitted,
        }
        return OutgoingPacket.encode(packet, (connection.sock.fileno(),), connection.close)

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

    def handle_successor_packet(self, packet: Packet) -> None:
        """Handles a packet from the successor: cancels the call that it names."""
        if packet.get("do") != CANCEL_PACKET:
            return
        attempt = (packet.get("message", ""), packet.get("attempt", -1))
        if attempt in self.sender.engine.attempts.predecessor_calls:
            self.cancel_call(*attempt)
        if task := self.sender.engine.attempts.calls.get(attempt):
            task.cancel()

    def handle_successor_end(self) -> None:
        """Stops this process after the successor has ended.

        Calls in flight end with this process, because no later process can know of them.
        """
        log.warning("successor ended: unfinished_calls=%d", len(self.sender.engine.attempts.calls))
        self.sender.stop(0)

    def handle_ownership_loss(self) -> None:
        """Ends this process, because another one owns the state folder without a handover."""
        self.sender.engine.fail("another process has taken over", None)
