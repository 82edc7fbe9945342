"""Parses and formats times for operators: `22:30`, `+45m`, or ISO 8601. Pure."""

import re
from datetime import UTC, datetime, timedelta, tzinfo

US_PER_SECOND = 1_000_000
DURATION = re.compile(r"\+(?:([0-9]{1,3})d)?(?:([0-9]{1,4})h)?(?:([0-9]{1,5})m)?(?:([0-9]{1,6})s)?")
CLOCK = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")


def parse_time(text: str, now: int, zone: tzinfo | None = None) -> int:
    """Returns the time that a text specifies.

    A clock time means its next occurrence. A clock time that is skipped in spring is taken as an hour later;
    of a clock time that occurs twice in autumn the first occurrence is used (PEP 495).

    Args:
        text: A duration from now such as `+45m`, a clock time such as `22:30`, or ISO 8601.
        now: Microseconds since the epoch.
        zone: The time zone of the text; None for the local time zone of the machine.

    Returns:
        Microseconds since the epoch.

    Raises:
        ValueError: If the text is not in one of these formats.
    """
    if (duration := DURATION.fullmatch(text)) and any(duration.groups()):
        days, hours, minutes, seconds = (int(each or 0) for each in duration.groups())
        return now + (((days * 24 + hours) * 60 + minutes) * 60 + seconds) * US_PER_SECOND
    local_now = datetime.fromtimestamp(now // US_PER_SECOND, UTC).astimezone(zone)
    if clock := CLOCK.fullmatch(text):
        return next_clock_time(local_now, int(clock[1]), int(clock[2]), zone)
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(f"expected a time such as 22:30, +45m or 2026-12-24T22:30, got {text!r}") from None
    if moment.tzinfo is None:
        moment = localize(moment, zone)
    return round(moment.timestamp() * US_PER_SECOND)


def next_clock_time(local_now: datetime, hour: int, minute: int, zone: tzinfo | None) -> int:
    """Returns the next occurrence of a time of day, in microseconds since the epoch."""
    day = local_now.replace(tzinfo=None, fold=0, second=0, microsecond=0)
    moment = localize(day.replace(hour=hour, minute=minute), zone)
    if moment <= local_now:
        moment = localize((day + timedelta(days=1)).replace(hour=hour, minute=minute), zone)
    return round(moment.timestamp() * US_PER_SECOND)


def localize(naive: datetime, zone: tzinfo | None) -> datetime:
    """Returns the aware time of a naive one in `zone`; None for the local time zone of the machine."""
    return naive.replace(tzinfo=zone) if zone else naive.astimezone()


def format_time(at: int, now: int, zone: tzinfo | None = None) -> str:
    """Returns a time as text in `zone` with its distance from now; `at` and `now` in microseconds."""
    text = datetime.fromtimestamp(at // US_PER_SECOND, UTC).astimezone(zone).isoformat(timespec="seconds")
    remaining_s = (at - now) // US_PER_SECOND
    distance = format_duration(abs(remaining_s))
    return f"{text} (in {distance})" if remaining_s >= 0 else f"{text} ({distance} ago)"


def format_duration(seconds: int) -> str:
    """Returns a duration as text in at most two units, such as `1 d 2 h`; below a minute in seconds."""
    if seconds < 60:
        return f"{seconds} s"
    days, hours, minutes = seconds // 86_400, seconds // 3600 % 24, seconds // 60 % 60
    parts = []
    if days > 0:
        parts.append(f"{days} d")
    if hours > 0:
        parts.append(f"{hours} h")
    if days == 0:
        parts.append(f"{minutes} min")
    return " ".join(parts)
