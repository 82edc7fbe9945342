"""Endpoint lists from the configuration and from files, and temporary changes to them by operators."""
