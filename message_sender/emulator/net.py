"""A network in memory under unchanged code: sockets, what is ready on them, and what goes wrong between them.

While `Net.installed()` is held, `socket.socket`, `select.epoll` and `select.poll` are this network's.
asyncio, the doors, transports and stand-ins above them are the real ones and cannot tell. Who opens a socket
is its *host*: the context variable `HOST`, which tasks and callbacks inherit.

- A connection is two ends with a buffer each. What is written arrives after the way's latency, in order;
  more than `ROOM` bytes unread or under way, and a write would block. Writes take at most `segment` bytes at
  once, so that heads and bodies come in parts.
- FIN follows what was written. A close over unread bytes, an abort by the network and a host's death are RST
  (RFC 9293, 3.5.2 and 3.10.4): unread bytes at the other end are lost.
- `way_of` says of a new connection or of bytes under way: the latency, or that nobody answers (`SILENT`), or
  that it is refused. Bytes that meet a silent way are lost, and so the connection stands half open.
- Descriptors are counted by host: `most_open` of them, then EMFILE.

Its events have a queue of their own, not the loop's timers: they happen also while a process has no core
(`VirtualLoop.pause`), which is when a sender finds its sockets full of news on coming back.
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
FIRST = 1_000_000  # descriptors of this network: far above any real one
ROOM = 64 * 1024  # bytes of one direction that may be under way or unread
SILENT, REFUSED = -1.0, -2.0  # in place of a latency
NEVER = float("inf")
Address = tuple[str, int]
Way = Callable[[str, Address, float], float]


def trouble(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class Net:
    """`clock` gives the time in s. `way_of(host, address, now)` is the latency one way between them, in s, or
    SILENT or REFUSED; it is asked for each piece under way."""

    def __init__(
        self, clock: Callable[[], float], way_of: Way = lambda host, address, now: 0.0005, segment: int = ROOM
    ) -> None:
        self.clock, self.way_of, self.segment = clock, way_of, segment
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count, self.numbers = itertools.count(), itertools.count(FIRST)
        self.ports: Counter[str] = Counter()
        self.listeners: dict[Address, Socket] = {}
        self.sockets: dict[int, Socket] = {}
        self.readable: set[int] = set()
        self.most_open: dict[str, int] = {}

    # Its own queue of what happens.

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.count), act))

    def next(self) -> float:
        return self.events[0][0] if self.events else NEVER

    def happen(self, now: float) -> None:
        """What is due by `now`, in the order of its times."""
        while self.events and self.events[0][0] <= now:
            heapq.heappop(self.events)[2]()

    def ready(self, keys: dict[int, selectors.SelectorKey]) -> list[tuple[selectors.SelectorKey, int]]:
        found = []
        for number, key in keys.items():
            if (sock := self.sockets.get(number)) is None:
                continue
            events = 0
            if key.events & selectors.EVENT_READ and number in self.readable:
                events |= selectors.EVENT_READ
            if key.events & selectors.EVENT_WRITE and sock.writable():
                events |= selectors.EVENT_WRITE
            if events:
                found.append((key, events))
        return found

    def open_of(self, host: str) -> int:
        return sum(each.host == host for each in self.sockets.values())

    def kill(self, host: str) -> None:
        """A process ends: all that it had open is reset."""
        for each in [each for each in self.sockets.values() if each.host == host]:
            each.abort()

    @contextlib.contextmanager
    def installed(self) -> Iterator[None]:
        """Not for two at once in one process."""
        kind = type("socket", (Socket,), {"net": self})
        real = socket.socket, select.epoll, select.poll
        try:
            socket.socket = kind  # type: ignore[assignment,misc]
            setattr(select, "epoll", lambda: Watch(self))  # noqa: B010
            setattr(select, "poll", lambda: Watch(self))  # noqa: B010
            yield
        finally:
            socket.socket = real[0]  # type: ignore[misc]
            setattr(select, "epoll", real[1])  # noqa: B010
            setattr(select, "poll", real[2])  # noqa: B010


class Watch:
    """epoll(7) and poll(2), as far as the sender asks them: what is readable, and whether it has ended."""

    def __init__(self, net: Net) -> None:
        self.net = net
        self.asked: dict[int, int] = {}

    def register(self, number: int, events: int = select.POLLIN) -> None:
        if number not in self.net.sockets:
            raise trouble(errno.EBADF)
        self.asked[number] = events

    def unregister(self, number: int) -> None:
        del self.asked[number]

    def poll(self, timeout: float = 0) -> list[tuple[int, int]]:
        if timeout:
            raise RuntimeError("a wait in emulated time would never end")
        found = []
        for number, events in self.asked.items():
            sock = self.net.sockets.get(number)
            ready = select.POLLIN if number in self.net.readable else 0
            ready |= select.POLLRDHUP if sock and sock.has_ended() else 0
            if ready & events:
                found.append((number, ready & events))
        return found

    def close(self) -> None:
        self.asked.clear()


class Socket:
    """A TCP socket that never blocks. What the sender and asyncio call of socket(2) and its kin."""

    net: Net

    def __init__(
        self, family: int = socket.AF_INET, type: int = socket.SOCK_STREAM, proto: int = 0, fileno: Any = None  # noqa: ANN401
    ) -> None:  # fmt: skip
        if type != socket.SOCK_STREAM or family not in (socket.AF_INET, socket.AF_INET6):
            raise RuntimeError("only TCP is emulated")
        self.family, self.type, self.proto = family, type, socket.IPPROTO_TCP
        self.host = HOST.get()
        if self.net.open_of(self.host) >= self.net.most_open.get(self.host, 1_000_000):
            raise trouble(errno.EMFILE)
        self.number = next(self.net.numbers)
        self.net.sockets[self.number] = self
        self.name: Address = ("0.0.0.0", 0)
        self.far: Address = ("0.0.0.0", 0)  # the address that was called, in either end
        self.other: Socket | None = None
        self.unread, self.under_way = bytearray(), 0
        self.up = self.closed = self.sent_end = self.heard_end = False
        self.error = 0
        self.waiting: deque[Socket] | None = None  # of a listener: connections to be accepted
        self.backlog = 0
        self.arrives = 0.0  # when the last piece sent from here is there: pieces keep their order

    # What is asked of any socket.

    def fileno(self) -> int:
        return -1 if self.closed else self.number

    def setblocking(self, flag: bool) -> None: ...
    def settimeout(self, value: float | None) -> None: ...
    def setsockopt(self, *told: Any) -> None: ...  # noqa: ANN401

    def gettimeout(self) -> float:
        return 0.0

    def getsockopt(self, level: int, option: int) -> int:
        found, self.error = self.error, 0
        return found if option == socket.SO_ERROR else 0

    def getsockname(self) -> Address:
        return self.name

    def getpeername(self) -> Address:
        if self.other is None and not self.up:
            raise trouble(errno.ENOTCONN)
        return self.far

    def __enter__(self) -> "Socket":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # Listening.

    def bind(self, address: Address) -> None:
        host, port = address[:2]
        if not port:
            self.net.ports[host] += 1
            port = 20_000 + self.net.ports[host]
        if (host, port) in self.net.listeners:
            raise trouble(errno.EADDRINUSE)
        self.name = (host, port)

    def listen(self, backlog: int = 128) -> None:
        self.waiting, self.backlog = self.waiting or deque(), max(backlog, 1)
        self.net.listeners[self.name] = self

    def accept(self) -> "tuple[Socket, Address]":
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        if self.net.open_of(self.host) >= self.net.most_open.get(self.host, 1_000_000) + len(self.waiting):
            raise trouble(errno.EMFILE)
        sock = self.waiting.popleft()
        self.tell()
        return sock, sock.far

    # Connecting.

    def connect(self, address: Address) -> None:
        self.far = (address[0], address[1])
        self.net.ports[self.host] += 1
        self.name = (self.host, 40_000 + self.net.ports[self.host])  # who calls stands in its address
        way = self.net.way_of(self.host, self.far, self.net.clock())
        if way != SILENT:
            self.net.at(self.net.clock() + 2 * max(way, 0.0), lambda: self.connected(way == REFUSED))
        raise BlockingIOError(errno.EINPROGRESS, "it is under way")

    def connected(self, refused: bool) -> None:
        listener = self.net.listeners.get(self.far)
        if self.closed:
            return
        if refused or listener is None or listener.waiting is None:
            self.error = errno.ECONNREFUSED
        elif len(listener.waiting) >= listener.backlog:
            self.net.at(self.net.clock() + 1.0, lambda: self.connected(False))  # the SYN is sent again
            return
        else:
            token = HOST.set(listener.host)
            try:
                far: Socket | None = self.__class__()
            except OSError:
                far = None
            finally:
                HOST.reset(token)
            if far is None:
                self.error = errno.ECONNRESET
            else:
                far.name, far.far, far.other, far.up = listener.name, self.name, self, True
                self.other, self.up = far, True
                listener.waiting.append(far)
                listener.tell()
        self.tell()

    # Bytes.

    def writable(self) -> bool:
        return bool(self.error) or (self.up and (self.sent_end or self.room() > 0 or self.other is None))

    def room(self) -> int:
        there = len(self.other.unread) if self.other else 0
        return ROOM - self.under_way - there

    def send(self, data: Any, flags: int = 0) -> int:  # noqa: ANN401
        self.raise_error()
        if self.closed or not self.up or self.sent_end:
            raise trouble(errno.EPIPE if self.up else errno.ENOTCONN)
        if self.other is None:
            raise trouble(errno.EPIPE)
        piece = bytes(data[: min(self.net.segment, max(self.room(), 0))])
        if not piece and len(data):
            raise BlockingIOError(errno.EAGAIN, "the buffer is full")
        self.under_way += len(piece)
        self.travel(lambda far: far.arrive(piece), len(piece))
        return len(piece)

    def travel(self, act: "Callable[[Socket], None]", size: int = 0) -> None:
        """What is done at the other end, once it is there, unless the way swallows it."""
        here, far = self, self.other
        host, address = (
            (self.host, self.far) if self.far in self.net.listeners else (far.host if far else "", self.name)
        )
        way = self.net.way_of(host, address, self.net.clock())

        def there() -> None:
            here.under_way -= size
            if far is not None and not far.closed and way != SILENT:
                act(far)
            here.tell()

        self.arrives = max(self.arrives, self.net.clock() + max(way, 0.0))
        self.net.at(self.arrives, there)

    def arrive(self, piece: bytes) -> None:
        if self.error or self.heard_end:
            return
        self.unread += piece
        self.tell()

    def recv(self, size: int, flags: int = 0) -> bytes:
        self.raise_error()
        if not self.unread:
            if self.heard_end:
                return b""
            raise BlockingIOError(errno.EAGAIN, "nothing has come")
        data = bytes(self.unread[:size])
        if not flags & socket.MSG_PEEK:
            del self.unread[:size]
            self.tell()
        return data

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:  # noqa: ANN401
        data = self.recv(nbytes or len(buffer), flags)
        buffer[: len(data)] = data
        return len(data)

    def raise_error(self) -> None:
        if self.error:
            found, self.error = self.error, 0
            self.heard_end = True
            self.tell()
            raise trouble(found)

    # The end.

    def has_ended(self) -> bool:
        return self.heard_end or bool(self.error)

    def shutdown(self, how: int) -> None:
        self.raise_error()
        if not self.up:
            raise trouble(errno.ENOTCONN)
        if not self.sent_end:
            self.sent_end = True
            self.travel(Socket.hear_end)

    def hear_end(self) -> None:
        self.heard_end = True
        self.tell()

    def reset(self) -> None:
        if not self.has_ended() or self.unread or not self.sent_end:
            self.unread.clear()
            self.error = errno.ECONNRESET
        self.other = None
        self.tell()

    def close(self) -> None:
        """As close(2): over unread bytes it is a reset."""
        if self.closed:
            return
        if self.unread:
            self.abort()
            return
        if self.up and not self.sent_end and self.other:
            self.sent_end = True
            self.travel(Socket.hear_end)
        self.forget()

    def abort(self) -> None:
        if self.up and self.other and not self.closed:
            self.travel(Socket.reset)
        for each in list(self.waiting or ()):
            each.abort()
        self.forget()

    def forget(self) -> None:
        self.closed = True
        self.net.sockets.pop(self.number, None)
        self.net.readable.discard(self.number)
        if self.net.listeners.get(self.name) is self:
            del self.net.listeners[self.name]

    def tell(self) -> None:
        """Notes whether there is something to read."""
        ready = bool(self.unread or self.waiting or self.heard_end or self.error)
        if ready and not self.closed:
            self.net.readable.add(self.number)
        else:
            self.net.readable.discard(self.number)
