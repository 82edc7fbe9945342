"""Messages of the control plane: one envelope per datagram, in msgpack, with every field checked.

`Envelope` identifies the process that sent it: `epoch` counts the starts under its name and is stored on its
disk, `session` is a random number for each start, `to_session` is the receiver's session (0 if unknown), and
`number` counts the datagrams of this session from 1, so that duplicates can be dropped.

All structures are encoded as arrays: the order and the types of their fields, and the tags, define the wire
format.
"""

from enum import IntEnum
from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Digest = Annotated[int, msgspec.Meta(ge=0)]  # 64 bits, the largest integer size of msgpack
Address = tuple[str, int]

CHANGE_BYTES_LIMIT = 32 * 1024  # per encoded change
REASON_LENGTH_LIMIT = 400  # characters of the reason for a refused version
CHUNK_BYTES = 1_000  # bytes of a snapshot per chunk
NAME_LENGTH_LIMIT = 64  # characters of the name of a node, a sender or a request


class Resource(msgspec.Struct, array_like=True, frozen=True):
    """One named part of the configuration, for example `endpoints/hub-1`; `value` is canonical JSON."""

    name: str
    value: bytes


class Change(msgspec.Struct, array_like=True, frozen=True):
    """A change based on the version `base_version`; a retry has the same `request_id`."""

    request_id: str
    base_version: Count
    put: tuple[Resource, ...]
    delete: tuple[str, ...]
    author: str = ""


class Outcome(IntEnum):
    """The outcome of a change."""

    APPLIED = 0
    CONFLICT = 1  # the current version is not the base version
    INVALID = 2  # the configuration would have faults; nothing was written
    UNAVAILABLE = 3  # no leader with a majority; only a retry shows whether the change was made


class ChangeResult(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a change; `version` is the version that it created, otherwise the current one."""

    request_id: str
    outcome: Outcome
    version: Count
    faults: tuple[str, ...] = ()


# Between senders and control nodes.


class Poll(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A sender's heartbeat and acknowledgement: its active version, and the newest version it refused."""

    version: Count
    digest: Digest
    refused_version: Count = 0  # 0: none
    reason: str = ""


class VersionNotice(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A node's answer to a poll.

    Attributes:
        version: The node's newest version.
        digest: The digest of its document.
        needs_snapshot: Whether the sender must fetch a snapshot, because its version is older than the
            history or its digest differs.
        age_ms: The milliseconds since the node last knew a leader with a majority.
        retry_after_ms: If above 0, the node is busy and must be polled again after this many milliseconds.
    """

    version: Count
    digest: Digest
    needs_snapshot: bool = False
    age_ms: Count = 0
    retry_after_ms: Count = 0


class Delta(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """All changes between two versions; `digest` is the digest of the document at `to_version`."""

    from_version: Count
    to_version: Count
    put: tuple[Resource, ...]
    delete: tuple[str, ...]
    digest: Digest


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Requests a window of chunks of the document at `version` from byte `offset` on."""

    version: Count
    offset: Count


class SnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Bytes of the encoded document (`document.encode_snapshot`) at `version`, whose length is `total`."""

    version: Count
    offset: Count
    total: Count
    data: bytes


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Announces the session of the process that sent it.

    `known_epoch` is the highest known epoch of the receiver's name if the receiver's disk is old, otherwise
    0.
    """

    known_epoch: Count = 0
    is_answer: bool = False


class Fragment(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """A part of an encoded body that is too large for one datagram."""

    message: Count
    index: Count
    count: Count
    data: bytes


# Between control nodes: replication (Raft).


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the replicated log; `data` is empty in the first entry of a leader's term."""

    index: Count
    term: Count
    data: bytes


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag=20):
    """A candidate's request for a vote; a pre-vote only asks whether the vote would be granted."""

    term: Count
    last_index: Count
    last_term: Count
    is_pre_vote: bool


class VoteReply(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """The answer to a VoteRequest."""

    term: Count
    is_granted: bool
    is_pre_vote: bool


class AppendRequest(msgspec.Struct, array_like=True, frozen=True, tag=22):
    """A leader's entries after (`previous_index`, `previous_term`); without entries it is a heartbeat."""

    term: Count
    previous_index: Count
    previous_term: Count
    commit_index: Count
    round: Count  # number of the leader's heartbeat round; the reply has the same number
    entries: tuple[LogEntry, ...]


class AppendReply(msgspec.Struct, array_like=True, frozen=True, tag=23):
    """The answer to an AppendRequest.

    Attributes:
        term: The term of the answering node.
        is_match: Whether the entries were accepted.
        match_index: The index up to which the log is durable and equal to the leader's; if the entries were
            not accepted, the index to try next.
        round: The round of the request.
        is_voter: False for a learner, a node whose disk was lost or is old and that counts for no majority.
    """

    term: Count
    is_match: bool
    match_index: Count
    round: Count
    is_voter: bool


class TimeoutNow(msgspec.Struct, array_like=True, frozen=True, tag=24):
    """A request from a leader that is shutting down: the receiver must start an election immediately."""

    term: Count


# Between control nodes: forwarded requests of operators.


class ForwardedChange(msgspec.Struct, array_like=True, frozen=True, tag=30):
    """A change that a node forwards to the leader."""

    change: Change


class ForwardedResult(msgspec.Struct, array_like=True, frozen=True, tag=31):
    """The result of a forwarded change."""

    result: ChangeResult


class StatusRequest(msgspec.Struct, array_like=True, frozen=True, tag=32):
    """A request for a NodeStatus with the same number."""

    number: Count


class WatcherStatus(msgspec.Struct, array_like=True, frozen=True):
    """The status of a watching sender as a control node knows it."""

    name: str
    version: Count
    refused_version: Count
    reason: str
    silent_ms: Count


class NodeStatus(msgspec.Struct, array_like=True, frozen=True, tag=33):
    """The status of a control node as it reports it itself, with the senders that watch it."""

    number: Count
    name: str
    role: str  # leader, follower, candidate or learner
    leader: str
    term: Count
    version: Count
    commit_index: Count
    age_ms: Count
    watchers: tuple[WatcherStatus, ...]
    fault: str = ""  # for the operator: a disk that cannot be written, the reason why the node is a learner


RaftMessage = VoteRequest | VoteReply | AppendRequest | AppendReply | TimeoutNow
WatchMessage = Poll | VersionNotice | Delta | SnapshotRequest | SnapshotChunk
OperatorMessage = ForwardedChange | ForwardedResult | StatusRequest | NodeStatus
Body = Hello | Fragment | RaftMessage | WatchMessage | OperatorMessage


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A body with the identity of the process that sent it."""

    name: str
    epoch: Count
    session: Count
    to_session: Count
    number: Count
    body: Body
