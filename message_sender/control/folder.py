"""The state folder of a control node besides its log: identity, epoch, starts of others, mark of a learner.

Rules:

- `identity.json` is written last by `initialise`; a folder without it belongs to a learner.
- A file that was replaced is durable under its name once its write returns: an epoch that others heard of and
  that a power loss takes back would look like an old disk.
- The mark of a learner is durable before the epoch by which the node learned that its disk is old: a start
  in between hears of it again.
"""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

import msgspec

from message_sender.control.channel import KnownStart
from message_sender.control.log_file import LogFile
from message_sender.files import replace_json
from message_sender.journal.disk import Disk

IDENTITY_FILE = "identity.json"
EPOCH_FILE = "epoch.json"
STARTS_FILE = "starts.json"
LEARNER_FILE = "learner.json"

Content = TypeVar("Content")


class FolderError(OSError):
    """A state folder that cannot be used as it is; the text says why."""


class Identity(msgspec.Struct, frozen=True):
    """Whose folder this is. `created`: when, for people, in UTC."""

    cluster: str
    name: str
    created: str


class StateFolder:
    """Files that are replaced whole. Each write raises OSError where it can't be made durable."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def initialise(self, identity: Identity, disk: Disk) -> None:
        """Makes the folder one of a node that never voted. Raises FolderError for a folder that was used."""
        self.path.mkdir(parents=True, exist_ok=True)
        used = sorted(each.name for each in self.path.iterdir())
        if used:
            raise FolderError(f"{self.path}: is no empty folder; it holds {', '.join(used[:8])}")
        LogFile(self.path, disk).create()
        self._replace(IDENTITY_FILE, msgspec.to_builtins(identity))

    def identity(self) -> Identity | None:
        """None where the folder was not initialised, or its file does not read."""
        return self._read(IDENTITY_FILE, Identity)

    def read_epoch(self) -> int:
        """That of the latest start; 0 where none is known."""
        return max(self._read(EPOCH_FILE, int) or 0, 0)

    def write_epoch(self, epoch: int) -> None:
        self._replace(EPOCH_FILE, epoch)

    def read_starts(self) -> dict[str, KnownStart]:
        """The latest starts of the other nodes that were heard of."""
        pairs = self._read(STARTS_FILE, dict[str, tuple[int, int]]) or {}
        return {name: KnownStart(epoch, session) for name, (epoch, session) in pairs.items()}

    def write_starts(self, starts: Mapping[str, KnownStart]) -> None:
        pairs = {name: (each.epoch, each.session) for name, each in starts.items()}
        self._replace(STARTS_FILE, pairs)

    def learner_reason(self) -> str:
        """Why this node is to stay a learner; empty if it is not."""
        if not (self.path / LEARNER_FILE).exists():
            return ""
        return self._read(LEARNER_FILE, str) or "it was marked as a learner"

    def mark_learner(self, reason: str) -> None:
        self._replace(LEARNER_FILE, reason)

    def _replace(self, name: str, told: object) -> None:
        replace_json(self.path / name, told, sync=True)
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _read(self, name: str, kind: type[Content]) -> Content | None:
        try:
            return msgspec.json.decode((self.path / name).read_bytes(), type=kind)
        except (OSError, msgspec.MsgspecError, ValueError):
            return None
