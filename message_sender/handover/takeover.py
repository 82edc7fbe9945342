"""Acquires the ownership of a state folder, with or without a predecessor, and hands it over to a successor.

`ownership.py` has the rules of the owner. These are the rules of the successor:

- A process is the owner once it has the lock. Without a predecessor, it starts from the journal, as after a
  crash.
- A running owner is asked for its state over its Unix socket. The state is parsed before the lock is taken: a
  state that cannot be parsed, for example one of another version, counts as no answer.
- An owner that does not answer for ANSWER_TIMEOUT_S is killed with SIGKILL, so that it cannot send anything
  later. The signal is sent through a pidfd of the process that the lock file names, and only while that
  process holds the lock.
"""

import asyncio
import contextlib
import logging
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeVar

from message_sender.control_socket import is_authorized
from message_sender.core.lock import Lock, LockTakenError, read_holder_pid
from message_sender.handover.link import HandoverLink, Packet, connect, listen
from message_sender.handover.ownership import Ownership, OwnershipState
from message_sender.handover.predecessor import Predecessor

ANSWER_TIMEOUT_S = 2.5  # operators expect the new process to be ready within 6 s
POLL_INTERVAL_S = 0.02

log = logging.getLogger(__name__)

State = TypeVar("State")


class Owner(Protocol):
    """Operations that a handover calls on the sender. None of them may raise."""

    def export_state(self) -> str:
        """Freezes the sender, and returns its state for the successor."""

    def resume(self) -> None:
        """Resumes the sender that `export_state` froze."""

    def release(self) -> None:
        """Releases all resources to the successor, which is the owner now."""

    def handle_successor_packet(self, packet: Packet) -> None:
        """Handles a packet of the successor that is not part of the handover itself."""

    def handle_successor_end(self) -> None:
        """Aborts attempts in flight and ends this process: the successor ended after it took over."""

    def handle_ownership_loss(self) -> None:
        """Ends this process, because an unknown process has become the owner."""


