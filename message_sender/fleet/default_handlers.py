"""Handlers that a FleetNode has until its user sets others: they do nothing."""

from message_sender.fleet.announcements import Announcement
from message_sender.fleet.wire import LeaseDatagram


def ignore_epoch(epoch: int) -> None:
    """Does nothing with a raised epoch."""


def ignore_query(name: str, text: bytes) -> bytes | None:
    """Sends no reply to a query."""
    return None


def ignore_query_reply(name: str, number: int, text: bytes) -> None:
    """Does nothing with a reply."""


def ignore_lease_datagram(name: str, datagram: LeaseDatagram) -> None:
    """Does nothing with a lease datagram."""


def ignore_announcement(name: str, announcement: Announcement) -> None:
    """Does nothing with an announcement."""


def ignore_tick(now: float) -> None:
    """Does nothing at a tick."""
