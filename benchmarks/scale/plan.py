"""The deployment sizes that the operators plan for in two years, and the resource allowances they grant."""

SENDERS = 630
EVENTS_PER_S = 420_000
DESTINATIONS = 290_000
DOWN_SHARE = 0.038  # of the destinations, at any time
BACKLOG_EVENTS = 1_600_000_000
REGIONS = 2
ZONES = 5  # over both regions
CONFIGURATION_CHANGES_PER_DAY = 980
IN_FORCE_WITHIN_S = 4.0

FAILED_MACHINES_PER_DAY = 2
RESTARTS_PER_DAY = 61
CONTROL_MACHINES = 4

CONTROL_CORE_SHARE = 0.032  # of one core, per sender
CONTROL_MEMORY_BYTES = 32_000_000  # per sender
CONTROL_BYTES_PER_S = 2_000  # per sender

SECONDS_PER_DAY = 86_400
EVENTS_PER_S_PER_SENDER = EVENTS_PER_S / SENDERS
BACKLOG_PER_SENDER = BACKLOG_EVENTS / SENDERS
SENDERS_PER_ZONE = SENDERS / ZONES
SENDERS_PER_REGION = SENDERS / REGIONS

READY_WITHIN_S = 10.0  # time until a restarted sender has restored its backlog (issue 47)
LOOP_PAUSE_S = 0.05  # longest acceptable loop iteration; our own target, not in the operators' plan
SENDER_CORES = 1.0  # a sender is one process with one event loop, so it uses one core at most

EXTRAPOLATION_LIMIT = (
    10.0  # multiple of the largest measured size; values beyond it are marked as extrapolated
)
SENDER_UTILISATION = (
    0.7  # highest share of its core in normal operation; our own target, leaves room for bursts
)
ZONES_OF_LARGER_REGION = 3  # of the five zones; our own assumption
SENDERS_PER_RACK = 20  # our own assumption
CORRELATED_WINDOW_S = 10.0  # window after a failure in which the load it causes is counted
