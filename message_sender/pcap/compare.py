"""Whether two captures hold the same requests, in the same order, and how far apart in time."""

import hashlib
import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from message_sender.pcap.capture import CapturedMessage

MOST_NAMED = 20  # differences that are told one by one


@dataclass(slots=True)
class Difference:
    """Times are ns. `apart`: the most by which a request's time since the first one differs."""

    requests: tuple[int, int] = (0, 0)
    differ: list[str] = field(default_factory=list)
    more: int = 0  # differences that are not named
    apart: int = 0
    apart_at: int = -1  # the request at which it does; -1: none

    def same(self) -> bool:
        return not (self.differ or self.more)


def print_of(found: CapturedMessage, ignored: frozenset[str]) -> bytes:
    """What a request is, but for its time and its connection: 16 bytes."""
    message = found.message
    kept = [(name.lower(), value) for name, value in message.headers if name.lower() not in ignored]
    told = repr((message.method, message.target, kept, message.is_complete)).encode()
    return hashlib.blake2b(told + b"\0" + message.body, digest_size=16).digest()


def shape(found: Iterable[CapturedMessage], ignored: frozenset[str]) -> Iterator[tuple[int, bytes, str]]:
    """Time since the first request, what it is, and how to name it, in the order of the times. Only these are
    kept of each request."""
    kept = [
        (
            each.message.first_at_ns,
            place,
            print_of(each, ignored),
            f"{each.message.method} {each.message.target[:60]}",
        )
        for place, each in enumerate(found)
    ]
    kept.sort()
    for at, _, what, name in kept:
        yield at - kept[0][0], what, name


def compare(
    one: Iterable[CapturedMessage], other: Iterable[CapturedMessage], ignored: Iterable[str] = ()
) -> Difference:
    """`ignored` names headers that do not count."""
    names = frozenset(name.lower() for name in ignored)
    found, counts = Difference(), [0, 0]
    both = itertools.zip_longest(shape(one, names), shape(other, names))
    for number, (left, right) in enumerate(both):
        counts[0] += left is not None
        counts[1] += right is not None
        if left is None or right is None or left[1] != right[1]:
            text = f"request {number}: {left[2] if left else 'none'} | {right[2] if right else 'none'}"
            found.differ.append(text)
        elif (apart := abs(left[0] - right[0])) > found.apart:
            found.apart, found.apart_at = apart, number
    found.more = max(len(found.differ) - MOST_NAMED, 0)
    del found.differ[MOST_NAMED:]
    found.requests = counts[0], counts[1]
    return found
