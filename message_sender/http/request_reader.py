"""Parses one request at a time from the bytes of a client connection. No I/O.

Received bytes stay in one buffer until they are parsed. The head goes to h11 once it is complete, and the
body is decoded as it arrives. h11 is informed of the end of the body, because its state machine decides
whether the connection can be used again, but never buffers anything. What a request holds is therefore
bounded by the limits of its head and its content, and by the bytes that were received but not parsed.
"""

import re
from enum import Enum

import h11

from message_sender.core.read_turns import TURN_UNITS
from message_sender.http import fast_path
from message_sender.http.chunked_body import ChunkedDecoder, ChunkState
from message_sender.http.common import BODY_LIMIT, HEADER_LIMIT, header
from message_sender.http.request_parsing import BadRequestError, HttpRequest

CONTENT_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
BAD_REQUEST = 400

#: Lines of a head or of a trailer section. A parsed field takes far more memory than a short line.
LINES_LIMIT = 128
FIELD_BYTES = 64  # that a parsed field is counted with, beside its bytes on the wire
SECTION_END = re.compile(rb"\n\r?\n")
EMPTY_LINES = (b"\n", b"\r\n")


class ReadResult(Enum):
    """The result of parsing what has been received."""

    COMPLETE = "the current request is complete"
    UNFINISHED = "more can be parsed from the received bytes"
    NEED_DATA = "more bytes are needed"


