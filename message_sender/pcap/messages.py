"""Reading of HTTP/1.1 messages from a connection, with the times of their first and last bytes.

h11 parses the messages (RFC 9112); this module adds the handling of gaps and errors in captures. A gap within
a body of known length is filled with zeros, and the message is marked as incomplete. Any other gap, and bytes
that h11 rejects, end the current message: reading resumes at the next segment that begins with a start line,
and the following message gets a note with the number of skipped bytes.
"""

import contextlib
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from message_sender.http import fast_path
from message_sender.pcap.reassembly import Gap, Part

HEAD_BYTES_LIMIT = 64 * 1024  # of the head of a message or of a chunk
BODY_BYTES_LIMIT = 16 * 1024 * 1024  # kept of a body; the rest is dropped
FILLED_GAP_BYTES_LIMIT = 16 * 1024 * 1024
FILL_STEP_BYTES = 64 * 1024
SWITCHING_PROTOCOLS = 101
CLIENT_SIDE = 0
SERVER_SIDE = 1
#: Pattern of a start line at the beginning of a segment, by side.
START_LINES = (
    re.compile(rb"[A-Z]{3,16} [^ \r\n]{1,8192} HTTP/1\.[01]\r?\n"),
    re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}[ \r]"),
)


@dataclass(slots=True)
class HttpMessage:
    """A request or a response.

    Attributes:
        first_at_ns: Capture time, since the epoch, of the segment with its first byte.
        last_at_ns: Capture time of the segment with its last byte.
        method: Method of a request.
        target: Target of a request.
        status: Status of a response; 0 for a request.
        headers: Names and values, in order.
        body: The first `BODY_BYTES_LIMIT` bytes of its body at most.
        is_complete: Whether the capture holds all of it.
        notes: Irregularities.
        request_number: Number of the request that a response belongs to; None if it is not known.
        number: Number among the requests or responses of its connection, from 0.
    """

    first_at_ns: int
    last_at_ns: int = 0
    method: str = ""
    target: str = ""
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = True
    notes: list[str] = field(default_factory=list)
    request_number: int | None = None
    number: int = 0


MessageListener = Callable[[HttpMessage], None]
MethodSource = Callable[[], str | None]


def unknown_method() -> str | None:
    """Returns None: the method of the request is not known."""
    return None


def ignore_message(_: HttpMessage) -> None:
    """Drops a message."""


