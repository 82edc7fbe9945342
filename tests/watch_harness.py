"""A watch whose time, messages and applier are controlled by the test."""

import random

from watch_helpers import ChangedStore, RecordingApplier, copy_of

from message_sender.control.document import Document, encode_snapshot
from message_sender.control.messages import (
    CHUNK_BYTES,
    Delta,
    Poll,
    Resource,
    SnapshotChunk,
    SnapshotRequest,
    VersionNotice,
    WatchMessage,
)
from message_sender.control.node_choice import ControlNodeAddress
from message_sender.control.snapshot_fetch import SNAPSHOT_WINDOW_CHUNKS
from message_sender.control.watch import Watch

NODES = tuple(
    ControlNodeAddress(name, ("127.0.0.1", 1), region)
    for name, region in (("c1", "north"), ("c2", "north"), ("c3", "south"), ("c4", "south"))
)


class WatchHarness:
    """A watch with a clock, messages and an applier that the test controls."""

    def __init__(self, document: Document | None = None, seed: int = 47) -> None:
        self.now = 1000.0
        self.applier = RecordingApplier(document)
        stored = copy_of(self.applier.stored)
        self.watch = Watch("s1", NODES, "north", stored, self.applier, random.Random(seed), self.now)
        self.sent: list[tuple[float, str, WatchMessage]] = []

    def run(
        self, seconds: float, answer: VersionNotice | None = None
    ) -> list[tuple[float, str, WatchMessage]]:
        """Ticks for `seconds`, answers each poll immediately with `answer`, and returns the sent messages."""
        begin = len(self.sent)
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.05, 6)
            self.watch.tick(self.now)
            for node, message in self.collect():
                if answer and isinstance(message, Poll):
                    self.watch.receive(node, answer, self.now)
            self.collect()
        return self.sent[begin:]

    def collect(self) -> list[tuple[str, WatchMessage]]:
        messages = self.watch.take_messages()
        self.sent += [(self.now, node, message) for node, message in messages]
        return messages

    def receive(self, message: WatchMessage, node: str = "") -> list[tuple[str, WatchMessage]]:
        """Delivers a message, and returns the messages that the watch sends immediately."""
        self.watch.receive(node or self.watch.node, message, self.now)
        return self.collect()

    def fetch_from(self, document: Document, node: str = "") -> None:
        """Serves the requested windows of a snapshot until there are no more requests."""
        data = encode_snapshot(document)
        requests = [message for _, message in self.watch.take_messages()] or [
            message for *_, message in self.sent[-1:]
        ]
        while requests and isinstance(requests[-1], SnapshotRequest):
            offset = requests[-1].offset
            requests = []
            for at in range(
                offset, min(len(data), offset + SNAPSHOT_WINDOW_CHUNKS * CHUNK_BYTES), CHUNK_BYTES
            ):
                chunk = SnapshotChunk(document.version, at, len(data), data[at : at + CHUNK_BYTES])
                requests += [message for _, message in self.receive(chunk, node)]


def documents(count: int) -> list[Document]:
    """Returns the documents of versions 0 to `count`; each version puts a resource."""
    store = ChangedStore()
    versions = [copy_of(store.document)]
    for number in range(count):
        store.change({f"r{number}": b"1", "shared": b"%d" % number})
        versions.append(copy_of(store.document))
    return versions


def delta_between(old: Document, new: Document) -> Delta:
    put = tuple(Resource(n, v) for n, v in sorted(new.resources.items()) if old.resources.get(n) != v)
    delete = tuple(name for name in old.resources if name not in new.resources)
    return Delta(old.version, new.version, put, delete, new.digest)


def notice_of(document: Document, needs_snapshot: bool = False, **times: int) -> VersionNotice:
    return VersionNotice(document.version, document.digest, needs_snapshot, **times)


def polls(sent: list[tuple[float, str, WatchMessage]]) -> list[tuple[float, str, Poll]]:
    return [(at, node, message) for at, node, message in sent if isinstance(message, Poll)]
