"""Builds the parts of a standalone sender that depend on its configuration.

Recovery and the control plane need the package's extra `fleet`, so that their modules are imported only where
the configuration uses them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from message_sender.configuration.general import SenderConfig, read_endpoints
from message_sender.core.clock import Clock
from message_sender.discovery.file import FileDirectory
from message_sender.discovery.static import StaticDirectory
from message_sender.journal.disk import Disk
from message_sender.journal.process_journal import JOURNAL_FILE

if TYPE_CHECKING:
    from message_sender.recovery.startup import RecoveryStart
    from message_sender.service.control_link import SenderControl

DURABLE_JOURNAL_FIRST_BYTE = b"2"
FLEET_EXTRA_HINT = "pip install 'message-sender[fleet]'"


@dataclass
class HostMachine:
    """The machine that a sender runs on; tests replace it.

    Attributes:
        clock: The clock of all parts; None for the wall clock of the system, where the engine uses the clock
            of the state folder.
        disk: The disk for the sender's files; None for the system's file system.
        boot: The id of the machine's current boot; None for the system's boot id.
    """

    clock: Clock | None = None
    disk: Disk | None = None
    boot: str | None = None


def build_directory(config: SenderConfig, state: Path, now: Callable[[], int]) -> StaticDirectory:
    """Returns a directory of the configuration's endpoints and those in the list files that it names."""
    lists = config.lists
    if lists is None or not lists.files:
        return StaticDirectory(config.endpoints)
    return FileDirectory(
        lists.files,
        read_endpoints,
        state,
        now,
        config.endpoints,
        lists.vanished_share_limit,
        lists.vanished_patience_us,
    )


def has_durable_journal(state: Path) -> bool:
    """Whether the journal in the state folder has the format that survives a crash of the machine."""
    try:
        with (state / JOURNAL_FILE).open("rb") as file:
            return file.read(1) == DURABLE_JOURNAL_FIRST_BYTE
    except OSError:
        return False


def open_recovery(config: SenderConfig, machine: HostMachine, clock: Callable[[], int]) -> "RecoveryStart":
    """Returns the recovery of a sender whose journal survives a crash of the machine.

    Args:
        config: The sender's configuration.
        machine: The machine that the sender runs on.
        clock: The clock of the state folder, in microseconds since the epoch.

    Raises:
        OSError: The extra `fleet` is not installed.
    """
    try:
        from message_sender.recovery.startup import RecoveryStart
    except ImportError as error:
        raise OSError(f"{error}; {FLEET_EXTRA_HINT}") from None
    return RecoveryStart(
        config.settings, config.durability.sync_interval_s, clock, machine.disk, machine.boot
    )


def open_control_plane(config: SenderConfig, state: Path, disk: Disk | None) -> "SenderControl | None":
    """Returns the sender's side of the control plane; None if the configuration has no control plane.

    Raises:
        OSError: The extra `fleet` is not installed.
    """
    if config.control is None:
        return None
    try:
        from message_sender.service.control_link import SenderControl
    except ImportError as error:
        raise OSError(f"{error}; {FLEET_EXTRA_HINT}") from None
    return SenderControl(config, state, disk)
