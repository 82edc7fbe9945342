"""A sender's watch of the configuration (skeleton of the agreed interface)."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from elmglade.control.document import Document
from elmglade.control.messages import Address, Delta, WatchMessage


class RefusedConfigurationError(ValueError):
    """A configuration that cannot be put in force here; the text says why."""


@dataclass(frozen=True, slots=True)
class ControlNodeAddress:
    """A control node by name, where it is heard, and the region that it is in."""

    name: str
    address: Address
    region: str


class Applier(Protocol):
    """Puts a configuration in force."""

    def apply(self, document: Document, delta: Delta) -> None:
        """Checks, stores durably and puts in force what `delta` makes of `document`, whole or not at all."""


@dataclass(frozen=True, slots=True)
class WatchStatus:
    """What a sender has in force. `age`: seconds since a majority is known to have stood behind it."""

    version: int
    age: float
    refused_version: int
    reason: str
    node: str


class Watch:
    """What a sender does to have the newest configuration in force."""

    def __init__(
        self,
        name: str,
        nodes: Sequence[ControlNodeAddress],
        region: str,
        document: Document,
        applier: Applier,
        chance: random.Random,
        now: float,
    ) -> None:
        self.name = name
        self.document = document
        self.node = nodes[0].name

    def receive(self, node: str, message: WatchMessage, now: float) -> None:
        """Takes a message of a control node."""

    def tick(self, now: float) -> None:
        """Sends what is due; to be called each tenth of a second or so."""

    def take_messages(self) -> list[tuple[str, WatchMessage]]:
        """What is to be sent, each with the control node that it is for."""
        return []

    def status(self, now: float) -> WatchStatus:
        """What is in force, and from whom."""
        return WatchStatus(self.document.version, 0.0, 0, "", self.node)
