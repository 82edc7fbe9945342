"""Options, arguments and parameter types that several commands share."""

import getpass
import time
from pathlib import Path
from typing import Any

import click

from message_sender.discovery.time_text import parse_time

FILE_PATH = click.Path(path_type=Path, dir_okay=False)
EXISTING_FILE_PATH = click.Path(path_type=Path, dir_okay=False, exists=True)
FOLDER_PATH = click.Path(path_type=Path, file_okay=False)
ANY_PATH = click.Path(path_type=Path)

JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
LOG_FORMAT_OPTION = click.option(
    "--log",
    "log_format",
    type=click.Choice(["people", "json"]),
    default="people",
    show_default=True,
    help="Log format.",
)
STATE_OPTION = click.option(
    "--state", "folder", type=ANY_PATH, required=True, help="The sender's state folder."
)
AUTHOR_OPTION = click.option(
    "--who", default=getpass.getuser, help="Author of the change.", show_default="you"
)
INTERVAL_OPTION = click.option(
    "--every", type=click.FloatRange(0.1, 60), default=1.0, show_default=True, help="Interval in seconds."
)
REPETITIONS_OPTION = click.option(
    "--times", type=click.IntRange(1), help="Number of outputs; default: until interrupted."
)


def now_us() -> int:
    """Returns the present time in microseconds since the epoch."""
    return time.time_ns() // 1000


class TimeParameter(click.ParamType[int]):
    """A time such as `22:30`, `+45m` or ISO 8601, as microseconds since the epoch."""

    name = "TIME"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:  # noqa: ANN401
        """Returns the time that a text stands for, in microseconds since the epoch.

        Raises:
            click.BadParameter: The text is not a time.
        """
        if isinstance(value, int):
            return value
        try:
            return parse_time(value, now_us())
        except (ValueError, OverflowError) as error:
            self.fail(str(error), param, ctx)
