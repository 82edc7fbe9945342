"""A Unix socket in the state folder for requests to a running sender, as lines of JSON.

A request is an object whose key `do` names a command. The response is an object with `ok`, and either `value`
or `faults`, a list of texts.

Only the user of the process and root are served: the socket has mode 0600, and the peer's user id is checked
(SO_PEERCRED, unix(7)). There are at most `CONNECTIONS_LIMIT` connections, and a connection without a complete
request is closed after `REQUEST_TIMEOUT_S`.
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
CONNECTIONS_LIMIT = 16  # concurrent connections; further connections are closed without a response
REQUEST_BYTES_LIMIT = 64 * 1024
REQUEST_TIMEOUT_S = 5.0  # time for a complete request to arrive
RESPONSE_CHUNK_BYTES = 65_536  # maximum number of bytes that a client reads in one call
PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group id

log = logging.getLogger(__name__)

#: Handles a request and returns the value of the response, or an awaitable of it; the client's connection
#: stays open until the value is known.
Command = Callable[[Mapping[str, Any]], Any]


class InvalidRequestError(ValueError):
    """A request that cannot be executed.

    Attributes:
        faults: The reasons, one text each.
    """

    def __init__(self, *faults: str) -> None:
        """Creates the error from its reasons."""
        super().__init__("; ".join(faults))
        self.faults = list(faults)


class ControlSocket:
    """Executes commands for clients of the socket.

    Attributes:
        path: Path of the socket.
        commands: The commands by name.
        open_connections: Number of open connections.
        server: The listening server; None before `start`.
        tasks: The tasks of the open connections.
    """

    def __init__(self, folder: Path, commands: Mapping[str, Command]) -> None:
        """Creates a socket that does not listen yet.

        Args:
            folder: The folder in which the socket is created.
            commands: The commands by name.
        """
        self.path = folder / SOCKET_NAME
        self.commands = commands
        self.open_connections = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to listen. The socket of an earlier process is replaced.

        The caller holds the folder's lock, so that no other process uses that socket.

        Raises:
            OSError: The socket cannot be created.
        """
        self.path.unlink(missing_ok=True)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        umask = os.umask(0o177)
        try:
            sock.bind(str(self.path))
        finally:
            os.umask(umask)
        self.server = await asyncio.start_unix_server(
            self.handle_connection, sock=sock, limit=REQUEST_BYTES_LIMIT
        )

    def close(self) -> None:
        """Closes all connections and removes the socket."""
        if self.server is None:
            return
        self.server.close()
        for task in self.tasks:
            task.cancel()
        self.path.unlink(missing_ok=True)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves a client until it disconnects; rejects clients of other users and beyond the limit."""
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
        """Answers requests until the client disconnects, or sends no request in time."""
        while True:
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    line = await reader.readline()
            except TimeoutError:
                return
            except ValueError:
                response: dict[str, Any] = {"ok": False, "faults": ["the request is too long"]}
            else:
                if not line:
                    return
                response = self.answer(line)
                if isinstance(response.get("value"), Awaitable):
                    response = await self.await_value(response["value"])
            writer.write(json.dumps(response).encode() + b"\n")
            await writer.drain()

    def answer(self, line: bytes) -> dict[str, Any]:
        """Executes a request and returns the response, whose value may be an awaitable.

        An exception of a command becomes a response and never ends the sender.
        """
        try:
            request = json.loads(line)
            if not isinstance(request, dict) or request.get("do") not in self.commands:
                known = ", ".join(sorted(self.commands))
                return {"ok": False, "faults": [f"do must be one of {known}"]}
            return {"ok": True, "value": self.commands[request["do"]](request)}
        except Exception as error:
            return failure_response(error)

    async def await_value(self, value: Awaitable[Any]) -> dict[str, Any]:
        """Awaits the value of a response; like in `answer`, an exception becomes a response."""
        try:
            return {"ok": True, "value": await value}
        except Exception as error:
            return failure_response(error)


def failure_response(error: Exception) -> dict[str, Any]:
    """Returns the response to a request that raised `error`; an unexpected error is logged."""
    if isinstance(error, ValueError | RecursionError):
        return {"ok": False, "faults": getattr(error, "faults", [str(error)])}
    if isinstance(error, KeyError):
        return {"ok": False, "faults": [f"{error.args[0]} is missing or unknown"]}
    log.error("control request failed", exc_info=error)
    return {"ok": False, "faults": [f"{type(error).__name__}: {error}"]}


def is_authorized(sock: socket.socket) -> bool:
    """Whether the peer of a Unix socket runs as the user of this process, or as root."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user, _ = PEER_CREDENTIALS.unpack(credentials)
    return user in (0, os.geteuid())


def send_request(
    folder: Path, request: Mapping[str, Any], timeout_s: float = 2 * REQUEST_TIMEOUT_S
) -> dict[str, Any]:
    """Sends one request to the sender of a state folder and returns its response.

    Args:
        folder: The state folder.
        request: An object with the key `do`.
        timeout_s: Timeout in seconds of the connection, and of each read of the response.

    Raises:
        OSError: No sender listens there, or the sender does not respond in time.
        ValueError: The response is not a JSON object.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(timeout_s)
        sock.connect(str(folder / SOCKET_NAME))
        sock.sendall(json.dumps(request).encode() + b"\n")
        data = b""
        while not data.endswith(b"\n") and (chunk := sock.recv(RESPONSE_CHUNK_BYTES)):
            data += chunk
    response = json.loads(data)
    if not isinstance(response, dict):
        raise ValueError(f"the sender's response must be a JSON object, not {type(response).__name__}")
    return response
