"""Starts the platform's sender: reads its configuration from the environment and runs it."""

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
from message_sender.core.socket_errors import describe_defect
from message_sender.handover.listening_socket import open_listening_socket
from message_sender.handover.takeover import OwnershipHandover
from message_sender.http.common import Address, address_from
from message_sender.http.endpoint_list import EndpointList
from message_sender.management.calls import ManagementCall, ManagementReply
from message_sender.management.server import ManagementServer
from message_sender.service.daemon import DaemonConfig, PlatformSender
from message_sender.service.handover_state import decode_state

BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 192

# Environment variables that the platform sets.
CONFIG_VARIABLE = "BALANCER_CONFIG"  # path of the configuration file
STATE_VARIABLE = "BALANCER_STATE"  # path of the state folder
MANAGEMENT_VARIABLE = "BALANCER_MANAGEMENT"  # address where operators connect
LISTENER_VARIABLE = "BALANCER_SOCKET_FD"  # descriptor of the listening socket

log = logging.getLogger(__name__)


class StartupConfigError(Exception):
    """The configuration cannot be used; the text gives the reason in one line."""


def decode_management_address(values: dict[str, Any]) -> Address | None:
    """Decodes the address where operators connect, from the configuration or the environment.

    Args:
        values: The platform's configuration.

    Returns:
        None if neither has an address.

    Raises:
        ValueError: The text is not an address.
    """
    text = values.get("management") or os.environ.get(MANAGEMENT_VARIABLE)
    try:
        return address_from(text) if text else None
    except ValueError as error:
        raise ValueError(f"management: {error}") from None


def decode_config(values: dict[str, Any], state: Path) -> DaemonConfig:
    """Builds the daemon's configuration.

    Args:
        values: The platform's configuration, decoded from JSON.
        state: The state folder.

    Raises:
        StartupConfigError: A value is missing or invalid.
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
            memory_bytes=int(limits.get("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB),
            known=EndpointList(values["known"]),
            settings=decode_settings(values["settings"], on_sockets=True),
            management=decode_management_address(values),
        )
    except KeyError as error:
        raise StartupConfigError(f"{error.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise StartupConfigError(" ".join(str(error).split())) from None


def read_config() -> DaemonConfig:
    """Reads the configuration file that the environment names.

    Raises:
        StartupConfigError: A variable is not set, or the file cannot be read or is invalid.
    """
    try:
        text = Path(os.environ[CONFIG_VARIABLE]).read_text()
        return decode_config(json.loads(text), Path(os.environ[STATE_VARIABLE]))
    except KeyError as error:
        raise StartupConfigError(f"${error.args[0]} is not set") from None
    except (OSError, ValueError, RecursionError) as error:
        raise StartupConfigError(" ".join(str(error).split())) from None


def reload_configuration(sender: PlatformSender) -> None:
    """Reloads the configuration; if the new one is invalid, the sender keeps the old one."""
    try:
        sender.reconfigure(read_config())
    except StartupConfigError as error:
        log.error("configuration not reloaded: reason=%s", error)


def inherited_listener() -> socket.socket | None:
    """The listening socket that the platform passes to this process; None if it passes no usable one."""
    if not (text := os.environ.get(LISTENER_VARIABLE)):
        return None
    try:
        return open_listening_socket(text)
    except ValueError as error:
        log.error("$%s is not used: %s", LISTENER_VARIABLE, error)
        return None


def reject_call(_call: ManagementCall) -> ManagementReply:
    """Rejects calls of operators until the sender is built."""
    return ManagementReply(503, "not yet: this process does not take clients")


async def build_sender(config: DaemonConfig) -> PlatformSender:
    """Builds a sender that owns its state folder; a predecessor that still runs hands the folder over.

    The address for operators is bound first: if the start fails, the predecessor must continue to serve.

    Args:
        config: The daemon's configuration.

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
    """Handles SIGHUP, from before the configuration is read.

    A signal that arrives before the sender serves is handled once it does.

    Attributes:
        sender: The sender whose configuration is reloaded; None before it serves.
        is_pending: A signal arrived before the sender served.
    """

    def __init__(self) -> None:
        """Installs the signal handler."""
        self.sender: PlatformSender | None = None
        self.is_pending = False
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.request)

    def request(self) -> None:
        """Reloads the configuration now, or once the sender serves."""
        if self.sender:
            reload_configuration(self.sender)
        else:
            self.is_pending = True

    def bind(self, sender: PlatformSender) -> None:
        """Sets the sender whose configuration is reloaded, and handles a pending signal."""
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
    """Runs the platform's sender, and reports in one line why it cannot start; returns the exit code."""
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        return asyncio.run(serve())
    except StartupConfigError as error:
        print(f"message-sender: configuration: {error}", file=sys.stderr)
    except OSError as error:  # the state folder or a listening address cannot be used
        print(f"message-sender: {error}", file=sys.stderr)
    except Exception as error:  # last resort: the platform's log gets one line for a defect
        print(f"message-sender: a defect: {describe_defect(error, 'start')}", file=sys.stderr)
    return 1
