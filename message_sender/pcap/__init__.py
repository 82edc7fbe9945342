"""Packet captures: reading them as HTTP/1.1 traffic, comparison, replay and writing."""
