"""Overrides on disk: a file that is replaced in one step, and a log of who did what.

The file is one JSON object: `version` 1, `last` (the number of the newest override ever set) and `overrides`.
A file that cannot be read is put aside, and the sender starts without overrides: one that nobody can read
must not keep an endpoint out of service for ever.
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
MAX_LOG_BYTES = 1_000_000  # then the log is renamed to .1, which replaces the one before

log = logging.getLogger(__name__)


class OverrideStore:
    """Reads and writes the files in one folder."""

    def __init__(self, folder: Path) -> None:
        """Uses the files in that folder, which need not exist."""
        self.folder = folder

    def load(self) -> OverrideBook:
        """Returns the overrides as they were saved, ended ones included; empty if they cannot be read."""
        path = self.folder / OVERRIDES_FILE
        try:
            stored = json.loads(path.read_text())
            if stored["version"] != VERSION:
                raise ValueError(f"version {stored['version']!r} is not known")
            overrides = [Override.from_json(each) for each in stored["overrides"]]
            return OverrideBook(overrides, int(stored["last"]))
        except FileNotFoundError:
            return OverrideBook()
        except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            log.error("overrides not loaded, none is active: reason=%s", error)
            self._put_aside(path)
            return OverrideBook()

    def _put_aside(self, path: Path) -> None:
        aside = self.folder / DAMAGED_FILE
        try:
            os.replace(path, aside)
            log.error("damaged override file renamed: file=%s", aside)
        except OSError as error:
            log.error("damaged override file not renamed: reason=%s", error)

    def save(self, book: OverrideBook) -> None:
        """Writes the overrides durably. Raises OSError; then the file is as it was."""
        overrides = [each.as_json() for each in book.overrides.values()]
        stored = {"version": VERSION, "last": book.last_number, "overrides": overrides}
        replace_json(self.folder / OVERRIDES_FILE, stored, sync=True)

    def record(self, at: int, who: str, did: str, override: Override, why: str = "") -> None:
        """Appends a line to the log of overrides; a failing disk costs the line alone.

        Args:
            at: Time in microseconds since the epoch.
            who: Who did it.
            did: What was done: set, ended, extended or expired.
            override: To which override.
            why: The reason given; may be empty.
        """
        line: dict[str, Any] = {"at": at / 1e6, "who": who, "did": did, "override": override.as_json()}
        if why:
            line["why"] = why
        path = self.folder / LOG_FILE
        try:
            if path.exists() and path.stat().st_size > MAX_LOG_BYTES:
                os.replace(path, self.folder / (LOG_FILE + ".1"))
            with path.open("a") as out:
                out.write(json.dumps(line) + "\n")
        except OSError as error:
            log.error("override audit record not written: record=%s reason=%s", line, error)
