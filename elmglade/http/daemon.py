"""The sender as the platform runs it: the engine behind an HTTP door, an HTTP courier and the platform's
watch and notices; signals, and how the descriptors are shared out."""

import asyncio
import logging
import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar

from elmglade import interface as face
from elmglade.core.engine import Config as EngineConfig
from elmglade.core.engine import Engine
from elmglade.core.peer import transport_in
from elmglade.core.ports import Directory, Teller
from elmglade.http.codec import Address
from elmglade.http.courier import HttpCourier
from elmglade.http.door import ACCEPTS, Server
from elmglade.http.platform import Discovery, Listed

STOP_LISTENING = 0.6  # s after SIGTERM; the front deals out new connections for up to 0.4 s more
STOP = 3.3  # s after SIGTERM: the process ends, well before SIGKILL may come at 3.7 s

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    disk_bytes: int
    sockets: int
    known: Listed
    settings: face.Settings

    def engine(self) -> EngineConfig:
        return EngineConfig(
            self.name, self.state, self.seed, self.disk_bytes, self.settings, self.known.endpoints
        )


@dataclass(frozen=True, slots=True)
class Descriptors:
    """How the descriptors that the configuration allows are shared out: all that opens one counts here."""

    # The standard streams, the loop's three, the listener, the journal and its copy, the configuration, the
    # watch and the notices with their successors at a new address, the look: 15; and a turn's accepted ones,
    # which push out others that close only after it.
    OWN: ClassVar[int] = 20 + ACCEPTS

    clients: int
    lingering: int  # clients above these that only hear that they are turned away
    calls: int  # with the connections that are kept for the next ones

    @classmethod
    def of(cls, sockets: int, slots: int) -> "Descriptors":
        """Clients get half; they may need a third. Calls get the rest, all slots in any case."""
        lingering = sockets // 16
        calls = max(sockets - cls.OWN - sockets // 2, slots + 4)
        return cls(max(sockets - cls.OWN - lingering - calls, 1), lingering, calls)


class HttpSender:
    """An engine with an HTTP door and an HTTP courier. Its directory and teller are given by who builds
    it."""

    def __init__(self, engine: Engine, listen: Address, sockets: int) -> None:
        self.engine, self.listen = engine, listen
        settings = engine.settings
        share = Descriptors.of(sockets, settings.slots)
        classes = {each.name: each for each in settings.classes}
        self.server = Server(
            classes, engine.take, engine.now, share.clients, share.lingering, self.is_named,
            engine.is_known, settings.max_retry_after,
        )  # fmt: skip
        self.courier = HttpCourier(
            settings.conn_idle / 1e6,
            settings.connect_timeout / 1e6,
            share.calls,
            self.dials,
            engine.wait_told,
        )
        engine.chores.append(self.server.expire)
        engine.attempt_ended = self.stop_if_done

    def dials(self) -> dict[str, Address]:
        raise NotImplementedError

    def is_named(self, destination: int) -> bool:
        return self.engine.directory.knows(destination)

    def plug(self, directory: Directory, teller: Teller) -> None:
        self.engine.plug(self.courier, directory, teller)

    async def start(self) -> None:
        """Takes over what the journal holds; only then do clients hear that the sender is ready."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.loop_failed(context))
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        loop.add_signal_handler(signal.SIGINT, self.terminate)
        self.engine.start()
        self.server.listen(*self.listen)
        self.server.ready = not self.server.stopping
        host, port = self.server.address()[:2]
        log.info("%s: ready on %s:%d", self.engine.config.name, host, port)

    async def run(self) -> int:
        """Serves until it is told to stop; the answer is the exit code."""
        code = await self.engine.stopped
        try:
            self.server.close()
        finally:
            self.engine.close()
        if self.engine.defect:
            log.critical("%s: ended by a defect: %s", self.engine.config.name, self.engine.defect)
        return code

    def terminate(self) -> None:
        """SIGTERM. Clients are still answered, and what they hand in is taken on: the journal keeps it."""
        if self.server.stopping:
            return
        log.info("%s: stopping", self.engine.config.name)
        self.server.stop()
        self.engine.post(face.Stopping(int(STOP * 1e6)))
        loop = asyncio.get_running_loop()
        loop.call_later(STOP_LISTENING, self.stop_listening)
        loop.call_later(STOP, self.engine.stop, 0)

    def stop_listening(self) -> None:
        self.server.close()
        self.stop_if_done()

    def stop_if_done(self) -> None:
        engine = self.engine
        if self.server.stopping and not (self.server.listener or engine.calls or engine.journal.entries):
            engine.stop(0)

    def stop(self, code: int) -> None:
        self.engine.stop(code)

    def loop_failed(self, context: dict[str, Any]) -> None:
        """What a callback raised. Where it is one connection's own, that connection ends; an OSError of any
        other one is a defect like the rest: what it was about to do is not done."""
        error = context.get("exception")
        if transport := transport_in(context):
            if isinstance(error, Exception):
                self.server.reports.tell(error, str(context.get("message")))
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()
            return
        self.engine.fail(str(context.get("message")), error)


class Sender(HttpSender):
    """The same on the platform."""

    def __init__(self, config: Config) -> None:
        self.config = config
        engine = Engine(config.engine())
        self.discovery = Discovery(config.discovery, config.known, engine.list_told, engine.end_answered)
        super().__init__(engine, config.listen, config.sockets)
        self.plug(self.discovery, self.discovery)

    def dials(self) -> dict[str, Address]:
        return self.discovery.dials

    def reconfigure(self, config: Config) -> None:
        """SIGHUP. Discovery may have moved; anything else that has changed waits for the next start."""
        if config.discovery != self.discovery.address:
            log.info("%s: discovery is at %s:%d from now on", self.config.name, *config.discovery)
            self.discovery.move(config.discovery)
            if self.engine.watching:  # the watch at the old address goes on until this one has a list
                self.engine.watching = self.engine.spawn(self.discovery.watch())