class MessageReader:
    """Reads the requests or the responses of one connection.

    Attributes:
        side: `CLIENT_SIDE` for requests, `SERVER_SIDE` for responses.
        has_switched_protocol: Whether the connection uses another protocol now; further bytes are ignored.
    """

    def __init__(
        self,
        side: int,
        on_message: MessageListener,
        request_method: MethodSource = unknown_method,
        on_head: MessageListener = ignore_message,
    ) -> None:
        """Creates a reader at the beginning of a direction.

        Args:
            side: `CLIENT_SIDE` for requests, `SERVER_SIDE` for responses.
            on_message: Called with each message that has ended, complete or not.
            request_method: Returns the method of the request that the next response belongs to; None if not
                known.
            on_head: Called with a message whose head has been read.
        """
        self.side = side
        self.has_switched_protocol = False
        self._on_message = on_message
        self._request_method = request_method
        self._on_head = on_head
        self._message: HttpMessage | None = None
        self._body = bytearray()
        self._remaining_body: int | None = None  # bytes still to come; None if not known
        self._codec: h11.Connection | None = None
        self._trailing_data = b""  # after the message that has just ended
        self._is_resyncing = False
        self._skipped_bytes = 0  # while resyncing
        self._next_notes: list[str] = []  # of the next message

    def feed(self, part: Part) -> None:
        """Reads the next part of the direction."""
        if self.has_switched_protocol:
            return
        if isinstance(part, Gap):
            self._read_gap(part)
            return
        if self._is_resyncing:
            if not START_LINES[self.side].match(part.data):
                self._skipped_bytes += len(part.data)
                return
            self._is_resyncing = False
            self._codec = None
            self._next_notes.append(f"{self._skipped_bytes} bytes before it could not be read")
            self._skipped_bytes = 0
        self._read(part.at_ns, part.data)

    def end(self, at_ns: int, reason: str) -> None:
        """Ends the direction.

        A response without a length is complete here, if the connection was closed without a reset.
        """
        if self.has_switched_protocol or self._is_resyncing or self._codec is None or self._message is None:
            return
        if reason == "closed":
            with contextlib.suppress(h11.RemoteProtocolError):
                self._codec.receive_data(b"")
                self._process_events(at_ns)
        if self._message is not None:
            self._abort_message(at_ns, "the connection ended before it: " + reason)

    def _create_codec(self) -> h11.Connection:
        """Returns a codec for the next message."""
        if self.side == CLIENT_SIDE:
            return h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES_LIMIT)
        codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_LIMIT)
        method = self._request_method() or "GET"
        # With "Upgrade" in the request, h11 accepts a switch of protocols.
        codec.send(h11.Request(method=method, target="/", headers=[("Host", "x"), ("Upgrade", "any")]))
        codec.send(h11.EndOfMessage())
        return codec

    def _read(self, at_ns: int, data: bytes) -> None:
        while data and not (self.has_switched_protocol or self._is_resyncing):
            self._trailing_data = b""
            try:
                if self._codec is None:
                    if self._read_fast(at_ns, data):
                        return
                    self._codec = self._create_codec()
                if self._message is None:
                    self._message = self._begin_message(at_ns)
                self._codec.receive_data(data)
                self._process_events(at_ns)
            except h11.RemoteProtocolError as error:
                self._abort_message(at_ns, f"it cannot be read: {error}")
            data = self._trailing_data

    def _read_fast(self, at_ns: int, data: bytes) -> bool:
        """Reads a simple message that one segment holds completely, without h11.

        h11 accepts every message that these patterns match, with the same result (tests/test_fast_path.py).

        Returns:
            Whether the message was read; False if it has another form and must be read by h11.
        """
        is_response = self.side == SERVER_SIDE
        pattern = fast_path.ANSWER if is_response else fast_path.REQUEST
        match = pattern.match(data, 0, fast_path.MAX_HEAD_BYTES)
        if not match or not (parsed := fast_path.parse_fields(match[2])):
            return False
        fields = parsed[1]
        body = fast_path.complete_body(data, match.end(), fields, BODY_BYTES_LIMIT)
        if body is None or (not is_response and b"host" not in fields):
            return False
        if is_response and (
            int(match[1]) in fast_path.BODILESS or self._request_method() in ("HEAD", "CONNECT")
        ):
            return False
        message = self._begin_message(at_ns)
        if is_response:
            message.status = int(match[1])
        else:
            message.method = "POST"
            message.target = match[1].decode("latin-1")
        lines = (line.partition(b":") for line in match[2].split(b"\r\n")[:-1])
        message.headers = [(name.decode(), value.strip(b" \t").decode("latin-1")) for name, _, value in lines]
        message.last_at_ns = at_ns
        message.body = body
        self._on_head(message)
        self._on_message(message)
        return True

    def _begin_message(self, at_ns: int) -> HttpMessage:
        notes = self._next_notes
        self._next_notes = []
        return HttpMessage(at_ns, notes=notes)

    def _process_events(self, at_ns: int) -> None:
        while self._codec is not None and not self.has_switched_protocol:
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            assert isinstance(event, h11.Event)
            self._process_event(at_ns, event)

    def _process_event(self, at_ns: int, event: h11.Event) -> None:
        assert self._message is not None
        if isinstance(event, h11.Request):
            self._message.method = event.method.decode()
            self._message.target = event.target.decode("latin-1")
            self._set_head(event)
        elif isinstance(event, h11.Response) or (
            isinstance(event, h11.InformationalResponse) and event.status_code == SWITCHING_PROTOCOLS
        ):
            self._message.status = event.status_code
            self._set_head(event)
            self._check_protocol_switch(at_ns)
        elif isinstance(event, h11.Data):
            self._add_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete_message(at_ns)

    def _check_protocol_switch(self, at_ns: int) -> None:
        assert self._codec is not None
        if self._codec.their_state is h11.SWITCHED_PROTOCOL:
            self._complete_message(at_ns)
            self.has_switched_protocol = True

    def _set_head(self, event: h11.Request | h11.Response | h11.InformationalResponse) -> None:
        assert self._message is not None
        self._message.headers = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in event.headers.raw_items()
        ]
        lengths = [value for name, value in event.headers if name == b"content-length"]
        is_chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
        self._remaining_body = int(lengths[0]) if lengths and not is_chunked else None
        self._on_head(self._message)

    def _add_body(self, data: bytes) -> None:
        if self._remaining_body is not None:
            self._remaining_body -= len(data)
        if len(self._body) + len(data) > BODY_BYTES_LIMIT:
            data = data[: BODY_BYTES_LIMIT - len(self._body)]
            self._mark_incomplete(f"of its body {BODY_BYTES_LIMIT} bytes are kept")
        self._body += data

    def _mark_incomplete(self, note: str) -> None:
        assert self._message is not None
        if note not in self._message.notes:
            self._message.notes.append(note)
        self._message.is_complete = False

    def _complete_message(self, at_ns: int) -> None:
        assert self._message is not None
        assert self._codec is not None
        self._trailing_data = self._codec.trailing_data[0]
        self._end_message(at_ns)

    def _abort_message(self, at_ns: int, reason: str) -> None:
        """Ends the current message as incomplete; reading resumes at the next start line."""
        if self._message is None:
            self._message = self._begin_message(at_ns)
        self._mark_incomplete(reason)
        self._is_resyncing = True
        self._trailing_data = b""
        self._end_message(at_ns)

    def _end_message(self, at_ns: int) -> None:
        """Reports the current message; if it has no start line, its notes are added to the next message."""
        assert self._message is not None
        message = self._message
        message.last_at_ns = at_ns
        message.body = bytes(self._body)
        self._message = None
        self._codec = None
        self._body = bytearray()
        self._remaining_body = None
        if message.method or message.status:
            self._on_message(message)
        else:
            self._next_notes = message.notes

    def _read_gap(self, gap: Gap) -> None:
        note = f"{gap.size} bytes are not in the capture"
        remaining_body = self._remaining_body
        if self._message is None:
            self._next_notes.append(note)
            self._is_resyncing = True
            self._codec = None
        elif remaining_body is not None and 0 < gap.size <= min(remaining_body, FILLED_GAP_BYTES_LIMIT):
            self._mark_incomplete(note + "; they stand as zeros in its body")
            for start in range(0, gap.size, FILL_STEP_BYTES):
                self._read(gap.at_ns, bytes(min(FILL_STEP_BYTES, gap.size - start)))
        else:
            self._abort_message(gap.at_ns, note)


