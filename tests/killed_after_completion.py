"""Runs the sender and kills it with SIGKILL at a numbered step after its first completion without a delivery.

A step is the moment before, or the moment after, a system call on the journal or on a socket. The first
argument is the number of the step; the process goes on if there are fewer.
"""

import os
import runpy
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from message_sender.core.message_table import MessageTable
from message_sender.core.ports import Completion

FATAL_STEP = int(sys.argv[1])
complete = MessageTable.complete
steps = -1  # no completion yet


def take_step() -> None:
    global steps
    if steps >= 0:
        if steps == FATAL_STEP:
            os.kill(os.getpid(), signal.SIGKILL)
        steps += 1


def with_steps(operation: Callable[..., Any]) -> Callable[..., Any]:
    def run(*arguments: object) -> object:
        take_step()
        try:
            return operation(*arguments)
        finally:
            take_step()

    return run


def complete_and_count(self: MessageTable, message_id: str, completion: Completion) -> None:
    global steps
    if steps < 0:
        steps = 0
        print("first completion decided", file=sys.stderr, flush=True)
    take_step()
    complete(self, message_id, completion)
    take_step()


MessageTable.complete = complete_and_count  # type: ignore[method-assign]
for name in ("write", "replace"):
    setattr(os, name, with_steps(getattr(os, name)))
for name in ("connect", "send", "recv", "close"):
    setattr(socket.socket, name, with_steps(getattr(socket.socket, name)))
sys.argv = ["message_sender"]
runpy.run_module("message_sender", run_name="__main__")
