"""Formats the log records of a command and of its sender as JSON lines or for a terminal.

structlog formats the records of the standard library's logging. The engine therefore does not depend on
structlog, since the platform runs the engine with no library except h11.
"""

import logging
import sys
from typing import Literal

import structlog

LogFormat = Literal["people", "json"]


def configure_logging(log_format: LogFormat = "people", level: int = logging.INFO) -> None:
    """Sends log records of at least `level` to standard error, and removes all earlier handlers."""
    processors: list[structlog.types.Processor] = [
        structlog.contextvars.merge_contextvars,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.add_log_level,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    renderer: structlog.types.Processor = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    if log_format == "json":
        processors.append(structlog.processors.dict_tracebacks)
        renderer = structlog.processors.JSONRenderer(sort_keys=True)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=processors,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
