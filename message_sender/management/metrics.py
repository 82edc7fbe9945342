"""The metrics as lines of text, `NAME=NUMBER` each. Pure: the tables that decide do the counting."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

PREFIX = "edge_balancer"


@dataclass(frozen=True, slots=True)
class Metrics:
    """What the management API reports.

    Attributes:
        completions: Completed messages since the process began, by message class and kind of completion.
        sent_messages: Messages written completely to endpoints since the process began.
        pending_messages: Messages accepted and not completed.
        endpoints: Endpoints in the list.
        avoided_endpoints: Those of them that the sender avoids at present.
    """

    completions: Mapping[str, Mapping[str, int]]
    sent_messages: int
    pending_messages: int
    endpoints: int
    avoided_endpoints: int

    def lines(self) -> Iterator[str]:
        """Yields the lines, with the names of the management API."""
        for class_name, kinds in sorted(self.completions.items()):
            for kind, count in kinds.items():
                yield f"{PREFIX}.transactions.{class_name}.{kind}={count}"
        yield f"{PREFIX}.sends={self.sent_messages}"
        yield f"{PREFIX}.current={self.pending_messages}"
        yield f"{PREFIX}.cluster_size={self.endpoints}"
        yield f"{PREFIX}.cluster_unhealthy={self.avoided_endpoints}"

    def text(self) -> str:
        """Returns the lines as one text."""
        return "\n".join(self.lines())