class MessagePairs:
    """Reads both directions of a connection, and assigns responses to requests.

    Attributes:
        sides: The readers of the requests and of the responses.
    """

    def __init__(self, on_message: MessageListener) -> None:
        """Creates the readers; `on_message` is called with each message that has ended."""
        self.sides = (
            MessageReader(CLIENT_SIDE, on_message, on_head=self._add_request),
            MessageReader(SERVER_SIDE, self._add_response, self._next_request_method),
        )
        self._on_message = on_message
        self._unanswered: deque[tuple[int, str]] = deque()  # number and method of each request
        self._request_count = 0
        self._response_count = 0

    def end(self, at_ns: int, reason: str) -> None:
        """Ends both directions."""
        for side in self.sides:
            side.end(at_ns, reason)

    def _next_request_method(self) -> str | None:
        return self._unanswered[0][1] if self._unanswered else None

    def _add_request(self, message: HttpMessage) -> None:
        """Adds a request when its head has been read, since the response may precede its last byte."""
        message.number = self._request_count
        self._request_count += 1
        self._unanswered.append((message.number, message.method))

    def _add_response(self, message: HttpMessage) -> None:
        message.number = self._response_count
        self._response_count += 1
        if self._unanswered:
            message.request_number, method = self._unanswered.popleft()
            is_tunnel = method == "CONNECT" and 200 <= message.status < 300
            if message.status == SWITCHING_PROTOCOLS or is_tunnel:
                for side in self.sides:
                    side.has_switched_protocol = True
        else:
            message.notes.append("its request is not in the capture")
        self._on_message(message)
