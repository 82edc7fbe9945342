"""Store of final answers that have no waiting caller; each is kept in a file until it is collected.

After a restart, a host application finds here how the messages of its previous run ended. The file has one
JSON object per line: `{"id", "state", "retry_after", "reply" (base64), "status"}` for an answer,
`{"collected": id}` once the answer has been collected. The number of answers is bounded: when the store is
full, the oldest answer is dropped and counted.
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

Answer = dict[str, Any]  # JSON object of one line


def _encode_line(content: Answer) -> str:
    return json.dumps(content, separators=(",", ":")) + "\n"


class AnswerStore:
    """Answers by message id, backed by a file.

    Attributes:
        folder: The state folder.
        max_answers: Maximum number of answers to keep.
        answers: Answers by message id, oldest first.
        lost_answers: Number of answers dropped because the store was full.
        line_count: Number of lines in the file.
        has_torn_line: The file ends in a part of a line whose write was short.
    """

    def __init__(self, folder: Path, max_answers: int = 4096) -> None:
        """Opens the file and replays it; torn or damaged lines are dropped.

        Raises:
            OSError: The file cannot be opened or read.
        """
        self.folder = folder
        self.max_answers = max_answers
        self.answers: dict[str, Answer] = {}
        self.lost_answers = 0
        self.line_count = 0
        self.has_torn_line = False
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
        """Closes the file; must be called only once."""
        os.close(self.file)

    def add(self, message_id: str, state: str, retry_after: int, reply: bytes, status: str) -> None:
        """Stores an answer; it has been written to the file when this returns.

        If the write fails, for example on a full disk, the answer is kept in memory only and is lost when the
        process ends.

        Args:
            message_id: Id of the message that the answer belongs to.
            state: Completion state of the message.
            retry_after: Delay before a retry, us.
            reply: Body of the reply.
            status: Status of the call; "" if there is none.
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
        """Removes and returns the answer of a message, with its reply decoded; None if there is none.

        The answer is marked as collected in the file before it is returned.
        """
        answer = self.answers.pop(message_id, None)
        if answer is None:
            return None
        self.append({"collected": message_id})
        if self.line_count > 2 * self.max_answers:
            self.rewrite()
        return answer | {"reply": base64.b64decode(answer["reply"])}

    def append(self, content: Answer) -> None:
        """Appends a line; a failed write is logged."""
        line = b"\n" * self.has_torn_line + _encode_line(content).encode()
        try:
            written = os.write(self.file, line)
            self.has_torn_line = written < len(line)
            if self.has_torn_line:
                raise OSError(f"short write: {written} of {len(line)} bytes")
            self.line_count += 1
        except OSError as error:
            log.error("answer not written: reason=%s", error)

    def rewrite(self) -> None:
        """Atomically replaces the file by one that holds only the uncollected answers."""
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
        self.has_torn_line = False
        self.line_count = len(self.answers)
