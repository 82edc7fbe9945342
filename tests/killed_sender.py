"""Runs the sender and kills it with SIGKILL at a given step of a handover.

The first argument is the step: `before owned` kills it just before it sends the packet `owned` to the other
process, `after owned` once the system has accepted that packet.
"""

import os
import runpy
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from message_sender.handover.link import HandoverLink, Packet

KILL_MOMENT, _, PACKET_KIND = sys.argv[1].partition(" ")
send = HandoverLink.send


def send_or_kill(self: HandoverLink, packet: Packet, *rest: object) -> None:
    for moment in ("before", "after"):
        if (moment, packet["do"]) == (KILL_MOMENT, PACKET_KIND):
            os.kill(os.getpid(), signal.SIGKILL)
        if moment == "before":
            send(self, packet, *rest)  # type: ignore[arg-type]


HandoverLink.send = send_or_kill  # type: ignore[method-assign]
sys.argv = ["message_sender"]
runpy.run_module("message_sender", run_name="__main__")
