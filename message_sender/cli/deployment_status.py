"""The version of the configuration in force at each control node and sender, and why some lag. Pure.

Rules:

- If several control nodes know a sender, the report of the node that the sender polled last is used.
- A version is in force everywhere once each control node and each sender that they know has this version or a
  newer one. A control node that does not respond may know senders that the others do not know, so the version
  is then not considered to be in force everywhere. `only_reachable` leaves out these nodes, and senders that
  were silent for longer than SILENCE_LIMIT_S.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

SILENCE_LIMIT_S = 5.0  # a sender polls every second


@dataclass(frozen=True, slots=True)
class ControlNodeStatus:
    """The state of one control node, as reported by the node.

    Attributes:
        name: The name of the node.
        is_reachable: Whether the node responded.
        role: The role of the node in the election.
        leader: The name of the leader that the node knows; empty for none.
        term: The term of the election.
        version: The version of the configuration that the node has in force.
        age_s: The time in seconds since the node knew a leader with a majority.
        watchers: The number of senders that poll the node.
        fault: A fault that needs an operator; empty for none.
    """

    name: str
    is_reachable: bool
    role: str = ""
    leader: str = ""
    term: int = 0
    version: int = 0
    age_s: float = 0.0
    watchers: int = 0
    fault: str = ""


@dataclass(frozen=True, slots=True)
class SenderStatus:
    """The state of one sender, as reported by the control node that the sender polled last.

    Attributes:
        name: The name of the sender.
        version: The version in force at the sender.
        refused_version: The latest version that the sender refused; 0 for none.
        reason: Why the sender refused that version.
        silent_s: The time in seconds since the last poll of the sender.
        node: The name of the control node.
    """

    name: str
    version: int
    refused_version: int
    reason: str
    silent_s: float
    node: str

    def explain_lag(self, version: int) -> str:
        """Returns why `version` is not in force at the sender; empty if the version is in force."""
        if self.version >= version:
            return ""
        if self.refused_version > self.version:
            return f"refused {self.refused_version}: {self.reason}"
        if self.silent_s > SILENCE_LIMIT_S:
            return f"silent for {self.silent_s:.1f} s"
        return "update pending"


@dataclass(frozen=True, slots=True)
class DeploymentStatus:
    """The states of all control nodes and of the senders that they know."""

    nodes: tuple[ControlNodeStatus, ...]
    senders: tuple[SenderStatus, ...]

    @property
    def version(self) -> int:
        """The newest version in force at a control node."""
        return max((node.version for node in self.nodes), default=0)

    def find_lagging(self, version: int, only_reachable: bool = False) -> list[str]:
        """Returns a line for each node and sender where `version` is not in force, with the reason."""
        return [
            *self._find_lagging_nodes(version, only_reachable),
            *self._find_lagging_senders(version, only_reachable),
        ]

    def _find_lagging_nodes(self, version: int, only_reachable: bool) -> list[str]:
        lines = []
        for node in self.nodes:
            if not node.is_reachable:
                if not only_reachable:
                    lines.append(f"control node {node.name}: does not answer; its senders may not be known")
            elif node.version < version:
                lines.append(f"control node {node.name}: version {node.version}")
        return lines

    def _find_lagging_senders(self, version: int, only_reachable: bool) -> list[str]:
        lines = []
        for sender in self.senders:
            if only_reachable and sender.silent_s > SILENCE_LIMIT_S:
                continue
            if reason := sender.explain_lag(version):
                lines.append(f"sender {sender.name}: version {sender.version}, {reason}")
        return lines

    def format_lines(self) -> list[str]:
        """Returns the text of `control status`."""
        version = self.version
        current = [sender for sender in self.senders if sender.version >= version]
        reachable = sum(node.is_reachable for node in self.nodes)
        lines = [
            f"version {version}: in force at {len(current)} of {len(self.senders)} senders; "
            f"{reachable} of {len(self.nodes)} control nodes answer"
        ]
        lines += [format_node(node) for node in self.nodes]
        lines += [f"  {line}" for line in self._find_lagging_senders(version, only_reachable=False)]
        lines += [
            f"  sender {sender.name}: version {sender.version}, silent for {sender.silent_s:.1f} s"
            for sender in current
            if sender.silent_s > SILENCE_LIMIT_S
        ]
        return lines


def format_node(node: ControlNodeStatus) -> str:
    """Returns the line of `control status` that describes one control node."""
    if not node.is_reachable:
        return f"  control node {node.name:<12} does not answer"
    fault = f"; {node.fault}" if node.fault else ""
    return (
        f"  control node {node.name:<12} {node.role:<9} version {node.version}, term {node.term}, "
        f"{node.watchers} senders, majority seen {node.age_s:.1f} s ago{fault}"
    )


def parse_status(response: Mapping[str, Any]) -> DeploymentStatus:
    """Parses the value of the response to `status`.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has an unexpected type.
    """
    nodes = [parse_node(node) for node in response["nodes"]]
    reports = [
        parse_sender(watcher, node["name"])
        for node in response["nodes"]
        if node.get("is_reachable", True)
        for watcher in node["watchers"]
    ]
    return DeploymentStatus(tuple(nodes), select_latest(reports))


def parse_node(node: Mapping[str, Any]) -> ControlNodeStatus:
    """Parses one control node of the response to `status`. Raises KeyError and TypeError."""
    if not node.get("is_reachable", True):
        return ControlNodeStatus(node["name"], is_reachable=False)
    return ControlNodeStatus(
        name=node["name"],
        is_reachable=True,
        role=node["role"],
        leader=node["leader"],
        term=node["term"],
        version=node["version"],
        age_s=node["age_ms"] / 1000,
        watchers=len(node["watchers"]),
        fault=node.get("fault", ""),
    )


def parse_sender(sender: Mapping[str, Any], node: str) -> SenderStatus:
    """Parses one sender as reported by the control node `node`. Raises KeyError and TypeError."""
    return SenderStatus(
        name=sender["name"],
        version=sender["version"],
        refused_version=sender["refused_version"],
        reason=sender["reason"],
        silent_s=sender["silent_ms"] / 1000,
        node=node,
    )


def select_latest(reports: Iterable[SenderStatus]) -> tuple[SenderStatus, ...]:
    """Returns the report of the node that each sender polled last, sorted by sender name."""
    latest = dict[str, SenderStatus]()
    for report in reports:
        known = latest.get(report.name)
        if known is None or report.silent_s < known.silent_s:
            latest[report.name] = report
    return tuple(latest[name] for name in sorted(latest))
