"""The delivery policy: makes every decision of a sender from its events and the time. It does no I/O."""
