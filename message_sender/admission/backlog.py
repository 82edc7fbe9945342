"""Load shedding for requests that wait to be read, for times when the process cannot keep up.

Beyond the capacity of one core, reading all requests in order helps no client: each request waits longer than
its client does, and CPU time is spent on responses that no client receives. There are two states:

- **reading**: all requests are read in order.
- **shedding**: new requests are rejected unread, at a small fraction of the cost of a message; requests that
  already wait are read. The state begins when the next request to be read has waited `MAX_QUEUE_DELAY_S`, and
  ends when the next request to be read has waited less than `TARGET_QUEUE_DELAY_S`. This hysteresis keeps the
  state from changing with every request.

The measure is the sojourn time, as in CoDel (RFC 8289): the time that a request has spent in the queue when
it leaves it. A bound on the queue's length would be wrong whenever the speed of the core changes. CoDel drops
items that leave the queue, at a growing rate, and would therefore reject requests late; here the newest
requests are rejected, on which no work has been done yet.

The algorithm is pure: the caller passes the time in seconds.
"""

from collections import deque

MAX_QUEUE_DELAY_S = 0.12  # clients wait at least 0.4 s, and a message takes several more loop iterations
TARGET_QUEUE_DELAY_S = 0.03
RATE_WINDOW_S = 1.0  # window in which offered and read requests are compared
MIN_RETRY_AFTER_S = 0.25  # a client that retried sooner would meet the same overload


class Backlog:
    """The queue of requests that wait to be read.

    Attributes:
        crowded_length: From this queue length on, shedding already begins at `TARGET_QUEUE_DELAY_S`.
        arrival_times: Arrival time of each request, the oldest first.
        is_shedding: New requests are rejected.
        window_start: Start of the current rate window.
        offered_in_window: Number of requests that arrived in the window, including rejected ones.
        read_in_window: Number of requests that were read in the window.
        overload_ratio: Offered divided by read requests in the last complete window, at least 1.
        rejected_total: Number of rejected requests since the start.
    """

    def __init__(self, now: float, crowded_length: int = 10**9) -> None:
        """Creates an empty backlog.

        Args:
            now: The current time in seconds.
            crowded_length: See the attribute.
        """
        self.crowded_length = crowded_length
        self.arrival_times: deque[float] = deque()
        self.is_shedding = False
        self.window_start = now
        self.offered_in_window = 0
        self.read_in_window = 0
        self.overload_ratio = 1.0
        self.rejected_total = 0

    def request_arrived(self, now: float) -> None:
        """Records that a request arrived and waits to be read."""
        self.roll_window(now)
        self.offered_in_window += 1
        self.arrival_times.append(now)

    def request_read(self, now: float) -> None:
        """Records that the oldest request is being read, or that its client has disconnected."""
        self.roll_window(now)
        self.read_in_window += 1
        if self.arrival_times:
            limit = TARGET_QUEUE_DELAY_S if self.is_shedding else MAX_QUEUE_DELAY_S
            self.is_shedding = now - self.arrival_times.popleft() >= limit
        if not self.arrival_times:
            self.is_shedding = False

    def should_reject(self, now: float) -> bool:
        """Whether a request that arrives now is to be rejected unread."""
        if self.arrival_times:
            is_crowded = len(self.arrival_times) >= self.crowded_length
            limit = TARGET_QUEUE_DELAY_S if is_crowded else MAX_QUEUE_DELAY_S
            if now - self.arrival_times[0] >= limit:
                self.is_shedding = True
        return self.is_shedding

    def request_rejected(self, now: float) -> None:
        """Records a request that was rejected unread."""
        self.roll_window(now)
        self.offered_in_window += 1
        self.rejected_total += 1

    def roll_window(self, now: float) -> None:
        """Starts a new rate window if the current one has ended."""
        if now - self.window_start < RATE_WINDOW_S:
            return
        is_complete = now - self.window_start < 2 * RATE_WINDOW_S and self.read_in_window > 0
        ratio = self.offered_in_window / self.read_in_window if is_complete else 1.0
        self.overload_ratio = max(ratio, 1.0)
        self.window_start = now
        self.offered_in_window = 0
        self.read_in_window = 0

    def retry_after_s(self, limit_s: float) -> float:
        """The Retry-After of a rejected request, in seconds.

        With twice as many requests as can be read, half of them have to wait for the next window.

        Args:
            limit_s: The maximum in seconds; it takes precedence over `MIN_RETRY_AFTER_S`.
        """
        return min(max(RATE_WINDOW_S * (self.overload_ratio - 0.5), MIN_RETRY_AFTER_S), limit_s)
