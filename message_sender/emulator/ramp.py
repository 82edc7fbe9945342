"""How a whole fleet meets destinations that come back: the most calls in a span, over all senders, against
the operators' bound. Nothing falls here, so that the whole warm-up is seen.

A cold destination may get N calls in the span that the settings name, N being what they allow it then; of
what comes above, 2 root N + 2 are put down to chance. Spans in which two thirds came from senders that had
seen a call meet the outage count, as in the rule.
"""

import math
from collections.abc import Iterator
from typing import Any
from unittest.mock import patch

from message_sender.emulator.fleet import play
from message_sender.emulator.receiver import Fate, Receiver, ReceiverRandom
from message_sender.emulator.scenario import Scenario, read


def bound(allowed: float) -> float:
    """Calls that a cold destination may get; `allowed`: N."""
    return allowed + 2 * math.sqrt(allowed) + 2


class Ramp:
    """The highest share of the bound that each return came to, by receiver and outage."""

    def __init__(self) -> None:
        self.told: dict[tuple[int, float], set[str]] = {}
        self.last: dict[int, float] = {}
        self.peaks: dict[tuple[int, float], float] = {}

    def met(self, receiver: Receiver, now: float, sender: str) -> None:
        phase = receiver.trouble(now, sender)
        if phase and phase.is_outage():
            self.last[id(receiver)] = phase.at
            self.told.setdefault((id(receiver), phase.at), set()).add(sender)
        elif id(receiver) in self.last and receiver.warmth(now) < 1:
            self.came(receiver, now)

    def came(self, receiver: Receiver, now: float) -> None:
        back = receiver.cold_since(now)
        span = [sender for at, sender in receiver.came if at >= back]
        name = id(receiver), self.last[id(receiver)]
        if 3 * sum(each in self.told[name] for each in span) >= 2 * len(span):
            self.peaks[name] = max(self.peaks.get(name, 0.0), len(span) / bound(receiver.allowed(now)))


def watched(ramp: Ramp) -> Iterator[Any]:
    """Patches under which receivers tell the ramp of their calls, and never fall."""
    real = Receiver.call

    def call(self: Receiver, now: float, sender: str, luck: ReceiverRandom, zone: str = "") -> Fate:
        self.count(now, sender)
        ramp.met(self, now, sender)
        return real(self, now, sender, luck, zone)

    yield patch.object(Receiver, "call", call)
    yield patch.object(Receiver, "pushed_over", lambda self, now, sender: False)


def peaks(scenario: Scenario, seed: int) -> tuple[list[float], float]:
    """Of each return, lowest first, and the fleet's goodput."""
    ramp = Ramp()
    first, second = watched(ramp)
    with first, second:
        figures = play(scenario, seed).figures
    return sorted(ramp.peaks.values()), figures.goodput()


def returning(senders: int, how: str, zipf: float = 0.6) -> Scenario:
    """Half of ten destinations are out from 4 to 9 s, and again from 22 to 25 s. `how`: shut, silent, hangs,
    or "restarts": shut, and half of the senders are killed 1.5 s after the return. Limits have nothing to
    spare."""
    trouble = {"at": 4, "until": 9, "what": "shut" if how == "restarts" else how, "destinations": [*range(5)]}
    limit = {"rate": 40, "span_s": 1.5, "refused_count": True, "carried": 0.5, "tells": 0.7}
    kills = range(0, senders, 2) if how == "restarts" else ()
    return read(
        {
            "title": f"{senders} senders, half of the destinations come back",
            "about": "Peaks of calls at returning destinations, over the fleet.",
            "source": "docs/design/acceptance.md",
            "good": "Keeps to the bound.",
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
