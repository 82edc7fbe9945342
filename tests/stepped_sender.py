"""Runs the sender on a machine whose wall clock is stepped by the seconds in the first argument."""

import runpy
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
STEP_S = float(sys.argv[1])
wall_time, wall_time_ns = time.time, time.time_ns


def stepped_time() -> float:
    return wall_time() + STEP_S


def stepped_time_ns() -> int:
    return wall_time_ns() + int(STEP_S * 1e9)


time.time, time.time_ns = stepped_time, stepped_time_ns
sys.argv = ["message_sender"]
runpy.run_module("message_sender", run_name="__main__")
