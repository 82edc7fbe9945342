"""Runs the sender and kills it with SIGKILL at a given step of a handover.

The first argument is the step: `before owned` kills it just before it sends the packet `owned` to the other
process, `after owned` once the system has accepted that packet.
"""

import json
import os
import runpy
import signal
import sys
from dataclasses import replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from message_sender.handover.link import HandoverLink, OutgoingPacket, PacketSource

KILL_MOMENT, _, PACKET_KIND = sys.argv[1].partition(" ")
send_later = HandoverLink.send_later


def kill_self() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def send_later_or_kill(self: HandoverLink, source: PacketSource) -> None:
    def build() -> OutgoingPacket | None:
        packet = source()
        if packet is None or json.loads(packet.data)["do"] != PACKET_KIND:
            return packet
        if KILL_MOMENT == "before":
            kill_self()
        return replace(packet, on_sent=kill_self)

    send_later(self, build)


HandoverLink.send_later = send_later_or_kill  # type: ignore[method-assign]
sys.argv = ["message_sender"]
runpy.run_module("message_sender", run_name="__main__")
