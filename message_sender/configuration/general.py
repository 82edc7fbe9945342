"""The general configuration of installations without the platform: a TOML file or an equivalent mapping.

All faults are reported together, each with its path. The format, with units, is described in
docs/operate/serve.md.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from message_sender.configuration.general_tables import BYTES_PER_MB, GeneralTable
from message_sender.configuration.resources import BudgetTable, Endpoints, EndpointTable, SharedBudget
from message_sender.configuration.sender_config import (
    CaptureSettings,
    ControlNode,
    ControlPlane,
    Durability,
    FleetConfig,
    ListFiles,
    SenderConfig,
)
from message_sender.configuration.tables import ConfigError, ConfigFault, parse, validate_table
from message_sender.discovery.static import StaticEndpoint

__all__ = [
    "BudgetTable",
    "CaptureSettings",
    "ConfigError",
    "ConfigFault",
    "ControlNode",
    "ControlPlane",
    "Durability",
    "EndpointTable",
    "FleetConfig",
    "ListFiles",
    "SenderConfig",
    "SharedBudget",
    "load",
    "read",
    "read_endpoints",
]


def read(values: Mapping[str, Any], folder: Path = Path()) -> SenderConfig:
    """Builds a configuration.

    Args:
        values: The settings, in the structure of the file.
        folder: The folder to which paths in the settings are relative.

    Raises:
        ConfigError: The settings have faults; the error lists all of them.
    """
    table = validate_table(GeneralTable, values)
    try:
        settings = table.settings()
    except ValueError as error:
        raise ConfigError([ConfigFault("rules", str(error))]) from None
    return SenderConfig(
        name=table.name,
        listen=table.listen,
        state=folder / table.state if table.state else None,
        seed=table.seed,
        disk_bytes=int(table.limits.disk_mb * BYTES_PER_MB),
        sockets=table.limits.sockets,
        settings=settings,
        endpoints=tuple(endpoint.build() for endpoint in table.endpoints),
        capture=table.capture.build(folder) if table.capture else None,
        lists=table.directory.build(folder) if table.directory else None,
        durability=table.durability.build(),
        fleet=table.fleet.build(folder) if table.fleet else None,
        budgets=tuple(budget.build() for budget in table.budgets),
        control=table.control.build(folder) if table.control else None,
    )


def read_endpoints(path: Path) -> list[StaticEndpoint]:
    """Returns the endpoints in a TOML file that has no other settings.

    Raises:
        ConfigError: The file is not TOML, or has faults.
        OSError: The file cannot be read.
    """
    table = validate_table(Endpoints, parse(path))
    return [endpoint.build() for endpoint in table.endpoints]


def load(path: Path) -> SenderConfig:
    """Loads the configuration in a TOML file.

    Raises:
        ConfigError: The file is not TOML, or has faults.
        OSError: The file cannot be read.
    """
    return read(parse(path), path.parent)
