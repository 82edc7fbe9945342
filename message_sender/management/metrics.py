"""The figures as lines of text, `NAME=NUMBER` each. Pure: what is counted comes from who decides."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

PREFIX = "edge_balancer"


@dataclass(frozen=True, slots=True)
class Metrics:
    transactions: Mapping[str, Mapping[str, int]]  # by class and kind of end, since the process began
    sends: int  # messages written whole to receivers, since the process began
    current: int  # messages taken and not ended
    cluster_size: int  # receivers in the list
    cluster_unhealthy: int  # of these, the ones that the sender avoids now

    def lines(self) -> Iterator[str]:
        for name, ends in sorted(self.transactions.items()):
            for kind, count in ends.items():
                yield f"{PREFIX}.transactions.{name}.{kind}={count}"
        for name in ("sends", "current", "cluster_size", "cluster_unhealthy"):
            yield f"{PREFIX}.{name}={getattr(self, name)}"

    def text(self) -> str:
        return "\n".join(self.lines())
