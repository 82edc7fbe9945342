"""Start of the platform's sender: reads the configuration that the platform names, and runs the sender."""

import asyncio
import json
import logging
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

from message_sender.configuration.settings import decode_settings
from message_sender.core.socket_errors import describe
from message_sender.handover.listening_socket import open_listening_socket
from message_sender.handover.takeover import OwnershipHandover
from message_sender.http.codec import Address, address_from
from message_sender.http.discovery import EndpointList
from message_sender.management.calls import ManagementCall, ManagementReply
from message_sender.management.server import ManagementServer
from message_sender.service.daemon import DaemonConfig, PlatformSender
from message_sender.service.handover_state import decode_state

BYTES_PER_MB = 1_000_000

# Environment variables that the platform sets.
CONFIG_VARIABLE = "BALANCER_CONFIG"  # path of the configuration
STATE_VARIABLE = "BALANCER_STATE"  # path of the state folder
MANAGEMENT_VARIABLE = "BALANCER_MANAGEMENT"  # where operators connect
LISTENER_VARIABLE = "BALANCER_SOCKET_FD"  # descriptor of the listening socket

log = logging.getLogger(__name__)


class StartupConfigError(Exception):
    """The configuration cannot be used; the text says why, in one line."""


def decode_management_address(values: dict[str, Any]) -> Address | None:
    """The address where operators connect, from the configuration or the environment.

    Args:
        values: The platform's configuration.

    Returns:
        None where there is no such address.

    Raises:
        ValueError: It is not an address.
    """
    text = values.get("management") or os.environ.get(MANAGEMENT_VARIABLE)
    try:
        return address_from(text) if text else None
    except ValueError as error:
        raise ValueError(f"management: {error}") from None


def decode_config(values: dict[str, Any], state: Path) -> DaemonConfig:
    """Builds the daemon's configuration.

    Args:
        values: The platform's configuration, as its JSON has it.
        state: The state folder.

    Raises:
        StartupConfigError: A value is missing or cannot be used.
    """
    try:
        limits = values["limits"]
        return DaemonConfig(
            name=values["name"],
            listen=address_from(values["listen"]),
            discovery=address_from(values["discovery"]),
            state=state,
            seed=int(values["seed"], 16),
            disk_bytes=int(limits["disk_mb"] * BYTES_PER_MB),
            sockets=int(limits["sockets"]),
            known=EndpointList(values["known"]),
            settings=decode_settings(values["settings"], on_sockets=True),
            management=decode_management_address(values),
        )
    except KeyError as error:
        raise StartupConfigError(f"{error.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise StartupConfigError(" ".join(str(error).split())) from None


def read_config() -> DaemonConfig:
    """Reads the configuration that the environment names.

    Raises:
        StartupConfigError: It is not named, cannot be read or cannot be used.
    """
    try:
        text = Path(os.environ[CONFIG_VARIABLE]).read_text()
        return decode_config(json.loads(text), Path(os.environ[STATE_VARIABLE]))
    except KeyError as error:
        raise StartupConfigError(f"${error.args[0]} is not set") from None
    except (OSError, ValueError, RecursionError) as error:
        raise StartupConfigError(" ".join(str(error).split())) from None


def reload_configuration(sender: PlatformSender) -> None:
    """Reads the configuration anew; one that cannot be used changes nothing."""
    try:
        sender.reconfigure(read_config())
    except StartupConfigError as error:
        log.error("configuration not reloaded: reason=%s", error)


def inherited_listener() -> socket.socket | None:
    """The listening socket that the platform holds; None: it holds none, or nothing that can be used."""
    if not (text := os.environ.get(LISTENER_VARIABLE)):
        return None
    try:
        return open_listening_socket(text)
    except ValueError as error:
        log.error("$%s is not used: %s", LISTENER_VARIABLE, error)
        return None


def reject_call(_call: ManagementCall) -> ManagementReply:
    """Answers operators before the sender is built."""
    return ManagementReply(503, "not yet: this process does not take clients")


async def build_sender(config: DaemonConfig) -> PlatformSender:
    """Builds a sender that owns its state folder, taken over from a process that still runs if there is one.

    The operators' address is bound first: a start that fails must leave that process serving.

    Raises:
        OSError: The state folder or an address cannot be used.
    """
    management_server = None
    if config.management:
        management_server = ManagementServer(reject_call)
        management_server.listen(*config.management)
    listener = inherited_listener()
    if listener is None:
        return PlatformSender(config, management_server=management_server)
    ownership = OwnershipHandover(config.state)
    predecessor = await ownership.acquire(decode_state)
    return PlatformSender(config, ownership, predecessor, listener, management_server)


class Reload:
    """Handles SIGHUP from before the configuration is read.

    A signal that comes before the sender serves is kept until then.

    Attributes:
        sender: Whose configuration is read anew; None before it serves.
        is_pending: A signal came before the sender served.
    """

    def __init__(self) -> None:
        """Installs the signal handler."""
        self.sender: PlatformSender | None = None
        self.is_pending = False
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.request)

    def request(self) -> None:
        """Reloads now, or once there is a sender."""
        if self.sender:
            reload_configuration(self.sender)
        else:
            self.is_pending = True

    def bind(self, sender: PlatformSender) -> None:
        """Reloads the configuration of this sender from now on."""
        self.sender = sender
        if self.is_pending:
            self.request()


async def serve() -> int:
    """Runs the platform's sender; returns the exit code."""
    reload = Reload()
    sender = await build_sender(read_config())
    await sender.start()
    reload.bind(sender)
    return await sender.run()


def main() -> int:
    """Runs the platform's sender and reports in one line why it cannot start; returns the exit code."""
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        return asyncio.run(serve())
    except StartupConfigError as error:
        print(f"message-sender: configuration: {error}", file=sys.stderr)
    except OSError as error:  # the state folder or an address to listen on
        print(f"message-sender: {error}", file=sys.stderr)
    except Exception as error:  # boundary of the process: a defect is one line for the platform's log
        print(f"message-sender: a defect: {describe(error, 'start')}", file=sys.stderr)
    return 1
