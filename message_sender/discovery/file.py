"""A directory that reads endpoint lists from files and checks the files periodically.

A file is used completely or not at all. Each file is a separate list; if two files list the same endpoint,
the first file takes precedence (see `list_merging`). The last accepted list is saved in the state folder, so
that a start without a readable file still has a list.
"""

import asyncio
import json
import logging
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from message_sender.discovery.list_merging import ShrinkProtectedList, merge_lists
from message_sender.discovery.static import StaticDirectory, StaticEndpoint
from message_sender.files import replace_json
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

US_PER_SECOND = 1_000_000
CHECK_INTERVAL_S = 1.0
LAST_GOOD_FILE = "endpoints.json"
STALE_AFTER_US = 60 * US_PER_SECOND  # without a valid list; then the list is logged as stale

log = logging.getLogger(__name__)

EndpointReader = Callable[[Path], Iterable[StaticEndpoint]]
FileState = tuple[int, int, int]  # inode, size, modification time in ns


class FileDirectory(StaticDirectory):
    """A directory whose endpoint list comes from files and from the configuration.

    Attributes:
        configured: The configuration's endpoints by id; they take precedence over all files.
        lists_by_path: The accepted list of each file.
        file_states: The state of each file when it was last read, to detect changes.
        errors: The error of each file that was unreadable or invalid at the last check.
        stale: The files whose list has been logged as stale.
    """

    def __init__(
        self,
        paths: Iterable[Path],
        read: EndpointReader,
        folder: Path,
        now: Callable[[], int],
        configured: Iterable[StaticEndpoint] = (),
        max_missing_share: float = 0.5,
        retention_us: int = 300 * US_PER_SECOND,
    ) -> None:
        """Reads the files, or loads the saved list if none can be read.

        Args:
            paths: The files, in order of precedence.
            read: Returns the endpoints of a file; raises OSError, or ValueError for an invalid file.
            folder: The folder in which the last good list is saved.
            now: Returns the current time, us.
            configured: The configuration's endpoints.
            max_missing_share: See `ShrinkProtectedList`.
            retention_us: See `ShrinkProtectedList`.
        """
        super().__init__(())
        self.configured = {each.endpoint.id: each for each in configured}
        self.paths = tuple(paths)
        self.read = read
        self.folder = folder
        self.now = now
        self.lists_by_path: dict[Path, ShrinkProtectedList[StaticEndpoint]] = {
            path: ShrinkProtectedList(max_missing_share, retention_us) for path in self.paths
        }
        self.file_states: dict[Path, FileState] = {}
        self.errors: dict[Path, str] = {}
        self.stale: set[Path] = set()
        self.check_files()
        if all(accepted.read_at is None for accepted in self.lists_by_path.values()):
            self.apply_endpoints(merge_lists([self.configured, self.load_last_good()]))

    def check_files(self) -> bool:
        """Reads the files that have changed and returns whether the directory's list has changed."""
        now = self.now()
        has_changed = False
        for path in self.paths:
            has_changed |= self.check_file(path, now)
            has_changed |= self.lists_by_path[path].expire_retained(now)
        self.log_stale(now)
        return has_changed and self.apply_endpoints(self.merged())

    def merged(self) -> dict[str, StaticEndpoint]:
        """Returns the configuration's endpoints merged with those of the files.

        A retained endpoint is left out if its address is listed for another destination: what listens there
        is no longer its process.
        """
        merged = merge_lists([self.configured, *(each.entries for each in self.lists_by_path.values())])
        retained = {name for each in self.lists_by_path.values() for name in each.retained}
        listed = {
            each.dial: each.endpoint.destination for name, each in merged.items() if name not in retained
        }
        return {
            name: each
            for name, each in merged.items()
            if name not in retained
            or listed.get(each.dial, each.endpoint.destination) == each.endpoint.destination
        }

    def configure(self, endpoints: Iterable[StaticEndpoint]) -> None:
        """Applies the endpoint list of a changed configuration."""
        self.configured = {each.endpoint.id: each for each in endpoints}
        self.apply_endpoints(self.merged())

    def check_file(self, path: Path, now: int) -> bool:
        """Reads a file if it has changed and returns whether its accepted entries have changed."""
        accepted = self.lists_by_path[path]
        try:
            stat = os.stat(path)
            file_state = (stat.st_ino, stat.st_size, stat.st_mtime_ns)
            if file_state == self.file_states.get(path) and path not in self.errors:
                accepted.read_at = now
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
        was_retaining = bool(accepted.retained)
        has_changed = accepted.update(listed, now)
        if accepted.retained and not was_retaining:
            log.error(
                "endpoint list shrank, missing endpoints retained: "
                "file=%s endpoints=%d missing=%d retained_s=%.0f",
                path,
                len(listed),
                len(accepted.retained),
                accepted.retention_us / US_PER_SECOND,
            )
        return has_changed

    def log_stale(self, now: int) -> None:
        """Logs once when the last valid list of a file is older than `STALE_AFTER_US`."""
        for path, accepted in self.lists_by_path.items():
            age = accepted.age(now)
            if age is None or age <= STALE_AFTER_US:
                self.stale.discard(path)
            elif path not in self.stale:
                log.error("endpoint list is stale: file=%s age_s=%.0f", path, age / US_PER_SECOND)
                self.stale.add(path)

    def confirm(self) -> bool:
        """Drops the endpoints that the files no longer list; returns whether the list has changed."""
        confirmed = [accepted.confirm() for accepted in self.lists_by_path.values()]
        return any(confirmed) and self.apply_endpoints(self.merged())

    def describe_lists(self) -> list[dict[str, object]]:
        """Returns each file's state for the management API: age, size, retained endpoints and last error."""
        now = self.now()
        return [
            {
                "file": str(path),
                "age_s": None if (age := accepted.age(now)) is None else round(age / US_PER_SECOND, 1),
                "endpoints": len(accepted.entries),
                "doubted": sorted(accepted.retained),
                "wrong": self.errors.get(path, ""),
            }
            for path, accepted in self.lists_by_path.items()
        ]

    def apply_endpoints(self, endpoints: dict[str, StaticEndpoint]) -> bool:
        """Replaces and saves the list if it has changed; returns whether it has."""
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
        """Returns the list saved by an earlier process; empty if there is none or it cannot be read."""
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

    # Implementation of the port `Directory`.

    async def watch(self) -> None:
        """Sends the complete list and then checks the files periodically until cancelled."""
        self.on_update(EndpointsUpdated(ListingKind.FULL, self.endpoints()))
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_files()


def row_from_endpoint(static_endpoint: StaticEndpoint) -> list[object]:
    """Returns the row of an endpoint in the saved list."""
    endpoint = static_endpoint.endpoint
    return [
        endpoint.id,
        endpoint.destination,
        endpoint.kind,
        endpoint.zone,
        endpoint.scale,
        *static_endpoint.dial,
    ]


def endpoint_from_row(row: Any) -> StaticEndpoint:  # noqa: ANN401
    """Returns the endpoint of a row of the saved list. Raises ValueError or TypeError if it is invalid."""
    name, destination, kind, zone, scale, host, port = row
    state = EndpointState.READY
    endpoint = Endpoint(str(name), int(destination), state, str(kind), str(zone), float(scale))
    return StaticEndpoint(endpoint, (str(host), int(port)))
