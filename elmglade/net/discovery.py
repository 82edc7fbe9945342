"""The platform: the list of receivers by a watch, and the notices that end messages."""

import asyncio
import json
import logging
import time
from collections.abc import Callable
from typing import Any

import h11

from elmglade import interface as face
from elmglade.net.http import BROKEN, Address, Connection, address_from

SILENCE = 4.0  # s with no line, empty ones come every 2 s: the watch is dead, though TCP says nothing
CONNECT_TIMEOUT = 1.0
LINE_LIMIT = 4 * 1024 * 1024
NOTICE_TIMEOUT = 0.1  # s for a first try, answers took 4 ms at most: a hung kept connection must leave time
NOTICE_DOUBLINGS = 2  # for another within the 300 ms that a notice has; and for new ones behind a late one
NOTICE_PAUSE = 0.05  # s between tries
NOTICES_AT_ONCE = 100
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)

log = logging.getLogger(__name__)


class Listed:
    """One line of discovery: a version and the endpoints in it."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.seq, self.whole = int(told["seq"]), bool(told["whole"])
        self.dials: dict[str, Address] = {each["host"]: address_from(each["dial"]) for each in told["hosts"]}
        self.endpoints = tuple(
            face.Endpoint(
                id=each["host"],
                destination=int(each["block"]),
                state=face.EndpointState(each["health"]),
                kind=each.get("class", ""),
                zone=each.get("site", ""),
                scale=float(each.get("share", 1)),
            )
            for each in told["hosts"]
        )


class Discovery:
    def __init__(
        self,
        address: Address,
        known: Listed,
        listed: Callable[[face.EndpointsListed], None],
        answered: Callable[[str], None],
    ) -> None:
        self.address, self.listed, self.answered = address, listed, answered
        self.seq, self.dials = known.seq, dict(known.dials)
        self.notices: dict[str, str] = {}
        self.has_notices = asyncio.Event()

    async def watch(self) -> None:
        """One watch, to its end. However it ends, the module is told and decides when to ask again."""
        connection = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                connection = await Connection.open(self.address)
            await connection.send("GET", f"/registry/instances?watch=1&after={self.seq}", {})
            async with asyncio.timeout(SILENCE):
                status = (await connection.response()).status_code
            if status != 200:
                raise ConnectionError(f"discovery answered {status}")
            await self.read_lines(connection)
        except BROKEN as error:
            log.warning("the watch ended: %s", str(error) or type(error).__name__)
        except UNREADABLE as error:
            log.warning("the watch told what cannot be read: %r", error)
        finally:
            if connection:
                connection.close()
        self.listed(face.EndpointsListed(face.Listing.FAILED))

    async def read_lines(self, connection: Connection) -> None:
        rest = b""
        while True:
            async with asyncio.timeout(SILENCE):
                event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                raise ConnectionError("discovery ended it")
            if not isinstance(event, h11.Data):
                continue
            *lines, rest = (rest + bytes(event.data)).split(b"\n")
            if len(rest) > LINE_LIMIT:
                raise ValueError("a line is too long")
            for line in lines:
                if line.strip():
                    self.read(Listed(json.loads(line)))

    def read(self, told: Listed) -> None:
        self.seq = told.seq
        self.dials = told.dials if told.whole else self.dials | told.dials
        for gone in [each.id for each in told.endpoints if each.state is face.EndpointState.GONE]:
            del self.dials[gone]
        listing = face.Listing.FULL if told.whole else face.Listing.CHANGES
        self.listed(face.EndpointsListed(listing, told.endpoints))

    def notify(self, message: str, state: str, after: int = 0) -> None:
        """The end of a message; told again and again until it is answered."""
        notice: dict[str, Any] = {"id": message, "state": state}
        if after:
            notice["after_ms"] = -(-after // 1000)
        self.notices[message] = json.dumps(notice)
        self.has_notices.set()

    async def tell(self) -> None:
        """Posts what notices there are, forever; a connection that failed is not used again."""
        connection, tries, most = None, 0, NOTICES_AT_ONCE
        while True:
            await self.has_notices.wait()
            sent, began = dict(list(self.notices.items())[:most]), time.monotonic()
            try:
                async with asyncio.timeout(NOTICE_TIMEOUT * 2 ** min(tries, NOTICE_DOUBLINGS)):
                    if connection and connection.ended():
                        connection.close()
                        connection = None
                    connection = connection or await Connection.open(self.address)
                    status = await self.post(connection, "\n".join(sent.values()) + "\n")
                if not connection.next_cycle():
                    connection.close()
                    connection = None
            except BROKEN as error:
                log.warning("notices not answered: %s", str(error) or type(error).__name__)
                status = 0
                if connection:
                    connection.close()
                    connection = None
            if status == 400 and len(sent) > 1:
                most = 1  # guards the others against one that cannot be read
                continue
            if 200 <= status < 300 or status == 400:
                if status == 400:
                    log.error("a notice was not understood: %s", *sent.values())
                tries = 0
                log.info("%d notices answered in %.0f ms", len(sent), (time.monotonic() - began) * 1e3)
                for message in sent:
                    del self.notices[message]
                    self.answered(message)
                if not self.notices:
                    most = NOTICES_AT_ONCE
                    self.has_notices.clear()
                continue
            tries += 1
            await asyncio.sleep(NOTICE_PAUSE)

    async def post(self, connection: Connection, body: str) -> int:
        data = body.encode()
        await connection.send("POST", "/v1/notices", {"Content-Length": str(len(data))}, data)
        status = (await connection.response()).status_code
        await connection.skip_body()
        return status
