"""What the general configuration of a sender says, as values that the program uses."""

from dataclasses import dataclass
from pathlib import Path

from message_sender.configuration.resources import SharedBudget
from message_sender.discovery.outlier import EjectionPolicy
from message_sender.discovery.static import Dial, StaticEndpoint
from message_sender.policy.model import Settings


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """Where the traffic is written as capture files, and how much of it is stored.

    Attributes:
        folder: Of the files.
        file_bytes_limit: Of one file.
        files_limit: The newest ones stay.
        blanked_headers: Whose values are not written.
    """

    folder: Path
    file_bytes_limit: int
    files_limit: int
    blanked_headers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ListFiles:
    """Files that name endpoints besides the configuration's own.

    Attributes:
        files: The first one has precedence over the others.
        vanished_share_limit: The share of a list that may vanish at once.
        vanished_patience_us: For so long, in microseconds, a list with more vanished is doubted.
        slow_start_us: For so long, in microseconds, the share of a new or returned endpoint grows; 0: it has
            all of it at once.
        ejection: When an endpoint that fails among others is ejected; None: never.
    """

    files: tuple[Path, ...]
    vanished_share_limit: float
    vanished_patience_us: int
    slow_start_us: int
    ejection: EjectionPolicy | None


@dataclass(frozen=True, slots=True)
class Durability:
    """What the journal survives.

    Attributes:
        sync: none, group or each.
        sync_interval_s: Seconds between the beginnings of two syncs; None: nothing is synced.
    """

    sync: str
    sync_interval_s: float | None


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The link to the other senders.

    Attributes:
        listen: UDP address that is bound.
        advertise: Address that the others use.
        seeds: Addresses of members to join by.
        key_file: Has the key that datagrams are sealed with.
        size: The most members expected.
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
    """Where a sender gets endpoints and budgets from, in place of those in its own file.

    Attributes:
        nodes: The control nodes.
        key_file: Has the key that datagrams are sealed with.
        region: The sender's own: nodes of it are watched before the others.
        listen: UDP address that is bound.
    """

    nodes: tuple[ControlNode, ...]
    key_file: Path
    region: str
    listen: Dial


@dataclass(frozen=True, slots=True)
class SenderConfig:
    """The configuration of a standalone sender.

    Attributes:
        name: Under which the other senders know it.
        listen: Where clients connect.
        state: The state folder; None: the command line names it.
        seed: Of the policy's random choices.
        disk_bytes: What the state folder may hold.
        sockets: File descriptors that the process may open.
        settings: Of the policy.
        endpoints: Those in the file itself.
        capture: None: the traffic is not captured.
        lists: None: no files name endpoints.
        durability: What the journal survives.
        fleet: None: the sender has no link to others.
        budgets: Shared by the fleet.
        control: None: there is no control plane.
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
