"""The platform: the list of receivers by a watch, and the notices that end messages."""

import asyncio
import json
import logging
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import h11

from message_sender.core.ports import Completion, CompletionState
from message_sender.http.codec import BROKEN, Address, ClientConnection, address_from
from message_sender.http.json_stream import JsonStream
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

# What discovery has had for 6 s, and could be reached for, counts as told, whatever call failed before
# (schedule.ListCalls). A watch may fall silent right behind a line: that takes SILENCE to see, and a call.
# Discovery may come back right behind the beginning of a call that hangs: that takes two calls.
SILENCE = 2.6  # s with no whole line, empty ones come every 2 s: the watch is dead, though TCP says nothing
CALL = 2.4  # s from a call's beginning to its list, or to the head of a watch; discovery gives up after 2 s
CALL_AT_HAND = 0.25  # s of an agent beside the sender: what it has counts at once, also while a call hangs
LINE_LIMIT = 4 * 1024 * 1024
NOTICE_TIMEOUT = 0.1  # s for a first try, answers took 4 ms at most: a hung kept connection must leave time
NOTICE_DOUBLINGS = 2  # for another within the 300 ms that a notice has; and for new ones behind a late one
NOTICE_PAUSE = 0.05  # s between tries
NOTICES_AT_ONCE = 100
MOVE_PAUSE = (
    0.2  # s between tries to hear a new address's list: what it tells counts as told 4 s after SIGHUP
)
STATES = {CompletionState.REFUSED: "returned", CompletionState.FAILED: "failed"}
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)

log = logging.getLogger(__name__)


async def expect_ok(connection: ClientConnection) -> None:
    if (status := (await connection.response()).status_code) != 200:
        raise ConnectionError(f"discovery answered {status}")


def text(told: object) -> str:
    """Guards the module's tables from names that are no text, which no table can hold."""
    if not isinstance(told, str):
        raise TypeError(f"{told!r} is not a text")
    return told


