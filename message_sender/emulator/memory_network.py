"""An in-memory network under unchanged code: sockets, readiness and network faults.

While `Net.installed()` is active, `socket.socket`, `select.epoll` and `select.poll` are those of this
network. asyncio, servers, transports and test doubles above them are the real ones and see no difference. A
socket belongs to a *host*, the value of the context variable `HOST`, which tasks and callbacks inherit.

- A connection has two ends with a buffer each. Written data arrives in order, after the path's latency. A
  write blocks while `BUFFER_BYTES` bytes are unread or in flight. A write takes at most one segment, so that
  headers and bodies arrive in parts.
- FIN follows the written data. A close with unread data, an abort by the network and the end of a host send
  RST (RFC 9293, 3.5.2 and 3.10.4): unread data at the other end is lost.
- `path_delay` gives the latency for a new connection or for data in flight, or states that there is no answer
  (`SILENT`) or that the connection is refused (`REFUSED`). Data on a silent path is lost, which leaves the
  connection half open.
- Descriptors are counted by host; above the host's limit, opening one raises EMFILE.

The network has an event queue of its own in place of the loop's timers, so that events also occur while a
process is stalled (`VirtualLoop.pause`). A sender that resumes then finds much data on its sockets at once.
"""

import contextlib
import errno
import heapq
import itertools
import os
import select
import selectors
import socket
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextvars import ContextVar
from typing import Any

HOST: ContextVar[str] = ContextVar("host", default="world")
FIRST_DESCRIPTOR = 1_000_000  # far above any real descriptor
BUFFER_BYTES = 64 * 1024  # that may be in flight or unread in one direction
SILENT, REFUSED = -1.0, -2.0  # results of a `PathDelay` in place of a latency
NEVER = float("inf")
Address = tuple[str, int]
#: Returns the one-way latency in s between a host and an address at a time in s, or SILENT or REFUSED.
PathDelay = Callable[[str, Address, float], float]


def os_error(number: int) -> OSError:
    """Returns the error for an errno, with the system's text."""
    return OSError(number, os.strerror(number))


class Net:
    """A network and everything that happens on it.

    Attributes:
        clock: Returns the time in s.
        path_delay: The latency between a host and an address; called for each connection and each segment.
        segment: The most bytes that one write sends.
        events: A heap of events that are due later.
        ports: The number of ports that each host has used.
        listeners: Listening sockets, by address.
        sockets: Open sockets, by descriptor.
        readable: Descriptors of the sockets that are readable.
        descriptor_limits: Most descriptors of a host; a host that is missing here has no practical limit.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        path_delay: PathDelay = lambda host, address, now: 0.0005,
        segment: int = BUFFER_BYTES,
    ) -> None:
        """Creates a network without sockets; see the class for the arguments."""
        self.clock, self.path_delay, self.segment = clock, path_delay, segment
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers, self.descriptors = itertools.count(), itertools.count(FIRST_DESCRIPTOR)
        self.ports: Counter[str] = Counter()
        self.listeners: dict[Address, Socket] = {}
        self.sockets: dict[int, Socket] = {}
        self.readable: set[int] = set()
        self.descriptor_limits: dict[str, int] = {}

    # Events.

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at a time in s."""
        heapq.heappush(self.events, (when, next(self.event_numbers), callback))

    def next_event_at(self) -> float:
        """Returns the time in s of the next event, or infinity."""
        return self.events[0][0] if self.events else NEVER

    def run_events(self, now: float) -> None:
        """Runs the events that are due at a time in s, in the order of their times."""
        while self.events and self.events[0][0] <= now:
            heapq.heappop(self.events)[2]()

    def ready(self, keys: dict[int, selectors.SelectorKey]) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the registered descriptors that are ready, each with its events."""
        result = []
        for number, key in keys.items():
            if (sock := self.sockets.get(number)) is None:
                continue
            events = 0
            if key.events & selectors.EVENT_READ and number in self.readable:
                events |= selectors.EVENT_READ
            if key.events & selectors.EVENT_WRITE and sock.writable():
                events |= selectors.EVENT_WRITE
            if events:
                result.append((key, events))
        return result

    def count_open(self, host: str) -> int:
        """Returns the number of a host's open descriptors."""
        return sum(each.host == host for each in self.sockets.values())

    def kill(self, host: str) -> None:
        """Ends a host's process: all of its sockets are reset."""
        for each in [each for each in self.sockets.values() if each.host == host]:
            each.abort()

    @contextlib.contextmanager
    def installed(self) -> Iterator[None]:
        """Replaces the system's sockets; only one network of a process may be installed at a time."""
        kind = type("socket", (Socket,), {"net": self})
        real = socket.socket, select.epoll, select.poll
        try:
            socket.socket = kind  # type: ignore[assignment,misc]
            setattr(select, "epoll", lambda: Poller(self))  # noqa: B010
            setattr(select, "poll", lambda: Poller(self))  # noqa: B010
            yield
        finally:
            socket.socket = real[0]  # type: ignore[misc]
            setattr(select, "epoll", real[1])  # noqa: B010
            setattr(select, "poll", real[2])  # noqa: B010


