"""Measures the load of a whole fleet on destinations that recover, relative to the acceptance bound.

The load is the highest number of calls in a window, over all senders. Receivers do not collapse under
overload here, so that the complete warm-up is measured.

A cold destination may receive N calls in the window that the settings name, where N is what they allow it at
that time; 2 sqrt(N) + 2 calls above that are attributed to chance. A window counts if at least two thirds of
its calls came from senders that had made a call during the outage, as in the acceptance rule.
"""

import math
from collections.abc import Iterator
from typing import Any
from unittest.mock import patch

from message_sender.emulator.fleet import play
from message_sender.emulator.receiver import CallResult, Receiver, ReceiverRandom
from message_sender.emulator.scenario import Scenario, read


def bound(allowed: float) -> float:
    """Returns the calls that a cold destination may receive in a window in which it is allowed `allowed`."""
    return allowed + 2 * math.sqrt(allowed) + 2


class Ramp:
    """The highest load of each recovery, relative to the bound, by receiver and outage.

    Attributes:
        outage_senders: Senders that made a call during an outage, by receiver and start of the outage.
        last_outage: Start of each receiver's last outage in s.
        peaks: The highest load relative to the bound, by receiver and start of the outage.
    """

    def __init__(self) -> None:
        """Starts without any measurement."""
        self.outage_senders: dict[tuple[int, float], set[str]] = {}
        self.last_outage: dict[int, float] = {}
        self.peaks: dict[tuple[int, float], float] = {}

    def record_call(self, receiver: Receiver, now: float, sender: str) -> None:
        """Records a sender's call to a receiver at a time in s."""
        phase = receiver.active_phase(now, sender)
        if phase and phase.is_outage():
            self.last_outage[id(receiver)] = phase.at
            self.outage_senders.setdefault((id(receiver), phase.at), set()).add(sender)
        elif id(receiver) in self.last_outage and receiver.warmth(now) < 1:
            self.measure(receiver, now)

    def measure(self, receiver: Receiver, now: float) -> None:
        """Updates the peak of a receiver's recovery with the window that ends at a time in s."""
        recovered_at = receiver.cold_since(now)
        window = [sender for at, sender in receiver.recent_calls if at >= recovered_at]
        key = id(receiver), self.last_outage[id(receiver)]
        if 3 * sum(each in self.outage_senders[key] for each in window) >= 2 * len(window):
            self.peaks[key] = max(
                self.peaks.get(key, 0.0), len(window) / bound(receiver.overload_threshold(now))
            )


def measuring_patches(ramp: Ramp) -> Iterator[Any]:
    """Yields patches that make receivers record their calls in the ramp and never collapse."""
    real = Receiver.call

    def call(self: Receiver, now: float, sender: str, draws: ReceiverRandom, zone: str = "") -> CallResult:
        self.record_call(now, sender)
        ramp.record_call(self, now, sender)
        return real(self, now, sender, draws, zone)

    yield patch.object(Receiver, "call", call)
    yield patch.object(Receiver, "fails_by_overload", lambda self, now, sender: False)


def peaks(scenario: Scenario, seed: int) -> tuple[list[float], float]:
    """Runs a scenario; returns each recovery's peak, in ascending order, and the fleet's goodput."""
    ramp = Ramp()
    first, second = measuring_patches(ramp)
    with first, second:
        figures = play(scenario, seed).figures
    return sorted(ramp.peaks.values()), figures.goodput()


def recovery_scenario(senders: int, outage: str, zipf: float = 0.6) -> Scenario:
    """Returns a scenario in which five of ten destinations fail from 4 to 9 s and from 22 to 25 s.

    The destinations' limits leave no reserve.

    Args:
        senders: Number of senders.
        outage: How the destinations fail in the first outage: "shut", "silent", "hangs", or "restarts", which
            is "shut" with half of the senders killed 1.5 s after the recovery.
        zipf: Exponent of the distribution of keys.
    """
    trouble = {
        "at": 4,
        "until": 9,
        "what": "shut" if outage == "restarts" else outage,
        "destinations": [*range(5)],
    }
    limit = {"rate": 40, "span_s": 1.5, "refused_count": True, "carried": 0.5, "tells": 0.7}
    kills = range(0, senders, 2) if outage == "restarts" else ()
    return read(
        {
            "title": f"{senders} senders, half of the destinations recover",
            "about": "Peaks of calls at recovering destinations, over the fleet.",
            "source": "docs/design/acceptance.md",
            "good": "Stays within the bound.",
            "seconds": 34,
            "clients": {"rate": 250, "keys": 2000, "zipf": zipf, "retries": 1, "backoff_s": 1.0},
            "fleet": {
                "senders": senders,
                "slots": max(4, 160 // senders),
                "max_open": max(40, 1600 // senders),
                "told_rates": True,
            },
            "destinations": [{"count": 10, "endpoints": 2, "limit": limit, "fallen_s": 4, "cold_s": 12}],
            "troubles": [trouble, {**trouble, "at": 22, "until": 25, "what": "shut"}],
            "incidents": [{"at": 10.5, "what": "kill", "sender": each, "for_s": 1.0} for each in kills],
        }
    )
