"""The configuration as a versioned set of resources, and the deltas that change it. No I/O.

Rules:

- A delta is applied completely or not at all, and only to the version it was made from.
- The digest is the exclusive or of one hash per resource, so the cost of a change depends on its own size
  alone. A delta carries the digest of its result, so that a document that differs from the leader's is
  detected immediately.
- Versions only rise. A delta from a version to itself repairs a document whose content differs from the
  content that other nodes have at the same version; only a snapshot leads to such a delta.
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from message_sender.control.messages import Delta, Resource


class DeltaMismatchError(ValueError):
    """A delta that does not fit the document; the text gives the reason."""


class SnapshotError(ValueError):
    """Bytes that are not a valid snapshot; the text gives the reason."""


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """A complete document as it is stored and sent."""

    version: int
    digest: int
    resources: tuple[Resource, ...]


def compute_digest(name: str, value: bytes) -> int:
    """Returns the 64-bit digest of one resource (XXH3)."""
    return xxhash.xxh3_64_intdigest(name.encode() + b"\0" + value)


class Document:
    """The resources of one version, by name; version 0 is the empty document."""

    def __init__(self, version: int = 0, resources: Mapping[str, bytes] | None = None) -> None:
        """Creates a document from a copy of `resources`."""
        self.version = version
        self.resources: dict[str, bytes] = dict(resources or {})
        self.digest = 0
        for name, value in self.resources.items():
            self.digest ^= compute_digest(name, value)

    def digest_after(self, put: Iterable[Resource], delete: Iterable[str]) -> int:
        """Returns the digest of the document after these changes.

        Raises:
            DeltaMismatchError: If a name is changed twice, or a name to delete does not exist.
        """
        digest = self.digest
        seen: set[str] = set()
        for name in delete:
            if name in seen or name not in self.resources:
                raise DeltaMismatchError(f"{name}: cannot be deleted, because it does not exist")
            seen.add(name)
            digest ^= compute_digest(name, self.resources[name])
        for resource in put:
            if resource.name in seen:
                raise DeltaMismatchError(f"{resource.name}: is changed twice")
            seen.add(resource.name)
            old = self.resources.get(resource.name)
            if old is not None:
                digest ^= compute_digest(resource.name, old)
            digest ^= compute_digest(resource.name, resource.value)
        return digest

    def check(self, delta: Delta) -> None:
        """Checks that `delta` starts at this document and that its result has the delta's digest.

        Raises:
            DeltaMismatchError: If it does not.
        """
        if delta.from_version != self.version:
            raise DeltaMismatchError(
                f"expected a delta from version {self.version}, got one from version {delta.from_version}"
            )
        is_repair = delta.to_version == delta.from_version and delta.digest != self.digest
        if delta.to_version <= delta.from_version and not is_repair:
            raise DeltaMismatchError(
                f"expected a delta to a version above {delta.from_version}, got one to {delta.to_version}"
            )
        if self.digest_after(delta.put, delta.delete) != delta.digest:
            raise DeltaMismatchError(f"version {delta.to_version} would differ from the leader's")

    def apply(self, delta: Delta) -> None:
        """Changes the document to the version that `delta` leads to.

        Raises:
            DeltaMismatchError: If the delta does not fit. Nothing was changed.
        """
        self.check(delta)
        for name in delta.delete:
            del self.resources[name]
        for resource in delta.put:
            self.resources[resource.name] = resource.value
        self.version = delta.to_version
        self.digest = delta.digest


def encode_snapshot(document: Document) -> bytes:
    """Returns the encoded snapshot of `document`, with the resources in the order of their names."""
    resources = tuple(Resource(name, document.resources[name]) for name in sorted(document.resources))
    return msgspec.msgpack.encode(Snapshot(document.version, document.digest, resources))


def decode_snapshot(data: bytes) -> Document:
    """Decodes an encoded snapshot.

    Raises:
        SnapshotError: If the bytes do not decode, or the content does not match the digest in them.
    """
    try:
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise SnapshotError(
            f"expected an encoded snapshot, got {len(data)} bytes that do not decode: {error}"
        ) from None
    document = Document(snapshot.version, {resource.name: resource.value for resource in snapshot.resources})
    if document.digest != snapshot.digest or len(document.resources) != len(snapshot.resources):
        raise SnapshotError(f"version {snapshot.version}: the content does not match its digest")
    return document
