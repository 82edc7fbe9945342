"""Decodes a body in the chunked transfer coding (RFC 9112, section 7.1) as it arrives. No I/O.

The content is kept, the framing is dropped: what a request holds is bounded by its content, whatever the
sizes and the extensions of its chunks are.

Rules:

1. A chunk is a line with its size in hexadecimal digits and optional extensions, the content, and CRLF. The
   grammar of the line is that of h11, which reads the chunks of responses.
2. The content is limited to `BODY_LIMIT`, a line and the trailer section to `HEADER_LIMIT` each, and the
   framing of the whole body to `FRAMING_LIMIT`. A size that exceeds the limit is rejected before its content
   arrives.
3. One call decodes a limited number of chunks, so that a body of tiny chunks does not delay others. A run of
   small chunks that all have the same size line counts as one: it is decoded in a few slices.
4. The trailer section is left to the caller.
"""

import re
from enum import Enum

from message_sender.http.common import BODY_LIMIT, HEADER_LIMIT
from message_sender.http.request_parsing import BadRequestError

BAD_REQUEST, CONTENT_TOO_LARGE = 400, 413

FRAMING_LIMIT = 64 * BODY_LIMIT  # bytes: a body in chunks of one byte may have 59 bytes of extensions in each
MAX_RUN_CHUNK_BYTES = 16  # larger chunks gain nothing from being decoded as a run
MAX_RUN_LINE_BYTES = 32
MAX_RUN_CHUNKS = 256
CRLF = b"\r\n"
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\n]*)?[ \t]*\r\n")


class ChunkState(Enum):
    """What the decoder expects next."""

    SIZE_LINE = "the size line of a chunk"
    CONTENT = "the content of a chunk"
    CONTENT_END = "the CRLF behind the content of a chunk"
    TRAILERS = "the trailer section"


def leading_count(column: bytearray, byte: int) -> int:
    """Returns how many bytes at the beginning of `column` are `byte`."""
    return len(column) - len(column.lstrip(bytes((byte,))))


