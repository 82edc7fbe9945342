"""The configuration as a versioned set of resources, and what changes it. Pure.

Rules:

- A document changes by a whole delta or not at all; a delta applies only to the version it was made from.
- The digest is the exclusive or of one hash a resource: the cost of a change depends on the change alone.
  A delta carries the digest that it leads to, so that a document which would differ is noticed at once.
- Versions only rise. A delta from a version to itself is for a document whose content differs from what its
  version has elsewhere: it mends the content, and is made from a snapshot alone.
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from message_sender.control.messages import Delta, Resource


class DeltaMismatchError(ValueError):
    """A delta that does not fit the document; the text says why."""


class SnapshotError(ValueError):
    """Bytes that are no snapshot; the text says why."""


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """A whole document in the form in which it is stored and sent."""

    version: int
    digest: int
    resources: tuple[Resource, ...]


def compute_digest(name: str, value: bytes) -> int:
    """64 bits for one resource (XXH3)."""
    return xxhash.xxh3_64_intdigest(name.encode() + b"\0" + value)


class Document:
    """Resources by name at one version; version 0 is the empty document."""

    def __init__(self, version: int = 0, resources: Mapping[str, bytes] | None = None) -> None:
        self.version = version
        self.resources: dict[str, bytes] = dict(resources or {})
        self.digest = 0
        for name, value in self.resources.items():
            self.digest ^= compute_digest(name, value)

    def digest_after(self, put: Iterable[Resource], delete: Iterable[str]) -> int:
        """The digest that these changes lead to. A name may be put or deleted once; deleting needs it there.

        Raises DeltaMismatchError.
        """
        digest = self.digest
        seen: set[str] = set()
        for name in delete:
            if name in seen or name not in self.resources:
                raise DeltaMismatchError(f"{name}: cannot be deleted, it is not there")
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
        """Raises DeltaMismatchError where `delta` does not lead from this document to its own digest."""
        if delta.from_version != self.version:
            raise DeltaMismatchError(f"a delta from version {delta.from_version}, and {self.version} is here")
        is_mending = delta.to_version == delta.from_version and delta.digest != self.digest
        if delta.to_version <= delta.from_version and not is_mending:
            raise DeltaMismatchError(f"a delta from version {delta.from_version} to {delta.to_version}")
        if self.digest_after(delta.put, delta.delete) != delta.digest:
            raise DeltaMismatchError(f"version {delta.to_version} would differ from the leader's")

    def apply(self, delta: Delta) -> None:
        """Changes to the delta's version, whole. Raises DeltaMismatchError, and changes nothing then."""
        self.check(delta)
        for name in delta.delete:
            del self.resources[name]
        for resource in delta.put:
            self.resources[resource.name] = resource.value
        self.version = delta.to_version
        self.digest = delta.digest


def encode_snapshot(document: Document) -> bytes:
    """The whole document, resources in order of their names."""
    resources = tuple(Resource(name, document.resources[name]) for name in sorted(document.resources))
    return msgspec.msgpack.encode(Snapshot(document.version, document.digest, resources))


def decode_snapshot(data: bytes) -> Document:
    """Raises SnapshotError, also where the content does not have the digest that it names."""
    try:
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise SnapshotError(f"no snapshot: {error}") from None
    document = Document(snapshot.version, {each.name: each.value for each in snapshot.resources})
    if document.digest != snapshot.digest or len(document.resources) != len(snapshot.resources):
        raise SnapshotError(f"version {snapshot.version}: the content differs from its digest")
    return document
