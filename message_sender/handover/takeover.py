"""The owner's seat in a state folder: how a process takes it, from nobody or another one, and hands it on.

`ownership.py` has the owner's rules. The one that follows:

- It has the seat when it has the lock. With nobody on it, it starts as after a crash.
- An owner is asked over its Unix socket. What it tells is read before the lock is taken: what cannot be read
  (of another version, say) is as if it had not answered.
- An owner that does not answer for `PATIENCE` is ended by SIGKILL, so that none of its bytes goes later, by a
  descriptor of its process: the one that the lock's file names, and only while the lock is held.
- A process that has handed over is *gone* once the system says that it has ended: then its connections are
  closed, and what it has not told will not come.
"""

import asyncio
import contextlib
import logging
import os
import signal
import socket
import struct
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from message_sender.control_socket import is_authorized
from message_sender.core.lock import Lock, LockTakenError, holder
from message_sender.handover.link import HandoverLink, Packet, connect, listen
from message_sender.handover.ownership import Ownership, OwnershipState

PATIENCE = 2.5  # s for an owner to answer; operators expect the new process' yes within 6 s
POLL = 0.02  # s between tries
ENDING = 0.1  # s from the end of a link to a process' own, where the system cannot say when that is

log = logging.getLogger(__name__)


def inherited(text: str) -> socket.socket:
    """The listening socket that the platform holds, by the number of its descriptor. Raises ValueError for
    what is none, in one line."""
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, ValueError, OverflowError) as error:
        raise ValueError(f"{text!r} names no socket: {error}") from None
    try:
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as error:
        sock.detach()
        raise ValueError(f"{text!r} names no socket: {error}") from None
    if not listens or sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        sock.detach()
        raise ValueError(f"{text!r} names no listening TCP socket")
    return sock


class Owner(Protocol):
    """What the seat asks of the sender that has it. None of it may raise."""

    def export_state(self) -> str:
        """Freezes, and says what the one that follows has to know."""

    def resume(self) -> None:
        """Goes on as before `export_state`."""

    def release(self) -> None:
        """Another process owns it all."""

    def message_received(self, told: Packet) -> None:
        """What the one that follows says later."""

    def successor_lost(self) -> None:
        """The one that has followed is no more: calls that are out end now, with this process."""

    def superseded(self) -> None:
        """Somebody else owns it all, and nobody knows who: the process ends."""


class Predecessor:
    """The process that had the seat before, as long as it runs."""

    def __init__(self, sock: socket.socket) -> None:
        number = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[0]
        self.loop = asyncio.get_running_loop()
        self.process = -1
        with contextlib.suppress(OSError):
            self.process = os.pidfd_open(number)
        self.told: deque[tuple[Packet, list[int]]] = deque()  # nobody has heard yet
        self.news = asyncio.Event()
        self.hear: Callable[[Packet, list[int]], None] | None = None
        self.gone: Callable[[], None] = lambda: None
        self.link = HandoverLink(sock, self.heard, self.link_ended)

    def heard(self, told: Packet, descriptors: list[int]) -> None:
        if self.hear:
            self.hear(told, descriptors)
        else:
            self.told.append((told, descriptors))
            self.news.set()

    def attach(self, hear: Callable[[Packet, list[int]], None], gone: Callable[[], None]) -> None:
        """From now on `hear` is told, first of what has come already; `gone` when no more can come."""
        self.hear, self.gone = hear, gone
        while self.told:
            hear(*self.told.popleft())
        if self.link.over:
            self.link_ended()

    async def ask(self, until: float) -> str | None:
        """All that it tells; None where it does not, or not until then."""
        self.link.send({"do": "take over"})
        found = ""
        try:
            async with asyncio.timeout_at(until):
                while not self.link.over:
                    while self.told:
                        told, _ = self.told.popleft()
                        if told["do"] == "released":
                            return found
                        found += told["text"]
                    self.news.clear()
                    await self.news.wait()
        except TimeoutError:
            pass
        return None

    def link_ended(self) -> None:
        self.news.set()
        if self.hear is None:
            return
        if self.process < 0:
            self.loop.call_later(ENDING, self.gone)
        else:
            self.loop.add_reader(self.process, self.process_ended)

    def process_ended(self) -> None:
        self.loop.remove_reader(self.process)
        os.close(self.process)
        self.process = -1
        self.gone()

    def close(self) -> None:
        """Nothing more is heard of it."""
        self.hear = None
        self.link.close()
        if self.process >= 0:
            self.loop.remove_reader(self.process)
            os.close(self.process)
            self.process = -1


