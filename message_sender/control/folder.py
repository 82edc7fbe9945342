"""The state folder of a control node besides its log: identity, epoch, known starts, mark of a learner.

Rules:

- `identity.json` is written last by `initialise`; a folder without it belongs to a learner.
- A file that was replaced is durable under its name once its write returns: a power loss that reverted an
  epoch which was already sent would look like an old disk.
- The mark of a learner is durable before the epoch by which the node learned that its disk is old: after a
  crash in between, the next start learns it again.
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
LISTED_NAMES_LIMIT = 8  # in an error message

Content = TypeVar("Content")


class FolderError(OSError):
    """A state folder that cannot be used; the text gives the reason."""


class Identity(msgspec.Struct, frozen=True):
    """The owner of a folder; `created` is the time of its creation in UTC, for people."""

    cluster: str
    name: str
    created: str


class StateFolder:
    """Files that are replaced atomically. Each write raises OSError if it cannot be made durable."""

    def __init__(self, path: Path) -> None:
        """Creates an accessor; the folder need not exist."""
        self.path = path

    def initialise(self, identity: Identity, disk: Disk) -> None:
        """Creates the folder of a node that never voted.

        Raises:
            FolderError: If the folder is not empty.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        names = sorted(entry.name for entry in self.path.iterdir())
        if names:
            shown = ", ".join(names[:LISTED_NAMES_LIMIT])
            raise FolderError(f"{self.path}: is no empty folder; it holds {shown}")
        LogFile(self.path, disk).create()
        self._replace(IDENTITY_FILE, msgspec.to_builtins(identity))

    def identity(self) -> Identity | None:
        """Returns the folder's owner, or None if it was not initialised or the file cannot be read."""
        return self._read(IDENTITY_FILE, Identity)

    def read_epoch(self) -> int:
        """Returns the epoch of the latest start; 0 if none is known."""
        return max(self._read(EPOCH_FILE, int) or 0, 0)

    def write_epoch(self, epoch: int) -> None:
        """Stores the epoch of the latest start."""
        self._replace(EPOCH_FILE, epoch)

    def read_starts(self) -> dict[str, KnownStart]:
        """Returns the latest known starts of the other nodes."""
        pairs = self._read(STARTS_FILE, dict[str, tuple[int, int]]) or {}
        return {name: KnownStart(epoch, session) for name, (epoch, session) in pairs.items()}

    def write_starts(self, starts: Mapping[str, KnownStart]) -> None:
        """Stores the latest known starts of the other nodes."""
        pairs = {name: (start.epoch, start.session) for name, start in starts.items()}
        self._replace(STARTS_FILE, pairs)

    def learner_reason(self) -> str:
        """Returns why this node must stay a learner; empty if it need not."""
        if not (self.path / LEARNER_FILE).exists():
            return ""
        return self._read(LEARNER_FILE, str) or "it was marked as a learner"

    def mark_learner(self, reason: str) -> None:
        """Marks the node as a learner from now on."""
        self._replace(LEARNER_FILE, reason)

    def _replace(self, name: str, content: object) -> None:
        replace_json(self.path / name, content, sync=True)
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
