"""A directory from files that others write: checked periodically, each file used completely or not at all.

Each file is a list of its own; the first one wins where two name an endpoint (see `list_merging`). What was
last accepted is saved in the state folder, so that a start without a readable file has a list all the same.
"""

import asyncio
import json
import logging
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from message_sender.discovery.list_merging import MergedList, merge_lists
from message_sender.discovery.static import StaticDirectory, StaticEndpoint
from message_sender.files import replace_json
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

US_PER_SECOND = 1_000_000
CHECK_INTERVAL_S = 1.0
LAST_GOOD_FILE = "endpoints.json"
STALE_AFTER_US = 60 * US_PER_SECOND  # without a valid list: then that is logged

log = logging.getLogger(__name__)

Read = Callable[[Path], Iterable[StaticEndpoint]]
FileState = tuple[int, int, int]  # inode, size, time of change in ns


class FileDirectory(StaticDirectory):
    """A directory whose list comes from files and from the configuration.

    Attributes:
        configured: The configuration's endpoints by id; they win over all files.
        lists_by_path: What is accepted of each file.
        file_states: By which a change of a file is noticed.
        errors: Why a file is not used.
        stale: Files whose list is so old that it has been logged.
    """

    def __init__(
        self,
        paths: Iterable[Path],
        read: Read,
        folder: Path,
        now: Callable[[], int],
        configured: Iterable[StaticEndpoint] = (),
        max_missing_share: float = 0.5,
        doubt_duration_us: int = 300 * US_PER_SECOND,
    ) -> None:
        """Reads the files for the first time.

        Args:
            paths: The files.
            read: Returns the endpoints of a file; raises OSError, or ValueError for an invalid one.
            folder: Where the last good list is saved.
            now: The clock, us.
            configured: The configuration's endpoints.
            max_missing_share: See `MergedList`.
            doubt_duration_us: See `MergedList`.
        """
        super().__init__(())
        self.configured = {each.endpoint.id: each for each in configured}
        self.paths = tuple(paths)
        self.read = read
        self.folder = folder
        self.now = now
        self.lists_by_path: dict[Path, MergedList[StaticEndpoint]] = {
            path: MergedList(max_missing_share, doubt_duration_us) for path in self.paths
        }
        self.file_states: dict[Path, FileState] = {}
        self.errors: dict[Path, str] = {}
        self.stale: set[Path] = set()
        self.check_files()
        if all(each.read_at is None for each in self.lists_by_path.values()):
            self.apply_endpoints(merge_lists([self.configured, self.load_last_good()]))

    def check_files(self) -> bool:
        """Reads the files that have changed; returns whether the list has changed."""
        now = self.now()
        has_changed = False
        for path in self.paths:
            has_changed |= self.check_file(path, now)
            has_changed |= self.lists_by_path[path].expire_doubt(now)
        self.log_stale(now)
        return has_changed and self.apply_endpoints(self.merged())

    def merged(self) -> dict[str, StaticEndpoint]:
        """Returns the list that results from the configuration and the files."""
        return merge_lists([self.configured, *(each.entries for each in self.lists_by_path.values())])

    def configure(self, endpoints: Iterable[StaticEndpoint]) -> None:
        """Applies the list of a changed configuration."""
        self.configured = {each.endpoint.id: each for each in endpoints}
        self.apply_endpoints(self.merged())

    def check_file(self, path: Path, now: int) -> bool:
        """Reads a file if it has changed; returns whether what is accepted of it has changed."""
        merged_list = self.lists_by_path[path]
        try:
            stat = os.stat(path)
            file_state = (stat.st_ino, stat.st_size, stat.st_mtime_ns)
            if file_state == self.file_states.get(path) and path not in self.errors:
                merged_list.read_at = now
                return False
            listed = {each.endpoint.id: each for each in self.read(path)}
        except (OSError, ValueError) as error:
            if self.errors.get(path) != str(error):
                log.error(
                    "endpoint file rejected, its last valid list is used: file=%s reason=%s", path, error
                )
            self.errors[path] = str(error)
            return False
        self.file_states[path] = file_state
        if self.errors.pop(path, ""):
            log.info("endpoint file is valid again: file=%s", path)
        was_doubted = bool(merged_list.doubted)
        has_changed = merged_list.update(listed, now)
        if merged_list.doubted and not was_doubted:
            log.error(
                "endpoint list shrank, missing endpoints retained: "
                "file=%s endpoints=%d missing=%d retained_s=%.0f",
                path,
                len(listed),
                len(merged_list.doubted),
                merged_list.doubt_duration_us / US_PER_SECOND,
            )
        return has_changed

    def log_stale(self, now: int) -> None:
        """Logs once that a file has had no valid list for long."""
        for path, merged_list in self.lists_by_path.items():
            age = merged_list.age(now)
            if age is None or age <= STALE_AFTER_US:
                self.stale.discard(path)
            elif path not in self.stale:
                log.error("endpoint list is stale: file=%s age_s=%.0f", path, age / US_PER_SECOND)
                self.stale.add(path)

    def confirm(self) -> bool:
        """Accepts the files also in what they miss; returns whether the list has changed."""
        confirmed = [each.confirm() for each in self.lists_by_path.values()]
        return any(confirmed) and self.apply_endpoints(self.merged())

    def describe_lists(self) -> list[dict[str, object]]:
        """Returns each file's state for the management API: age, what is doubted, what is wrong with it."""
        now = self.now()
        return [
            {
                "file": str(path),
                "age_s": None if (age := each.age(now)) is None else round(age / US_PER_SECOND, 1),
                "endpoints": len(each.entries),
                "doubted": sorted(each.doubted),
                "wrong": self.errors.get(path, ""),
            }
            for path, each in self.lists_by_path.items()
        ]

    def apply_endpoints(self, endpoints: dict[str, StaticEndpoint]) -> bool:
        """Replaces and saves the list; returns whether it has changed."""
        if endpoints == self.static_endpoints:
            return False
        self.replace(endpoints.values())
        self.save_last_good()
        return True

    # The last good list.

    def save_last_good(self) -> None:
        """Saves the ready endpoints for a start at which no file can be read."""
        rows = [
            row_from_endpoint(each)
            for each in self.static_endpoints.values()
            if each.endpoint.state is EndpointState.READY
        ]
        try:
            replace_json(self.folder / LAST_GOOD_FILE, rows, sync=False)
        except OSError as error:
            log.error("endpoint list not saved for the next start: reason=%s", error)

    def load_last_good(self) -> dict[str, StaticEndpoint]:
        """Returns the list that an earlier process saved; empty if there is none."""
        try:
            rows = json.loads((self.folder / LAST_GOOD_FILE).read_text())
            endpoints = [endpoint_from_row(row) for row in rows]
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, TypeError) as error:
            log.error("saved endpoint list not loaded: reason=%s", error)
            return {}
        by_id = {each.endpoint.id: each for each in endpoints}
        log.warning("no endpoint file loaded, the saved list is used: endpoints=%d", len(by_id))
        return by_id

    # The port.

    async def watch(self) -> None:
        """Sends the complete list, and checks the files from then on."""
        self.on_update(EndpointsUpdated(ListingKind.FULL, self.endpoints()))
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_files()


def row_from_endpoint(each: StaticEndpoint) -> list[object]:
    """Returns an endpoint's row of the last good list."""
    endpoint = each.endpoint
    return [endpoint.id, endpoint.destination, endpoint.kind, endpoint.zone, endpoint.scale, *each.dial]


def endpoint_from_row(row: Any) -> StaticEndpoint:  # noqa: ANN401
    """Returns the endpoint of a row. Raises ValueError or TypeError for anything else."""
    name, destination, kind, zone, scale, host, port = row
    state = EndpointState.READY
    endpoint = Endpoint(str(name), int(destination), state, str(kind), str(zone), float(scale))
    return StaticEndpoint(endpoint, (str(host), int(port)))
