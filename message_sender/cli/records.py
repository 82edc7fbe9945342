"""What a command and the sender under it log: fields of the event, as JSON lines or for people.

structlog formats what comes through the standard library's logging too, so that the engine, which the
platform runs with no library but h11, need not know of it.
"""

import logging
import sys
from typing import Literal

import structlog

Form = Literal["people", "json"]


def begin(form: Form = "people", level: int = logging.INFO) -> None:
    """From now on records go to standard error in that form."""
    before: list[structlog.types.Processor] = [
        structlog.contextvars.merge_contextvars,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.add_log_level,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    last: structlog.types.Processor = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    if form == "json":
        before.append(structlog.processors.dict_tracebacks)
        last = structlog.processors.JSONRenderer(sort_keys=True)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=before,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, last],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
