"""The delivery policy: every decision of a sender, from its events and the time alone; no input or output."""
