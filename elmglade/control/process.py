"""A control node as a process: configuration, signals, control socket."""

from pathlib import Path


def run(path: Path) -> int:
    """Serves by the TOML configuration at `path` until SIGTERM; the exit code.

    Raises ConfigError and OSError."""
    raise NotImplementedError


def initialise(path: Path) -> None:
    """Makes the state folder of the node configured at `path`. Raises ConfigError, and OSError where
    the folder was used before."""
    raise NotImplementedError
