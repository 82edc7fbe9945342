"""Shared by the tests of watch and fan-out: a recording applier, and a store with a simple log."""

from collections.abc import Mapping

from message_sender.control.document import Document
from message_sender.control.messages import Change, ChangeResult, Delta, LogEntry, Resource
from message_sender.control.store import ConfigurationStore, encode_change
from message_sender.control.watch import RefusedConfigurationError

BAD = b"bad"  # a value that every sender refuses


class RecordingApplier:
    """Activates a version completely or not at all, keeps a stored copy, and records each version."""

    def __init__(self, stored: Document | None = None) -> None:
        self.stored = stored or Document()
        self.active_resources = dict(self.stored.resources)
        self.steps: list[tuple[int, int]] = []
        self.attempts: list[int] = []
        self.is_disk_full = False

    def apply(self, document: Document, delta: Delta) -> None:
        self.attempts.append(delta.to_version)
        self.check(delta)
        if self.is_disk_full:
            raise OSError("no space left on device")
        stored = Document(document.version, document.resources)
        stored.apply(delta)
        self.stored = stored
        for resource in delta.put:
            self.active_resources[resource.name] = resource.value
        for name in delta.delete:
            self.active_resources.pop(name, None)
        self.steps.append((delta.from_version, delta.to_version))

    def check(self, delta: Delta) -> None:
        bad = [resource.name for resource in delta.put if resource.value == BAD]
        if bad:
            raise RefusedConfigurationError(f"cannot be put in force: {', '.join(bad)}")


class ChangedStore(ConfigurationStore):
    """A store that makes and applies its own log entries."""

    index = 0

    def change(
        self, put: Mapping[str, bytes] | None = None, delete: tuple[str, ...] = (), **more: bytes
    ) -> ChangeResult:
        """Makes and applies the change to the next version."""
        self.index += 1
        values = {**(put or {}), **more}
        puts = tuple(Resource(name, value) for name, value in values.items())
        change = Change(f"request-{self.index}", self.document.version, puts, delete)
        result = self.apply(LogEntry(self.index, 1, encode_change(change)))
        assert result is not None and result.version == self.document.version
        return result


def copy_of(document: Document) -> Document:
    return Document(document.version, document.resources)
