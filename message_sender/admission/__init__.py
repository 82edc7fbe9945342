"""Load shedding: which requests are admitted when there is no capacity. Pure decisions, free of I/O."""