class Poller:
    """The part of epoll(7) and poll(2) that the sender uses: whether a socket is readable or has ended."""

    def __init__(self, net: Net) -> None:
        """Creates a poller without descriptors."""
        self.net = net
        self.registered: dict[int, int] = {}

    def register(self, number: int, events: int = select.POLLIN) -> None:
        """Registers a descriptor for events; raises OSError (EBADF) if it is not open."""
        if number not in self.net.sockets:
            raise os_error(errno.EBADF)
        self.registered[number] = events

    def unregister(self, number: int) -> None:
        """Removes a descriptor."""
        del self.registered[number]

    def poll(self, timeout: float = 0) -> list[tuple[int, int]]:
        """Returns the descriptors with events; a timeout is an error, as time stands still meanwhile."""
        if timeout:
            raise RuntimeError(f"a poll with a timeout of {timeout} would never return in virtual time")
        result = []
        for number, events in self.registered.items():
            sock = self.net.sockets.get(number)
            ready = select.POLLIN if number in self.net.readable else 0
            ready |= select.POLLRDHUP if sock and sock.has_ended() else 0
            if ready & events:
                result.append((number, ready & events))
        return result

    def close(self) -> None:
        """Removes all descriptors."""
        self.registered.clear()


class Socket:
    """A non-blocking TCP socket with the methods of `socket.socket` that the sender and asyncio call.

    Attributes:
        net: The network, set in the class that `Net.installed` creates.
        host: The host that opened it.
        number: Its descriptor.
        name: Its own address.
        peer: The address of the other end.
        other: The other end; None: there is none, or it is gone.
        unread: Received data that was not read yet.
        in_flight: Sent bytes that have not arrived yet.
        is_established: Whether the connection was established.
        closed: Whether it was closed here.
        has_sent_fin: Whether FIN was sent.
        has_received_fin: Whether FIN was received, or an error was reported.
        error: The pending errno; 0: none.
        waiting: Connections to be accepted, if it is a listener.
        backlog: The most connections to be accepted, if it is a listener.
        last_arrival_at: Time in s at which the last segment sent from here arrives, so that no later one
            overtakes it.
    """

    net: Net

    def __init__(
        self, family: int = socket.AF_INET, type: int = socket.SOCK_STREAM, proto: int = 0, fileno: Any = None  # noqa: ANN401
    ) -> None:  # fmt: skip
        """Opens a socket.

        Raises:
            OSError: The host has reached its limit of descriptors (EMFILE).
            RuntimeError: It is not a TCP socket.
        """
        if type != socket.SOCK_STREAM or family not in (socket.AF_INET, socket.AF_INET6):
            raise RuntimeError(f"only TCP sockets are emulated, not family {family} of type {type}")
        self.family, self.type, self.proto = family, type, socket.IPPROTO_TCP
        self.host = HOST.get()
        if self.net.count_open(self.host) >= self.net.descriptor_limits.get(self.host, 1_000_000):
            raise os_error(errno.EMFILE)
        self.number = next(self.net.descriptors)
        self.net.sockets[self.number] = self
        self.name: Address = ("0.0.0.0", 0)
        self.peer_address: Address = ("0.0.0.0", 0)
        self.peer: Socket | None = None
        self.unread, self.in_flight = bytearray(), 0
        self.is_established = self.closed = self.has_sent_fin = self.has_received_fin = False
        self.error = 0
        self.waiting: deque[Socket] | None = None
        self.backlog = 0
        self.last_arrival_at = 0.0

    # Functions of any socket.

    def fileno(self) -> int:
        """Returns the descriptor, or -1 if the socket is closed."""
        return -1 if self.closed else self.number

    def setblocking(self, flag: bool) -> None:
        """Does nothing: the socket never blocks."""

    def settimeout(self, value: float | None) -> None:
        """Does nothing: the socket never blocks."""

    def setsockopt(self, *args: Any) -> None:  # noqa: ANN401
        """Does nothing: options have no effect."""

    def gettimeout(self) -> float:
        """Returns 0, the timeout of a non-blocking socket."""
        return 0.0

    def getsockopt(self, level: int, option: int) -> int:
        """Returns and clears the pending error for SO_ERROR, and 0 for any other option."""
        error, self.error = self.error, 0
        return error if option == socket.SO_ERROR else 0

    def getsockname(self) -> Address:
        """Returns the socket's own address."""
        return self.name

    def getpeername(self) -> Address:
        """Returns the address of the other end; raises OSError (ENOTCONN) if it was never connected."""
        if self.peer is None and not self.is_established:
            raise os_error(errno.ENOTCONN)
        return self.peer_address

    def __enter__(self) -> "Socket":
        """Returns the socket, which is closed at the end of the `with` block."""
        return self

    def __exit__(self, *_: object) -> None:
        """Closes the socket; an exception in the `with` block propagates."""
        self.close()

    # Listening.

    def bind(self, address: Address) -> None:
        """Binds to an address, with a free port for port 0; raises OSError (EADDRINUSE) if it is taken."""
        host, port = address[:2]
        if not port:
            self.net.ports[host] += 1
            port = 20_000 + self.net.ports[host]
        if (host, port) in self.net.listeners:
            raise os_error(errno.EADDRINUSE)
        self.name = (host, port)

    def listen(self, backlog: int = 128) -> None:
        """Makes the socket a listener."""
        self.waiting, self.backlog = self.waiting or deque(), max(backlog, 1)
        self.net.listeners[self.name] = self

    def accept(self) -> "tuple[Socket, Address]":
        """Returns the next connection and its caller's address.

        Raises:
            BlockingIOError: No connection is waiting.
            OSError: The host has reached its limit of descriptors (EMFILE).
        """
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, "no connection is waiting")
        if self.net.count_open(self.host) >= self.net.descriptor_limits.get(self.host, 1_000_000) + len(
            self.waiting
        ):
            raise os_error(errno.EMFILE)
        sock = self.waiting.popleft()
        self.update_readiness()
        return sock, sock.peer_address

    # Connecting.

    def connect(self, address: Address) -> None:
        """Starts to connect; always raises BlockingIOError, as a non-blocking socket does."""
        self.peer_address = (address[0], address[1])
        self.net.ports[self.host] += 1
        self.name = (
            self.host,
            40_000 + self.net.ports[self.host],
        )  # the caller's host is visible in its address
        delay = self.net.path_delay(self.host, self.peer_address, self.net.clock())
        if delay != SILENT:
            self.net.schedule(
                self.net.clock() + 2 * max(delay, 0.0), lambda: self.finish_connect(delay == REFUSED)
            )
        raise BlockingIOError(errno.EINPROGRESS, "the connection is being established")

    def finish_connect(self, refused: bool) -> None:
        """Establishes the connection.

        It fails if it is refused or if the listener's host has no descriptor left; while the listener's
        backlog is full, it is tried again.
        """
        listener = self.net.listeners.get(self.peer_address)
        if self.closed:
            return
        if refused or listener is None or listener.waiting is None:
            self.error = errno.ECONNREFUSED
        elif len(listener.waiting) >= listener.backlog:
            self.net.schedule(
                self.net.clock() + 1.0, lambda: self.finish_connect(False)
            )  # the SYN is sent again
            return
        else:
            token = HOST.set(listener.host)
            try:
                peer: Socket | None = self.__class__()
            except OSError:
                peer = None
            finally:
                HOST.reset(token)
            if peer is None:
                self.error = errno.ECONNRESET
            else:
                peer.name, peer.peer_address, peer.peer, peer.is_established = (
                    listener.name,
                    self.name,
                    self,
                    True,
                )
                self.peer, self.is_established = peer, True
                listener.waiting.append(peer)
                listener.update_readiness()
        self.update_readiness()

    # Data.

    def writable(self) -> bool:
        """Whether a write would not block."""
        return bool(self.error) or (
            self.is_established and (self.has_sent_fin or self.room() > 0 or self.peer is None)
        )

    def room(self) -> int:
        """Returns the bytes that can be written before the buffer is full."""
        unread = len(self.peer.unread) if self.peer else 0
        return BUFFER_BYTES - self.in_flight - unread

    def send(self, data: Any, flags: int = 0) -> int:  # noqa: ANN401
        """Sends at most one segment; returns the number of bytes that were taken.

        Raises:
            BlockingIOError: The buffer is full.
            OSError: The connection does not exist, was closed for writing or failed.
        """
        self.raise_error()
        if self.closed or not self.is_established or self.has_sent_fin:
            raise os_error(errno.EPIPE if self.is_established else errno.ENOTCONN)
        if self.peer is None:
            raise os_error(errno.EPIPE)
        piece = bytes(data[: min(self.net.segment, max(self.room(), 0))])
        if not piece and len(data):
            raise BlockingIOError(errno.EAGAIN, "the buffer is full")
        self.in_flight += len(piece)
        self.deliver_later(lambda peer: peer.receive(piece), len(piece))
        return len(piece)

    def deliver_later(self, callback: "Callable[[Socket], None]", size: int = 0) -> None:
        """Calls `callback` with the other end after the path's latency, unless the path is silent.

        Args:
            callback: The effect at the other end.
            size: Bytes of data that are in flight until then.
        """
        here, peer = self, self.peer
        host, address = (
            (self.host, self.peer_address)
            if self.peer_address in self.net.listeners
            else (peer.host if peer else "", self.name)
        )
        delay = self.net.path_delay(host, address, self.net.clock())

        def arrive() -> None:
            here.in_flight -= size
            if peer is not None and not peer.closed and delay != SILENT:
                callback(peer)
            here.update_readiness()

        self.last_arrival_at = max(self.last_arrival_at, self.net.clock() + max(delay, 0.0))
        self.net.schedule(self.last_arrival_at, arrive)

    def receive(self, piece: bytes) -> None:
        """Processes a segment; data after the connection's end is dropped."""
        if self.error or self.has_received_fin:
            return
        self.unread += piece
        self.update_readiness()

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Reads at most `size` bytes; b"" is the end.

        Raises:
            BlockingIOError: There is no data.
            OSError: The connection failed.
        """
        self.raise_error()
        if not self.unread:
            if self.has_received_fin:
                return b""
            raise BlockingIOError(errno.EAGAIN, "no data is available")
        data = bytes(self.unread[:size])
        if not flags & socket.MSG_PEEK:
            del self.unread[:size]
            self.update_readiness()
        return data

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:  # noqa: ANN401
        """Reads into a buffer; returns the number of bytes. Raises as `recv` does."""
        data = self.recv(nbytes or len(buffer), flags)
        buffer[: len(data)] = data
        return len(data)

    def raise_error(self) -> None:
        """Raises the pending error, if there is one, as OSError."""
        if self.error:
            error, self.error = self.error, 0
            self.has_received_fin = True
            self.update_readiness()
            raise os_error(error)

    # End of a connection.

    def has_ended(self) -> bool:
        """Whether the other end has closed the connection or it failed."""
        return self.has_received_fin or bool(self.error)

    def shutdown(self, how: int) -> None:
        """Closes the connection for writing; raises OSError if it does not exist or failed."""
        self.raise_error()
        if not self.is_established:
            raise os_error(errno.ENOTCONN)
        if not self.has_sent_fin:
            self.has_sent_fin = True
            self.deliver_later(Socket.receive_end)

    def receive_end(self) -> None:
        """Processes a FIN."""
        self.has_received_fin = True
        self.update_readiness()

    def reset(self) -> None:
        """Processes an RST."""
        if not self.has_ended() or self.unread or not self.has_sent_fin:
            self.unread.clear()
            self.error = errno.ECONNRESET
        self.peer = None
        self.update_readiness()

    def close(self) -> None:
        """Closes the socket as the system call does: with a reset if there is unread data."""
        if self.closed:
            return
        if self.unread:
            self.abort()
            return
        if self.is_established and not self.has_sent_fin and self.peer:
            self.has_sent_fin = True
            self.deliver_later(Socket.receive_end)
        self.release()

    def abort(self) -> None:
        """Closes the socket with a reset, as well as the connections that wait at a listener."""
        if self.is_established and self.peer and not self.closed:
            self.deliver_later(Socket.reset)
        for each in list(self.waiting or ()):
            each.abort()
        self.release()

    def release(self) -> None:
        """Releases the descriptor and the address."""
        self.closed = True
        self.net.sockets.pop(self.number, None)
        self.net.readable.discard(self.number)
        if self.net.listeners.get(self.name) is self:
            del self.net.listeners[self.name]

    def update_readiness(self) -> None:
        """Updates whether the network reports the socket as readable."""
        ready = bool(self.unread or self.waiting or self.has_received_fin or self.error)
        if ready and not self.closed:
            self.net.readable.add(self.number)
        else:
            self.net.readable.discard(self.number)
