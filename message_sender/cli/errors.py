"""Reports configuration and system errors of a command as text on standard error, with exit code 1."""

import contextlib
from collections.abc import Iterator

import click

from message_sender.configuration.general import ConfigError


@contextlib.contextmanager
def exit_on_error(prefix: str = "") -> Iterator[None]:
    """Turns configuration and system errors of its block into a message and exit code 1.

    Args:
        prefix: Text before each fault of a configuration.

    Raises:
        click.ClickException: The block raised ConfigError, OSError or ValueError.
    """
    try:
        yield
    except ConfigError as error:
        raise click.ClickException("\n".join(f"{prefix}{fault}" for fault in error.faults)) from None
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
