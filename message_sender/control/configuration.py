"""The TOML configuration file of a control node. Checks the whole file and reports all faults with paths."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Self

from pydantic import AfterValidator, model_validator

from message_sender.configuration.resources import Address as AddressField
from message_sender.configuration.resources import find_node_faults
from message_sender.configuration.tables import Table, number_between, parse, validate_table
from message_sender.control.messages import NAME_LENGTH_LIMIT, Address
from message_sender.control.node_choice import ControlNodeAddress

VOTES_LIMIT = 100


def check_node_name(name: str) -> str:
    """Returns `name` if it is valid as the name of a node or a cluster.

    Raises:
        ValueError: If it is empty, too long or not printable ASCII.
    """
    if not name or len(name) > NAME_LENGTH_LIMIT or not name.isascii() or not name.isprintable():
        raise ValueError(f"must be 1 to {NAME_LENGTH_LIMIT} printable ASCII characters, not {name!r}")
    return name


@dataclass(frozen=True, slots=True)
class NodeConfiguration:
    """The configuration of one control node.

    Attributes:
        name: The name of this node, one of `nodes`.
        cluster: A name that all nodes of a control plane share.
        listen: The UDP address to bind.
        state: The path of the state folder.
        key_file: The file with the keys of the sealed datagrams.
        nodes: All nodes with their addresses, this node included.
        votes: The votes of each node by name.
    """

    name: str
    cluster: str
    listen: Address
    state: Path
    key_file: Path
    nodes: tuple[ControlNodeAddress, ...]
    votes: dict[str, int]

    def addresses(self) -> dict[str, Address]:
        """Returns the addresses of the other nodes by name."""
        return {node.name: node.address for node in self.nodes if node.name != self.name}


class NodeTable(Table):
    """A `[[nodes]]` table."""

    name: Annotated[str, AfterValidator(check_node_name)]
    address: AddressField
    region: str = ""
    votes: Annotated[int, number_between(1, VOTES_LIMIT)] = 1


class NodeFile(Table):
    """The tables and fields of the complete file."""

    name: Annotated[str, AfterValidator(check_node_name)]
    cluster: Annotated[str, AfterValidator(check_node_name)]
    listen: AddressField
    state: str
    key_file: str
    nodes: tuple[NodeTable, ...]

    @model_validator(mode="after")
    def check_consistency(self) -> Self:
        """Checks rules that involve more than one field.

        Raises:
            ValueError: If a rule is broken; the text has one fault per line.
        """
        faults = find_node_faults([(node.name, node.address) for node in self.nodes])
        if self.name not in {node.name for node in self.nodes}:
            faults.append(f"name: {self.name!r} is not among the nodes")
        if faults:
            raise ValueError("\n".join(faults))
        return self


def load(path: Path) -> NodeConfiguration:
    """Reads the configuration file at `path`; relative paths in it start at its folder.

    Raises:
        ConfigError: With all faults of the file.
        OSError: If it cannot be read.
    """
    table = validate_table(NodeFile, parse(path))
    folder = path.parent
    return NodeConfiguration(
        name=table.name,
        cluster=table.cluster,
        listen=table.listen,
        state=folder / table.state,
        key_file=folder / table.key_file,
        nodes=tuple(ControlNodeAddress(node.name, node.address, node.region) for node in table.nodes),
        votes={node.name: node.votes for node in table.nodes},
    )
