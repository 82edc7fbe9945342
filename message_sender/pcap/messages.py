"""HTTP/1.1 messages in a direction of a connection, with the times of their first and last bytes.

The reading is h11's (RFC 9112); what stands here is what a capture adds. A gap within a body of known length
is bridged, and the message is named as not whole. Any other gap, and what h11 does not take, spoils the
message at hand: reading goes on at the next segment that begins with a first line, and what was passed over
is a note of the message that comes next.
"""

import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from message_sender.http import fast_path
from message_sender.pcap.reassembly import Gap, Part

HEAD_MOST = 64 * 1024  # bytes of a head, or of a chunk's
BODY_MOST = 16 * 1024 * 1024  # bytes kept of a body
BRIDGE_MOST = 16 * 1024 * 1024  # bytes of a body that may be lost and its message still be read on
BRIDGE_STEP = 64 * 1024
BEGINS = (
    re.compile(rb"[A-Z]{3,16} [^ \r\n]{1,8192} HTTP/1\.[01]\r?\n"),
    re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}[ \r]"),
)


@dataclass(slots=True)
class HttpMessage:
    """A request, or an answer. Times are ns since the epoch."""

    first_at_ns: int
    last_at_ns: int = 0
    method: str = ""
    target: str = ""
    status: int = 0  # 0: a request
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = True
    notes: list[str] = field(default_factory=list)
    request_number: int | None = None
    number: int = 0  # on its connection


Method = Callable[[], str | None]


