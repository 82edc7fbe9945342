"""The real sender's start: reads the configuration that the platform names and runs the sender with it."""

import asyncio
import json
import logging
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

from message_sender.configuration.settings import settings_from
from message_sender.core.socket_errors import describe
from message_sender.handover.takeover import OwnershipHandover, inherited
from message_sender.http.codec import Address, address_from
from message_sender.http.discovery import EndpointList
from message_sender.management.calls import ManagementCall, ManagementReply
from message_sender.management.server import ManagementServer
from message_sender.service.daemon import DaemonConfig, PlatformSender
from message_sender.service.process_handover import decode_state

BYTES_PER_MB = 1_000_000

log = logging.getLogger(__name__)


class StartupConfigError(Exception):
    """The configuration cannot be used; the text says why, in one line."""


def decode_management_address(told: dict[str, Any]) -> Address | None:
    """Where operators call; None: nowhere. Raises ValueError."""
    text = told.get("management") or os.environ.get("BALANCER_MANAGEMENT")
    try:
        return address_from(text) if text else None
    except ValueError as error:
        raise ValueError(f"management: {error}") from None


def decode_config(told: dict[str, Any], state: Path) -> DaemonConfig:
    try:
        limits = told["limits"]
        return DaemonConfig(
            name=told["name"],
            listen=address_from(told["listen"]),
            discovery=address_from(told["discovery"]),
            state=state,
            seed=int(told["seed"], 16),
            disk_bytes=int(limits["disk_mb"] * BYTES_PER_MB),
            sockets=int(limits["sockets"]),
            known=EndpointList(told["known"]),
            settings=settings_from(told["settings"], on_sockets=True),
            management=decode_management_address(told),
        )
    except KeyError as error:
        raise StartupConfigError(f"{error.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise StartupConfigError(" ".join(str(error).split())) from None


def read_config() -> DaemonConfig:
    try:
        text = Path(os.environ["BALANCER_CONFIG"]).read_text()
        return decode_config(json.loads(text), Path(os.environ["BALANCER_STATE"]))
    except KeyError as error:
        raise StartupConfigError(f"${error.args[0]} is not set") from None
    except (OSError, ValueError, RecursionError) as error:
        raise StartupConfigError(" ".join(str(error).split())) from None


def reload_configuration(sender: PlatformSender) -> None:
    """SIGHUP: the configuration has been replaced. A bad one changes nothing."""
    try:
        sender.reconfigure(read_config())
    except StartupConfigError as error:
        log.error("the new configuration is not used: %s", error)


def inherited_listener() -> socket.socket | None:
    """The listening socket that the platform holds; None: it holds none, or nothing that can be used."""
    if not (text := os.environ.get("BALANCER_SOCKET_FD")):
        return None
    try:
        return inherited(text)
    except ValueError as error:
        log.error("$BALANCER_SOCKET_FD is not used: %s", error)
        return None


def reject_call(call: ManagementCall) -> ManagementReply:
    return ManagementReply(503, "not yet: this process does not take clients")


async def build_sender(config: DaemonConfig) -> PlatformSender:
    """A sender that owns its state folder: taken over from a process that still runs, where there is one. The
    operators' address is bound first: a start that fails must leave that process serving."""
    desk = None
    if config.management:
        desk = ManagementServer(reject_call)
        desk.listen(*config.management)
    if not (listener := inherited_listener()):
        return PlatformSender(config, desk=desk)
    seat = OwnershipHandover(config.state)
    return PlatformSender(config, seat, await seat.take(decode_state), listener, desk)


class Reload:
    """SIGHUP, from before the configuration is read: one that comes before the sender serves is kept."""

    def __init__(self) -> None:
        self.sender: PlatformSender | None = None
        self.is_pending = False
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.request)

    def request(self) -> None:
        if self.sender:
            reload_configuration(self.sender)
        else:
            self.is_pending = True

    def bind(self, sender: PlatformSender) -> None:
        self.sender = sender
        if self.is_pending:
            self.request()


async def serve() -> int:
    reload = Reload()
    sender = await build_sender(read_config())
    await sender.start()
    reload.bind(sender)
    return await sender.run()


def main() -> int:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        return asyncio.run(serve())
    except StartupConfigError as error:
        print(f"message-sender: configuration: {error}", file=sys.stderr)
    except OSError as error:
        print(f"message-sender: {error}", file=sys.stderr)  # the state folder or the address to listen on
    except Exception as error:
        print(f"message-sender: a defect: {describe(error, 'start')}", file=sys.stderr)
    return 1
