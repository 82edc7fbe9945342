"""Reads one request at a time from the bytes of a client's connection."""

import h11

from message_sender.http import fast_path
from message_sender.http.codec import BODY_LIMIT, HEADER_LIMIT, header
from message_sender.http.request_parsing import BadRequestError, HttpRequest

CONTENT_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
BAD_REQUEST = 400


class RequestReader:
    """A usual request is read at once; for anything else there is h11.

    Attributes:
        request: The head of the request at hand; None: there is none.
        body: What has come of its body.
        pending: Bytes of what may be a usual request, of which the codec has not heard.
        raw: Bytes that the codec has of a request that is not answered yet.
    """

    def __init__(self) -> None:
        """Begins before the first request."""
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)
        self.request: HttpRequest | None = None
        self.body = bytearray()
        self.pending = b""
        self.raw = bytearray()

    def is_fresh(self) -> bool:
        """Whether nothing of a request has been read, nor lies unread."""
        return not (self.pending or self.request or self.codec.trailing_data[0])

    def has_unread(self) -> bool:
        """Whether bytes of a further request have come."""
        return bool(self.codec.trailing_data[0])

    def is_usual(self) -> bool:
        """Whether the request at hand was read without the codec."""
        return isinstance(self.request, fast_path.FastRequest)

    def feed_codec(self, data: bytes = b"") -> None:
        """What was pending goes to the codec, and so does what came behind it."""
        pending, self.pending = self.pending, b""
        for part in (pending, data):
            if part:
                self.raw += part
                self.codec.receive_data(part)

    def take_usual(self) -> bool:
        """Whether a usual request has come whole; it is at hand then, and anything else is the codec's."""
        if self.pending and (request := fast_path.request(self.pending, BODY_LIMIT)):
            self.request = request
            self.body = bytearray(request.body)
            self.pending = b""
            return True
        self.feed_codec()
        return False

    def take_event(self, event: h11.Event) -> bool:
        """Adds an event of the codec to the request; returns whether the request is whole.

        Raises:
            BadRequestError: It is not read any further.
        """
        if isinstance(event, h11.Request):
            self.request = event
            self.body = bytearray()
            _check_head(event)
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > BODY_LIMIT:
                raise BadRequestError(CONTENT_TOO_LARGE, "the body is too long")
        return isinstance(event, h11.EndOfMessage)

    def can_go_on(self) -> bool:
        """Whether another request may follow the one that was answered."""
        if self.is_usual():
            return True
        return self.codec.our_state is not h11.MUST_CLOSE and self.codec.their_state is h11.DONE

    def begin_next(self) -> None:
        """The request has been answered."""
        if not self.is_usual():
            self.codec.start_next_cycle()
        self.request = None
        self.raw = bytearray(self.codec.trailing_data[0])


def _check_head(request: h11.Request) -> None:
    # The codec bounds only a head that is still coming, not one that came at once.
    if len(request.target) + sum(len(k) + len(v) for k, v in request.headers) > HEADER_LIMIT:
        raise BadRequestError(HEAD_TOO_LARGE, "the head is too long")
    length = header(request.headers, b"content-length")
    # Two lengths may hide a second request in the body: nothing behind such a head is believed.
    if length and header(request.headers, b"transfer-encoding"):
        raise BadRequestError(BAD_REQUEST, "both Content-Length and Transfer-Encoding")
    if length and int(length) > BODY_LIMIT:
        raise BadRequestError(CONTENT_TOO_LARGE, "the body is too long")
