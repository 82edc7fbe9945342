"""The outages that a sender knows of, on disk, for its next process.

The file has one JSON object per line: `{"destination", "route", "phase", "since"}`; a later line replaces an
earlier one of the same route. `phase` is `out` (no call was served since), `warming_up` since a time in
microseconds on the clock of the state folder, or `serving`, which removes the route. Lines are written
without a sync, as those of the process journal: they outlast the process, not the machine.

What is read only makes a sender more careful. A line that is torn, from the future or of an unknown phase
costs itself and a warning; if its destination can be read, that destination counts as out.
"""

import json
import logging
import os
import re
from dataclasses import dataclass
from pathlib import Path

from message_sender.policy.events import RestoredOutage
from message_sender.policy.outage import OutagePhase

OUTAGE_FILE = "outages"
NEW_OUTAGE_FILE = "outages.new"
BLOCK_BYTES = 512  # file sizes are rounded up to whole blocks
MAX_SPACE_BYTES = 64 * 1024  # of the state folder: the file and its replacement
SPACE_DIVISOR = 32  # of a small folder: at most this part
KEPT_FRACTION = 0.75  # of the size of the file: routes beyond it are not kept
TORN_LINE = re.compile(rb'\{"destination":(\d+),"route":("(?:[^"\\]|\\.)*")')

log = logging.getLogger(__name__)

RouteKey = tuple[int, str]  # destination and route


def outage_space_bytes(disk_bytes: int) -> int:
    """Returns the part of a state folder of this size that the outages may use, in bytes."""
    return min(disk_bytes // SPACE_DIVISOR, MAX_SPACE_BYTES) // (2 * BLOCK_BYTES) * 2 * BLOCK_BYTES


@dataclass(frozen=True, slots=True)
class OutageLine:
    """One line of the file; see the description of the module."""

    destination: int
    route: str
    phase: OutagePhase
    since_us: int

    def encode(self) -> bytes:
        """Returns the line."""
        values = {
            "destination": self.destination,
            "route": self.route,
            "phase": self.phase.value,
            "since": self.since_us,
        }
        return json.dumps(values, separators=(",", ":")).encode() + b"\n"


class OutageFile:
    """The outages by route, backed by a file.

    The file is opened for each write: while two processes live, the one that owns the folder writes.

    Attributes:
        path: The file.
        max_bytes: Largest size of the file.
        lines: The line of each route that is out or warms up, the oldest first.
        size_bytes: Size of the file.
    """

    def __init__(self, folder: Path, space_bytes: int, now_us: int) -> None:
        """Reads the file.

        Args:
            folder: The state folder.
            space_bytes: Space for the file and its replacement.
            now_us: The time on the clock of the folder.
        """
        self.path = folder / OUTAGE_FILE
        self.max_bytes = space_bytes // 2
        self.lines: dict[RouteKey, OutageLine] = {}
        self.size_bytes = 0
        self._is_torn = False
        self._read(now_us)

    def _read(self, now_us: int) -> None:
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return
        except OSError as error:
            log.warning("outages not read: reason=%s", error)
            return
        self.size_bytes = len(data)
        self._is_torn = bool(data) and not data.endswith(b"\n")
        offset = 0
        for text in data.splitlines(keepends=True):
            self._apply(text, offset, now_us)
            offset += len(text)

    def _apply(self, text: bytes, offset: int, now_us: int) -> None:
        try:
            line = parse_line(text)
            if line.since_us > now_us:
                raise ValueError(f"{line.since_us - now_us} us in the future")
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log.warning("outage record dropped: offset=%d reason=%s", offset, error)
            if key := readable_key(text):
                self.lines[key] = OutageLine(*key, OutagePhase.OUT, now_us)
            return
        key = line.destination, line.route
        self.lines.pop(key, None)
        if line.phase is not OutagePhase.SERVING:
            self.lines[key] = line

    def restored(self) -> tuple[RestoredOutage, ...]:
        """Returns the outages that an earlier process knew of."""
        return tuple(
            RestoredOutage(each.destination, each.route, each.phase is OutagePhase.OUT, each.since_us)
            for each in self.lines.values()
        )

    def record(self, line: OutageLine) -> None:
        """Records what is known of a route; a failure costs this knowledge after a restart, and a warning."""
        key = line.destination, line.route
        is_known = self.lines.pop(key, None) is not None
        if line.phase is not OutagePhase.SERVING:
            self.lines[key] = line
        elif not is_known:
            return
        if not self.max_bytes:
            return
        try:
            self._append(line.encode())
        except OSError as error:
            log.warning("outage not recorded: destination=%d reason=%s", line.destination, error)

    def _append(self, data: bytes) -> None:
        if self._is_torn or self.size_bytes + len(data) > self.max_bytes:
            self._rewrite()
            return
        file = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            written = os.write(file, data)
        finally:
            os.close(file)
        self.size_bytes += written
        if written < len(data):
            self._is_torn = True
            raise OSError(f"short write: {written} of {len(data)} bytes")

    def _rewrite(self) -> None:
        """Replaces the file by one that holds the newest routes only, as many as there is space for."""
        kept: list[bytes] = []
        free_bytes = int(self.max_bytes * KEPT_FRACTION)
        for line in reversed(self.lines.values()):
            data = line.encode()
            free_bytes -= len(data)
            if free_bytes < 0:
                log.warning("outages not recorded: reason=no space routes=%d", len(self.lines) - len(kept))
                break
            kept.append(data)
        new_path = self.path.with_name(NEW_OUTAGE_FILE)
        new_path.write_bytes(b"".join(reversed(kept)))
        os.replace(new_path, self.path)
        self.size_bytes = sum(map(len, kept))
        self._is_torn = False


def parse_line(text: bytes) -> OutageLine:
    """Parses a line.

    Raises:
        ValueError, KeyError, TypeError, RecursionError: It is not a complete line of this format.
    """
    if not text.endswith(b"\n"):
        raise ValueError("missing line end")
    values = json.loads(text)
    phase = OutagePhase(values["phase"])
    return OutageLine(int(values["destination"]), str(values["route"]), phase, int(values["since"]))


def readable_key(text: bytes) -> RouteKey | None:
    """Returns destination and route of a damaged line; None if they cannot be read."""
    match = TORN_LINE.match(text)
    if match is None:
        return None
    try:
        return int(match[1]), str(json.loads(match[2]))
    except ValueError:
        return None
