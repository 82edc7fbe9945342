"""A Unix socket in the state folder over which a running sender is asked and told: JSON, a line each way.

Only the sender's own user (and root) may: the socket has mode 0600 and the other side's user is asked of the
system (SO_PEERCRED, unix(7)). A request is an object with `do`; the answer has `ok`, and either `value` or
`faults`, a list of texts. What a client does, or does not do, costs one of `MOST` connections for `PATIENCE`.
"""

import asyncio
import contextlib
import json
import logging
import os
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

SOCKET_NAME = "control"
CONNECTIONS_LIMIT = 16  # connections at once; one more is closed unheard
REQUEST_BYTES_LIMIT = 64 * 1024  # bytes of a request
REQUEST_TIMEOUT_S = 5.0  # s for a request to come

log = logging.getLogger(__name__)

#: Gives the answer's value, or an awaitable of it; a client that waits holds its connection meanwhile.
Command = Callable[[Mapping[str, Any]], Any]


class InvalidRequestError(ValueError):
    """What was asked cannot be done; `faults` says why."""

    def __init__(self, *faults: str) -> None:
        super().__init__("; ".join(faults))
        self.faults = list(faults)


class ControlSocket:
    def __init__(self, folder: Path, commands: Mapping[str, Command]) -> None:
        self.path, self.commands = folder / SOCKET_NAME, commands
        self.open_connections = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Raises OSError where the socket cannot be made. One that an earlier process left is replaced: the
        folder's lock says that nobody else uses it."""
        self.path.unlink(missing_ok=True)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        before = os.umask(0o177)
        try:
            sock.bind(str(self.path))
        finally:
            os.umask(before)
        self.server = await asyncio.start_unix_server(
            self.handle_connection, sock=sock, limit=REQUEST_BYTES_LIMIT
        )

    def close(self) -> None:
        if self.server is None:
            return
        self.server.close()
        for task in self.tasks:
            task.cancel()
        self.path.unlink(missing_ok=True)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open_connections >= CONNECTIONS_LIMIT or not is_authorized(writer.get_extra_info("socket")):
            writer.transport.abort()
            return
        self.open_connections += 1
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.open_connections -= 1
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    line = await reader.readline()
            except TimeoutError:
                return
            except ValueError:
                told: dict[str, Any] = {"ok": False, "faults": ["the request is too long"]}
            else:
                if not line:
                    return
                told = self.answer(line)
                if isinstance(told.get("value"), Awaitable):
                    told = await self.answer_later(told["value"])
            writer.write(json.dumps(told).encode() + b"\n")
            await writer.drain()

    def answer(self, line: bytes) -> dict[str, Any]:
        """Never raises for what is asked, and nothing that is asked ends the sender. The value may be an
        awaitable."""
        try:
            asked = json.loads(line)
            if not isinstance(asked, dict) or asked.get("do") not in self.commands:
                known = ", ".join(sorted(self.commands))
                return {"ok": False, "faults": [f"do must be one of {known}"]}
            return {"ok": True, "value": self.commands[asked["do"]](asked)}
        except Exception as error:
            return failure_response(error)

    async def answer_later(self, value: Awaitable[Any]) -> dict[str, Any]:
        """The same for a value that is awaited."""
        try:
            return {"ok": True, "value": await value}
        except Exception as error:
            return failure_response(error)


def failure_response(error: Exception) -> dict[str, Any]:
    """The answer to a request that raised `error`."""
    if isinstance(error, ValueError | RecursionError):
        return {"ok": False, "faults": getattr(error, "faults", [str(error)])}
    if isinstance(error, KeyError):
        return {"ok": False, "faults": [f"{error.args[0]} is missing or unknown"]}
    log.error("a control request failed", exc_info=error)
    return {"ok": False, "faults": [f"{type(error).__name__}: {error}"]}


def is_authorized(sock: socket.socket) -> bool:
    """Whether the other side is the sender's own user, or root."""
    _, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return user in (0, os.geteuid())


def send_request(
    folder: Path, request: Mapping[str, Any], patience: float = 2 * REQUEST_TIMEOUT_S
) -> dict[str, Any]:
    """One request from outside, and its answer. Raises OSError where no sender listens there, or none answers
    for `patience` seconds, and ValueError for an answer that is none."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(patience)
        sock.connect(str(folder / SOCKET_NAME))
        sock.sendall(json.dumps(request).encode() + b"\n")
        data = b""
        while not data.endswith(b"\n") and (more := sock.recv(65536)):
            data += more
    told = json.loads(data)
    if not isinstance(told, dict):
        raise ValueError("the answer is none")
    return told
