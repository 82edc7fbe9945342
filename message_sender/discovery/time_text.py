"""Times as engineers write them: `22:30`, `+45m`, or ISO 8601. Pure."""

import re
from datetime import UTC, datetime, timedelta, tzinfo

SPAN = re.compile(r"\+(?:([0-9]{1,3})d)?(?:([0-9]{1,4})h)?(?:([0-9]{1,5})m)?(?:([0-9]{1,6})s)?")
CLOCK = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")


def parse(text: str, now: int, zone: tzinfo | None = None) -> int:
    """us since the epoch. `now` likewise; a clock time is the next one in `zone` (the machine's own). One
    that the spring skips is an hour later, of one that the autumn has twice the first counts (PEP 495).
    Raises ValueError for what is no time."""
    if (span := SPAN.fullmatch(text)) and any(span.groups()):
        days, hours, minutes, seconds = (int(each or 0) for each in span.groups())
        return now + (((days * 24 + hours) * 60 + minutes) * 60 + seconds) * 1_000_000
    here = datetime.fromtimestamp(now // 1_000_000, UTC).astimezone(zone)
    if clock := CLOCK.fullmatch(text):
        return next_clock(here, int(clock[1]), int(clock[2]), zone)
    try:
        found = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(f"{text!r} is no time; write 22:30, +45m or 2026-12-24T22:30") from None
    if found.tzinfo is None:
        found = local(found, zone)
    return round(found.timestamp() * 1_000_000)


def next_clock(here: datetime, hour: int, minute: int, zone: tzinfo | None) -> int:
    day = here.replace(tzinfo=None, fold=0, second=0, microsecond=0)
    found = local(day.replace(hour=hour, minute=minute), zone)
    if found <= here:
        found = local((day + timedelta(days=1)).replace(hour=hour, minute=minute), zone)
    return round(found.timestamp() * 1_000_000)


def local(naive: datetime, zone: tzinfo | None) -> datetime:
    return naive.replace(tzinfo=zone) if zone else naive.astimezone()


def show(at: int, now: int, zone: tzinfo | None = None) -> str:
    """Both ways: the time where the reader is, and how far off it is."""
    text = datetime.fromtimestamp(at // 1_000_000, UTC).astimezone(zone).isoformat(timespec="seconds")
    left = (at - now) // 1_000_000
    far, sign = abs(left), "in " if left >= 0 else ""
    days, hours, minutes = far // 86_400, far // 3600 % 24, far // 60 % 60
    parts = [f"{days} d"] * (days > 0) + [f"{hours} h"] * (hours > 0) + [f"{minutes} min"] * (days == 0)
    span = " ".join(parts) if far >= 60 else f"{far} s"
    return f"{text} ({sign}{span}{'' if left >= 0 else ' ago'})"
