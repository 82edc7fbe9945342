"""Replication of the control plane's log: Raft with weighted votes, as a state machine without I/O.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); pre-vote, check
quorum and leadership transfer as in Ongaro's thesis, sections 9.6, 6.2 and 3.10.

Rules:

- **Majority.** More than half of all configured votes, including those of absent nodes and learners.
- **One vote per term.** A node votes for at most one candidate per term, and only if the candidate's log is
  at least as new as its own. Term and vote are durable before the reply is sent.
- **Pre-vote.** A node whose election timeout has passed first asks whether it would be elected, without
  raising its term. A leader refuses, and so does a node that received from a leader within the minimum
  timeout.
- **Log matching.** A follower accepts entries only after an entry that its log has with the same term. It
  truncates only conflicting entries: a late or duplicate request never shortens the log.
- **Commitment.** An entry is committed once it is durable on a majority and is of the leader's own term;
  earlier entries are committed with it (figure 8 of the paper). The leader counts itself once its own disk
  has the entry. It begins its term with an empty entry, so that entries of earlier terms are committed soon.
- **Check quorum.** A leader steps down if no majority has answered it for an election timeout.
- **Learner.** A node that may have lost a vote or an entry copies the log. It never votes, is never counted
  and is never a candidate. A leader does not count a learner for the rest of its term once it knows of it.
- **Leadership transfer.** A leader that is shutting down asks a voter with the complete log to start an
  election immediately, without pre-vote. For safety this equals an expired election timeout.
- **Durable first.** A `Ready` holds data to make durable, then messages to send, then entries to apply. Only
  one is outstanding at a time; messages of later events are queued for the next one. The queue is bounded,
  because a disk may hang.

All times are seconds of the caller's monotonic clock. Only differences matter, and safety does not depend on
the clock.
"""

import random
from collections import deque
from collections.abc import Mapping, Sequence

from message_sender.control.durable_state import DurableState, restore_hard_state
from message_sender.control.leadership import Leadership
from message_sender.control.log import ReplicatedLog
from message_sender.control.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    RaftMessage,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from message_sender.control.quorum import Quorum
from message_sender.control.raft_types import (
    NOTHING_READY,
    HardState,
    NotLeaderError,
    Ready,
    ReplicaInvariantError,
    Role,
    is_well_formed,
)

HEARTBEAT_INTERVAL_S = 0.1
ELECTION_TIMEOUT_MIN_S = 0.6
ELECTION_TIMEOUT_MAX_S = 1.2
QUEUED_MESSAGES_LIMIT = 256  # at this limit the oldest are dropped, like datagrams lost by the network


