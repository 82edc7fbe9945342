"""Comparison of the requests of two captures: contents, order and times."""

import hashlib
import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from message_sender.pcap.capture import CapturedMessage

REPORTED_DIFFERENCES_LIMIT = 20
DIGEST_BYTES = 16
TITLE_TARGET_LENGTH = 60


@dataclass(slots=True)
class Difference:
    """The result of a comparison.

    Attributes:
        requests: Number of requests in the first and in the second capture.
        descriptions: Descriptions of the first differences.
        omitted_descriptions: Number of differences without a description.
        max_apart_ns: The largest difference between the times of a request in the two captures, each time
            counted from the first request of its capture.
        max_apart_request: Number of the request with that difference; -1 for none.
    """

    requests: tuple[int, int] = (0, 0)
    descriptions: list[str] = field(default_factory=list)
    omitted_descriptions: int = 0
    max_apart_ns: int = 0
    max_apart_request: int = -1

    def is_same(self) -> bool:
        """Returns whether both captures hold the same requests in the same order."""
        return not (self.descriptions or self.omitted_descriptions)


class RequestSummary(NamedTuple):
    """The part of a request that a comparison needs.

    Attributes:
        since_first_ns: Time since the first request of its capture.
        digest: Digest of its contents.
        title: Method and target, for descriptions.
    """

    since_first_ns: int
    digest: bytes
    title: str


def digest_request(request: CapturedMessage, ignored_headers: frozenset[str]) -> bytes:
    """Returns a digest of a request's contents; its time and its connection are not included."""
    message = request.message
    headers = [
        (name.lower(), value) for name, value in message.headers if name.lower() not in ignored_headers
    ]
    head = repr((message.method, message.target, headers, message.is_complete)).encode()
    return hashlib.blake2b(head + b"\0" + message.body, digest_size=DIGEST_BYTES).digest()


def summarize_requests(
    requests: Iterable[CapturedMessage], ignored_headers: frozenset[str]
) -> Iterator[RequestSummary]:
    """Yields a summary of each request, in the order of their times."""
    rows = []
    for index, request in enumerate(requests):
        message = request.message
        title = f"{message.method} {message.target[:TITLE_TARGET_LENGTH]}"
        rows.append((message.first_at_ns, index, digest_request(request, ignored_headers), title))
    rows.sort()
    for at_ns, _, digest, title in rows:
        yield RequestSummary(at_ns - rows[0][0], digest, title)


def describe_difference(number: int, one: RequestSummary | None, other: RequestSummary | None) -> str:
    """Returns the line that describes two requests with the same number; None for a missing request."""
    one_title = one.title if one else "none"
    other_title = other.title if other else "none"
    return f"request {number}: {one_title} | {other_title}"


def compare(
    one: Iterable[CapturedMessage], other: Iterable[CapturedMessage], ignored: Iterable[str] = ()
) -> Difference:
    """Compares the requests of two captures.

    Args:
        one: Requests of the first capture.
        other: Requests of the second capture.
        ignored: Names of headers that are not compared.
    """
    ignored_headers = frozenset(name.lower() for name in ignored)
    difference = Difference()
    one_count = 0
    other_count = 0
    pairs = itertools.zip_longest(
        summarize_requests(one, ignored_headers), summarize_requests(other, ignored_headers)
    )
    for number, (left, right) in enumerate(pairs):
        one_count += left is not None
        other_count += right is not None
        if left is None or right is None or left.digest != right.digest:
            difference.descriptions.append(describe_difference(number, left, right))
            continue
        apart_ns = abs(left.since_first_ns - right.since_first_ns)
        if apart_ns > difference.max_apart_ns:
            difference.max_apart_ns = apart_ns
            difference.max_apart_request = number
    difference.omitted_descriptions = max(len(difference.descriptions) - REPORTED_DIFFERENCES_LIMIT, 0)
    del difference.descriptions[REPORTED_DIFFERENCES_LIMIT:]
    difference.requests = (one_count, other_count)
    return difference