class Reader:
    """One direction: requests (`side` 0) or answers (1). What is read whole, or given up, goes to `out`."""

    def __init__(
        self,
        side: int,
        out: Callable[[HttpMessage], None],
        method: Method = lambda: None,
        headed: Callable[[HttpMessage], None] = lambda message: None,
    ) -> None:
        """`method` gives the method of the request that the next answer is for; None: it is not known.
        `headed` hears of a message whose head has been read."""
        self.side, self.out, self.method, self.headed = side, out, method, headed
        self.message: HttpMessage | None = None
        self.body = bytearray()
        self.codec: h11.Connection | None = None
        self.rest = b""  # bytes behind the message that was just done
        self.passed_over = 0  # bytes, since the last message
        self.lost = False  # out of step: reading goes on at the next beginning
        self.switched = False  # another protocol is spoken from here on
        self.pending: list[str] = []  # notes for the message that comes next
        self.left: int | None = None  # bytes of the body at hand that are still to come, where that is known

    def feed(self, part: Part) -> None:
        if self.switched:
            return
        if isinstance(part, Gap):
            self.gap(part)
            return
        if self.lost:
            if not BEGINS[self.side].match(part.data):
                self.passed_over += len(part.data)
                return
            self.lost = False
            self.codec = None
            self.pending.append(f"{self.passed_over} bytes before it could not be read")
            self.passed_over = 0
        self.read(part.at_ns, part.data)

    def fresh(self) -> h11.Connection:
        """A codec for the next message."""
        if self.side == 0:
            return h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_MOST)
        method = self.method() or "GET"
        asked = [("Host", "x"), ("Upgrade", "any")]  # so that a switch of protocols is no surprise
        codec.send(h11.Request(method=method, target="/", headers=asked))
        codec.send(h11.EndOfMessage())
        return codec

    def read(self, at: int, data: bytes) -> None:
        while data and not (self.switched or self.lost):
            self.rest = b""
            try:
                if self.codec is None:
                    if self.take_usual(at, data):
                        return
                    self.codec = self.fresh()
                if self.message is None:
                    self.message = self.begun(at)
                self.codec.receive_data(data)
                self.events(at)
            except h11.RemoteProtocolError as error:
                self.spoilt(at, f"it cannot be read: {error}")
            data = self.rest

    def take_usual(self, at: int, data: bytes) -> bool:
        """A plain message that is whole in one segment, read without the state machine. What these patterns
        take, h11 takes and reads alike (tests/test_usual.py)."""
        pattern = fast_path.ANSWER if self.side else fast_path.REQUEST
        match = pattern.match(data, 0, fast_path.HEAD_MOST)
        if not match or not (read := fast_path.fields_of(match[2])):
            return False
        body = fast_path.body_of(data, match.end(), read[1], BODY_MOST)
        if body is None or (self.side == 0 and b"host" not in read[1]):
            return False
        if self.side and (int(match[1]) in fast_path.BODILESS or self.method() in ("HEAD", "CONNECT")):
            return False
        message = self.begun(at)
        if self.side:
            message.status = int(match[1])
        else:
            message.method, message.target = "POST", match[1].decode("latin-1")
        lines = (line.partition(b":") for line in match[2].split(b"\r\n")[:-1])
        message.headers = [(name.decode(), value.strip(b" \t").decode("latin-1")) for name, _, value in lines]
        message.last_at_ns, message.body = at, body
        self.headed(message)
        self.out(message)
        return True

    def begun(self, at: int) -> HttpMessage:
        notes, self.pending = self.pending, []
        return HttpMessage(at, notes=notes)

    def events(self, at: int) -> None:
        while self.codec is not None and not self.switched:
            event = self.codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            assert isinstance(event, h11.Event)
            self.hear(at, event)

    def hear(self, at: int, event: h11.Event) -> None:
        assert self.message is not None
        if isinstance(event, h11.Request):
            self.message.method, self.message.target = event.method.decode(), event.target.decode("latin-1")
            self.head(event)
        elif isinstance(event, h11.Response):
            self.message.status = event.status_code
            self.head(event)
            self.may_switch(at)
        elif isinstance(event, h11.InformationalResponse):
            if event.status_code == 101:
                self.message.status = 101
                self.head(event)
                self.may_switch(at)
        elif isinstance(event, h11.Data):
            self.data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.done(at)

    def may_switch(self, at: int) -> None:
        assert self.codec is not None
        if self.codec.their_state is h11.SWITCHED_PROTOCOL:
            self.done(at)
            self.switched = True

    def head(self, event: h11.Request | h11.Response | h11.InformationalResponse) -> None:
        assert self.message is not None
        self.message.headers = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in event.headers.raw_items()
        ]
        lengths = [value for name, value in event.headers if name == b"content-length"]
        chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
        self.left = int(lengths[0]) if lengths and not chunked else None
        self.headed(self.message)

    def data(self, data: bytes) -> None:
        assert self.message is not None
        if self.left is not None:
            self.left -= len(data)
        if len(self.body) + len(data) > BODY_MOST:
            data = data[: BODY_MOST - len(self.body)]
            self.note(f"of its body {BODY_MOST} bytes are kept", whole=False)
        self.body += data

    def note(self, text: str, whole: bool) -> None:
        assert self.message is not None
        if text not in self.message.notes:
            self.message.notes.append(text)
        self.message.is_complete = self.message.is_complete and whole

    def done(self, at: int) -> None:
        """The message at hand is read to its end; the next one's codec begins with what lies there."""
        assert self.message is not None and self.codec is not None
        self.message.last_at_ns, self.message.body = at, bytes(self.body)
        self.rest = self.codec.trailing_data[0]
        self.leave()

    def leave(self) -> None:
        """The message at hand is told; one of which nothing is known but that it was there is a note."""
        assert self.message is not None
        message, self.message, self.codec = self.message, None, None
        self.body, self.left = bytearray(), None
        if message.method or message.status:
            self.out(message)
        else:
            self.pending = message.notes

    def spoilt(self, at: int, why: str) -> None:
        """Nothing can be read on here."""
        if self.message is None:
            self.message = self.begun(at)
        self.note(why, whole=False)
        self.message.last_at_ns, self.message.body = at, bytes(self.body)
        self.lost, self.rest = True, b""
        self.leave()

    def gap(self, gap: Gap) -> None:
        text = f"{gap.size} bytes are not in the capture"
        if self.left is not None and 0 < gap.size <= min(self.left, BRIDGE_MOST) and self.message:
            self.note(text + "; they stand as zeros in its body", whole=False)
            for start in range(0, gap.size, BRIDGE_STEP):
                self.read(gap.at_ns, bytes(min(BRIDGE_STEP, gap.size - start)))
        elif self.message:
            self.spoilt(gap.at_ns, text)
        else:
            self.pending.append(text)
            self.lost, self.codec = True, None

    def end(self, at: int, why: str) -> None:
        """Nothing more comes. An answer without a length ends here, if the connection was closed well."""
        if self.switched or self.lost or self.codec is None or self.message is None:
            return
        try:
            if why == "closed":
                self.codec.receive_data(b"")
                self.events(at)
        except h11.RemoteProtocolError:
            pass
        if self.message is not None:
            self.spoilt(at, "the connection ended before it: " + why)


class MessagePairs:
    """Both directions of one connection: its requests, and its answers with the request of each."""

    def __init__(self, out: Callable[[HttpMessage], None]) -> None:
        self.out = out
        self.waiting: deque[tuple[int, str]] = deque()  # requests without an answer: number and method
        self.requests = self.answers = 0
        self.sides = Reader(0, out, headed=self.request), Reader(1, self.answer, self.method)

    def method(self) -> str | None:
        return self.waiting[0][1] if self.waiting else None

    def request(self, message: HttpMessage) -> None:
        """Its answer may come before its last byte, or before what was lost of it is given up."""
        message.number = self.requests
        self.requests += 1
        self.waiting.append((message.number, message.method))

    def answer(self, message: HttpMessage) -> None:
        message.number = self.answers
        self.answers += 1
        if self.waiting:
            message.request_number, method = self.waiting.popleft()
            if message.status == 101 or (method == "CONNECT" and 200 <= message.status < 300):
                for side in self.sides:
                    side.switched = True
        else:
            message.notes.append("its request is not in the capture")
        self.out(message)

    def end(self, at: int, why: str) -> None:
        for side in self.sides:
            side.end(at, why)