class Replica:
    """The replication state machine of one control node; see the rules of the module."""

    def __init__(
        self,
        name: str,
        votes: Mapping[str, int],
        hard_state: HardState,
        entries: Sequence[LogEntry],
        rng: random.Random,
        now: float,
        is_voter: bool = True,
    ) -> None:
        """Restores a replica from the hard state and the entries on its disk.

        Args:
            name: The name of this node.
            votes: The votes of all configured nodes by name.
            hard_state: The hard state on the disk.
            entries: The entries of the log on the disk.
            rng: Source of the random election timeouts.
            now: Seconds of the caller's monotonic clock.
            is_voter: False if the node must start as a learner.

        Raises:
            ValueError: If `name` has no votes.
        """
        if name not in votes:
            raise ValueError(f"expected the name of a node with votes, one of {sorted(votes)}, got {name!r}")
        self.name = name
        self.is_voter = is_voter
        self.learner_reason = ""
        self.role = Role.FOLLOWER if is_voter else Role.LEARNER
        self.leader = ""
        self.commit_index = 0
        self._quorum = Quorum(votes)
        self._peers = tuple(peer for peer in votes if peer != name)
        self._log = ReplicatedLog(entries)
        self._hard_state = restore_hard_state(hard_state, self._log)
        self._durable = DurableState(hard_state, self._log.last_index, self._log.last_index)
        self._delivered_index = 0  # the last committed entry that was returned in a Ready
        self._outstanding: Ready | None = None
        self._messages: deque[tuple[str, RaftMessage]] = deque(maxlen=QUEUED_MESSAGES_LIMIT)
        self._votes_granted: frozenset[str] = frozenset()
        self._leadership: Leadership | None = None  # None unless this node is the leader
        self._rng = rng
        self._started_at = now
        self._authority_at: float | None = None  # time at which the node last knew a leader with a majority
        self._heartbeat_at = now
        self._restart_election_timer(now)

    # Queries.

    @property
    def term(self) -> int:
        """The current term."""
        return self._hard_state.term

    @property
    def last_index(self) -> int:
        """The index of the log's last entry; 0 for an empty log."""
        return self._log.last_index

    def entry(self, index: int) -> LogEntry:
        """Returns the log's entry at `index`.

        Raises:
            IndexError: If there is no such entry.
        """
        return self._log.entry(index)

    def authority_age(self, now: float) -> float:
        """Returns the seconds since this node last knew a leader with a majority, or since its start.

        A leader counts from the start of the last heartbeat round that a majority answered, a follower from
        the last AppendRequest of its leader.
        """
        since = self._started_at if self._authority_at is None else self._authority_at
        if self._leadership is not None:
            since = self._leadership.authority_at
        return max(0.0, now - since)

    # Events.

    def receive(self, sender: str, message: RaftMessage, now: float) -> None:
        """Handles a message from another node; ignores it if the sender has no votes or it is malformed."""
        if sender not in self._peers or not is_well_formed(message):
            return
        match message:
            case VoteRequest():
                self._receive_vote_request(sender, message, now)
            case VoteReply():
                self._receive_vote_reply(sender, message, now)
            case AppendRequest():
                self._receive_append_request(sender, message, now)
            case AppendReply():
                self._receive_append_reply(sender, message, now)
            case TimeoutNow(term) if term == self.term and self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE):
                self._start_election(now)

    def tick(self, now: float) -> None:
        """Handles timers that are due; must be called at least every HEARTBEAT_INTERVAL_S."""
        if self._leadership is not None:
            if now - self._leadership.authority_at > self._election_timeout:
                self._become_follower(self.term, "", now)
            elif now >= self._heartbeat_at:
                self._start_round(self._leadership, now)
            return
        if now < self._election_at:
            if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE) and now >= self._heartbeat_at:
                self._request_votes(now)
            return
        if self.role is Role.LEARNER:
            self.leader = ""
            self._restart_election_timer(now)
        else:
            self._start_pre_vote(now)

    def propose(self, data: bytes, now: float) -> tuple[int, int]:
        """Appends an entry to the log; it is confirmed once a `Ready` returns it as committed.

        Returns:
            The index and the term of the entry.

        Raises:
            NotLeaderError: If this node is not the leader.
            ValueError: If `data` is empty, which is reserved for the first entry of a term.
        """
        if not data:
            raise ValueError("expected a log entry with data, got an empty one")
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        return self._append_own(data)

    def transfer_leadership(self) -> bool:
        """Asks another node to start an election immediately.

        The caller repeats this until another node leads, and makes no proposals meanwhile.

        Returns:
            Whether a node was asked, which requires that this node leads and a voter has the complete log.
        """
        successor = self._leadership.successor() if self._leadership is not None else ""
        if successor:
            self._messages.append((successor, TimeoutNow(self.term)))
        return bool(successor)

    def become_learner(self, reason: str) -> None:
        """Makes this node a learner, because its disk was lost or is old and may lack a vote.

        Args:
            reason: The reason, for logs and status reports.
        """
        self.is_voter = False
        self.learner_reason = reason
        if self.leader == self.name:
            self.leader = ""
        self._end_leadership()
        self.role = Role.LEARNER
        self._votes_granted = frozenset()

    def take_ready(self) -> Ready | None:
        """Returns the work to do now, or None if there is none or the last Ready is not `persisted` yet."""
        if self._outstanding is not None:
            return None
        requests: Sequence[tuple[str, RaftMessage]] = ()
        if self._leadership is not None:
            requests = self._leadership.take_requests(self.commit_index)
        ready = Ready(
            hard_state=self._durable.hard_state_to_write(self._hard_state),
            truncate_from=self._durable.truncate_from_to_write(),
            entries=self._log.between(self._durable.index + 1, self._log.last_index),
            messages=(*self._messages, *requests),
            committed=self._log.between(self._delivered_index + 1, self.commit_index),
        )
        if ready == NOTHING_READY:
            return None
        self._messages.clear()
        self._delivered_index = self.commit_index
        self._outstanding = ready
        return ready

    def persisted(self, ready: Ready) -> None:
        """Records that all of `ready` is durable and its messages were sent.

        Raises:
            ValueError: If `ready` is not the outstanding one.
        """
        if ready is not self._outstanding:
            raise ValueError("expected the outstanding Ready, got another one")
        self._outstanding = None
        self._durable = self._durable.after(ready, self._log)
        if self._leadership is not None:
            self._advance_commit(self._leadership)

    # Elections.

    def _restart_election_timer(self, now: float) -> None:
        self._election_timeout = self._rng.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)
        self._election_at = now + self._election_timeout

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self._hard_state = HardState(term, "")
        if self.role in (Role.LEADER, Role.CANDIDATE, Role.PRE_CANDIDATE):
            self.role = Role.FOLLOWER
            self._restart_election_timer(now)
        self.leader = leader
        self._votes_granted = frozenset()
        self._end_leadership()

    def _end_leadership(self) -> None:
        if self._leadership is not None:
            self._authority_at = self._leadership.authority_at
            self._leadership = None

    def _start_pre_vote(self, now: float) -> None:
        self.role = Role.PRE_CANDIDATE
        self._begin_vote_round(now)
        if self._quorum.is_majority(self._votes_granted):
            self._start_election(now)

    def _start_election(self, now: float) -> None:
        self.role = Role.CANDIDATE
        self._hard_state = HardState(self.term + 1, self.name)
        self._begin_vote_round(now)
        if self._quorum.is_majority(self._votes_granted):
            self._become_leader(now)

    def _begin_vote_round(self, now: float) -> None:
        self.leader = ""
        self._votes_granted = frozenset((self.name,))
        self._restart_election_timer(now)
        self._request_votes(now)

    def _request_votes(self, now: float) -> None:
        """Requests the missing votes; repeated every HEARTBEAT_INTERVAL_S, because requests may be lost."""
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
        if self._outstanding is not None and self._messages:
            return  # the last requests have not been sent yet
        is_pre_vote = self.role is Role.PRE_CANDIDATE
        request = VoteRequest(self.term + is_pre_vote, self._log.last_index, self._log.last_term, is_pre_vote)
        self._messages.extend((peer, request) for peer in self._peers if peer not in self._votes_granted)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self._leadership = Leadership(self.name, self.term, self._peers, self._quorum, self._log, now)
        self._append_own(b"")
        self._start_round(self._leadership, now)

    def _receive_vote_request(self, sender: str, request: VoteRequest, now: float) -> None:
        if self.role is Role.LEARNER:
            return
        if request.is_pre_vote:
            is_granted = self._would_grant_pre_vote(request, now)
            term = request.term if is_granted else self.term
        else:
            if request.term > self.term:
                self._become_follower(request.term, "", now)
            is_granted = request.term == self.term and self._can_vote_for(sender, request)
            term = self.term
            if is_granted:
                self._hard_state = HardState(self.term, sender)
                self._restart_election_timer(now)
        self._messages.append((sender, VoteReply(term, is_granted, request.is_pre_vote)))

    def _would_grant_pre_vote(self, request: VoteRequest, now: float) -> bool:
        if self.role is Role.LEADER or request.term <= self.term:
            return False
        if self._authority_at is not None and now - self._authority_at < ELECTION_TIMEOUT_MIN_S:
            return False
        return self._is_log_new_enough(request)

    def _can_vote_for(self, sender: str, request: VoteRequest) -> bool:
        return self._hard_state.voted_for in ("", sender) and self._is_log_new_enough(request)

    def _is_log_new_enough(self, request: VoteRequest) -> bool:
        return (request.last_term, request.last_index) >= (self._log.last_term, self._log.last_index)

    def _receive_vote_reply(self, sender: str, reply: VoteReply, now: float) -> None:
        if not reply.is_granted:
            if reply.term > self.term:
                self._become_follower(reply.term, "", now)
            return
        expected_role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        expected_term = self.term + 1 if reply.is_pre_vote else self.term
        if self.role is not expected_role or reply.term != expected_term:
            return
        self._votes_granted |= {sender}
        if not self._quorum.is_majority(self._votes_granted):
            return
        if reply.is_pre_vote:
            self._start_election(now)
        else:
            self._become_leader(now)

    # The leader's side of replication.

    def _append_own(self, data: bytes) -> tuple[int, int]:
        entry = LogEntry(self._log.last_index + 1, self.term, data)
        self._log.append(entry)
        return entry.index, entry.term

    def _start_round(self, leadership: Leadership, now: float) -> None:
        leadership.start_round(now)
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_S

    def _receive_append_reply(self, sender: str, reply: AppendReply, now: float) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, "", now)
        elif reply.term == self.term and self._leadership is not None:
            self._leadership.receive(sender, reply)
            self._advance_commit(self._leadership)

    def _advance_commit(self, leadership: Leadership) -> None:
        self.commit_index = max(self.commit_index, leadership.committed_index(self._durable.index))

    # The follower's side of replication.

    def _receive_append_request(self, sender: str, request: AppendRequest, now: float) -> None:
        if request.term < self.term:
            self._reply_to_append(sender, request, is_match=False, match_index=self._log.last_index)
            return
        if self.role is Role.LEADER and request.term == self.term:
            raise ReplicaInvariantError(
                f"term {self.term}: expected one leader, but both {sender} and {self.name} lead"
            )
        self._become_follower(request.term, sender, now)
        self._authority_at = now
        self._restart_election_timer(now)
        if not self._log.has(request.previous_index, request.previous_term):
            hint = self._log.conflict_hint(request.previous_index, self.commit_index)
            self._reply_to_append(sender, request, is_match=False, match_index=hint)
            return
        self._merge(request.entries)
        match_index = request.previous_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.commit_index, match_index))
        self._reply_to_append(sender, request, is_match=True, match_index=match_index)

    def _reply_to_append(self, sender: str, request: AppendRequest, is_match: bool, match_index: int) -> None:
        reply = AppendReply(self.term, is_match, match_index, request.round, self.is_voter)
        self._messages.append((sender, reply))

    def _merge(self, entries: Sequence[LogEntry]) -> None:
        """Appends the entries that the log lacks; they replace its own from the first conflict on."""
        for entry in entries:
            if self._log.has(entry.index, entry.term):
                continue
            if entry.index <= self._log.last_index:
                self._truncate_from(entry.index)
            self._log.append(entry)

    def _truncate_from(self, index: int) -> None:
        if index <= self.commit_index:
            raise ReplicaInvariantError(
                f"entry {index} would be replaced, but entries up to {self.commit_index} are committed"
            )
        self._log.truncate_from(index)
        self._durable = self._durable.with_log_truncated(index)
