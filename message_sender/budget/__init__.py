"""Limits that all senders of a fleet share: leases, their division and their enforcement."""
