"""The platform's sender, killed at a named step of a hand-over: `before owned` as it is about to send that
packet to the other process, `after owned` once the system has it."""

import os
import runpy
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from message_sender.handover.link import HandoverLink, Packet

WHEN, _, STEP = sys.argv[1].partition(" ")
send = HandoverLink.send


def send_and_die(self: HandoverLink, packet: Packet, *rest: object) -> None:
    for when in ("before", "after"):
        if (when, packet["do"]) == (WHEN, STEP):
            os.kill(os.getpid(), signal.SIGKILL)
        if when == "before":
            send(self, packet, *rest)  # type: ignore[arg-type]


HandoverLink.send = send_and_die  # type: ignore[method-assign]
sys.argv = ["message_sender"]
runpy.run_module("message_sender", run_name="__main__")
