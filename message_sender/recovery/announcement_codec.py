"""Encodes and decodes stage announcements as datagrams (MessagePack). Pure."""

import math

import msgspec

from message_sender.recovery.stage_model import DestinationEvidence, Stage, StageAnnouncement

DECIMALS = 3  # of durations in seconds


class StageDatagram(msgspec.Struct, array_like=True):
    """A `StageAnnouncement` on the wire, as an array: the order of the fields matters, not their names."""

    stage: int
    owed_counts: dict[int, int]
    evidence: dict[int, tuple[bool, float, float, bool, float]]
    trial_ages_s: dict[int, float]
    out_of_service_s: dict[str, float] = {}


def encode_announcement(announcement: StageAnnouncement) -> bytes:
    """Returns the content of the datagram, with durations in seconds."""
    evidence = {
        number: (
            each.is_up,
            round(each.age_s, DECIMALS),
            round(each.state_age_s, DECIMALS),
            each.is_warming_up,
            round(each.retry_after_s, DECIMALS),
        )
        for number, each in announcement.evidence.items()
    }
    datagram = StageDatagram(
        int(announcement.stage),
        dict(announcement.owed_counts),
        evidence,
        {number: round(age_s, DECIMALS) for number, age_s in announcement.trial_ages_s.items()},
        dict(announcement.out_of_service_s),
    )
    return msgspec.msgpack.encode(datagram)


def decode_announcement(content: bytes) -> StageAnnouncement | None:
    """Decodes a datagram; None: it is malformed, or has a duration that is negative or not finite."""
    try:
        datagram = msgspec.msgpack.decode(content, type=StageDatagram)
        if not all(math.isfinite(duration_s) and duration_s >= 0 for duration_s in _durations_s(datagram)):
            return None
        return StageAnnouncement(
            Stage(datagram.stage),
            datagram.owed_counts,
            {number: DestinationEvidence(*each) for number, each in datagram.evidence.items()},
            datagram.trial_ages_s,
            datagram.out_of_service_s,
        )
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
        return None


def _durations_s(datagram: StageDatagram) -> list[float]:
    durations_s = [*datagram.trial_ages_s.values(), *datagram.out_of_service_s.values()]
    for _, age_s, state_age_s, _, retry_after_s in datagram.evidence.values():
        durations_s += [age_s, state_age_s, retry_after_s]
    return durations_s
