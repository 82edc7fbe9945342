"""Overrides on disk: a file that is replaced in one step, and a log of who did what.

The file is one JSON object: `version` 1, `last` (the number of the last override ever set), `overrides`. What
cannot be read is put aside beside it, and the sender starts without: an override that nobody can read must
not hold an endpoint down for ever.
"""

import json
import logging
import os
from pathlib import Path
from typing import Any

from message_sender.discovery.overrides import Override, OverrideBook
from message_sender.files import replace_json

FILE, LOG, ASIDE = "overrides.json", "overrides.log", "overrides.damaged"
LOG_MOST = 1_000_000  # bytes; then the log goes to .1, and the one before that goes

log = logging.getLogger(__name__)


class OverrideStore:
    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def load(self) -> OverrideBook:
        """The book as it was saved, those that have ended meanwhile too. Never raises for what it finds."""
        path = self.folder / FILE
        try:
            told = json.loads(path.read_text())
            if told["version"] != 1:
                raise ValueError(f"version {told['version']!r} is not known")
            return OverrideBook([Override.from_json(each) for each in told["overrides"]], int(told["last"]))
        except FileNotFoundError:
            return OverrideBook()
        except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            log.error("the overrides cannot be read, and none is in force: %s", error)
            try:
                os.replace(path, self.folder / ASIDE)
                log.error("what was read is in %s", self.folder / ASIDE)
            except OSError as again:
                log.error("nor can they be put aside: %s", again)
            return OverrideBook()

    def save(self, book: OverrideBook) -> None:
        """The book on disk, new or as it was, whatever ends the process meanwhile. Raises OSError."""
        found = [each.as_json() for each in book.overrides.values()]
        told = {"version": 1, "last": book.last, "overrides": found}
        replace_json(self.folder / FILE, told, sync=True)

    def record(self, at: int, who: str, did: str, override: Override, why: str = "") -> None:
        """A line of the log. A disk that fails costs the line, not the sender."""
        told: dict[str, Any] = {"at": at / 1e6, "who": who, "did": did, "override": override.as_json()}
        if why:
            told["why"] = why
        path = self.folder / LOG
        try:
            if path.exists() and path.stat().st_size > LOG_MOST:
                os.replace(path, self.folder / (LOG + ".1"))
            with path.open("a") as out:
                out.write(json.dumps(told) + "\n")
        except OSError as error:
            log.error("not in the log of overrides: %s: %s", told, error)
