"""Load shedding: which requests are admitted when capacity is exhausted. Pure decisions without I/O."""
