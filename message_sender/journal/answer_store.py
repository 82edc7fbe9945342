"""Final answers that nobody waited for, kept in a file until they are collected.

A host that was started again finds here how the messages of its earlier life ended. One JSON object a line:
`{"id", "state", "retry_after", "reply" (base64), "status"}` for an answer, `{"collected": id}` once it is
taken. Bounded: beyond `most` the oldest one goes, and is counted in `lost`.
"""

import base64
import json
import logging
import os
from pathlib import Path
from typing import Any

FILE, FRESH = "answers", "answers.new"

log = logging.getLogger(__name__)


class AnswerStore:
    def __init__(self, folder: Path, most: int = 4096) -> None:
        """Opens the file and reads it. Raises OSError where it cannot; a torn or damaged line is dropped."""
        self.folder, self.most, self.lost = folder, most, 0
        self.kept: dict[str, dict[str, Any]] = {}  # the oldest first
        self.lines = 0
        (folder / FRESH).unlink(missing_ok=True)
        self.file = os.open(folder / FILE, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        for line in (folder / FILE).read_bytes().split(b"\n"):
            self.read(line)
        self.rewrite()

    def read(self, line: bytes) -> None:
        if not line:
            return
        try:
            told = json.loads(line)
            if "collected" in told:
                self.kept.pop(told["collected"], None)
            else:
                self.kept[told["id"]] = told
        except (ValueError, KeyError, TypeError) as error:
            log.warning("answers: a line is dropped: %s", error)

    def close(self) -> None:
        os.close(self.file)

    def keep(self, name: str, state: str, retry_after: int, reply: bytes, status: str) -> None:
        """An answer, on file when this returns. A full disk loses it to a later process, not to this one."""
        body = base64.b64encode(reply).decode()
        told = {"id": name, "state": state, "retry_after": retry_after, "reply": body, "status": status}
        self.kept[name] = told
        self.append(told)
        if len(self.kept) > self.most:
            del self.kept[next(iter(self.kept))]
            self.lost += 1

    def collect(self, name: str) -> dict[str, Any] | None:
        """The answer of this message, once: it is marked as taken before it is given. None: there is none."""
        told = self.kept.pop(name, None)
        if told is None:
            return None
        self.append({"collected": name})
        if self.lines > 2 * self.most:
            self.rewrite()
        return told | {"reply": base64.b64decode(told["reply"])}

    def append(self, told: dict[str, Any]) -> None:
        try:
            os.write(self.file, json.dumps(told, separators=(",", ":")).encode() + b"\n")
            self.lines += 1
        except OSError as error:
            log.error("answers: not written: %s", error)

    def rewrite(self) -> None:
        """What was collected goes from the file, in one step."""
        path = self.folder / FRESH
        try:
            lines = [json.dumps(each, separators=(",", ":")) + "\n" for each in self.kept.values()]
            path.write_text("".join(lines))
            os.replace(path, self.folder / FILE)
            fresh = os.open(self.folder / FILE, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        except OSError as error:
            log.error("answers: not rewritten: %s", error)
            path.unlink(missing_ok=True)
            return
        os.close(self.file)
        self.file, self.lines = fresh, len(self.kept)
