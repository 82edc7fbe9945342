"""Receivers that operators have taken out, over whatever the directory says of them. The first part is pure.

The rules:

- An order holds on to the *id* of a receiver, from the yes until the call back, whatever the list says in
  between: one that is gone, moved and listed again is still out. To the engine it is told as draining.
- The call out may come any number of times; one call back undoes them all. A call back for one that is not
  out changes nothing and is a yes.
- One that is back was restarted meanwhile: it is named as returned with the first news that has it ready,
  and the module warms it.
- Ids are known that are listed, are out, or were listed of late (`LATELY`): one that has just left may
  return.
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

LATELY = 1024  # ids that are known though they are listed no more
MOST_OUT = 500  # receivers out at once: what the file may hold within ROOM
MOST_ID = 100  # characters of an id that may be ordered out
FILE = "orders.json"
ROOM = 2 * (MOST_OUT * (MOST_ID + 4) + 512)  # bytes that the file and its successor may take

log = logging.getLogger(__name__)


class Maintenance:
    def __init__(self, out: Iterable[str] = (), back: Iterable[str] = ()) -> None:
        """`back`: put back while they were not listed as ready."""
        self.out: set[str] = set(out)
        self.back: set[str] = set(back)
        self.listed: dict[str, Endpoint] = {}
        self.lately: OrderedDict[str, None] = OrderedDict()

    def knows(self, name: str) -> bool:
        return name in self.listed or name in self.out or name in self.lately

    def hear(self, news: EndpointsUpdated) -> EndpointsUpdated:
        """The directory's news as the engine is to hear it. It costs what is named in it."""
        if news.listing is ListingKind.FAILED:
            return news
        if news.listing is not ListingKind.CHANGES:
            self.left(set(self.listed) - {each.id for each in news.endpoints})
        for each in news.endpoints:
            if each.state is EndpointState.GONE:
                self.left({each.id})
            else:
                self.listed[each.id] = each
                self.lately.pop(each.id, None)
        returned = tuple(
            each.id
            for each in news.endpoints
            if each.state is EndpointState.READY and each.id in self.back and each.id not in self.out
        )
        self.back -= set(returned)
        told = tuple(self.shown(each) for each in news.endpoints)
        return replace(news, endpoints=told, returned=(*news.returned, *returned))

    def left(self, names: set[str]) -> None:
        for name in names & set(self.listed):
            del self.listed[name]
            self.lately[name] = None
        while len(self.lately) > LATELY:
            self.lately.popitem(last=False)

    def shown(self, endpoint: Endpoint) -> Endpoint:
        if endpoint.id in self.out and endpoint.state is EndpointState.READY:
            return replace(endpoint, state=EndpointState.DRAINING)
        return endpoint

    def take_out(self, name: str) -> EndpointsUpdated | None:
        """What follows for the engine, if anything does."""
        if name in self.out:
            return None
        self.out.add(name)
        self.back.discard(name)
        found = self.listed.get(name)
        return EndpointsUpdated(ListingKind.CHANGES, (self.shown(found),)) if found else None

    def put_back(self, name: str) -> EndpointsUpdated | None:
        if name not in self.out:
            return None
        self.out.discard(name)
        found = self.listed.get(name)
        if found is None or found.state is not EndpointState.READY:
            self.back.add(name)
            return None
        return EndpointsUpdated(ListingKind.CHANGES, (found,), returned=(name,))


class MaintenanceFile:
    """The operators' orders on disk: one file, replaced in one step, so that no kill tears it."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE

    def load(self) -> tuple[list[str], bool]:
        """The ids that are out, and whether clients are sent away. Never raises for what it finds: orders
        that nobody can read must not keep a sender from starting."""
        try:
            told = json.loads(self.path.read_text())
            out, away = told["out"], told["away"]
            if not (isinstance(out, list) and all(isinstance(each, str) for each in out)):
                raise ValueError("out is no list of texts")
            return out[:MOST_OUT], away is True
        except FileNotFoundError:
            return [], False
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as error:
            log.error("the operators' orders cannot be read, and none is in force: %s", error)
            return [], False

    def save(self, out: Iterable[str], away: bool) -> None:
        """Raises OSError; then the file is as it was."""
        replace_json(self.path, {"out": sorted(out), "away": away}, sync=False)
