"""The files in a control node's state folder except its log: identity, epoch, known starts, learner mark.

Rules:

- `identity.json` is written last by `initialise`; a folder without it belongs to a learner.
- A replaced file is durable under its name when the write returns: if a power loss reverted an epoch that was
  already sent, the disk would look old.
- The learner mark is durable before the epoch that showed the node that its disk is old: after a crash in
  between, the next start detects the old disk again.
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
LISTED_NAMES_LIMIT = 8  # names of files in an error message

Content = TypeVar("Content")


class FolderError(OSError):
    """A state folder cannot be used; the text gives the reason."""


class Identity(msgspec.Struct, frozen=True):
    """The node that owns a folder; `created` is its creation time in UTC, for operators only."""

    cluster: str
    name: str
    created: str


class StateFolder:
    """Reads the files of a state folder and replaces them atomically.

    Each method that writes raises OSError if the write cannot be made durable.
    """

    def __init__(self, path: Path) -> None:
        """Creates an accessor for the folder at `path`, which need not exist."""
        self.path = path

    def initialise(self, identity: Identity, disk: Disk) -> None:
        """Creates the state folder of a new node, which has never voted.

        Raises:
            FolderError: If the folder is not empty.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        names = sorted(entry.name for entry in self.path.iterdir())
        if names:
            shown = ", ".join(names[:LISTED_NAMES_LIMIT])
            raise FolderError(f"{self.path}: expected an empty folder, found {shown}")
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
        """Returns the reason why this node must stay a learner; empty if it is not marked as one."""
        if not (self.path / LEARNER_FILE).exists():
            return ""
        return self._read(LEARNER_FILE, str) or "it was marked as a learner"

    def mark_learner(self, reason: str) -> None:
        """Marks the node permanently as a learner."""
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
