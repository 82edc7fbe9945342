"""Overrides on disk: a file that is replaced atomically, and an audit log of the changes.

The file is one JSON object: `version` 1, `last` (the number of the newest override ever set) and `overrides`.
A file that cannot be read is renamed, and the sender starts without overrides: an unreadable override must
not keep an endpoint out of service permanently.
"""

import json
import logging
import os
from pathlib import Path
from typing import Any

from message_sender.discovery.overrides import Override, OverrideBook
from message_sender.files import replace_json

VERSION = 1
OVERRIDES_FILE = "overrides.json"
LOG_FILE = "overrides.log"
DAMAGED_FILE = "overrides.damaged"
MAX_LOG_BYTES = 1_000_000  # above this size the log is renamed to .1, replacing an earlier .1

log = logging.getLogger(__name__)


class OverrideStore:
    """Reads and writes the override file and the audit log in one folder."""

    def __init__(self, folder: Path) -> None:
        """Uses the files in `folder`; neither they nor the folder need to exist."""
        self.folder = folder

    def load(self) -> OverrideBook:
        """Returns the saved overrides, including ended ones; empty if they cannot be read."""
        path = self.folder / OVERRIDES_FILE
        try:
            stored = json.loads(path.read_text())
            if stored["version"] != VERSION:
                raise ValueError(f"version: expected {VERSION}, got {stored['version']!r}")
            overrides = [Override.from_json(each) for each in stored["overrides"]]
            return OverrideBook(overrides, int(stored["last"]))
        except FileNotFoundError:
            return OverrideBook()
        except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            log.error("overrides not loaded, none is active: reason=%s", error)
            self._rename_damaged_file(path)
            return OverrideBook()

    def _rename_damaged_file(self, path: Path) -> None:
        damaged = self.folder / DAMAGED_FILE
        try:
            os.replace(path, damaged)
            log.error("damaged override file renamed: file=%s", damaged)
        except OSError as error:
            log.error("damaged override file not renamed: reason=%s", error)

    def save(self, book: OverrideBook) -> None:
        """Writes the overrides durably. Raises OSError on failure; the file is then unchanged."""
        overrides = [each.as_json() for each in book.overrides.values()]
        stored = {"version": VERSION, "last": book.last_number, "overrides": overrides}
        replace_json(self.folder / OVERRIDES_FILE, stored, sync=True)

    def record(self, at: int, who: str, action: str, override: Override, why: str = "") -> None:
        """Appends a line to the audit log; if that fails, the line is only logged.

        Args:
            at: Time of the change in microseconds since the epoch.
            who: The author of the change.
            action: `set`, `ended`, `extended` or `expired`.
            override: The changed override.
            why: The stated reason; may be empty.
        """
        line: dict[str, Any] = {"at": at / 1e6, "who": who, "did": action, "override": override.as_json()}
        if why:
            line["why"] = why
        path = self.folder / LOG_FILE
        try:
            if path.exists() and path.stat().st_size > MAX_LOG_BYTES:
                os.replace(path, self.folder / (LOG_FILE + ".1"))
            with path.open("a") as log_file:
                log_file.write(json.dumps(line) + "\n")
        except OSError as error:
            log.error("override audit record not written: record=%s reason=%s", line, error)
