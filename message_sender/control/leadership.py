"""A leader's term: what its peers' logs hold, which heartbeat rounds they answered, what is committed."""

from collections.abc import Sequence

from message_sender.control.log import ReplicatedLog
from message_sender.control.messages import AppendReply, AppendRequest
from message_sender.control.progress import Progress
from message_sender.control.quorum import Quorum

BATCH_BYTES_LIMIT = 24 * 1024  # data of the entries of one AppendRequest; one larger entry goes alone


class Leadership:
    """Kept from the election to the end of the term's leadership; see the rules in `replica.py`."""

    def __init__(
        self, name: str, term: int, peers: Sequence[str], quorum: Quorum, log: ReplicatedLog, now: float
    ) -> None:
        self._name = name
        self._term = term
        self._quorum = quorum
        self._log = log
        self._progress = {peer: Progress(log.last_index + 1) for peer in peers}
        self._round = 0
        self._round_started_at: dict[int, float] = {}
        self.authority_at = now  # the start of the last round that a majority answered

    def start_round(self, now: float) -> None:
        """A heartbeat goes to each peer with the next `take_requests`."""
        self._round += 1
        self._round_started_at[self._round] = now
        for progress in self._progress.values():
            progress.require_heartbeat()
        self._update_authority()

    def take_requests(self, commit_index: int) -> list[tuple[str, AppendRequest]]:
        """Entries that peers lack, a commit index that rose, and heartbeats that are due."""
        requests = []
        for peer, progress in self._progress.items():
            while progress.can_send(self._log.last_index):
                requests.append((peer, self._request(progress, commit_index, BATCH_BYTES_LIMIT)))
            if progress.is_heartbeat_due or progress.sent_commit_index < commit_index:
                requests.append((peer, self._request(progress, commit_index, 0)))
        return requests

    def _request(self, progress: Progress, commit_index: int, entries_limit: int) -> AppendRequest:
        """The next request to a peer; with a limit of 0 bytes one without entries."""
        previous_index = progress.next_index - 1
        previous_term = self._log.term_at(previous_index)
        entries = self._log.batch(progress.next_index, entries_limit) if entries_limit else ()
        progress.is_heartbeat_due = False
        progress.sent_commit_index = commit_index
        if entries:
            progress.note_entries_sent(entries[-1].index)
        return AppendRequest(self._term, previous_index, previous_term, commit_index, self._round, entries)

    def receive(self, sender: str, reply: AppendReply) -> None:
        """An answer of this term."""
        progress = self._progress[sender]
        progress.is_voter = progress.is_voter and reply.is_voter
        progress.answered_round = max(progress.answered_round, min(reply.round, self._round))
        self._update_authority()
        if reply.is_match:
            progress.note_match(min(reply.match_index, self._log.last_index))
        else:
            progress.note_refusal(reply.match_index)

    def committed_index(self, durable_index: int) -> int:
        """The last entry that is durable on a majority, if it is of this term, or else 0.

        `durable_index` is the last one that is durable on the leader's own disk. Entries of earlier terms are
        committed only by one of this term behind them.
        """
        durable = {peer: progress.match_index for peer, progress in self._voting_peers()}
        durable[self._name] = durable_index
        index = self._quorum.majority_value(durable)
        return index if self._log.term_at(index) == self._term else 0

    def successor(self) -> str:
        """The voter with the whole log that answered the latest heartbeat round; empty if none has it."""
        rounds = {
            peer: progress.answered_round
            for peer, progress in self._voting_peers()
            if progress.match_index == self._log.last_index
        }
        return max(rounds, key=lambda peer: rounds[peer], default="")

    def _voting_peers(self) -> list[tuple[str, Progress]]:
        return [(peer, progress) for peer, progress in self._progress.items() if progress.is_voter]

    def _update_authority(self) -> None:
        """A round that a majority answered shows that this leader had authority when the round started."""
        answered = {peer: progress.answered_round for peer, progress in self._voting_peers()}
        answered[self._name] = self._round
        answered_round = self._quorum.majority_value(answered)
        if answered_round not in self._round_started_at:
            return
        self.authority_at = max(self.authority_at, self._round_started_at[answered_round])
        for each in [each for each in self._round_started_at if each < answered_round]:
            del self._round_started_at[each]
