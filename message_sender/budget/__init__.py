"""Shared budgets: limits that apply to all senders of a fleet together, divided by leases."""