class RequestReader:
    """Parses common requests on the fast path and all others with h11.

    Attributes:
        codec: The h11 state machine of the connection. Its buffer is empty between calls.
        request: The head of the current request; None if there is none.
        body: The part of its body received so far.
        received: Bytes that were not parsed yet.
        raw_head: The bytes of the current request's head.
        fields_bytes: The bytes that its parsed fields are counted with.
        is_untried: The received bytes may be one common request; the fast path was not tried on them.
        searched: Number of received bytes in which the end of the head, or of the trailers, was not found.
        chunks: Decodes the body; None if it is not chunked.
        content_length: The length of a body that is not chunked, in bytes.
    """

    def __init__(self) -> None:
        """Creates a reader that expects the first request."""
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)
        self.request: HttpRequest | None = None
        self.body = bytearray()
        self.received = bytearray()
        self.raw_head = b""
        self.fields_bytes = 0
        self.is_untried = True
        self.searched = 0
        self.chunks: ChunkedDecoder | None = None
        self.content_length = 0

    def receive(self, data: memoryview) -> None:
        """Appends bytes received from the client."""
        self.received += data

    def has_unread(self) -> bool:
        """Whether bytes have been received that were not parsed yet."""
        return bool(self.received)

    def looks_complete(self) -> bool:
        """Whether the received bytes seem to be a complete request."""
        return fast_path.looks_complete(self.received)

    def has_begun(self) -> bool:
        """Whether a part of the current request has been parsed."""
        return self.request is not None

    def is_fast(self) -> bool:
        """Whether the current request was parsed on the fast path, without the codec."""
        return isinstance(self.request, fast_path.FastRequest)

    def is_awaited(self) -> bool:
        """Whether the client waits for an interim response before it sends the body."""
        is_body_missing = not self.body and not self.received
        return is_body_missing and self.codec.they_are_waiting_for_100_continue

    def held_bytes(self) -> int:
        """Returns how many received bytes are held."""
        return len(self.received) + len(self.raw_head) + self.fields_bytes + len(self.body)

    def parse(self) -> ReadResult:
        """Parses received bytes, up to the end of the current request and for a limited time.

        Raises:
            BadRequestError: The request exceeds a limit or has ambiguous framing. It is not read further.
            h11.RemoteProtocolError: The request is not valid HTTP. It is not read further.
        """
        if self.request is None:
            if self._take_fast_request():
                return ReadResult.COMPLETE
            if not self._take_head():
                return ReadResult.NEED_DATA
        if self.chunks:
            return self._take_chunks(self.chunks)
        self._take_content()
        if len(self.body) < self.content_length:
            return ReadResult.NEED_DATA
        self._finish_in_codec(bytes(self.body))
        return ReadResult.COMPLETE

    def _take_fast_request(self) -> bool:
        """Parses the received bytes on the fast path; False unless they are one complete request."""
        if not self.is_untried:
            return False
        self.is_untried = False
        request = fast_path.request(bytes(self.received), BODY_LIMIT)
        if not request or len(request.headers) > LINES_LIMIT:
            return False
        self.request = request
        self.body = bytearray(request.body)
        self.received = bytearray()
        return True

    def _take_head(self) -> bool:
        """Passes a complete head to the codec; False if more bytes are needed."""
        end = self._section_end(HEAD_TOO_LARGE, "the head is too long")
        if not end:
            if self.received and self.received[0] <= ord(" "):
                self._pass_to_codec(bytes(self.received))  # raises, without waiting for the rest
            return False
        raw_head = bytes(self.received[:end])
        del self.received[:end]
        request = self._pass_to_codec(raw_head)
        assert isinstance(request, h11.Request)
        self.request = request
        self.raw_head = raw_head
        self.fields_bytes = len(request.headers) * FIELD_BYTES
        self._check_length(request)
        if header(request.headers, b"transfer-encoding"):
            self.chunks = ChunkedDecoder()
        else:
            self.content_length = int(header(request.headers, b"content-length") or 0)
        return True

    def _section_end(self, status: int, text: str) -> int:
        """Returns the end of the received head or trailer section, behind its empty line; 0 if incomplete.

        Args:
            status: The status of the response to a section that exceeds a limit.
            text: The text of that response.
        """
        if self.received.startswith(EMPTY_LINES):
            return self.received.index(b"\n") + 1
        match = SECTION_END.search(self.received, max(self.searched - len(b"\n\r"), 0), HEADER_LIMIT)
        size = match.end() if match else len(self.received)
        if size > HEADER_LIMIT or self.received.count(b"\n", 0, size) > LINES_LIMIT:
            raise BadRequestError(status, text)
        self.searched = 0 if match else size
        return match.end() if match else 0

    def _pass_to_codec(self, data: bytes) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        self.codec.receive_data(data)
        return self.codec.next_event()

    @staticmethod
    def _check_length(request: h11.Request) -> None:
        length = header(request.headers, b"content-length")
        # Two lengths may hide a second request in the body (request smuggling); nothing more is read.
        if length and header(request.headers, b"transfer-encoding"):
            raise BadRequestError(BAD_REQUEST, "both Content-Length and Transfer-Encoding")
        if length and int(length) > BODY_LIMIT:
            raise BadRequestError(CONTENT_TOO_LARGE, "the body is too long")

    def _take_content(self) -> None:
        missing = self.content_length - len(self.body)
        self.body += self.received[:missing]
        del self.received[:missing]

    def _take_chunks(self, chunks: ChunkedDecoder) -> ReadResult:
        if chunks.decode(self.received, self.body, TURN_UNITS):
            return ReadResult.UNFINISHED
        if chunks.state is not ChunkState.TRAILERS:
            return ReadResult.NEED_DATA
        end = self._section_end(HEAD_TOO_LARGE, "the trailer section is too long")
        if not end:
            return ReadResult.NEED_DATA
        trailers = bytes(self.received[:end])
        del self.received[:end]
        self._finish_in_codec(b"0\r\n" + trailers)
        return ReadResult.COMPLETE

    def _finish_in_codec(self, data: bytes) -> None:
        """Passes bytes to the codec that end the request there; raises if they are not valid."""
        if data:
            self.codec.receive_data(data)
        while not isinstance(self.codec.next_event(), h11.EndOfMessage):
            pass

    def release_body(self) -> bytes:
        """Returns the body of a complete request, which the reader no longer holds."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def can_reuse_connection(self) -> bool:
        """Whether another request may follow the answered one on this connection."""
        if self.is_fast():
            return True
        return self.codec.our_state is not h11.MUST_CLOSE and self.codec.their_state is h11.DONE

    def begin_next(self) -> None:
        """Prepares for the next request, after the current one has been answered."""
        if not self.is_fast():
            self.codec.start_next_cycle()
        self._forget_request()

    def discard(self) -> None:
        """Drops everything that was received; no request is read on this connection any more."""
        self.received = bytearray()
        self._forget_request()

    def _forget_request(self) -> None:
        self.request = None
        self.body = bytearray()
        self.raw_head = b""
        self.fields_bytes = 0
        self.is_untried = not self.received
        self.searched = 0
        self.chunks = None
        self.content_length = 0

    def unfinished_request(self) -> bytes:
        """Returns bytes from which another process can read the unfinished request and all that follows it.

        The decoded part of a chunked body is encoded anew, so that its size is bounded.
        """
        body = self.chunks.encode_decoded(self.body) if self.chunks else bytes(self.body)
        return self.raw_head + body + self.received
