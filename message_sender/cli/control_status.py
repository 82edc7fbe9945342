"""Which version of the configuration is in force where, who lags and why, from the answers of control nodes.
Pure.

Rules:

- Of a sender that several control nodes know, the one that heard it last is believed.
- A version is in force everywhere once each control node and each sender that they know has it, or a newer
  one. A control node that does not answer may have senders that the others don't know: then it is not known
  to be everywhere. Who counts only what is reachable leaves out these nodes, and senders that were silent
  for longer than SILENT_S.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

SILENT_S = 5.0  # a sender polls each second


@dataclass(frozen=True, slots=True)
class ControlNodeView:
    """One control node's word of itself."""

    name: str
    is_reachable: bool
    role: str = ""
    leader: str = ""
    term: int = 0
    version: int = 0
    age_s: float = 0.0  # since it knew a leader with a majority
    watchers: int = 0
    fault: str = ""  # what an operator is to look after


@dataclass(frozen=True, slots=True)
class SenderView:
    """A sender, as the control node that heard it last knows it."""

    name: str
    version: int
    refused_version: int
    reason: str
    silent_s: float
    node: str

    def lag(self, version: int) -> str:
        """Why `version` is not in force there; empty where it is."""
        if self.version >= version:
            return ""
        if self.refused_version > self.version:
            return f"refused {self.refused_version}: {self.reason}"
        if self.silent_s > SILENT_S:
            return f"silent for {self.silent_s:.1f} s"
        return "on its way"


@dataclass(frozen=True, slots=True)
class Overview:
    """All that the control nodes know."""

    nodes: tuple[ControlNodeView, ...]
    senders: tuple[SenderView, ...]

    @property
    def version(self) -> int:
        """The newest that a control node has."""
        return max((each.version for each in self.nodes), default=0)

    def lagging(self, version: int, only_reachable: bool = False) -> list[str]:
        """Who does not have `version` in force, each with its reason."""
        found = []
        for node in self.nodes:
            if not node.is_reachable:
                if not only_reachable:
                    found.append(f"control node {node.name}: does not answer; its senders may not be known")
            elif node.version < version:
                found.append(f"control node {node.name}: version {node.version}")
        for sender in self.senders:
            if only_reachable and sender.silent_s > SILENT_S:
                continue
            if reason := sender.lag(version):
                found.append(f"sender {sender.name}: version {sender.version}, {reason}")
        return found

    def lines(self) -> list[str]:
        """What a person reads."""
        version = self.version
        have = sum(1 for each in self.senders if each.version >= version)
        answer = sum(1 for each in self.nodes if each.is_reachable)
        found = [
            f"version {version}: in force at {have} of {len(self.senders)} senders; "
            f"{answer} of {len(self.nodes)} control nodes answer"
        ]
        found += [node_line(each) for each in self.nodes]
        found += [f"  {each}" for each in self.lagging(version) if each.startswith("sender ")]
        found += [
            f"  sender {each.name}: version {each.version}, silent for {each.silent_s:.1f} s"
            for each in self.senders
            if each.version >= version and each.silent_s > SILENT_S
        ]
        return found


def node_line(node: ControlNodeView) -> str:
    """One control node, for a person."""
    if not node.is_reachable:
        return f"  control node {node.name:<12} does not answer"
    fault = f"; {node.fault}" if node.fault else ""
    return (
        f"  control node {node.name:<12} {node.role:<9} version {node.version}, term {node.term}, "
        f"{node.watchers} senders, a majority {node.age_s:.1f} s ago{fault}"
    )


def overview(told: Mapping[str, Any]) -> Overview:
    """From the answer to `status`. Raises KeyError and TypeError for one that is none."""
    nodes, heard = [], dict[str, SenderView]()
    for each in told["nodes"]:
        if not each.get("is_reachable", True):
            nodes.append(ControlNodeView(each["name"], False))
            continue
        watchers = each["watchers"]
        nodes.append(
            ControlNodeView(
                each["name"], True, each["role"], each["leader"], each["term"], each["version"],
                each["age_ms"] / 1000, len(watchers), each.get("fault", ""),
            )
        )  # fmt: skip
        for watcher in watchers:
            sender = sender_of(watcher, each["name"])
            known = heard.get(sender.name)
            if known is None or sender.silent_s < known.silent_s:
                heard[sender.name] = sender
    return Overview(tuple(nodes), tuple(heard[name] for name in sorted(heard)))


def sender_of(told: Mapping[str, Any], node: str) -> SenderView:
    """One sender as `node` knows it."""
    return SenderView(
        told["name"], told["version"], told["refused_version"], told["reason"], told["silent_ms"] / 1000, node
    )
