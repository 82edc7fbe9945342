"""Calls to receivers: a pool of kept connections for each endpoint, and what came back as an Outcome."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

import h11

from elmglade.interface import Outcome
from elmglade.net.http import BROKEN, Address, Connection, header
from elmglade.net.message import HandedIn

IDLE_SHARE = 0.8  # of the receiver's idle limit: a kept connection is dropped that much earlier
BODY_PATIENCE = 1.0  # s for the rest of an answer whose first line has come; the body means nothing


@dataclass(frozen=True, slots=True)
class Answer:
    outcome: Outcome
    finished: bool = False
    wait: int = 0  # us


def seconds(text: str | None) -> float:
    """A told wait; 0 where it is missing or cannot be read."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) and value > 0 else 0.0


def answer_from(response: h11.Response) -> Answer:
    """The protocol's table. A status that it does not name may have run."""
    match response.status_code:
        case 200:
            return Answer(Outcome.OK, finished=True)
        case 429:
            told = seconds(header(response.headers, b"retry-after"))
            return Answer(Outcome.FULL, wait=math.ceil(told * 1e6))
        case 503 if header(response.headers, b"x-egress-full") == "1":
            return Answer(Outcome.NOT_SENT)
        case 503:
            return Answer(Outcome.FULL)
        case 504:
            return Answer(Outcome.NOT_SENT)
        case 410:
            return Answer(Outcome.NOT_SENT, finished=True)
        case _:
            return Answer(Outcome.ERROR)


class Client:
    def __init__(self, conn_idle: float, connect_timeout: float, most_idle: int) -> None:
        self.idle_limit = conn_idle * IDLE_SHARE
        self.connect_timeout, self.most_idle = connect_timeout, most_idle
        self.pool: dict[Address, list[Connection]] = {}

    async def call(
        self, address: Address, message: HandedIn, timeout: float, may_go: Callable[[], bool]
    ) -> Answer:
        """One call, with a fate known for sure: broken before its last byte is written it never ran."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection: Connection | None = None
        written = kept = False
        try:
            async with asyncio.timeout_at(deadline):
                connection = self.take_idle(address) or await self.connect(address)
                if not may_go():
                    kept = self.keep(connection)
                    return Answer(Outcome.NOT_SENT)
                headers = {
                    "X-Correlation-Id": message.id,
                    "Idempotency-Key": message.idempotency_key,
                    "X-Time-Left": f"{max(deadline - loop.time(), 0.0):.3f}",
                    "Content-Length": str(len(message.body)),
                }
                await connection.send("POST", "/hook", headers, message.body)
                written = True
                answer = answer_from(await connection.response())
            kept = await self.finish(connection)
            return answer
        except TimeoutError:
            return Answer(Outcome.TIMEOUT if written else Outcome.CONNECT_FAILED)
        except BROKEN:
            return Answer(Outcome.RESET if written else Outcome.CONNECT_FAILED)
        finally:
            # A time-out or a cancel gives the call up: only closing the connection tells the receiver.
            if connection and not kept:
                connection.close()

    async def connect(self, address: Address) -> Connection:
        async with asyncio.timeout(self.connect_timeout):
            return await Connection.open(address)

    async def finish(self, connection: Connection) -> bool:
        """Reads the rest of an answer; whatever becomes of it, the outcome stands."""
        try:
            async with asyncio.timeout(BODY_PATIENCE):
                await connection.skip_body()
        except (*BROKEN, asyncio.CancelledError):
            return False  # a cancel that comes now is too late: the message has its answer
        return connection.next_cycle() and self.keep(connection)

    def take_idle(self, address: Address) -> Connection | None:
        """The connection used last. Guards against one that the receiver closes as the request goes."""
        kept = self.pool.get(address, [])
        while kept:
            connection = kept.pop()
            if not connection.ended() and not self.too_old(connection):
                return connection
            connection.close()
        return None

    def keep(self, connection: Connection) -> bool:
        if sum(map(len, self.pool.values())) >= self.most_idle:
            return False
        connection.idle_since = asyncio.get_running_loop().time()
        self.pool.setdefault(connection.address, []).append(connection)
        return True

    def too_old(self, connection: Connection) -> bool:
        return asyncio.get_running_loop().time() - connection.idle_since >= self.idle_limit

    def drop_old(self) -> None:
        """Called now and then, so that what nobody uses holds no descriptor."""
        for address, kept in list(self.pool.items()):
            for connection in [each for each in kept if self.too_old(each) or each.ended()]:
                kept.remove(connection)
                connection.close()
            if not kept:
                del self.pool[address]

    def close_idle(self, address: Address) -> None:
        for connection in self.pool.pop(address, []):
            connection.close()

    def close(self) -> None:
        for address in list(self.pool):
            self.close_idle(address)