class ChunkedDecoder:
    """Decodes one body.

    Attributes:
        state: What is expected next.
        remaining: Bytes of the current chunk's content that have not arrived yet.
        framing_bytes: Bytes of framing decoded so far.
    """

    def __init__(self) -> None:
        """Creates a decoder that expects the first chunk."""
        self.state = ChunkState.SIZE_LINE
        self.remaining = 0
        self.framing_bytes = 0

    def decode(self, data: bytearray, content: bytearray, max_chunks: int) -> bool:
        """Moves the content of chunks from the beginning of `data` to the end of `content`.

        Args:
            data: Received bytes; those that were decoded are removed.
            content: The content decoded so far.
            max_chunks: The number of chunks after which decoding stops.

        Returns:
            Whether more can be decoded from `data` at once.

        Raises:
            BadRequestError: The framing is invalid, or a limit is exceeded.
        """
        position = 0
        for _ in range(max_chunks):
            used = self._decode_whole_chunk(data, position, content)
            used = used or self._decode_part(data, position, content)
            position += used
            if not used or self.state is ChunkState.TRAILERS:
                break
        is_unfinished = bool(used) and self.state is not ChunkState.TRAILERS
        del data[:position]
        return is_unfinished

    def _decode_whole_chunk(self, data: bytearray, position: int, content: bytearray) -> int:
        """Decodes a chunk that is there from its size line to its end, or a run of such chunks.

        Returns:
            The number of bytes decoded; 0 if there is no such chunk.
        """
        if self.state is not ChunkState.SIZE_LINE or not (match := SIZE_LINE.match(data, position)):
            return 0
        size, start = int(match[1], 16), match.end()
        end = start + size
        if not size or start - position > HEADER_LIMIT or data[end : end + len(CRLF)] != CRLF:
            return 0
        self._check_size(len(content) + size)
        self._count_framing(start - position)
        if (
            size <= MAX_RUN_CHUNK_BYTES
            and len(match[0]) <= MAX_RUN_LINE_BYTES
            and data.startswith(match[0], end + len(CRLF))
        ):
            return self._decode_run(data, position, match[0], size, content)
        content += data[start:end]
        return end + len(CRLF) - position

    def _decode_part(self, data: bytearray, position: int, content: bytearray) -> int:
        """Decodes what is there of a chunk; returns the number of bytes decoded."""
        start = position
        if self.state is ChunkState.SIZE_LINE:
            position += self._size_line(data, position, len(content))
        if self.state is ChunkState.CONTENT:
            part = data[position : position + self.remaining]
            content += part
            position += len(part)
            self.remaining -= len(part)
            if not self.remaining:
                self.state = ChunkState.CONTENT_END
        if self.state is ChunkState.CONTENT_END:
            position += self._content_end(data, position)
        return position - start

    def _size_line(self, data: bytearray, position: int, content_bytes: int) -> int:
        """Reads a size line if it is complete; returns the number of bytes read."""
        end = data.find(CRLF, position)
        length = (end if end >= 0 else len(data)) - position
        if length > HEADER_LIMIT:
            raise BadRequestError(CONTENT_TOO_LARGE, "the line of a chunk is too long")
        if end < 0:
            return 0
        line = data[position : end + len(CRLF)]
        if not (match := SIZE_LINE.fullmatch(line)):
            raise BadRequestError(BAD_REQUEST, "the line of a chunk is not valid")
        self._count_framing(len(line))
        self.remaining = int(match[1], 16)
        self._check_size(content_bytes + self.remaining)
        self.state = ChunkState.CONTENT if self.remaining else ChunkState.TRAILERS
        return len(line)

    def _count_framing(self, size: int) -> None:
        self.framing_bytes += size
        if self.framing_bytes > FRAMING_LIMIT:
            raise BadRequestError(CONTENT_TOO_LARGE, "the body has too much framing")

    def _check_size(self, size: int) -> None:
        if size > BODY_LIMIT:
            raise BadRequestError(CONTENT_TOO_LARGE, "the body is too long")

    def _decode_run(self, data: bytearray, position: int, line: bytes, size: int, content: bytearray) -> int:
        """Decodes a whole chunk and those behind it that begin with the same size line.

        The bytes at one offset of all these chunks are compared, and copied, as one slice.

        Args:
            data: Received bytes.
            position: The beginning of the first chunk.
            line: Its size line.
            size: The size that the line announces.
            content: The content decoded so far.

        Returns:
            The number of bytes decoded.
        """
        length = len(line) + size + len(CRLF)
        fitting = min((len(data) - position) // length, (BODY_LIMIT - len(content)) // size)
        count = min(fitting, MAX_RUN_CHUNKS)
        for offset, byte in [*enumerate(line), *enumerate(CRLF, len(line) + size)]:
            column = data[position + offset : position + count * length : length]
            count = leading_count(column, byte)
        decoded = bytearray(count * size)
        end = position + count * length
        for offset in range(size):
            decoded[offset::size] = data[position + len(line) + offset : end : length]
        content += decoded
        self._count_framing((count - 1) * len(line))
        return count * length

    def _content_end(self, data: bytearray, position: int) -> int:
        """Reads the CRLF behind a chunk's content if it is complete; returns the number of bytes read."""
        end = data[position : position + len(CRLF)]
        if not CRLF.startswith(end):
            raise BadRequestError(BAD_REQUEST, "the content of a chunk is longer than its size")
        if len(end) < len(CRLF):
            return 0
        self.state = ChunkState.SIZE_LINE
        return len(CRLF)

    def encode_decoded(self, content: bytearray) -> bytes:
        """Returns the decoded part of the body, chunked anew, as another process may receive it.

        The bytes that were not decoded yet have to follow it.

        Args:
            content: The content decoded so far.
        """
        encoded = b"%x\r\n%b" % (len(content), bytes(content)) if content else b""
        if content and self.state is not ChunkState.CONTENT_END:
            encoded += CRLF
        if self.state is ChunkState.CONTENT:
            encoded += b"%x\r\n" % self.remaining
        elif self.state is ChunkState.TRAILERS:
            encoded += b"0\r\n"
        return encoded
