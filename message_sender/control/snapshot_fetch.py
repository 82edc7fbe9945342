"""Fetches a snapshot chunk by chunk: tracks the chunks that arrived and the next request. No I/O.

Rules:

- A request names an offset; the node sends a window of `SNAPSHOT_WINDOW_CHUNKS` chunks from that offset on.
  The next window is requested when the window is complete, so that at most one window is in flight or out of
  order.
- Chunks may arrive in any order, duplicated or not at all. A chunk outside the window or with another total
  length is dropped. A repeated request begins at the first missing byte.
- All chunks are of one version. Their bytes are the same at every node, so another node can continue a fetch.
- Memory is bounded by the bytes that arrived in order and one window out of order. A snapshot longer than
  `SNAPSHOT_BYTES_LIMIT` is not fetched.
- The snapshot is accepted only if it decodes, has the requested version, and its content matches its digest.
"""

from message_sender.control.document import Document, SnapshotError, decode_snapshot
from message_sender.control.messages import CHUNK_BYTES, Delta, Resource, SnapshotChunk, SnapshotRequest

SNAPSHOT_WINDOW_CHUNKS = 16  # chunks in flight
SNAPSHOT_BYTES_LIMIT = 64 * 1024 * 1024


class SnapshotFetch:
    """The fetch of one snapshot."""

    def __init__(self, version: int, digest: int | None = None) -> None:
        """Begins a fetch of the document at `version`, whose digest must be `digest` unless that is None."""
        self.version = version
        self.digest = digest
        self.total: int | None = None
        self._data = bytearray()
        self._out_of_order: dict[int, bytes] = {}
        self._window_end = SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES

    def request(self) -> SnapshotRequest:
        """Returns the request for the window that begins at the first missing byte."""
        self._window_end = len(self._data) + SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES
        return SnapshotRequest(self.version, len(self._data))

    def add(self, chunk: SnapshotChunk) -> bool:
        """Adds a chunk of this version; returns False if it was dropped."""
        if not self._is_acceptable(chunk):
            return False
        self.total = chunk.total
        self._out_of_order[chunk.offset] = chunk.data
        while (data := self._out_of_order.pop(len(self._data), None)) is not None:
            self._data += data
        return True

    @property
    def is_complete(self) -> bool:
        """Whether every byte has arrived."""
        return self.total is not None and len(self._data) == self.total

    @property
    def is_window_complete(self) -> bool:
        """Whether all chunks of the requested window have arrived, so that the next one can be requested."""
        return len(self._data) >= self._window_end

    @property
    def buffered_bytes(self) -> int:
        """The number of snapshot bytes in memory."""
        return len(self._data) + sum(map(len, self._out_of_order.values()))

    def document(self) -> Document:
        """Returns the complete document.

        Raises:
            SnapshotError: If the snapshot is not valid, or has another version or digest than requested.
        """
        document = decode_snapshot(bytes(self._data))
        if document.version != self.version:
            raise SnapshotError(
                f"expected a snapshot of version {self.version}, got version {document.version}"
            )
        if self.digest is not None and document.digest != self.digest:
            raise SnapshotError(
                f"version {self.version}: expected snapshot digest {self.digest}, got {document.digest}"
            )
        return document

    def _is_acceptable(self, chunk: SnapshotChunk) -> bool:
        if self.total not in (None, chunk.total) or chunk.total > SNAPSHOT_BYTES_LIMIT:
            return False
        end = chunk.offset + len(chunk.data)
        if end > chunk.total or chunk.offset % CHUNK_BYTES:
            return False
        if len(chunk.data) != CHUNK_BYTES and end != chunk.total:
            return False
        is_new = chunk.offset >= len(self._data) and chunk.offset not in self._out_of_order
        return is_new and chunk.offset < self._window_end


def compute_delta(current: Document, target: Document) -> Delta:
    """Returns the delta that leads from the document `current` to `target`."""
    put = tuple(
        Resource(name, value)
        for name, value in sorted(target.resources.items())
        if current.resources.get(name) != value
    )
    delete = tuple(name for name in sorted(current.resources) if name not in target.resources)
    return Delta(current.version, target.version, put, delete, target.digest)
