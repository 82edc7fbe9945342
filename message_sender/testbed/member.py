"""The member processes of a cluster: `message-sender serve` with a simulated disk, clock and boot id.

Run as a program, this module imports the sender once and forks a process for each start request, since the
import is most of the cost of a start. Requests are lines of JSON on standard input. The answer to each, on
standard output, is the id of the new process, or the exit status of the process that was waited for:

    {"start": {"config": ..., "state": ..., "answers": ..., "ops": ..., "boot": "1", "log": FIFO}}
    {"wait": PID}
"""

import asyncio
import json
import logging
import os
import sys
from pathlib import Path
from typing import Any, NoReturn

from message_sender.configuration.general import load
from message_sender.core.clock import Clock
from message_sender.journal import durable  # noqa: F401
from message_sender.service import learned_state, membership  # noqa: F401  # imported before any member is forked
from message_sender.service.standalone import serve
from message_sender.service.standalone_parts import HostMachine
from message_sender.testbed.simulated_disk import RecordingDisk


def create_machine(start: dict[str, Any]) -> HostMachine:
    """Return the simulated machine of a start request; `clock` is the lead of its wall clock in seconds."""
    clock = Clock()
    clock.base += int(start.get("clock", 0) * 1e9)
    disk = RecordingDisk(Path(start["ops"]), start.get("fault", ""), start.get("slow", 0.0))
    return HostMachine(clock, disk, start["boot"])


def run_member(start: dict[str, Any]) -> int:
    """Run the sender of a start request, and return its exit code."""
    logging.basicConfig(format="%(asctime)s %(message)s", level=logging.INFO)
    file = Path(start["config"])
    with open(start["answers"], "a") as answers:
        work = serve(file, load(file), Path(start["state"]), answers, machine=create_machine(start))
        return asyncio.run(work)


def run_child(start: dict[str, Any]) -> NoReturn:
    """Run a member in the forked process with its log as standard error, then exit the process."""
    code = 1
    try:
        log = os.open(start["log"], os.O_WRONLY)
        os.dup2(log, 2)
        os.dup2(os.open(os.devnull, os.O_RDWR), 0)
        os.dup2(0, 1)
        code = run_member(start)
    except BaseException:  # last handler of the process: log every kind of failure
        logging.exception("member process failed")
    finally:
        sys.stderr.flush()
        os._exit(code)


def serve_requests() -> None:
    """Answer requests until standard input ends."""
    for line in sys.stdin:
        request = json.loads(line)
        if "start" in request:
            result = os.fork()
            if not result:
                run_child(request["start"])
        else:
            result = os.waitpid(request["wait"], 0)[1]
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    serve_requests()
