"""Maps a receiver's response to the result of an attempt, as the protocol page defines it. Pure."""

import re

from message_sender.core.ports import AttemptResult, clamp_retry_after_us
from message_sender.http.common import decimal, header
from message_sender.http.fast_path import ResponseHead
from message_sender.policy.model import Outcome

QUOTA = re.compile(r";\s*q=([0-9]{1,9})\s*(?:;|$)|^\s*([0-9]{1,9})\s*;", re.ASCII)
WINDOW = re.compile(r";\s*w=([0-9]{1,6})\s*(?:;|$)", re.ASCII)
US_PER_S = 1_000_000


def answer_from(response: ResponseHead) -> AttemptResult:
    """Returns the result that a response states. With an undefined status, the request may have run."""
    match response.status_code:
        case 200:
            return AttemptResult(Outcome.OK, is_final=True)
        case 429:
            seconds = decimal(header(response.headers, b"retry-after") or "") or 0.0
            return AttemptResult(Outcome.FULL, retry_after_us=clamp_retry_after_us(seconds))
        case 503 if header(response.headers, b"x-egress-full") == "1":
            return AttemptResult(Outcome.NOT_SENT)
        case 503:
            return AttemptResult(Outcome.FULL)
        case 504:
            return AttemptResult(Outcome.NOT_SENT)
        case 410:
            return AttemptResult(Outcome.NOT_SENT, is_final=True)
        case _:
            return AttemptResult(Outcome.ERROR)


def announced_limit(response: ResponseHead) -> tuple[int, int] | None:
    """Returns the rate limit that a response announces by the IETF draft on RateLimit header fields.

    Returns:
        The number of calls and the window in microseconds of the first policy that states both, in the form
        `RateLimit-Policy: "burst";q=100;w=10` or the older form `100;w=10`. None if there is no such policy.
    """
    for policy in (header(response.headers, b"ratelimit-policy") or "").split(","):
        quota, window = QUOTA.search(policy), WINDOW.search(policy)
        if quota and window and int(window[1]):
            return int(quota[1] or quota[2]), int(window[1]) * US_PER_S
    return None
