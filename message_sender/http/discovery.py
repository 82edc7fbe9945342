"""Client of the platform's discovery service: watches the endpoint list and posts completion notices."""

import asyncio
import json
import logging
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, closing
from dataclasses import replace
from typing import Any

import h11

from message_sender.core.peer_timeout import PeerTimeout
from message_sender.core.ports import Completion, CompletionState
from message_sender.core.read_turns import ReadTurn, ReadTurns
from message_sender.discovery.address_owners import AddressOwners
from message_sender.http.client_connection import ClientConnection
from message_sender.http.common import CONNECTION_ERRORS, Address
from message_sender.http.endpoint_list import EndpointList
from message_sender.http.json_stream import JsonStream
from message_sender.policy.events import EndpointsUpdated
from message_sender.policy.model import Endpoint, EndpointState, ListingKind

# The sender must know a change within 6 s of the time when discovery has it and is reachable, whichever calls
# failed before (policy/schedule.py). If a watch falls silent directly after a line, noticing that takes
# SILENCE_TIMEOUT_S, followed by one call. If discovery recovers directly after the start of a call that
# hangs, it takes two calls.
SILENCE_TIMEOUT_S = 2.6  # without a complete line; discovery sends empty lines every 2 s
CALL_TIMEOUT_S = 2.4  # until a call's list or the head of a watch is received; discovery gives up after 2 s
LOCAL_CALL_TIMEOUT_S = 0.25  # with an agent on the same host, whose changes count even while a call hangs
LINE_LIMIT = 4 * 1024 * 1024  # bytes
LINE_UNITS = 8  # the work of a line, in the units of `read_turns`
NO_LINE = object()
NOTICE_TIMEOUT_S = 0.1  # first attempt; a notice is due in 0.3 s, so a hung connection must leave time
MAX_NOTICE_TIMEOUT_DOUBLINGS = 2  # the time-out doubles after each failed attempt, at most this often
NOTICE_RETRY_S = 0.05
NOTICE_BATCH_LIMIT = 100
MOVE_RETRY_S = 0.2  # between requests for a new address's list, which must be known 4 s after SIGHUP
BAD_REQUEST = 400
NOTICE_STATES = {CompletionState.REFUSED: "returned", CompletionState.FAILED: "failed"}
MALFORMED_LINE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)

log = logging.getLogger(__name__)


class SilentWatchError(ConnectionError):
    """A watch had no complete line for `SILENCE_TIMEOUT_S`; it may lack what discovery had to tell."""

    def __init__(self) -> None:
        """Creates the error."""
        super().__init__(f"no line for {SILENCE_TIMEOUT_S} s")


def ignore_silence(silence_us: int) -> None:
    """Default callback for a silence."""


async def expect_ok(connection: ClientConnection) -> None:
    """Checks that the response has status 200. Raises ConnectionError if it has another one."""
    if (status := (await connection.response()).status_code) != 200:
        raise ConnectionError(f"discovery answered {status}")


