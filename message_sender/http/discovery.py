"""The platform's discovery service: the list of endpoints by a watch, and notices of completions."""

import asyncio
import json
import logging
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import h11

from message_sender.core.ports import Completion, CompletionState
from message_sender.http.client_connection import ClientConnection
from message_sender.http.codec import BROKEN, Address, address_from
from message_sender.http.json_stream import JsonStream
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

# What discovery has had for 6 s, and could be reached for, counts as known, whatever call failed before
# (policy/schedule.py). A watch may fall silent right behind a line: that takes SILENCE_TIMEOUT_S to see, and
# a call. Discovery may come back right behind the beginning of a call that hangs: that takes two calls.
SILENCE_TIMEOUT_S = 2.6  # with no whole line; empty ones come every 2 s
CALL_TIMEOUT_S = 2.4  # to a call's list, or to the head of a watch; discovery gives up after 2 s
LOCAL_CALL_TIMEOUT_S = 0.25  # of an agent beside the sender, whose news counts also while a call hangs
LINE_LIMIT = 4 * 1024 * 1024  # bytes
NOTICE_TIMEOUT_S = 0.1  # for a first try; a notice has 0.3 s, and a hung connection must leave time
NOTICE_DOUBLINGS = 2  # of that, after tries that failed
NOTICE_RETRY_S = 0.05
NOTICES_AT_ONCE = 100
MOVE_RETRY_S = 0.2  # for a new address's list, which counts as known 4 s after SIGHUP
BAD_REQUEST = 400
NOTICE_STATES = {CompletionState.REFUSED: "returned", CompletionState.FAILED: "failed"}
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)

log = logging.getLogger(__name__)


async def expect_ok(connection: ClientConnection) -> None:
    """Raises ConnectionError unless the answer has status 200."""
    if (status := (await connection.response()).status_code) != 200:
        raise ConnectionError(f"discovery answered {status}")


def text(value: object) -> str:
    """Checks that a name is a text, since tables of the policy can hold nothing else. Raises TypeError."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value


class EndpointList:
    """One line of discovery: a version and the endpoints in it.

    Attributes:
        version: Of the list.
        is_complete: The line holds all endpoints; else it holds those that changed.
        dials: Addresses by endpoint.
        endpoints: As the policy takes them.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        """Reads a line.

        Raises:
            ValueError, KeyError, TypeError, AttributeError, ArithmeticError: It cannot be read.
        """
        self.version = int(fields["seq"])
        self.is_complete = bool(fields["whole"])
        hosts = fields["hosts"]
        self.dials: dict[str, Address] = {host["host"]: address_from(host["dial"]) for host in hosts}
        self.endpoints = tuple(
            Endpoint(
                id=text(host["host"]),
                destination=int(host["block"]),
                state=EndpointState(host["health"]),
                kind=text(host.get("class", "")),
                zone=text(host.get("site", "")),
                scale=float(host.get("share", 1)),
            )
            for host in hosts
        )


