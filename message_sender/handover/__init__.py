"""Handover from one process of a sender to the next: ownership, link, listening socket, drain."""
