"""The wall clock of simulated senders: virtual time zero is a fixed epoch."""

SECOND_US = 1_000_000
EPOCH_US = 1_700_000_000 * SECOND_US
