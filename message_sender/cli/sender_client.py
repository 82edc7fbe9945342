"""Requests of commands to a running sender, over the control socket in its state folder."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from message_sender.control_socket import send_request


def request_value(folder: Path, request: Mapping[str, Any]) -> Any:  # noqa: ANN401
    """Sends one request to a running sender and returns the value of its response.

    Args:
        folder: The sender's state folder.
        request: An object with `do`, the name of the operation.

    Raises:
        click.ClickException: No sender responds, or it refused the request: one line for each fault.
    """
    try:
        response = send_request(folder, request)
    except (OSError, ValueError) as error:
        raise click.ClickException(f"no sender answers in {folder}: {error}") from None
    if not response.get("ok"):
        raise click.ClickException("\n".join(map(str, response.get("faults", ["refused"]))))
    return response["value"]