class EndpointList:
    """One line of discovery: a version and the endpoints in it."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.seq, self.whole = int(told["seq"]), bool(told["whole"])
        self.dials: dict[str, Address] = {each["host"]: address_from(each["dial"]) for each in told["hosts"]}
        self.endpoints = tuple(
            Endpoint(
                id=text(each["host"]),
                destination=int(each["block"]),
                state=EndpointState(each["health"]),
                kind=text(each.get("class", "")),
                zone=text(each.get("site", "")),
                scale=float(each.get("share", 1)),
            )
            for each in told["hosts"]
        )


class Discovery:
    def __init__(
        self,
        address: Address,
        known: EndpointList,
        listed: Callable[[EndpointsUpdated], None],
        answered: Callable[[str], None],
        call: float = CALL,
    ) -> None:
        """`call`: s that one may take."""
        self.call = call
        self.address, self.listed, self.answered = address, listed, answered
        #: The version held; none when it is another service's, whose versions mean nothing to this one.
        self.seq: int | None = known.seq
        self.dials = dict(known.dials)
        self.destinations = {each.destination for each in known.endpoints}  # all that a list ever named
        self.heard = False  # whether a line has come in this process
        self.line: ClientConnection | None = None  # the watch that is up
        self.objects = JsonStream(LINE_LIMIT)  # of it
        self.line_due = 0.0  # s, the loop's: its next line comes before, or it is dead
        self.trouble: Exception | None = None  # what a look at it met
        self.notices: dict[str, str] = {}
        self.has_notices = asyncio.Event()

    def move(self, address: Address) -> None:
        """From now on discovery is there. The caller starts a watch; the one before goes on until that one
        has its first list, and notices under way are answered where they are or told again over there."""
        self.address, self.seq = address, None

    async def watch(self) -> None:
        """One watch, to its end. However it ends, the module is told and decides when to ask again; but the
        first list of a new address is asked for until it comes: nobody else tells of a drain meanwhile."""
        address = self.address
        while True:
            try:
                await self.watch_once(address)
            except BROKEN as error:
                log.warning("the watch ended: %s", str(error) or type(error).__name__)
            except UNREADABLE as error:
                log.warning("the watch told what cannot be read: %r", error)
            if address != self.address:
                return
            if self.seq is not None:
                break
            await asyncio.sleep(MOVE_PAUSE)
        self.listed(EndpointsUpdated(ListingKind.FAILED))

    async def watch_once(self, address: Address) -> None:
        """Returns once another address has told its list; any other end raises."""
        if self.seq is None:
            whole = await self.ask(address, "/registry/instances")
            if address != self.address:
                return
            self.read(EndpointList(json.loads(whole)))
        async with self.calling(address, f"/registry/instances?watch=1&after={self.seq}") as connection:
            await self.read_lines(connection, address)

    @asynccontextmanager
    async def calling(self, address: Address, target: str) -> AsyncIterator[ClientConnection]:
        """A call that was answered with 200, within its time from here on; what follows is the caller's."""
        async with asyncio.timeout(self.call):
            connection = await ClientConnection.open(address)
            try:
                await connection.send("GET", target, {})
                await expect_ok(connection)
            except BaseException:
                connection.close()
                raise
        try:
            yield connection
        finally:
            connection.close()

    async def ask(self, address: Address, target: str) -> bytes:
        """The whole answer, which may come in pieces without end."""
        body = bytearray()
        async with asyncio.timeout(self.call), self.calling(address, target) as connection:
            while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
                body += event.data if isinstance(event, h11.Data) else b""
                if len(body) > LINE_LIMIT:
                    raise ValueError("the list is too long")
        return bytes(body)

    async def read_lines(self, connection: ClientConnection, address: Address) -> None:
        self.line, self.objects, self.trouble = connection, JsonStream(LINE_LIMIT), None
        self.line_came()
        try:
            while not self.replaced(address):
                self.read_ready(connection, address)
                async with asyncio.timeout_at(self.line_due):
                    await connection.receive()
                if self.trouble:
                    raise self.trouble
        finally:
            if self.line is connection:
                self.line = None

    def replaced(self, address: Address) -> bool:
        """Whether another address has told its list."""
        return address != self.address and self.seq is not None

    def poll_unread(self) -> None:
        """Reads what the watch has told and the loop has not come to hear yet."""
        if (connection := self.line) and connection.look():
            try:
                self.read_ready(connection, connection.address)
            except (*BROKEN, *UNREADABLE) as error:
                self.trouble = error

    def line_came(self) -> None:
        self.line_due = asyncio.get_running_loop().time() + SILENCE

    def read_ready(self, connection: ClientConnection, address: Address) -> None:
        """The lines that have come whole."""
        while (event := connection.read_event()) is not None:
            if isinstance(event, h11.EndOfMessage):
                raise ConnectionError("discovery ended it")
            for told in self.objects.feed(bytes(event.data)) if isinstance(event, h11.Data) else ():
                if self.replaced(address):
                    return
                self.line_came()
                if told is not None:
                    self.read(EndpointList(told), address)

    def read(self, told: EndpointList, address: Address | None = None) -> None:
        """One line, whole or not at all: what cannot be read has raised before anything is changed."""
        if told.whole:
            self.dials = {}
        self.dials.update(told.dials)  # in place: a change costs what it names, however long the list is
        for each in told.endpoints:
            if each.state is EndpointState.GONE:
                self.dials.pop(each.id, None)
        self.destinations |= {each.destination for each in told.endpoints}
        if address in (None, self.address):  # else it is a line of the address before
            self.seq = told.seq
        self.heard = True
        listing = ListingKind.FULL if told.whole else ListingKind.CHANGES
        self.listed(EndpointsUpdated(listing, told.endpoints))

    def knows(self, destination: int) -> bool:
        """Whether there ever was such a destination; one whose endpoints are all gone may come back."""
        return destination in self.destinations

    def remember(self, destination: int) -> None:
        self.destinations.add(destination)

    def notify(self, message: str, end: Completion) -> bool:
        """The end of a message; told again and again until it is answered. A delivery is no news here."""
        if end.state not in STATES:
            return False
        notice: dict[str, Any] = {"id": message, "state": STATES[end.state]}
        if end.retry_after_us:
            notice["after_ms"] = -(-end.retry_after_us // 1000)
        self.notices[message] = json.dumps(notice)
        self.has_notices.set()
        return True

    async def run(self) -> None:
        """Posts what notices there are, forever; a connection that failed is not used again."""
        connection, tries, most = None, 0, NOTICES_AT_ONCE
        while True:
            await self.has_notices.wait()
            sent, began = dict(list(self.notices.items())[:most]), time.monotonic()
            try:
                async with asyncio.timeout(NOTICE_TIMEOUT * 2 ** min(tries, NOTICE_DOUBLINGS)):
                    if connection and (connection.address != self.address or connection.ended()):
                        connection.close()
                        connection = None
                    connection = connection or await ClientConnection.open(self.address)
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
                if (took := time.monotonic() - began) > NOTICE_TIMEOUT / 2:
                    log.info("%d notices answered in %.0f ms", len(sent), took * 1e3)
                for message in sent:
                    del self.notices[message]
                    self.answered(message)
                if not self.notices:
                    most = NOTICES_AT_ONCE
                    self.has_notices.clear()
                continue
            tries += 1
            await asyncio.sleep(NOTICE_PAUSE)

    async def post(self, connection: ClientConnection, body: str) -> int:
        data = body.encode()
        await connection.send("POST", "/v1/notices", {"Content-Length": str(len(data))}, data)
        status = (await connection.response()).status_code
        await connection.skip_body()
        return status
