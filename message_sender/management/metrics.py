"""Formats the metrics as lines of text, `NAME=NUMBER` each; the counting is done by the sender's tables."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

PREFIX = "edge_balancer"


@dataclass(frozen=True, slots=True)
class Metrics:
    """The counters and gauges that the management API reports.

    Attributes:
        completions: The number of messages completed since the process started, by message class and kind of
            completion.
        sent_messages: The number of messages written completely to endpoints since the process started.
        pending_messages: The number of messages that are accepted and not completed.
        endpoints: The number of listed endpoints.
        avoided_endpoints: The number of listed endpoints that currently get no new calls.
    """

    completions: Mapping[str, Mapping[str, int]]
    sent_messages: int
    pending_messages: int
    endpoints: int
    avoided_endpoints: int

    def lines(self) -> Iterator[str]:
        """Yields a line for each metric, under its name in the management API."""
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
