"""The state of a leader's term: progress of its peers, answered heartbeat rounds, commit index."""

from collections.abc import Sequence

from message_sender.control.log import ReplicatedLog
from message_sender.control.messages import AppendReply, AppendRequest
from message_sender.control.progress import Progress
from message_sender.control.quorum import Quorum

BATCH_BYTES_LIMIT = 24 * 1024  # data of the entries in one AppendRequest; a larger entry is sent alone


class Leadership:
    """A leader's state from its election to the end of its leadership; see the rules in replica.py."""

    def __init__(
        self, name: str, term: int, peers: Sequence[str], quorum: Quorum, log: ReplicatedLog, now: float
    ) -> None:
        """Begins the leadership of `name` in `term`, with no knowledge of its peers' logs."""
        self._name = name
        self._term = term
        self._quorum = quorum
        self._log = log
        self._progress = {peer: Progress(log.last_index + 1) for peer in peers}
        self._round = 0
        self._round_started_at: dict[int, float] = {}
        self.authority_at = now  # the start of the last round that a majority answered

    def start_round(self, now: float) -> None:
        """Starts a heartbeat round: the next `take_requests` returns a heartbeat to each peer."""
        self._round += 1
        self._round_started_at[self._round] = now
        for progress in self._progress.values():
            progress.require_heartbeat()
        self._update_authority()

    def take_requests(self, commit_index: int) -> list[tuple[str, AppendRequest]]:
        """Returns the requests that are due, each with its receiver.

        A request is due if a peer lacks entries, if the commit index rose, or for a heartbeat.
        """
        requests = []
        for peer, progress in self._progress.items():
            while progress.can_send(self._log.last_index):
                requests.append((peer, self._request(progress, commit_index, BATCH_BYTES_LIMIT)))
            if progress.is_heartbeat_due or progress.sent_commit_index < commit_index:
                requests.append((peer, self._request(progress, commit_index, 0)))
        return requests

    def _request(self, progress: Progress, commit_index: int, entries_limit: int) -> AppendRequest:
        """Returns the next request to a peer; it has no entries if `entries_limit`, in bytes, is 0."""
        previous_index = progress.next_index - 1
        previous_term = self._log.term_at(previous_index)
        entries = self._log.batch(progress.next_index, entries_limit) if entries_limit else ()
        progress.is_heartbeat_due = False
        progress.sent_commit_index = commit_index
        if entries:
            progress.record_entries_sent(entries[-1].index)
        return AppendRequest(self._term, previous_index, previous_term, commit_index, self._round, entries)

    def receive(self, sender: str, reply: AppendReply) -> None:
        """Handles a reply of this term."""
        progress = self._progress[sender]
        progress.is_voter = progress.is_voter and reply.is_voter
        progress.answered_round = max(progress.answered_round, min(reply.round, self._round))
        self._update_authority()
        if reply.is_match:
            progress.record_match(min(reply.match_index, self._log.last_index))
        else:
            progress.record_rejection(reply.match_index)

    def committed_index(self, durable_index: int) -> int:
        """Returns the index of the last entry that is durable on a majority, or 0 if its term is older.

        Entries of earlier terms are committed only by a later entry of this term.

        Args:
            durable_index: The index of the last entry that is durable on the leader's own disk.
        """
        durable = {peer: progress.match_index for peer, progress in self._voting_peers()}
        durable[self._name] = durable_index
        index = self._quorum.majority_value(durable)
        return index if self._log.term_at(index) == self._term else 0

    def successor(self) -> str:
        """Returns the voter with the complete log that answered the latest round; empty if there is none."""
        rounds = {
            peer: progress.answered_round
            for peer, progress in self._voting_peers()
            if progress.match_index == self._log.last_index
        }
        return max(rounds, key=lambda peer: rounds[peer], default="")

    def _voting_peers(self) -> list[tuple[str, Progress]]:
        return [(peer, progress) for peer, progress in self._progress.items() if progress.is_voter]

    def _update_authority(self) -> None:
        """Updates `authority_at`: a round that a majority answered proves authority at the round's start."""
        answered = {peer: progress.answered_round for peer, progress in self._voting_peers()}
        answered[self._name] = self._round
        answered_round = self._quorum.majority_value(answered)
        if answered_round not in self._round_started_at:
            return
        self.authority_at = max(self.authority_at, self._round_started_at[answered_round])
        for earlier_round in [number for number in self._round_started_at if number < answered_round]:
            del self._round_started_at[earlier_round]
