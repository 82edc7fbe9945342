"""`message-sender serve` as a process on a machine of a test's own: its disk forgets, its clock is wrong, its
boot is told. A process that has all of the program imported makes one for each line that it reads, and says
its id: most of the cost of a start is the import.

    {"start": {"config": ..., "state": ..., "answers": ..., "ops": ..., "boot": "1", "log": FIFO}}
    {"wait": PID}
"""

import asyncio
import json
import logging
import os
import sys
from pathlib import Path
from typing import Any

from message_sender.configuration.general import load
from message_sender.core.clock import Clock
from message_sender.journal import durable  # noqa: F401
from message_sender.service import learned_state, membership  # noqa: F401  # imported before any member is made
from message_sender.service.standalone import serve
from message_sender.service.standalone_parts import HostMachine
from message_sender.testbed.simulated_disk import RecordingDisk


def machine(told: dict[str, Any]) -> HostMachine:
    clock = Clock()
    clock.base += int(told.get("clock", 0) * 1e9)  # s that its wall clock is ahead
    disk = RecordingDisk(Path(told["ops"]), told.get("fault", ""), told.get("slow", 0.0))
    return HostMachine(clock, disk, told["boot"])


def main(told: dict[str, Any]) -> int:
    logging.basicConfig(format="%(asctime)s %(message)s", level=logging.INFO)
    file = Path(told["config"])
    with open(told["answers"], "a") as answers:
        return asyncio.run(serve(file, load(file), Path(told["state"]), answers, machine=machine(told)))


def child(told: dict[str, Any]) -> None:
    """Never returns."""
    code = 1
    try:
        log = os.open(told["log"], os.O_WRONLY)
        os.dup2(log, 2)
        os.dup2(os.open(os.devnull, os.O_RDWR), 0)
        os.dup2(0, 1)
        code = main(told)
    except BaseException:
        logging.exception("the member ended")
    finally:
        sys.stderr.flush()
        os._exit(code)


def nursery() -> None:
    for line in sys.stdin:
        asked = json.loads(line)
        if "start" in asked:
            found = os.fork()
            if not found:
                child(asked["start"])
        else:
            found = os.waitpid(asked["wait"], 0)[1]
        print(json.dumps(found), flush=True)


if __name__ == "__main__":
    nursery()