class OwnershipHandover:
    """One process's part in two handovers: from its predecessor, and to its successor.

    Attributes:
        folder: The state folder.
        lock: The folder's lock, while this process holds it.
        predecessor: The process that handed over to this one, while it runs.
        ownership: State of the handover to the successor.
        listener: Listening socket for successors.
        successor_link: Link to the successor.
        owner: The sender of this process.
    """

    def __init__(self, folder: Path) -> None:
        """Begins without the lock."""
        self.folder = folder
        self.loop = asyncio.get_running_loop()
        self.lock: Lock | None = None
        self.predecessor: Predecessor | None = None
        self.ownership = Ownership()
        self.listener: socket.socket | None = None
        self.successor_link: HandoverLink | None = None
        self.owner: Owner | None = None

    def try_lock(self) -> bool:
        """Takes the lock if it is free; returns whether this process holds it.

        Raises:
            OSError: The folder cannot be used.
        """
        if self.lock is None:
            with contextlib.suppress(LockTakenError):
                self.lock = Lock(self.folder)
        return self.lock is not None

    # Takeover from a predecessor.

    async def acquire(self, parse: Callable[[str], State]) -> State | None:
        """Waits until this process is the owner.

        Args:
            parse: Parses the state that a predecessor hands over; raises ValueError if it cannot.

        Returns:
            The predecessor's state; None if the process starts from the journal.

        Raises:
            OSError: The folder cannot be used.
        """
        deadline = self.loop.time() + ANSWER_TIMEOUT_S
        while not self.try_lock():
            if sock := connect(self.folder):
                state = await self.take_over_from(sock, parse, deadline)
                if state is not None:
                    return state
            if self.loop.time() >= deadline and self.lock is None:
                self.kill_holder()
                deadline = self.loop.time() + ANSWER_TIMEOUT_S
            await asyncio.sleep(POLL_INTERVAL_S)
        log.info("starting from the journal: reason=no predecessor")
        return None

    async def take_over_from(
        self, sock: socket.socket, parse: Callable[[str], State], deadline: float
    ) -> State | None:
        """Takes over from the owner at the other end of `sock`; returns its state, or None on failure."""
        try:
            predecessor = Predecessor(sock)
        except OSError:
            sock.close()
            return None
        text = await predecessor.request_state(deadline)
        if text is not None:
            try:
                state = parse(text)
            except ValueError as error:
                log.error("predecessor state unreadable: reason=%s", error)
            else:
                if self.try_lock():
                    predecessor.link.send({"do": "owned"})
                    self.predecessor = predecessor
                    return state
        predecessor.close()
        return None

    def kill_holder(self) -> None:
        """Kills an unresponsive owner, which could otherwise resume later and act as a second owner."""
        pid = read_holder_pid(self.folder)
        if pid is None or pid == os.getpid():
            return
        with contextlib.suppress(OSError):
            process_fd = os.pidfd_open(pid)
            try:
                if not self.try_lock() and read_holder_pid(self.folder) == pid:
                    log.error("unresponsive owner killed: pid=%d", pid)
                    signal.pidfd_send_signal(process_fd, signal.SIGKILL)
            finally:
                os.close(process_fd)

    # Handover to a successor.

    def serve(self, owner: Owner) -> None:
        """Starts to accept requests for ownership from a successor."""
        self.owner = owner
        try:
            self.listener = listen(self.folder)
        except OSError as error:
            log.error("handover unavailable: reason=%s", error)
            return
        self.loop.add_reader(self.listener, self.accept_successor)

    def accept_successor(self) -> None:
        """Accepts a connection, unless there is a successor already."""
        assert self.listener is not None
        try:
            sock = self.listener.accept()[0]
        except OSError:
            return
        is_owner = self.ownership.state is OwnershipState.OWNER
        if self.successor_link or not is_owner or not is_authorized(sock):
            sock.close()
            return
        self.successor_link = HandoverLink(sock, self.receive_packet, self.successor_link_closed)

    def receive_packet(self, packet: Packet, descriptors: list[int]) -> None:
        """Handles a packet of the successor; its descriptors are closed."""
        assert self.owner is not None
        for descriptor in descriptors:
            os.close(descriptor)
        match packet.get("do"):
            case "take over" if self.ownership.request_handover():
                log.info("handover started")
                self._offer_ownership(self.owner)
            case "owned" if self.ownership.confirm_handover():
                log.info("handover completed")
                self.close_listener()
                self.owner.release()
            case _:
                self.owner.handle_successor_packet(packet)

    def _offer_ownership(self, owner: Owner) -> None:
        assert self.successor_link is not None
        link = self.successor_link
        link.send_text("state", owner.export_state())
        if link.is_closed:
            return  # the successor was lost meanwhile, and this process has resumed
        if self.lock:
            self.lock.release()
            self.lock = None
        link.send({"do": "released"})

    def successor_link_closed(self) -> None:
        """Handles the closing of the link: the successor has ended."""
        self.successor_link = None
        assert self.owner is not None
        if self.ownership.state is OwnershipState.HANDED_OVER:
            # The next process starts from the journal and does not know about attempts in flight here.
            self.owner.handle_successor_end()
        if self.ownership.state is not OwnershipState.OFFERED:
            return
        try:
            is_locked = self.try_lock()
        except OSError:
            is_locked = False
        if self.ownership.lose_successor(is_locked):
            log.warning("handover aborted, serving resumed: reason=successor ended")
            self.owner.resume()
        else:
            self.owner.handle_ownership_loss()

    def close_listener(self) -> None:
        """Closes the listening socket for successors."""
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Closes the listener and all links, and releases the lock."""
        self.close_listener()
        if self.successor_link:
            self.successor_link.close()
        if self.predecessor:
            self.predecessor.close()
        if self.lock:
            self.lock.release()
            self.lock = None
