"""Final answers that nobody waited for, kept in a file until they are collected.

A host that was started again finds here how the messages of its earlier run ended. One JSON object a line:
`{"id", "state", "retry_after", "reply" (base64), "status"}` for an answer, `{"collected": id}` once it is
taken. The number of answers is bounded: the oldest one is dropped and counted.
"""

import base64
import json
import logging
import os
from pathlib import Path
from typing import Any

ANSWERS_FILE = "answers"
NEW_ANSWERS_FILE = "answers.new"

log = logging.getLogger(__name__)

Answer = dict[str, Any]  # the JSON object of a line


def _encode_line(content: Answer) -> str:
    return json.dumps(content, separators=(",", ":")) + "\n"


class AnswerStore:
    """Answers by message id, with their file.

    Attributes:
        folder: The state folder.
        max_answers: Answers that are kept at most.
        answers: The oldest first.
        lost_answers: How many were dropped for want of room.
        line_count: Lines in the file.
    """

    def __init__(self, folder: Path, max_answers: int = 4096) -> None:
        """Opens the file and reads it; a torn or damaged line is dropped.

        Raises:
            OSError: The file cannot be opened or read.
        """
        self.folder = folder
        self.max_answers = max_answers
        self.answers: dict[str, Answer] = {}
        self.lost_answers = 0
        self.line_count = 0
        (folder / NEW_ANSWERS_FILE).unlink(missing_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.file = os.open(folder / ANSWERS_FILE, flags, 0o600)
        for line in (folder / ANSWERS_FILE).read_bytes().split(b"\n"):
            self.replay_line(line)
        self.rewrite()

    def replay_line(self, line: bytes) -> None:
        """Applies a line of the file."""
        if not line:
            return
        try:
            content = json.loads(line)
            if "collected" in content:
                self.answers.pop(content["collected"], None)
            else:
                self.answers[content["id"]] = content
        except (ValueError, KeyError, TypeError) as error:
            log.warning("answer dropped: reason=%s", error)

    def close(self) -> None:
        """Closes the file; to be called once."""
        os.close(self.file)

    def add(self, message_id: str, state: str, retry_after: int, reply: bytes, status: str) -> None:
        """Keeps an answer; it is in the file when this returns.

        On a full disk it is kept in memory alone, and lost to a later process.

        Args:
            message_id: The message that it answers.
            state: Its completion state.
            retry_after: us.
            reply: The body of the reply.
            status: The status of the call; "" where there is none.
        """
        body = base64.b64encode(reply).decode()
        answer = {
            "id": message_id,
            "state": state,
            "retry_after": retry_after,
            "reply": body,
            "status": status,
        }
        self.answers[message_id] = answer
        self.append(answer)
        if len(self.answers) > self.max_answers:
            del self.answers[next(iter(self.answers))]
            self.lost_answers += 1

    def collect(self, message_id: str) -> Answer | None:
        """Returns the answer of a message once, with its reply decoded; None: there is none.

        It is marked as collected before it is returned.
        """
        answer = self.answers.pop(message_id, None)
        if answer is None:
            return None
        self.append({"collected": message_id})
        if self.line_count > 2 * self.max_answers:
            self.rewrite()
        return answer | {"reply": base64.b64decode(answer["reply"])}

    def append(self, content: Answer) -> None:
        """Appends a line; one that cannot be written is logged."""
        try:
            os.write(self.file, _encode_line(content).encode())
            self.line_count += 1
        except OSError as error:
            log.error("answer not written: reason=%s", error)

    def rewrite(self) -> None:
        """Replaces the file in one step by one without what was collected."""
        new_path = self.folder / NEW_ANSWERS_FILE
        try:
            new_path.write_text("".join(_encode_line(answer) for answer in self.answers.values()))
            os.replace(new_path, self.folder / ANSWERS_FILE)
            new_file = os.open(self.folder / ANSWERS_FILE, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        except OSError as error:
            log.error("answers not compacted: reason=%s", error)
            new_path.unlink(missing_ok=True)
            return
        os.close(self.file)
        self.file = new_file
        self.line_count = len(self.answers)
