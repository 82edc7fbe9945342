"""Sends requests of commands to a running sender, over the control socket in its state folder."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from message_sender.control_socket import send_request


def request_value(folder: Path, request: Mapping[str, Any]) -> Any:  # noqa: ANN401
    """Sends one request to a running sender, and returns the value of the response.

    Args:
        folder: The state folder of the sender.
        request: The request, with the name of the operation under `do`.

    Raises:
        click.ClickException: No sender responds, or the sender refuses the request (one line for each fault).
    """
    try:
        response = send_request(folder, request)
    except (OSError, ValueError) as error:
        raise click.ClickException(f"no sender answers in {folder}: {error}") from None
    if not response.get("ok"):
        raise click.ClickException("\n".join(map(str, response.get("faults", ["refused"]))))
    return response["value"]
