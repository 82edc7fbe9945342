"""Parses one request at a time from the bytes of a client connection."""

import h11

from message_sender.http import fast_path
from message_sender.http.common import BODY_LIMIT, HEADER_LIMIT, header
from message_sender.http.request_parsing import BadRequestError, HttpRequest

CONTENT_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
BAD_REQUEST = 400


class RequestReader:
    """Parses common requests on the fast path and all others with h11.

    Attributes:
        codec: The h11 state machine of the connection.
        request: The head of the current request; None if there is none.
        body: The part of its body received so far.
        pending: Bytes not passed to the codec that may be one request for the fast path.
        raw: Bytes passed to the codec that belong to a request not answered yet.
    """

    def __init__(self) -> None:
        """Creates a reader that expects the first request."""
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)
        self.request: HttpRequest | None = None
        self.body = bytearray()
        self.pending = b""
        self.raw = bytearray()

    def is_fresh(self) -> bool:
        """Whether no part of a request has been received."""
        return not (self.pending or self.request or self.codec.trailing_data[0])

    def has_unread(self) -> bool:
        """Whether the codec holds bytes of a further request."""
        return bool(self.codec.trailing_data[0])

    def is_fast(self) -> bool:
        """Whether the current request was parsed on the fast path, without the codec."""
        return isinstance(self.request, fast_path.FastRequest)

    def feed_codec(self, data: bytes = b"") -> None:
        """Passes the pending bytes to the codec, followed by `data`."""
        pending, self.pending = self.pending, b""
        for part in (pending, data):
            if part:
                self.raw += part
                self.codec.receive_data(part)

    def take_fast_request(self) -> bool:
        """Parses the pending bytes on the fast path; if that fails, passes them to the codec.

        Returns:
            Whether they were one complete request, which is then the current one.
        """
        if self.pending and (request := fast_path.request(self.pending, BODY_LIMIT)):
            self.request = request
            self.body = bytearray(request.body)
            self.pending = b""
            return True
        self.feed_codec()
        return False

    def take_event(self, event: h11.Event) -> bool:
        """Adds an event of the codec to the current request.

        Returns:
            Whether the request is complete.

        Raises:
            BadRequestError: The request exceeds a limit or has ambiguous framing. It is not read further.
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

    def can_reuse_connection(self) -> bool:
        """Whether another request may follow the answered one on this connection."""
        if self.is_fast():
            return True
        return self.codec.our_state is not h11.MUST_CLOSE and self.codec.their_state is h11.DONE

    def begin_next(self) -> None:
        """Prepares for the next request, after the current one has been answered."""
        if not self.is_fast():
            self.codec.start_next_cycle()
        self.request = None
        self.raw = bytearray(self.codec.trailing_data[0])


def _check_head(request: h11.Request) -> None:
    # The codec limits only a head that arrives in parts, not one that arrives at once.
    if len(request.target) + sum(len(k) + len(v) for k, v in request.headers) > HEADER_LIMIT:
        raise BadRequestError(HEAD_TOO_LARGE, "the head is too long")
    length = header(request.headers, b"content-length")
    # Two lengths may hide a second request in the body (request smuggling); nothing after this head is read.
    if length and header(request.headers, b"transfer-encoding"):
        raise BadRequestError(BAD_REQUEST, "both Content-Length and Transfer-Encoding")
    if length and int(length) > BODY_LIMIT:
        raise BadRequestError(CONTENT_TOO_LARGE, "the body is too long")
