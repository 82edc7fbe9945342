"""Translates the permissions of recovery into states of the policy's breakers.

The policy has no code for recovery. It receives permissions in the same form as state that a previous process
hands over (`InheritedState`): a Retry-After where no call is allowed, an open breaker with a due trial where
one call is, and a slow start where a share of the rate is.
"""

import math
from collections.abc import Iterator
from enum import Enum

from message_sender.policy.model import Settings
from message_sender.recovery.engine_port import EnginePort, RouteRate
from message_sender.recovery.stage_model import CallPermission, Stage
from message_sender.recovery.stages import Stages

HOLD_US = 400_000  # the Retry-After of a destination without permission, renewed at each update
US_PER_S = 1e6
TRIAL_FAILURES = 3.0  # failures of a breaker that is open

BreakerState = tuple[int, str, dict[str, float]]  # destination, route, values of its breaker


class Pace(Enum):
    """How calls to a destination are limited: none, a single trial, or a share of the rate."""

    HELD = "held"
    TRIAL = "trial"
    FREE = "free"


class BreakerPacer:
    """Translates the permissions of the stages into states of breakers.

    Attributes:
        stages: The recovery stages of this member.
        engine: The sender's engine.
        settings: The policy settings of the sender.
        paces: The pace that was last passed to the policy, by destination.
        paced_since_us: Since when, in microseconds of the engine's clock, by destination.
    """

    def __init__(self, stages: Stages, engine: EnginePort, settings: Settings) -> None:
        """Initializes the pacer without a pace for any destination; see the class for the arguments."""
        self.stages = stages
        self.engine = engine
        self.settings = settings
        self.paces: dict[int, Pace] = {}
        self.paced_since_us: dict[int, int] = {}

    def breaker_states(self, destination: int, now: float) -> Iterator[BreakerState]:
        """Yields the breaker states to be passed to the policy for a destination.

        It yields nothing if this member is in the stage open and the destination was and is free.
        """
        permission = self.stages.permission(destination, now)
        now_us = self.engine.now()
        pace = _pace_of(permission)
        is_open = self.stages.stage is Stage.OPEN
        if pace is Pace.FREE and is_open and self.paces.get(destination, Pace.FREE) is Pace.FREE:
            return
        is_changed = self.paces.get(destination) is not pace
        self.paces[destination] = pace
        if is_changed:
            self.paced_since_us[destination] = now_us
        for route in self.engine.routes(destination):
            if pace is Pace.HELD:
                hold_us = max(HOLD_US, int(permission.retry_after_s * US_PER_S))
                yield destination, route.route, {"wait_until": now_us + hold_us}
            elif pace is Pace.FREE:
                since_us = self.paced_since_us[destination]
                yield destination, route.route, self._paced_values(permission, route, now_us, since_us)
            elif self._is_trial_wanted(destination, is_changed):
                values = {"failures": TRIAL_FAILURES, "trial_at": now_us, "wait_until": now_us}
                yield destination, route.route, values

    def _is_trial_wanted(self, destination: int, is_changed: bool) -> bool:
        trials = self.stages.own_trials
        return destination not in trials and (is_changed or not trials)

    def _paced_values(
        self, permission: CallPermission, route: RouteRate, now_us: int, since_us: int
    ) -> dict[str, float]:
        """Returns breaker values that limit the rate of a destination by the policy's own slow start.

        During slow start, the gap is the usual gap divided by the fraction of the rate that is reached. If no
        rate is announced, or this member is in the stage open, the policy's own pace applies from now on.
        """
        settings = self.settings
        values: dict[str, float] = {"failures": 0.0, "wait_until": now_us, "unserved": 0, "sick": 0.0}
        if not route.rate_per_s or self.stages.stage is Stage.OPEN:
            values["cold_since"] = -math.inf
            if permission.warming_for_s is not None:
                values["cold_since"] = now_us - permission.warming_for_s * US_PER_S
            return values | {"calls": 0.1, "span": 1e5 * max(settings.fleet_size / 4, 1)}
        gap_us = US_PER_S / (route.rate_per_s * self._warm_fraction(permission) * permission.rate_share)
        usual_gap_ratio = settings.fall_multiple * 0.75 * settings.slow_start_from
        return values | {
            "cold_since": now_us,
            "wait_until": max(now_us, int(since_us + permission.start_phase * gap_us)),
            "calls": 1.0,
            "span": gap_us * usual_gap_ratio,
            "gap": gap_us if gap_us > route.own_gap_us / usual_gap_ratio else 0.0,
        }

    def _warm_fraction(self, permission: CallPermission) -> float:
        """Returns the fraction of its rate that the destination has reached in slow start."""
        if permission.warming_for_s is None:
            return 1.0
        start_fraction = self.settings.slow_start_from
        progress = min(permission.warming_for_s * US_PER_S / self.settings.slow_start, 1.0)
        return start_fraction + (1 - start_fraction) * progress


def _pace_of(permission: CallPermission) -> Pace:
    if permission.is_trial:
        return Pace.TRIAL
    return Pace.FREE if permission.may_call else Pace.HELD
