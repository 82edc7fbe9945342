"""The initial handlers of a FleetNode, which do nothing; its owner replaces them."""

from message_sender.fleet.announcements import Announcement
from message_sender.fleet.wire import LeaseDatagram


def ignore_epoch(epoch: int) -> None:
    """Ignores a raised epoch."""


def ignore_query(name: str, text: bytes) -> bytes | None:
    """Sends no reply to a query."""
    return None


def ignore_query_reply(name: str, number: int, text: bytes) -> None:
    """Ignores a reply to a query."""


def ignore_lease_datagram(name: str, datagram: LeaseDatagram) -> None:
    """Ignores a lease datagram."""


def ignore_announcement(name: str, announcement: Announcement) -> None:
    """Ignores an announcement."""


def ignore_tick(now: float) -> None:
    """Ignores a tick."""
