"""A directory from files that others write: looked at now and then, taken whole or not at all.

Each file is a list of its own, the first one before the others (message_sender/discovery/list_merging.py).
What was last believed is kept in the state folder, so that a start with no file that can be read has a list
all the same.
"""

import asyncio
import json
import logging
import os
from collections.abc import Callable, Iterable
from pathlib import Path

from message_sender.discovery.list_merging import MergedList, merged
from message_sender.discovery.static import StaticDirectory, StaticEndpoint
from message_sender.files import replace_json
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

LOOK = 1.0  # s between looks at the files
COPY = "endpoints.json"  # the last good copy
STALE = 60 * 1_000_000  # us without a list in order, from which that is logged

log = logging.getLogger(__name__)

Read = Callable[[Path], Iterable[StaticEndpoint]]


class FileDirectory(StaticDirectory):
    """`read` gives the places in a file; it raises OSError, or ValueError for one that is not in order."""

    def __init__(
        self, paths: Iterable[Path], read: Read, folder: Path, now: Callable[[], int],
        fixed: Iterable[StaticEndpoint] = (), share: float = 0.5, patience: int = 300 * 1_000_000,
    ) -> None:  # fmt: skip
        """`fixed` goes before all files."""
        super().__init__(())
        self.fixed = {each.endpoint.id: each for each in fixed}
        self.paths, self.read, self.folder, self.now = tuple(paths), read, folder, now
        self.beliefs: dict[Path, MergedList[StaticEndpoint]] = {
            path: MergedList(share, patience) for path in self.paths
        }
        self.seen: dict[Path, tuple[int, int, int]] = {}  # of each file: inode, size, time of change
        self.wrong: dict[Path, str] = {}
        self.stale: set[Path] = set()
        self.look_at_files()
        if all(each.read_at is None for each in self.beliefs.values()):
            self.take(merged([self.fixed, self.last_good()]))

    def look_at_files(self) -> bool:
        """Reads what has changed. True: what is believed has changed, and is told on."""
        now = self.now()
        changed = [self.look_at(path, now) | self.beliefs[path].turn(now) for path in self.paths]
        self.tell_stale(now)
        return any(changed) and self.take(self.merged())

    def merged(self) -> dict[str, StaticEndpoint]:
        return merged([self.fixed, *(each.believed for each in self.beliefs.values())])

    def configure(self, places: Iterable[StaticEndpoint]) -> None:
        self.fixed = {each.endpoint.id: each for each in places}
        self.take(self.merged())

    def look_at(self, path: Path, now: int) -> bool:
        belief = self.beliefs[path]
        try:
            state = os.stat(path)
            mark = (state.st_ino, state.st_size, state.st_mtime_ns)
            if mark == self.seen.get(path) and path not in self.wrong:
                belief.read_at = now
                return False
            told = {each.endpoint.id: each for each in self.read(path)}
        except (OSError, ValueError) as error:
            if self.wrong.get(path) != str(error):
                log.error("%s is not used, what was read before stands: %s", path, error)
            self.wrong[path] = str(error)
            return False
        self.seen[path] = mark
        if self.wrong.pop(path, ""):
            log.info("%s is in order again", path)
        doubted = bool(belief.doubted)
        changed = belief.hear(told, now)
        if belief.doubted and not doubted:
            text = "%s names %d endpoints, %d that it had are missing: these are believed for %.0f s more"
            log.error(text, path, len(told), len(belief.doubted), belief.patience / 1e6)
        return changed

    def tell_stale(self, now: int) -> None:
        for path, belief in self.beliefs.items():
            old = (age := belief.age(now)) is not None and age > STALE
            if old and path not in self.stale:
                log.error("%s has not been in order for %.0f s; its list is that old", path, (age or 0) / 1e6)
            (self.stale.add if old else self.stale.discard)(path)

    def confirm(self) -> bool:
        """Someone says that the files are right, also in what they miss."""
        if not any([each.confirm() for each in self.beliefs.values()]):
            return False
        return self.take(self.merged())

    def lists(self) -> list[dict[str, object]]:
        """For people: each file, how old its list is, what is doubted and what is wrong with it."""
        now = self.now()
        return [
            {
                "file": str(path),
                "age_s": None if (age := each.age(now)) is None else round(age / 1e6, 1),
                "endpoints": len(each.believed),
                "doubted": sorted(each.doubted),
                "wrong": self.wrong.get(path, ""),
            }
            for path, each in self.beliefs.items()
        ]

    def take(self, places: dict[str, StaticEndpoint]) -> bool:
        """From now on these are there. True: that is news."""
        if places == self.places:
            return False
        self.replace(places.values())
        self.save()
        return True

    # The last good copy.

    def save(self) -> None:
        told = [
            [
                x.endpoint.id,
                x.endpoint.destination,
                x.endpoint.kind,
                x.endpoint.zone,
                x.endpoint.scale,
                *x.dial,
            ]
            for x in self.places.values()
            if x.endpoint.state is EndpointState.READY
        ]
        try:
            replace_json(self.folder / COPY, told, sync=False)
        except OSError as error:
            log.error("the list is not kept for the next start: %s", error)

    def last_good(self) -> dict[str, StaticEndpoint]:
        try:
            rows = json.loads((self.folder / COPY).read_text())
            found = {}
            for name, destination, kind, zone, scale, host, port in rows:
                state = EndpointState.READY
                endpoint = Endpoint(str(name), int(destination), state, str(kind), str(zone), float(scale))
                found[endpoint.id] = StaticEndpoint(endpoint, (str(host), int(port)))
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, TypeError) as error:
            log.error("the list of the last run cannot be read: %s", error)
            return {}
        log.warning("no list can be read; %d endpoints are believed from the last run", len(found))
        return found

    # The port.

    async def watch(self) -> None:
        self.told(EndpointsUpdated(ListingKind.FULL, self.endpoints()))
        while True:
            await asyncio.sleep(LOOK)
            self.look_at_files()
