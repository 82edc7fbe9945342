"""The values of a sender's general configuration, as the program uses them."""

from dataclasses import dataclass
from pathlib import Path

from message_sender.configuration.resources import SharedBudget
from message_sender.discovery.outlier import EjectionPolicy
from message_sender.discovery.static import Dial, StaticEndpoint
from message_sender.policy.model import Settings


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """Settings of the traffic's capture files.

    Attributes:
        folder: The folder of the files.
        file_bytes_limit: The maximum size of one file, in bytes.
        files_limit: The maximum number of files; the newest are kept.
        blanked_headers: The headers whose values are not written.
    """

    folder: Path
    file_bytes_limit: int
    files_limit: int
    blanked_headers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ListFiles:
    """Files that list endpoints in addition to the configuration's own.

    Attributes:
        files: The files; the first one has precedence over the others.
        vanished_share_limit: The share of a list's endpoints that may vanish in one update.
        vanished_patience_us: The time, in microseconds, for which a list is not accepted if a larger share
            has vanished.
        slow_start_us: The duration of the slow start of a new or returned endpoint, in microseconds; with 0,
            it has its full share at once.
        ejection: The rules for ejecting outliers; None if none are ejected.
    """

    files: tuple[Path, ...]
    vanished_share_limit: float
    vanished_patience_us: int
    slow_start_us: int
    ejection: EjectionPolicy | None


@dataclass(frozen=True, slots=True)
class Durability:
    """The durability of the journal.

    Attributes:
        sync: The mode of syncs: none, group or each.
        sync_interval_s: The seconds between the beginnings of two syncs; None if nothing is synced.
    """

    sync: str
    sync_interval_s: float | None


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The link to the other senders.

    Attributes:
        listen: The UDP address that is bound.
        advertise: The address that the other senders use.
        seeds: The addresses of members that are contacted to join the fleet.
        key_file: The file with the key that seals datagrams.
        size: The largest expected number of members.
    """

    listen: Dial
    advertise: Dial
    seeds: tuple[Dial, ...]
    key_file: Path
    size: int


@dataclass(frozen=True, slots=True)
class ControlNode:
    """A control node that a sender may watch."""

    name: str
    address: Dial
    region: str


@dataclass(frozen=True, slots=True)
class ControlPlane:
    """The control plane, whose endpoints and budgets replace those in the sender's own file.

    Attributes:
        nodes: The control nodes.
        key_file: The file with the key that seals datagrams.
        region: The sender's region; control nodes of the same region are preferred.
        listen: The UDP address that is bound.
    """

    nodes: tuple[ControlNode, ...]
    key_file: Path
    region: str
    listen: Dial


@dataclass(frozen=True, slots=True)
class SenderConfig:
    """The configuration of a standalone sender.

    Attributes:
        name: The sender's name among the other senders.
        listen: The address that clients connect to.
        state: The state folder; None if the command line names it.
        seed: The seed of the policy's random choices.
        disk_bytes: The maximum size of the state folder, in bytes.
        sockets: The number of file descriptors that the process may open.
        settings: The policy's settings.
        endpoints: The endpoints in the file itself.
        capture: The settings of capture files; None if the traffic is not captured.
        lists: The files that list more endpoints; None if there are none.
        durability: The durability of the journal.
        fleet: The link to the other senders; None if there is none.
        budgets: The budgets that the fleet shares.
        control: The control plane; None if there is none.
    """

    name: str
    listen: Dial
    state: Path | None
    seed: int
    disk_bytes: int
    sockets: int
    settings: Settings
    endpoints: tuple[StaticEndpoint, ...]
    capture: CaptureSettings | None = None
    lists: ListFiles | None = None
    durability: Durability = Durability("none", None)
    fleet: FleetConfig | None = None
    budgets: tuple[SharedBudget, ...] = ()
    control: ControlPlane | None = None
