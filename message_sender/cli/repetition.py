"""Repeats the output of a command at an interval, for options such as `--watch`."""

import time
from collections.abc import Callable

import click


def run_repeatedly(
    action: Callable[[], None], interval_s: float, repetitions: int | None, *, has_header: bool
) -> None:
    """Calls `action` a number of times, with a pause between calls.

    Args:
        action: Prints one round of output.
        interval_s: The length of the pause, in seconds.
        repetitions: The number of calls; None to continue until the command is interrupted.
        has_header: Prints the time of day before the first call.
    """
    count = 0
    while repetitions is None or count < repetitions:
        if count:
            time.sleep(interval_s)
        elif has_header:
            click.echo(time.strftime("%H:%M:%S"))
        action()
        count += 1
