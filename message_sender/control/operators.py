"""The commands of a control node's control socket (control_socket.py): set, get and status."""

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from message_sender.configuration.tables import ConfigError
from message_sender.control.driver import NodeDriver
from message_sender.control.messages import Change, ChangeResult, NodeStatus, Outcome, Resource
from message_sender.control.node import ControlNode
from message_sender.control.schema import read_values
from message_sender.control_socket import Command, InvalidRequestError


class SetRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's request for a change; the values of resources are JSON."""

    do: str
    request_id: str
    base_version: int
    put: dict[str, Any] = {}
    delete: list[str] = []
    author: str = ""


class OperatorCommands:
    """Executes the commands of one node's control socket."""

    def __init__(self, driver: NodeDriver) -> None:
        """Creates the commands for the node that `driver` runs."""
        self.driver = driver

    @property
    def node(self) -> ControlNode:
        """The control node that executes the commands."""
        return self.driver.node

    def commands(self) -> dict[str, Command]:
        """Returns the commands by name; a request has the name in its field `do`."""
        return {"set": self.set, "get": self.get, "status": self.status}

    async def set(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Makes a change. Faults of the configuration are reported in the answer, not raised.

        Raises:
            InvalidRequestError: If the request is malformed.
        """
        try:
            request = msgspec.convert(fields, SetRequest)
        except msgspec.ValidationError as error:
            raise InvalidRequestError(str(error)) from None
        try:
            put = read_values(request.put)
        except ConfigError as error:
            version = self.node.store.document.version
            return _describe_result(Outcome.INVALID, version, tuple(map(str, error.faults)))
        if request.base_version < 0:
            raise InvalidRequestError("base_version: must be 0 or more")
        resources = tuple(Resource(name, value) for name, value in sorted(put.items()))
        change = Change(
            request.request_id, request.base_version, resources, tuple(request.delete), request.author
        )
        result = await self._wait_for(lambda answer, now: self.node.submit(change, answer, now))
        return _describe_result(result.outcome, result.version, result.faults)

    def get(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Returns this node's document, and the milliseconds since its last contact with a majority."""
        document = self.node.store.document
        status = self.node.status(self.driver.clock())
        return {
            "version": document.version,
            "digest": document.digest,
            "resources": {name: json.loads(value) for name, value in sorted(document.resources.items())},
            "age_ms": status.age_ms,
            "role": status.role,
            "leader": status.leader,
        }

    async def status(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        """Returns the status of each node; nodes that do not answer in time are marked as unreachable."""
        statuses = await self._wait_for(self.node.query_status)
        nodes: list[dict[str, Any]] = []
        for name in self.node.node_names():
            if name in statuses:
                nodes.append(_describe_node(statuses[name]))
            else:
                nodes.append({"name": name, "is_reachable": False})
        own = next(node for node in nodes if node["name"] == self.node.name)
        refused = self.node.channel.refused
        own["refused_datagrams"] = {reason.value: number for reason, number in refused.items()}
        own["traffic"] = {
            name: getattr(self.node.channel, name)
            for name in ("sent", "sent_bytes", "received", "received_bytes")
        }
        return {"nodes": nodes}

    async def _wait_for(self, begin: Callable[[Callable[[Any], None], float], None]) -> Any:  # noqa: ANN401
        """Calls `begin` with a callback and the current time; returns the value passed to the callback."""
        future: asyncio.Future[Any] = self.driver.loop.create_future()

        def answer(value: ChangeResult | dict[str, NodeStatus]) -> None:
            if not future.done():
                future.set_result(value)

        self.driver.run_action(lambda now: begin(answer, now))
        return await future


def _describe_result(outcome: Outcome, version: int, faults: tuple[str, ...]) -> dict[str, Any]:
    return {"outcome": outcome.name.lower(), "version": version, "faults": list(faults)}


def _describe_node(status: NodeStatus) -> dict[str, Any]:
    fields = {name: getattr(status, name) for name in status.__struct_fields__ if name != "number"}
    watchers = [
        {name: getattr(watcher, name) for name in watcher.__struct_fields__} for watcher in status.watchers
    ]
    return {**fields, "watchers": watchers, "is_reachable": True}
