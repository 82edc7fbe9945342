"""The sizes that the operators plan for in two years, and the allowances that they give."""

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

CONTROL_CORE_SHARE = 0.032  # of one core, a sender
CONTROL_MEMORY_BYTES = 32_000_000  # a sender
CONTROL_BYTES_PER_S = 2_000  # a sender

SECONDS_PER_DAY = 86_400
EVENTS_PER_S_PER_SENDER = EVENTS_PER_S / SENDERS
BACKLOG_PER_SENDER = BACKLOG_EVENTS / SENDERS
SENDERS_PER_ZONE = SENDERS / ZONES
SENDERS_PER_REGION = SENDERS / REGIONS

READY_WITHIN_S = 10.0  # a restarted sender with its backlog (issue 47)
LOOP_PAUSE_S = 0.05  # the longest that the event loop may stand still: our own aim, no plan of the operators
SENDER_CORES = 1.0  # a sender is one process with one event loop

EXTRAPOLATION_LIMIT = 10.0  # times the largest measured size, beyond which a value is marked
SENDER_UTILISATION = 0.7  # of a sender's core at the most in ordinary times: our own aim, room for bursts
ZONES_OF_LARGER_REGION = 3  # of the five: our own assumption
SENDERS_PER_RACK = 20  # our own assumption
CORRELATED_WINDOW_S = 10.0  # in which the load behind a failure is counted
