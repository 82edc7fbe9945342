"""Handover from one process of a sender to its successor: ownership, link, listening socket, drain."""
