"""Endpoints that operators have taken out of service, whatever the directory says of them.

`Maintenance` is pure. Its rules:

- An order concerns the *id* of an endpoint, from its confirmation until the opposite order, whatever the list
  says in between: an endpoint that is removed, moved or listed again is still out of service. The engine
  sees it as draining.
- An endpoint may be ordered out any number of times; one order back ends them all. An order back for one that
  is in service changes nothing and succeeds.
- An endpoint that is back was restarted meanwhile: it is marked as returned in the first update that lists it
  as ready, and the policy warms it up.
- Known ids are those that are listed, out of service, or were listed recently, since one that has just been
  removed may return.
"""

import json
import logging
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from message_sender.files import replace_json
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

RECENT_IDS_LIMIT = 1024  # ids that are known though they are no longer listed
MAX_OUT_OF_SERVICE = 500
MAX_ID_LENGTH = 100  # characters of an id that may be ordered out of service
ORDERS_FILE = "orders.json"
FILE_SPACE_BYTES = 2 * (MAX_OUT_OF_SERVICE * (MAX_ID_LENGTH + 4) + 512)  # of the file and its replacement

log = logging.getLogger(__name__)


class Maintenance:
    """Applies the operators' orders to the endpoint list.

    Attributes:
        out_of_service: Ids of the endpoints that are ordered out.
        returned: Ids that were ordered back while they were not listed as ready.
        listed: The directory's list, by id.
        recently_removed: Ids that were listed, the oldest removal first.
    """

    def __init__(self, out_of_service: Iterable[str] = (), returned: Iterable[str] = ()) -> None:
        """Creates it with the orders of earlier processes."""
        self.out_of_service: set[str] = set(out_of_service)
        self.returned: set[str] = set(returned)
        self.listed: dict[str, Endpoint] = {}
        self.recently_removed: OrderedDict[str, None] = OrderedDict()

    def is_known(self, name: str) -> bool:
        """Whether an order may name this id."""
        return name in self.listed or name in self.out_of_service or name in self.recently_removed

    def apply_update(self, update: EndpointsUpdated) -> EndpointsUpdated:
        """Returns the directory's update as the engine is to see it; costs only what it names."""
        if update.listing is ListingKind.FAILED:
            return update
        if update.listing is not ListingKind.CHANGES:
            self.remove(set(self.listed) - {each.id for each in update.endpoints})
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.GONE:
                self.remove({endpoint.id})
            else:
                self.listed[endpoint.id] = endpoint
                self.recently_removed.pop(endpoint.id, None)
        returned = tuple(each.id for each in update.endpoints if self._has_returned(each))
        self.returned -= set(returned)
        effective = tuple(self.effective(each) for each in update.endpoints)
        return replace(update, endpoints=effective, returned=(*update.returned, *returned))

    def _has_returned(self, endpoint: Endpoint) -> bool:
        is_ready = endpoint.state is EndpointState.READY
        return is_ready and endpoint.id in self.returned and endpoint.id not in self.out_of_service

    def remove(self, names: set[str]) -> None:
        """Records that endpoints are no longer listed."""
        for name in names & set(self.listed):
            del self.listed[name]
            self.recently_removed[name] = None
        while len(self.recently_removed) > RECENT_IDS_LIMIT:
            self.recently_removed.popitem(last=False)

    def effective(self, endpoint: Endpoint) -> Endpoint:
        """Returns an endpoint as the engine is to see it."""
        if endpoint.id in self.out_of_service and endpoint.state is EndpointState.READY:
            return replace(endpoint, state=EndpointState.DRAINING)
        return endpoint

    def take_out_of_service(self, name: str) -> EndpointsUpdated | None:
        """Applies an order out of service; returns the update for the engine, if there is one."""
        if name in self.out_of_service:
            return None
        self.out_of_service.add(name)
        self.returned.discard(name)
        endpoint = self.listed.get(name)
        return EndpointsUpdated(ListingKind.CHANGES, (self.effective(endpoint),)) if endpoint else None

    def return_to_service(self, name: str) -> EndpointsUpdated | None:
        """Applies an order back into service; returns the update for the engine, if there is one."""
        if name not in self.out_of_service:
            return None
        self.out_of_service.discard(name)
        endpoint = self.listed.get(name)
        if endpoint is None or endpoint.state is not EndpointState.READY:
            self.returned.add(name)
            return None
        return EndpointsUpdated(ListingKind.CHANGES, (endpoint,), returned=(name,))


class MaintenanceFile:
    """The operators' orders on disk: one file, replaced in one step, so that it is never torn."""

    def __init__(self, folder: Path) -> None:
        """Uses the file in that folder, which need not exist."""
        self.path = folder / ORDERS_FILE

    def load(self) -> tuple[list[str], bool]:
        """Reads the orders.

        Orders that cannot be read must not keep a sender from starting: they are logged and dropped.

        Returns:
            The ids that are out of service, and whether clients are ordered away.
        """
        try:
            stored = json.loads(self.path.read_text())
            out, away = stored["out"], stored["away"]
            if not (isinstance(out, list) and all(isinstance(each, str) for each in out)):
                raise ValueError("out is no list of texts")
            return out[:MAX_OUT_OF_SERVICE], away is True
        except FileNotFoundError:
            return [], False
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as error:
            log.error("maintenance state not loaded, none is active: reason=%s", error)
            return [], False

    def save(self, out_of_service: Iterable[str], is_away: bool) -> None:
        """Writes the orders. Raises OSError; then the file is as it was."""
        replace_json(self.path, {"out": sorted(out_of_service), "away": is_away}, sync=False)
