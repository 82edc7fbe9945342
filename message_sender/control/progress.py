"""A leader's knowledge of another node's log, modelled on etcd's raft library."""

from dataclasses import dataclass

IN_FLIGHT_REQUESTS_LIMIT = 8  # unanswered requests with entries, until the next heartbeat


@dataclass(slots=True)
class Progress:
    """The state of one peer's log as the leader knows it.

    The leader sends entries without waiting for answers. After a rejection it probes: it sends one batch from
    the end of the peer's log, as reported by the peer, and continues once that batch is answered. Heartbeats
    repeat a lost probe.
    """

    next_index: int  # index of the next entry to send
    match_index: int = 0  # the peer's durable log equals the leader's up to this index
    is_voter: bool = True  # once False, it stays False for the rest of the term
    answered_round: int = 0
    sent_commit_index: int = 0
    is_heartbeat_due: bool = True
    is_probing: bool = False
    is_probe_sent: bool = False
    in_flight: int = 0

    def can_send(self, last_index: int) -> bool:
        """Returns whether a request with entries can be sent now."""
        if self.next_index > last_index:
            return False
        if self.is_probing:
            return not self.is_probe_sent
        return self.in_flight < IN_FLIGHT_REQUESTS_LIMIT

    def record_entries_sent(self, last_sent: int) -> None:
        """Records that a request with entries up to the index `last_sent` was sent."""
        if self.is_probing:
            self.is_probe_sent = True
            return
        self.next_index = last_sent + 1
        self.in_flight += 1

    def require_heartbeat(self) -> None:
        """Makes a heartbeat due, and counts all unanswered requests as lost."""
        self.is_heartbeat_due = True
        self.in_flight = 0

    def record_match(self, index: int) -> None:
        """Records that the peer's durable log equals the leader's up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False
        self.in_flight = max(0, self.in_flight - 1)

    def record_rejection(self, hint: int) -> None:
        """Records that the peer lacks the entry before `next_index`; `hint` is the index to try next.

        A learner may have lost entries; a voter never loses what it has confirmed.
        """
        if not self.is_voter:
            self.match_index = min(self.match_index, hint)
        next_index = max(hint, self.match_index) + 1
        if next_index >= self.next_index:
            return  # a reply to an earlier request
        self.next_index = next_index
        self.is_probing = True
        self.is_probe_sent = False
