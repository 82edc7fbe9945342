"""Decides when a connection to a receiver may carry its next call. Pure: times come in as arguments.

An HTTP/1.1 response carries no id: it belongs to the oldest request on its connection that has no response
yet (RFC 9112, section 9.3.2). That holds only while the receiver, and every proxy before it, writes exactly
one response to each request. A second copy that arrives during the next call would be taken for its result.
The rules:

- The first response on a connection belongs to its first request.
- After a response the connection rests. What arrives meanwhile belongs to no request, and the connection is
  closed.
- An endpoint that sent a response nobody asked for gets one call per connection for a while, because its next
  copy may come later than the rest lasts. A 408 is none: it announces the end of an idle connection.
"""

import math

REUSE_DELAY_S = 0.3  # second copies of a response come up to 0.25 s late
SUSPICION_S = 60.0
REQUEST_TIMEOUT = 408


class ReuseRules:
    """The rules for the connections of one transport.

    Times are in seconds on one clock. `answered_at` is when the latest response on a connection was complete;
    minus infinity if there was none.

    Attributes:
        reuse_delay_s: Seconds that a connection rests after a response.
        unsolicited: Number of unsolicited responses so far.
    """

    def __init__(self, reuse_delay_s: float = REUSE_DELAY_S) -> None:
        """Starts without a suspected endpoint.

        Args:
            reuse_delay_s: Seconds that a connection rests after a response; 0 or more.
        """
        self.reuse_delay_s = reuse_delay_s
        self.unsolicited = 0
        self._suspected_until: dict[str, float] = {}

    def rested_at(self, answered_at: float) -> float:
        """Returns when a connection has rested."""
        return answered_at + self.reuse_delay_s

    def may_keep(self, endpoint: str, answered_at: float, now: float) -> bool:
        """Whether a connection to the endpoint may stay open for another call."""
        return math.isinf(answered_at) or not self.is_suspected(endpoint, now)

    def may_carry_call(self, endpoint: str, answered_at: float, now: float) -> bool:
        """Whether a connection to the endpoint may carry a call now."""
        return now >= self.rested_at(answered_at) and self.may_keep(endpoint, answered_at, now)

    def is_suspected(self, endpoint: str, now: float) -> bool:
        """Whether the endpoint has recently sent a response that nobody asked for."""
        if (until := self._suspected_until.get(endpoint)) is None:
            return False
        if now < until:
            return True
        del self._suspected_until[endpoint]
        return False

    def unsolicited_received(self, endpoint: str, status: int, now: float) -> None:
        """Records a response of the endpoint that belongs to no request; `status` is 0 if it has none."""
        self.unsolicited += 1
        if status != REQUEST_TIMEOUT:
            self._suspected_until[endpoint] = now + SUSPICION_S