class Discovery:
    """Implements the ports `Directory` and `CompletionListener` of the core.

    Attributes:
        version: Of the present list; None where it came from another service, whose versions mean nothing
            here.
        dials: Addresses of the listed endpoints.
        destinations: All destinations that a list ever named.
        has_read_line: Whether a line has come in this process.
        watch_connection: The active watch.
        next_line_due: When the watch counts as broken unless a line comes; seconds on the loop's clock.
        poll_error: The error that `poll_unread` met on the watch.
        notices: Notices by message, until they are acknowledged.
    """

    def __init__(
        self,
        address: Address,
        known: EndpointList,
        listed: Callable[[EndpointsUpdated], None],
        answered: Callable[[str], None],
        call: float = CALL_TIMEOUT_S,
    ) -> None:
        """Does not connect yet.

        Args:
            address: Of the service.
            known: The latest known list.
            listed: Called with updates of the list.
            answered: Called with each message whose notice was acknowledged.
            call: Seconds that a call may take.
        """
        self.call_timeout_s = call
        self.address = address
        self.on_update = listed
        self.on_acknowledged = answered
        self.version: int | None = known.version
        self.dials = dict(known.dials)
        self.destinations = {each.destination for each in known.endpoints}
        self.has_read_line = False
        self.watch_connection: ClientConnection | None = None
        self.stream = JsonStream(LINE_LIMIT)
        self.next_line_due = 0.0
        self.poll_error: Exception | None = None
        self.notices: dict[str, str] = {}
        self.has_notices = asyncio.Event()
        self._notice_connection: ClientConnection | None = None
        self._failed_posts = 0

    def move(self, address: Address) -> None:
        """From now on discovery is at another address.

        The caller starts a watch; the one before goes on until the new one has its first list. Notices under
        way are acknowledged where they are, or posted again at the new address.
        """
        self.address = address
        self.version = None

    async def watch(self) -> None:
        """One watch, to its end; the policy then gets a FAILED update and decides when to subscribe again.

        The first list of a new address is fetched until it comes: nobody else tells of a drain meanwhile.
        """
        address = self.address
        while True:
            try:
                await self.watch_once(address)
            except BROKEN as error:
                log.warning("discovery watch ended: error=%s", str(error) or type(error).__name__)
            except UNREADABLE as error:
                log.warning("discovery watch ended: reason=malformed line error=%r", error)
            if address != self.address:
                return
            if self.version is not None:
                break
            await asyncio.sleep(MOVE_RETRY_S)
        self.on_update(EndpointsUpdated(ListingKind.FAILED))

    async def watch_once(self, address: Address) -> None:
        """Returns once another address has sent its list; any other end raises."""
        if self.version is None:
            whole = await self.fetch(address, "/registry/instances")
            if address != self.address:
                return
            self.read(EndpointList(json.loads(whole)))
        async with self.open_call(address, f"/registry/instances?watch=1&after={self.version}") as connection:
            await self.read_lines(connection, address)

    @asynccontextmanager
    async def open_call(self, address: Address, target: str) -> AsyncIterator[ClientConnection]:
        """A call that was answered with 200, within its time from here on; what follows is the caller's.

        Raises:
            OSError, MalformedMessageError: It failed.
        """
        async with asyncio.timeout(self.call_timeout_s):
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

    async def fetch(self, address: Address, target: str) -> bytes:
        """The body of an answer. Raises as `open_call`, and ValueError where it is too long."""
        body = bytearray()
        async with asyncio.timeout(self.call_timeout_s), self.open_call(address, target) as connection:
            while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
                body += event.data if isinstance(event, h11.Data) else b""
                if len(body) > LINE_LIMIT:
                    raise ValueError("the list is too long")
        return bytes(body)

    async def read_lines(self, connection: ClientConnection, address: Address) -> None:
        """Reads the lines of a watch, until another address has sent its list."""
        self.watch_connection = connection
        self.stream = JsonStream(LINE_LIMIT)
        self.poll_error = None
        self.note_line()
        try:
            while not self.is_replaced(address):
                self.read_ready(connection, address)
                async with asyncio.timeout_at(self.next_line_due):
                    await connection.receive()
                if self.poll_error:
                    raise self.poll_error
        finally:
            if self.watch_connection is connection:
                self.watch_connection = None

    def is_replaced(self, address: Address) -> bool:
        """Whether another address has sent its list."""
        return address != self.address and self.version is not None

    def poll_unread(self) -> None:
        """Reads what the watch has sent and the loop has not come to read yet."""
        if (connection := self.watch_connection) and connection.poll():
            try:
                self.read_ready(connection, connection.address)
            except (*BROKEN, *UNREADABLE) as error:
                self.poll_error = error

    def note_line(self) -> None:
        """A line has come: the watch is up."""
        self.next_line_due = asyncio.get_running_loop().time() + SILENCE_TIMEOUT_S

    def read_ready(self, connection: ClientConnection, address: Address) -> None:
        """Reads the lines that have come whole."""
        while (event := connection.read_event()) is not None:
            if isinstance(event, h11.EndOfMessage):
                raise ConnectionError("discovery ended the watch")
            for fields in self.stream.feed(bytes(event.data)) if isinstance(event, h11.Data) else ():
                if self.is_replaced(address):
                    return
                self.note_line()
                if fields is not None:
                    self.read(EndpointList(fields), address)

    def read(self, update: EndpointList, address: Address | None = None) -> None:
        """Applies one line completely: what cannot be read has raised before anything is changed.

        Args:
            update: The parsed line.
            address: Where it came from; None: the present address.
        """
        if update.is_complete:
            self.dials = {}
        self.dials.update(update.dials)  # in place: a change costs what it names, however long the list is
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.GONE:
                self.dials.pop(endpoint.id, None)
        self.destinations |= {endpoint.destination for endpoint in update.endpoints}
        if address in (None, self.address):  # else it is a line of the address before
            self.version = update.version
        self.has_read_line = True
        listing = ListingKind.FULL if update.is_complete else ListingKind.CHANGES
        self.on_update(EndpointsUpdated(listing, update.endpoints))

    def knows(self, destination: int) -> bool:
        """Whether there ever was such a destination; its endpoints may have left for now."""
        return destination in self.destinations

    def remember(self, destination: int) -> None:
        """A message for this destination was restored from the journal."""
        self.destinations.add(destination)

    # Notices: the completions of messages that no client waits for.

    def notify(self, message: str, end: Completion) -> bool:
        """Takes a completion, which is posted until it is acknowledged. A delivery needs no notice."""
        if end.state not in NOTICE_STATES:
            return False
        notice: dict[str, Any] = {"id": message, "state": NOTICE_STATES[end.state]}
        if end.retry_after_us:
            notice["after_ms"] = -(-end.retry_after_us // 1000)
        self.notices[message] = json.dumps(notice)
        self.has_notices.set()
        return True

    async def run(self) -> None:
        """Posts what notices there are, until it is cancelled."""
        self._failed_posts = 0
        try:
            await self._post_notices()
        finally:
            self._close_notice_connection()

    async def _post_notices(self) -> None:
        batch_limit = NOTICES_AT_ONCE
        while True:
            await self.has_notices.wait()
            batch = dict(list(self.notices.items())[:batch_limit])
            began = time.monotonic()
            status = await self._try_to_post(batch)
            is_refused = status == BAD_REQUEST
            if is_refused and len(batch) > 1:
                batch_limit = 1  # protects the others from one that cannot be read
            elif is_refused or 200 <= status < 300:
                self._acknowledge(batch, is_refused, time.monotonic() - began)
                if not self.notices:
                    batch_limit = NOTICES_AT_ONCE
                    self.has_notices.clear()
            else:
                self._failed_posts += 1
                await asyncio.sleep(NOTICE_RETRY_S)

    async def _try_to_post(self, batch: dict[str, str]) -> int:
        """The status of the answer; 0 where none came. A connection that failed is not used again."""
        timeout_s = NOTICE_TIMEOUT_S * 2 ** min(self._failed_posts, NOTICE_DOUBLINGS)
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._notice_connection_to_use()
                status = await self._post(connection, "\n".join(batch.values()) + "\n")
            if not connection.next_cycle():
                self._close_notice_connection()
        except BROKEN as error:
            log.warning("notices not acknowledged: error=%s", str(error) or type(error).__name__)
            self._close_notice_connection()
            return 0
        return status

    async def _notice_connection_to_use(self) -> ClientConnection:
        connection = self._notice_connection
        if connection and (connection.address != self.address or connection.has_ended()):
            self._close_notice_connection()
        if self._notice_connection is None:
            self._notice_connection = await ClientConnection.open(self.address)
        return self._notice_connection

    def _close_notice_connection(self) -> None:
        if self._notice_connection:
            self._notice_connection.close()
            self._notice_connection = None

    async def _post(self, connection: ClientConnection, body: str) -> int:
        data = body.encode()
        await connection.send("POST", "/v1/notices", {"Content-Length": str(len(data))}, data)
        status = (await connection.response()).status_code
        await connection.skip_body()
        return status

    def _acknowledge(self, batch: dict[str, str], is_refused: bool, took_s: float) -> None:
        if is_refused:
            log.error("notice refused: notice=%s", *batch.values())
        self._failed_posts = 0
        if took_s > NOTICE_TIMEOUT_S / 2:
            log.info("notices acknowledged late: notices=%d took_ms=%.0f", len(batch), took_s * 1e3)
        for message in batch:
            del self.notices[message]
            self.on_acknowledged(message)
