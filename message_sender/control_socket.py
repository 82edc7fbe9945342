"""A Unix socket in the state folder for requests to a running sender: a line of JSON each way.

A request is an object with the key `do`, which names a command. The response has `ok`, and either `value` or
`faults`, a list of texts.

Only the process' own user and root are served: the socket has mode 0600, and the user of the other side is
checked (SO_PEERCRED, unix(7)). A client can occupy no more than one of `CONNECTIONS_LIMIT` connections for
`REQUEST_TIMEOUT_S`.
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
CONNECTIONS_LIMIT = 16  # at once; one more is closed without a response
REQUEST_BYTES_LIMIT = 64 * 1024
REQUEST_TIMEOUT_S = 5.0  # for a request to come
RESPONSE_CHUNK_BYTES = 65_536  # read at once by a client
PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group id

log = logging.getLogger(__name__)

#: Takes the request and returns the response's value, or an awaitable of it; a client that waits for it keeps
#: its connection meanwhile.
Command = Callable[[Mapping[str, Any]], Any]


class InvalidRequestError(ValueError):
    """A request cannot be executed.

    Attributes:
        faults: The reasons.
    """

    def __init__(self, *faults: str) -> None:
        """Takes the reasons."""
        super().__init__("; ".join(faults))
        self.faults = list(faults)


class ControlSocket:
    """Executes commands for clients of the socket."""

    def __init__(self, folder: Path, commands: Mapping[str, Command]) -> None:
        """Does not listen yet.

        Args:
            folder: Where the socket is made.
            commands: By name.
        """
        self.path = folder / SOCKET_NAME
        self.commands = commands
        self.open_connections = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens; a socket of an earlier process is replaced: the folder's lock says that it is unused.

        Raises:
            OSError: The socket cannot be made.
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
        """Serves a client until it leaves; one too many, or of another user, is disconnected."""
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
        """Answers requests until the client leaves, or sends none in time."""
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
                    response = await self.answer_later(response["value"])
            writer.write(json.dumps(response).encode() + b"\n")
            await writer.drain()

    def answer(self, line: bytes) -> dict[str, Any]:
        """Executes a request and returns the response, whose value may be an awaitable.

        Boundary of the commands: whatever one raises becomes a response, and never ends the sender.
        """
        try:
            request = json.loads(line)
            if not isinstance(request, dict) or request.get("do") not in self.commands:
                known = ", ".join(sorted(self.commands))
                return {"ok": False, "faults": [f"do must be one of {known}"]}
            return {"ok": True, "value": self.commands[request["do"]](request)}
        except Exception as error:
            return failure_response(error)

    async def answer_later(self, value: Awaitable[Any]) -> dict[str, Any]:
        """The response with a value that is awaited; a boundary as `answer` is."""
        try:
            return {"ok": True, "value": await value}
        except Exception as error:
            return failure_response(error)


def failure_response(error: Exception) -> dict[str, Any]:
    """The response to a request that raised `error`."""
    if isinstance(error, ValueError | RecursionError):
        return {"ok": False, "faults": getattr(error, "faults", [str(error)])}
    if isinstance(error, KeyError):
        return {"ok": False, "faults": [f"{error.args[0]} is missing or unknown"]}
    log.error("control request failed", exc_info=error)
    return {"ok": False, "faults": [f"{type(error).__name__}: {error}"]}


def is_authorized(sock: socket.socket) -> bool:
    """Whether the other side of a Unix socket is the process' own user, or root."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user, _ = PEER_CREDENTIALS.unpack(credentials)
    return user in (0, os.geteuid())


def send_request(
    folder: Path, request: Mapping[str, Any], timeout_s: float = 2 * REQUEST_TIMEOUT_S
) -> dict[str, Any]:
    """Sends one request to the sender of a state folder and returns its response.

    Args:
        folder: The state folder.
        request: An object with `do`.
        timeout_s: For each step: the connection, and each part of the response.

    Raises:
        OSError: No sender listens there, or none responds in time.
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
        raise ValueError("the answer is none")
    return response