class OwnershipHandover:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.loop = asyncio.get_running_loop()
        self.lock: Lock | None = None
        self.before: Predecessor | None = None
        self.ownership = Ownership()
        self.listener: socket.socket | None = None
        self.link: HandoverLink | None = None  # to the one that follows
        self.owner: Owner | None = None

    def locked(self) -> bool:
        """Whether this process has the lock now. Raises OSError where the folder cannot be used."""
        if self.lock is None:
            with contextlib.suppress(LockTakenError):
                self.lock = Lock(self.folder)
        return self.lock is not None

    # The one that follows.

    async def take(self, read: Callable[[str], Any]) -> Any:  # noqa: ANN401
        """Returns once this process owns: what the one before told, as `read` has it, or None where nobody
        did. `read` raises ValueError for what it does not understand. Raises OSError."""
        until = self.loop.time() + PATIENCE
        while not self.locked():
            if (sock := connect(self.folder)) and (told := await self.follow(sock, read, until)) is not None:
                return told
            if self.loop.time() >= until and self.lock is None:
                self.end_holder()
                until = self.loop.time() + PATIENCE
            await asyncio.sleep(POLL)
        log.info("nobody handed over: starting from the journal")
        return None

    async def follow(self, sock: socket.socket, read: Callable[[str], Any], until: float) -> Any:  # noqa: ANN401
        try:
            before = Predecessor(sock)
        except OSError:
            sock.close()
            return None
        if (text := await before.ask(until)) is not None:
            try:
                told = read(text)
            except ValueError as error:
                log.error("what the process before tells cannot be read: %s", error)
            else:
                if self.locked():
                    before.link.send({"do": "owned"})
                    self.before = before
                    return told
        before.close()
        return None

    def end_holder(self) -> None:
        """Guards all rules from an owner that stands still and would go on when it wakes."""
        if (number := holder(self.folder)) is None or number == os.getpid():
            return
        with contextlib.suppress(OSError):
            process = os.pidfd_open(number)
            try:
                if not self.locked() and holder(self.folder) == number:
                    log.error("the process %d does not answer and is ended", number)
                    signal.pidfd_send_signal(process, signal.SIGKILL)
            finally:
                os.close(process)

    # The owner.

    def serve(self, owner: Owner) -> None:
        """From now on another process may ask to follow."""
        self.owner = owner
        try:
            self.listener = listen(self.folder)
        except OSError as error:
            log.error("no process can follow this one under load: %s", error)
            return
        self.loop.add_reader(self.listener, self.accept)

    def accept(self) -> None:
        assert self.listener is not None
        try:
            sock = self.listener.accept()[0]
        except OSError:
            return
        if self.link or self.ownership.side is not OwnershipState.OWNER or not is_authorized(sock):
            sock.close()
            return
        self.link = HandoverLink(sock, self.heard, self.lost)

    def heard(self, told: Packet, descriptors: list[int]) -> None:
        assert self.owner is not None and self.link is not None
        for each in descriptors:
            os.close(each)
        match told.get("do"):
            case "take over" if self.ownership.asked():
                log.info("handing over")
                link = self.link
                link.send_text("state", self.owner.export_state())
                if link.over:
                    return  # it was lost meanwhile, and all goes on here
                if self.lock:
                    self.lock.release()
                    self.lock = None
                link.send({"do": "released"})
            case "owned" if self.ownership.owned():
                log.info("handed over")
                self.close_listener()
                self.owner.release()
            case _:
                self.owner.message_received(told)

    def lost(self) -> None:
        """The one that was to follow, or has followed, is no more."""
        self.link = None
        assert self.owner is not None
        if self.ownership.side is OwnershipState.GONE:
            # Guards the next one, which starts from the journal, from calls out that it cannot know.
            self.owner.successor_lost()
        if self.ownership.side is not OwnershipState.OFFERED:
            return
        try:
            back = self.ownership.lost(self.locked())
        except OSError:
            back = self.ownership.lost(False)
        if back:
            log.warning("the process that was to follow is gone: going on")
            self.owner.resume()
        else:
            self.owner.superseded()

    def close_listener(self) -> None:
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        self.close_listener()
        if self.link:
            self.link.close()
        if self.before:
            self.before.close()
        if self.lock:
            self.lock.release()
            self.lock = None