class Discovery:
    """Implements the ports `Directory` and `CompletionListener` of the core.

    Attributes:
        call_timeout_s: Time limit of a call in seconds.
        address: The address of the service.
        on_update: Called with updates of the endpoint list.
        on_silence: Called when a watch is about to end after a silence, with its length in us.
        on_acknowledged: Called with the id of each message whose notice was acknowledged.
        version: Version of the current list; None after a move to another service, for which the versions of
            the previous one mean nothing.
        fetches_list: Each watch begins with the complete list, as a watch may not say that nothing changed.
        addresses: Which endpoint each address belongs to.
        dials: Addresses of the listed endpoints that own theirs.
        endpoints: The listed endpoints by id.
        destinations: All destinations that a list has ever named.
        has_read_line: A line has been received in this process.
        watch_connection: The connection of the active watch.
        stream: Splits the bytes of the active watch into objects.
        lines: The objects and empty lines of the bytes that `stream` got last, as far as they are not read.
        turns: The queue of the connections for their turns.
        next_line_due: When the watch counts as broken unless a line arrives, in seconds on the loop's clock.
        poll_error: The error that `poll_unread` met on the watch.
        notices: Encoded notices by message id, until they are acknowledged.
        has_notices: Set while there are notices to post.
    """

    def __init__(
        self,
        address: Address,
        known: EndpointList,
        listed: Callable[[EndpointsUpdated], None],
        answered: Callable[[str], None],
        call: float = CALL_TIMEOUT_S,
        fetches_list: bool = False,
    ) -> None:
        """Creates a client without connecting.

        Args:
            address: The address of the service.
            known: The latest known list.
            listed: Called with updates of the endpoint list.
            answered: Called with the id of each message whose notice was acknowledged.
            call: Time limit of a call in seconds.
            fetches_list: Whether each watch begins with the complete list.
        """
        self.call_timeout_s = call
        self.fetches_list = fetches_list
        self.address = address
        self.on_update = listed
        self.on_silence: Callable[[int], None] = ignore_silence
        self.on_acknowledged = answered
        self.version: int | None = known.version
        self.addresses = AddressOwners()
        self.addresses.replace(known.entries)
        self.dials = self.addresses.dials
        self.endpoints = {each.id: each for each in known.endpoints}
        self.destinations = {each.destination for each in known.endpoints}
        self.has_read_line = False
        self.watch_connection: ClientConnection | None = None
        self.stream = JsonStream(LINE_LIMIT)
        self.lines: Iterator[object] = iter(())
        self.next_line_due = 0.0
        self.poll_error: Exception | None = None
        self.turns = ReadTurns()
        self.notices: dict[str, str] = {}
        self.has_notices = asyncio.Event()
        self._failed_posts = 0

    def move(self, address: Address) -> None:
        """Switches to another address of the service.

        The caller starts a watch there; the previous watch continues until the new one has its first list.
        Notices in flight are acknowledged at the old address, or posted again to the new one.
        """
        self.address = address
        self.version = None

    async def watch(self) -> None:
        """Runs one watch to its end and then sends a FAILED update; the policy decides when to watch again.

        The first list of a new address is requested until it is received, because until then no other source
        reports that an endpoint is draining.
        """
        address = self.address
        while True:
            try:
                await self.watch_once(address)
            except SilentWatchError as error:
                silent_since = self.next_line_due - SILENCE_TIMEOUT_S
                self.on_silence(int((asyncio.get_running_loop().time() - silent_since) * 1e6))
                log.warning("discovery watch ended: error=%s", error)
            except CONNECTION_ERRORS as error:
                log.warning("discovery watch ended: error=%s", str(error) or type(error).__name__)
            except MALFORMED_LINE_ERRORS as error:
                log.warning("discovery watch ended: reason=malformed line error=%r", error)
            if address != self.address:
                return
            if self.version is not None:
                break
            await asyncio.sleep(MOVE_RETRY_S)
        self.on_update(EndpointsUpdated(ListingKind.FAILED))

    async def watch_once(self, address: Address) -> None:
        """Watches one address, fetching its whole list first by `fetches_list`, or if no version is known.

        Returns when the list of another address has replaced this one; every other end raises.
        """
        if self.version is None or self.fetches_list:
            body = await self.fetch(address, "/registry/instances")
            if address != self.address:
                return
            self.read(EndpointList(json.loads(body)))
        async with self.open_call(address, f"/registry/instances?watch=1&after={self.version}") as connection:
            await self.read_lines(connection, address)

    @asynccontextmanager
    async def open_call(self, address: Address, target: str) -> AsyncIterator[ClientConnection]:
        """Opens a call and yields its connection once the head of a response with status 200 was read.

        The call's time limit covers connecting and the head; the caller limits the time for the body.

        Raises:
            OSError, MalformedMessageError: The call failed.
        """
        async with PeerTimeout(self.call_timeout_s):
            connection = await ClientConnection.open(address)
            connection.turn = ReadTurn(self.turns)
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
        """Fetches a response body within `CALL_TIMEOUT_S`.

        Raises as `open_call`, and ValueError if the body is too long.
        """
        body = bytearray()
        async with PeerTimeout(CALL_TIMEOUT_S), self.open_call(address, target) as connection:
            while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
                body += event.data if isinstance(event, h11.Data) else b""
                if len(body) > LINE_LIMIT:
                    raise ValueError(f"the endpoint list exceeds {LINE_LIMIT} bytes")
        return bytes(body)

    async def read_lines(self, connection: ClientConnection, address: Address) -> None:
        """Reads the lines of a watch until the list of another address has replaced this one."""
        self.watch_connection = connection
        self.stream = JsonStream(LINE_LIMIT)
        self.lines = iter(())
        self.poll_error = None
        self.line_received()
        try:
            while not self.is_replaced(address):
                self.read_ready(connection, address)
                try:
                    async with PeerTimeout(self.next_line_due - asyncio.get_running_loop().time()):
                        await connection.proceed()
                except TimeoutError:
                    raise SilentWatchError from None
                if self.poll_error:
                    raise self.poll_error
        finally:
            if self.watch_connection is connection:
                self.watch_connection = None

    def is_replaced(self, address: Address) -> bool:
        """Whether the list of another address has replaced the one from this address."""
        return address != self.address and self.version is not None

    def poll_unread(self) -> None:
        """Reads bytes of the watch that the loop has not read yet."""
        if (connection := self.watch_connection) and connection.poll():
            try:
                self.read_ready(connection, connection.address)
            except (*CONNECTION_ERRORS, *MALFORMED_LINE_ERRORS) as error:
                self.poll_error = error

    def line_received(self) -> None:
        """Restarts the silence time-out, since a line has arrived on the watch."""
        self.next_line_due = asyncio.get_running_loop().time() + SILENCE_TIMEOUT_S

    def read_ready(self, connection: ClientConnection, address: Address) -> None:
        """Processes the complete lines received so far, as far as the connection's turn allows."""
        while not (connection.turn.is_over() or self.is_replaced(address)):
            if (line := next(self.lines, NO_LINE)) is not NO_LINE:
                connection.turn.spend(LINE_UNITS)
                self.line_received()
                if isinstance(line, dict):
                    self.read(EndpointList(line), address)
                continue
            if (event := connection.read_event()) is None:
                return
            if isinstance(event, h11.EndOfMessage):
                raise ConnectionError("discovery ended the watch")
            if isinstance(event, h11.Data):
                self.lines = self.stream.feed(bytes(event.data))

    def read(self, update: EndpointList, address: Address | None = None) -> None:
        """Applies one parsed line; a malformed line raises while being parsed, before anything is changed.

        Args:
            update: The parsed line.
            address: The address that sent the line; None for the current one.

        Raises:
            ConnectionError: The versions have begun anew, so that changes cannot be applied to this list.
        """
        if address == self.address and not update.is_complete and update.version < (self.version or 0):
            self.version = None
            raise ConnectionError(f"the list's version went back to {update.version}")
        endpoints = self._apply_complete(update) if update.is_complete else self._apply_changes(update)
        self.destinations |= {endpoint.destination for endpoint in update.endpoints}
        if address in (None, self.address):  # otherwise the line is from the previous address
            self.version = update.version
        self.has_read_line = True
        listing = ListingKind.FULL if update.is_complete else ListingKind.CHANGES
        self.on_update(EndpointsUpdated(listing, endpoints))

    def _apply_complete(self, update: EndpointList) -> tuple[Endpoint, ...]:
        """Applies a complete list; returns its endpoints that own their address."""
        self.addresses.replace(update.entries)
        self.endpoints = {each.id: each for each in update.endpoints}
        return tuple(each for each in update.endpoints if self.addresses.owns_address(each.id))

    def _apply_changes(self, update: EndpointList) -> tuple[Endpoint, ...]:
        """Applies changed entries; returns them and, as gone, the endpoints that have lost their address."""
        losers = self.addresses.update(update.entries)
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.GONE:
                self.endpoints.pop(endpoint.id, None)
            else:
                self.endpoints[endpoint.id] = endpoint
        for loser in losers:
            log.warning("endpoint has lost its address: endpoint=%s", loser)
        changed = {each.id: each for each in update.endpoints}
        changed |= {each: self.endpoints[each] for each in losers}
        return tuple(
            each if self.addresses.owns_address(each.id) else replace(each, state=EndpointState.GONE)
            for each in changed.values()
        )

    def is_known(self, destination: int) -> bool:
        """Whether the destination has ever been listed, even if it has no endpoints at present."""
        return destination in self.destinations

    def mark_known(self, destination: int) -> None:
        """Adds a destination for which a message was restored from the journal."""
        self.destinations.add(destination)

    # Notices: the platform is notified of completions, since no client waits for them.

    def notify(self, message_id: str, completion: Completion) -> bool:
        """Queues a notice of a completion, which is posted until it is acknowledged.

        Returns:
            Whether a notice is needed; False for a delivery.
        """
        if completion.state not in NOTICE_STATES:
            return False
        notice: dict[str, Any] = {"id": message_id, "state": NOTICE_STATES[completion.state]}
        if completion.retry_after_us:
            notice["after_ms"] = -(-completion.retry_after_us // 1000)
        self.notices[message_id] = json.dumps(notice)
        self.has_notices.set()
        return True

    async def run(self) -> None:
        """Posts queued notices until cancelled."""
        self._failed_posts = 0
        await self._post_notices()

    async def _post_notices(self) -> None:
        batch_limit = NOTICE_BATCH_LIMIT
        while True:
            await self.has_notices.wait()
            batch = dict(list(self.notices.items())[:batch_limit])
            started_at = time.monotonic()
            status = await self._try_to_post(batch)
            is_refused = status == BAD_REQUEST
            if is_refused and len(batch) > 1:
                batch_limit = 1  # so that a notice the service cannot read does not hold up the others
            elif is_refused or 200 <= status < 300:
                self._acknowledge(batch, is_refused, time.monotonic() - started_at)
                if not self.notices:
                    batch_limit = NOTICE_BATCH_LIMIT
                    self.has_notices.clear()
            else:
                self._failed_posts += 1
                await asyncio.sleep(NOTICE_RETRY_S)

    async def _try_to_post(self, batch: dict[str, str]) -> int:
        """Posts a batch and returns the status of the response; 0 if there is none.

        Each batch has a connection of its own, so that no second copy of an earlier response acknowledges it.
        """
        timeout_s = NOTICE_TIMEOUT_S * 2 ** min(self._failed_posts, MAX_NOTICE_TIMEOUT_DOUBLINGS)
        try:
            async with PeerTimeout(timeout_s):
                with closing(await ClientConnection.open(self.address)) as connection:
                    return await self._post(connection, "\n".join(batch.values()) + "\n")
        except CONNECTION_ERRORS as error:
            log.warning("notices not acknowledged: error=%s", str(error) or type(error).__name__)
            return 0

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
