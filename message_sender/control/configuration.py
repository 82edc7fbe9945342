"""The TOML file of a control node, checked whole: every fault at once, with its path."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Self

from pydantic import AfterValidator, model_validator

from message_sender.configuration.resources import Address as AddressField
from message_sender.configuration.resources import find_node_faults
from message_sender.configuration.tables import Table, number_between, parse, validate_table
from message_sender.control.messages import NAME_LENGTH_LIMIT, Address
from message_sender.control.watch import ControlNodeAddress

VOTES_LIMIT = 100


def node_name(name: str) -> str:
    if not name or len(name) > NAME_LENGTH_LIMIT or not name.isascii() or not name.isprintable():
        raise ValueError(f"must be 1 to {NAME_LENGTH_LIMIT} printable ASCII characters, not {name!r}")
    return name


@dataclass(frozen=True, slots=True)
class NodeConfiguration:
    """One control node's configuration; paths are those of the file system."""

    name: str
    cluster: str
    listen: Address
    state: Path
    key_file: Path
    nodes: tuple[ControlNodeAddress, ...]
    votes: dict[str, int]

    def addresses(self) -> dict[str, Address]:
        """Of the other nodes."""
        return {each.name: each.address for each in self.nodes if each.name != self.name}


class NodeTable(Table):
    name: Annotated[str, AfterValidator(node_name)]
    address: AddressField
    region: str = ""
    votes: Annotated[int, number_between(1, VOTES_LIMIT)] = 1


class NodeFile(Table):
    name: Annotated[str, AfterValidator(node_name)]
    cluster: Annotated[str, AfterValidator(node_name)]
    listen: AddressField
    state: str
    key_file: str
    nodes: tuple[NodeTable, ...]

    @model_validator(mode="after")
    def consistent(self) -> Self:
        wrong = find_node_faults([(each.name, each.address) for each in self.nodes])
        if self.name not in {each.name for each in self.nodes}:
            wrong.append(f"name: {self.name!r} is not among the nodes")
        if wrong:
            raise ValueError("\n".join(wrong))
        return self


def load(path: Path) -> NodeConfiguration:
    """Raises ConfigError with all faults, and OSError."""
    table = validate_table(NodeFile, parse(path))
    folder = path.parent
    return NodeConfiguration(
        name=table.name,
        cluster=table.cluster,
        listen=table.listen,
        state=folder / table.state,
        key_file=folder / table.key_file,
        nodes=tuple(ControlNodeAddress(each.name, each.address, each.region) for each in table.nodes),
        votes={each.name: each.votes for each in table.nodes},
    )
