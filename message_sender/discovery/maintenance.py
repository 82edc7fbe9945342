"""Maintenance orders: endpoints that operators take out of service independently of the directory.

`Maintenance` is pure. Its rules:

- An order applies to the *id* of an endpoint, from its confirmation until the opposite order. Directory
  updates do not end it: an endpoint that is removed, moved or listed again stays out of service. The engine
  sees it as draining.
- Orders out of service are idempotent: one order back ends any number of them. An order back for an endpoint
  in service changes nothing and succeeds.
- An endpoint that returns to service is assumed to have been restarted: it is marked as returned in the first
  update that lists it as ready, and the policy warms it up.
- An id is known if it is listed, out of service, or was listed recently, since an endpoint that has just been
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

RECENT_IDS_LIMIT = 1024  # ids that stay known after they are no longer listed
MAX_OUT_OF_SERVICE = 500
MAX_ID_LENGTH = 100  # characters of an id that can be ordered out of service
ORDERS_FILE = "orders.json"
FILE_SPACE_BYTES = 2 * (MAX_OUT_OF_SERVICE * (MAX_ID_LENGTH + 4) + 512)  # for the file and its replacement

log = logging.getLogger(__name__)


class Maintenance:
    """Applies maintenance orders to the endpoint list.

    Attributes:
        out_of_service: Ids of the endpoints that are ordered out of service.
        returned: Ids that were ordered back into service while they were not listed as ready.
        listed: The directory's list, by id.
        recently_removed: Ids that are no longer listed, the oldest removal first.
    """

    def __init__(self, out_of_service: Iterable[str] = (), returned: Iterable[str] = ()) -> None:
        """Creates the layer with the orders of earlier processes."""
        self.out_of_service: set[str] = set(out_of_service)
        self.returned: set[str] = set(returned)
        self.listed: dict[str, Endpoint] = {}
        self.recently_removed: OrderedDict[str, None] = OrderedDict()

    def is_known(self, name: str) -> bool:
        """Whether the id is known; only a known id can be ordered out of service or back."""
        return name in self.listed or name in self.out_of_service or name in self.recently_removed

    def apply_update(self, update: EndpointsUpdated) -> EndpointsUpdated:
        """Returns the directory's update with the orders applied.

        The cost is proportional to the size of the update.
        """
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
        """Returns an endpoint with the orders applied: draining if it is ready but out of service."""
        if endpoint.id in self.out_of_service and endpoint.state is EndpointState.READY:
            return replace(endpoint, state=EndpointState.DRAINING)
        return endpoint

    def take_out_of_service(self, name: str) -> EndpointsUpdated | None:
        """Applies an order out of service; returns the resulting update for the engine, or None."""
        if name in self.out_of_service:
            return None
        self.out_of_service.add(name)
        self.returned.discard(name)
        endpoint = self.listed.get(name)
        return EndpointsUpdated(ListingKind.CHANGES, (self.effective(endpoint),)) if endpoint else None

    def return_to_service(self, name: str) -> EndpointsUpdated | None:
        """Applies an order back into service; returns the resulting update for the engine, or None."""
        if name not in self.out_of_service:
            return None
        self.out_of_service.discard(name)
        endpoint = self.listed.get(name)
        if endpoint is None or endpoint.state is not EndpointState.READY:
            self.returned.add(name)
            return None
        return EndpointsUpdated(ListingKind.CHANGES, (endpoint,), returned=(name,))


class MaintenanceFile:
    """The maintenance orders on disk: one file that is replaced atomically, which avoids torn writes."""

    def __init__(self, folder: Path) -> None:
        """Uses the file in `folder`; neither needs to exist."""
        self.path = folder / ORDERS_FILE

    def load(self) -> tuple[list[str], bool]:
        """Reads the orders.

        Orders that cannot be read are logged and dropped, since they must not prevent a sender from starting.

        Returns:
            The ids that are out of service, and whether the sender is draining its clients.
        """
        try:
            stored = json.loads(self.path.read_text())
            out, away = stored["out"], stored["away"]
            if not (isinstance(out, list) and all(isinstance(each, str) for each in out)):
                raise ValueError("out: expected a list of strings")
            return out[:MAX_OUT_OF_SERVICE], away is True
        except FileNotFoundError:
            return [], False
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as error:
            log.error("maintenance state not loaded, none is active: reason=%s", error)
            return [], False

    def save(self, out_of_service: Iterable[str], is_draining: bool) -> None:
        """Writes the orders. Raises OSError on failure; the file is then unchanged."""
        replace_json(self.path, {"out": sorted(out_of_service), "away": is_draining}, sync=False)
