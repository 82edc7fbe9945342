"""Sheds requests that wait to be read when the process cannot keep up.

Beyond the capacity of one core, reading every request in turn serves nobody: each waits longer than its
client, and CPU time goes into answers that nobody receives. There are two states:

- **reading**: every request is read in its turn.
- **shedding**: new requests are rejected unread, at a small part of the cost of a message; those that wait
  already are read. The state begins when the request read next has waited `MAX_QUEUE_DELAY_S`, and ends when
  the request read next has waited less than `TARGET_QUEUE_DELAY_S`. Between the two the state stays, so that
  it does not change with every request.

The measure is that of CoDel (RFC 8289): the time that a request has spent in the queue when it leaves it. A
bound on the length of the queue would be wrong whenever the speed of the core changes. CoDel's rule of
dropping, at a growing rate, what leaves the queue would reject requests late; here the newest are rejected,
for which nothing has been spent yet.

The algorithm is pure: times are seconds that the caller passes in.
"""

from collections import deque

MAX_QUEUE_DELAY_S = 0.12  # clients wait 0.4 s at least, and a message takes some more loop iterations
TARGET_QUEUE_DELAY_S = 0.03
RATE_WINDOW_S = 1.0  # in which offered and read requests are compared
MIN_RETRY_AFTER_S = 0.25  # sooner, a client would return into the same overload


class Backlog:
    """The requests that wait to be read.

    Attributes:
        crowded_length: From this length, `TARGET_QUEUE_DELAY_S` is the delay that begins shedding.
        arrival_times: When each request arrived, the oldest first.
        is_shedding: New requests are rejected.
        window_start: Start of the current rate window.
        offered_in_window: Requests that arrived in it, rejected ones included.
        read_in_window: Requests that were read in it.
        overload_ratio: Offered over read requests in the last complete window; 1 at least.
        rejected_total: Rejected requests since the start.
    """

    def __init__(self, now: float, crowded_length: int = 10**9) -> None:
        """Creates an empty backlog."""
        self.crowded_length = crowded_length
        self.arrival_times: deque[float] = deque()
        self.is_shedding = False
        self.window_start = now
        self.offered_in_window = 0
        self.read_in_window = 0
        self.overload_ratio = 1.0
        self.rejected_total = 0

    def request_arrived(self, now: float) -> None:
        """Records a request that waits to be read."""
        self.roll_window(now)
        self.offered_in_window += 1
        self.arrival_times.append(now)

    def request_taken(self, now: float) -> None:
        """Records that the oldest request is read, or that its client is gone."""
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
        """Begins a new rate window if the current one is over."""
        if now - self.window_start < RATE_WINDOW_S:
            return
        is_complete = now - self.window_start < 2 * RATE_WINDOW_S and self.read_in_window > 0
        ratio = self.offered_in_window / self.read_in_window if is_complete else 1.0
        self.overload_ratio = max(ratio, 1.0)
        self.window_start = now
        self.offered_in_window = 0
        self.read_in_window = 0

    def retry_after_s(self, limit_s: float) -> float:
        """Returns the Retry-After of a rejected request.

        With twice as many requests as can be read, half of them have to wait for the next window.

        Args:
            limit_s: The longest wait; it wins over `MIN_RETRY_AFTER_S`.
        """
        return min(max(RATE_WINDOW_S * (self.overload_ratio - 0.5), MIN_RETRY_AFTER_S), limit_s)
