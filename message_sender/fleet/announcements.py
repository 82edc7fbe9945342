"""Announcements: each member sends one text to all other members, split into parts. Pure."""

from dataclasses import dataclass, field

from message_sender.fleet.seal import RefusedError
from message_sender.fleet.wire import AnnouncementPart

ANNOUNCEMENT_PART_BYTES = 900
ANNOUNCEMENT_PARTS_LIMIT = 64


@dataclass(slots=True)
class Announcement:
    """The newest announcement of a member; `received_at` is when it was last completed or repeated."""

    epoch: int
    version: int
    text: bytes
    received_at: float


@dataclass(slots=True)
class PartialAnnouncement:
    """The parts of an announcement that have arrived."""

    version: int
    count: int
    parts: dict[int, bytes] = field(default_factory=dict)


def split_announcement(version: int, text: bytes) -> list[AnnouncementPart]:
    """Splits an announcement; text beyond `ANNOUNCEMENT_PARTS_LIMIT` parts is truncated."""
    starts = range(0, len(text), ANNOUNCEMENT_PART_BYTES)
    pieces = [text[start : start + ANNOUNCEMENT_PART_BYTES] for start in starts] or [b""]
    return [
        AnnouncementPart(version, index, len(pieces), piece)
        for index, piece in enumerate(pieces[:ANNOUNCEMENT_PARTS_LIMIT])
    ]


class AnnouncementTable:
    """The newest complete announcement of each member, and the partially received ones."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self.newest: dict[str, Announcement] = {}
        self._partial: dict[str, PartialAnnouncement] = {}

    def add(self, name: str, epoch: int, part: AnnouncementPart, now: float) -> Announcement | None:
        """Adds a part that the member `name` sent during its start number `epoch`.

        Returns:
            The announcement if this part completes one newer than the last complete one; otherwise None.

        Raises:
            RefusedError: If the part's index or the number of parts is out of range.
        """
        newest = self.newest.get(name)
        if newest and (newest.epoch, newest.version) >= (epoch, part.version):
            if (newest.epoch, newest.version) == (epoch, part.version):
                newest.received_at = now
            return None
        if not 0 <= part.index < part.count <= ANNOUNCEMENT_PARTS_LIMIT:
            raise RefusedError(f"{name}: a bulletin in {part.count} parts")
        partial = self._partial.get(name)
        if partial is None or (partial.version, partial.count) != (part.version, part.count):
            partial = PartialAnnouncement(part.version, part.count)
            self._partial[name] = partial
        partial.parts[part.index] = part.data
        if len(partial.parts) < partial.count:
            return None
        del self._partial[name]
        text = b"".join(partial.parts[index] for index in range(partial.count))
        announcement = Announcement(epoch, part.version, text, now)
        self.newest[name] = announcement
        return announcement
