"""The registry of dimensions by name.

To add a dimension, write a module with a function `run(effort)` and enter it here with a title.
"""

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.scale import changes_report, destinations, held, members, messages, restarts
from benchmarks.scale.results import Effort, Measured


@dataclass(frozen=True, slots=True)
class Dimension:
    """The title of a dimension and the function that measures it."""

    title: str
    run: Callable[[Effort], Measured]


DIMENSIONS = {
    "members": Dimension("the link at rest, by the number of members", members.run),
    "destinations": Dimension("the destination list, by its length", destinations.run),
    "held": Dimension("a backlog, by the number of held messages", held.run),
    "messages": Dimension("the data path of one sender, by messages per second", messages.run),
    "changes": Dimension("the control plane, by the number of senders", changes_report.run),
    "restarts": Dimension("simultaneous restarts, by the number of restarted members", restarts.run),
}
