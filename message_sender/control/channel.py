"""Sealed datagrams among control nodes, and between control nodes and senders. No I/O, no clock.

The driver (driver.py) sends the datagrams.

Rules:

- A datagram that is not sealed with one of the configured keys, or does not decode, is dropped and counted by
  reason.
- A datagram is accepted only if it names the current session of this end. A `Hello` announces that session to
  a peer that does not know it. The number of these answers per second is bounded, with a separate limit for
  each configured name; a replayed datagram has no other effect.
- Only the latest start of a name (the one with the highest epoch) is accepted, and each datagram number of
  its session once.
- A peer whose epoch is below the known epoch of its name, or equal to it with another session, receives the
  known epoch. It continues with a higher epoch and marks its disk as old (`is_behind`).
- The caller stores the starts of the configured names (`on_start_known`) and passes them to the next
  channel, so that an old disk is detected even after the other nodes were restarted.
- A configured name is reached at its configured address, any other name at the source address of its last
  accepted datagram.
- A body that is larger than a datagram is sent in fragments, which are reassembled within bounds.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from message_sender.control.messages import Address, Body, Envelope, Fragment, Hello
from message_sender.fleet.codec import DecodingError, MessageCodec
from message_sender.fleet.rate_limit import RateLimit
from message_sender.fleet.seal import DATAGRAM_BYTES_LIMIT, DATAGRAM_BYTES_MIN, RefusedError, Seal
from message_sender.fleet.session import PeerSession

HELLO_ANSWERS_PER_SECOND = 500  # in total to names that are not configured
PEER_HELLO_ANSWERS_PER_SECOND = 50  # to each configured name, regardless of traffic under other names
HELLO_INTERVAL_S = 0.3  # to a peer whose session is unknown
QUEUED_BODIES_LIMIT = 4  # per peer whose session is unknown; the oldest are dropped
PEERS_LIMIT = 4096  # at this limit the peer that has been silent longest is dropped
FRAGMENT_BYTES = 1_200  # bytes of an encoded body per datagram
MESSAGE_BYTES_LIMIT = 64 * 1024  # per encoded body; its fragments fit the replay window in any order
FRAGMENTS_LIMIT = -(-MESSAGE_BYTES_LIMIT // FRAGMENT_BYTES)  # per body
PARTIAL_MESSAGES_LIMIT = 8  # per peer
PARTIAL_BYTES_LIMIT = 4 * 1024 * 1024  # all peers together
PARTIAL_AGE_LIMIT_S = 5.0

ENVELOPE_CODEC = MessageCodec(Envelope)
BODY_CODEC: MessageCodec[Body] = MessageCodec(Body)  # type: ignore[arg-type]


class RefusalReason(StrEnum):
    """Why a datagram was dropped."""

    SEAL = "sealed with another key, damaged, or not one of these datagrams"
    MALFORMED = "does not decode"
    OWN_NAME = "another one uses this name"
    OTHER_SESSION = "meant for another session: an old one, or a replay"
    OLD_START = "of a start before the latest of its name"
    REPLAY = "a number that has come before"
    FRAGMENT = "a fragment that fits no message"


class BodyTooLargeError(ValueError):
    """An encoded body is larger than MESSAGE_BYTES_LIMIT; no part of it is sent."""


class DroppedError(Exception):
    """A received datagram is dropped; `refusal` is the reason."""

    def __init__(self, refusal: RefusalReason) -> None:
        """Creates the error with its reason."""
        super().__init__(refusal.value)
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class KnownStart:
    """The latest known start of the process that uses a name."""

    epoch: int
    session: int


@dataclass(slots=True)
class PartialMessage:
    """The fragments of one message that have arrived so far."""

    count: int
    started_at: float  # seconds of the caller's clock
    parts: dict[int, bytes] = field(default_factory=dict)


class Channel:
    """One end of the authenticated datagram link, identified by its name."""

    def __init__(
        self,
        name: str,
        epoch: int,
        session: int,
        seal: Seal,
        addresses: Mapping[str, Address],
        known_starts: Mapping[str, KnownStart] | None = None,
    ) -> None:
        """Creates a channel that knows no sessions of its peers.

        Args:
            name: The name of this end.
            epoch: A number above the epochs of all earlier starts that the disk records.
            session: A random number above 0.
            seal: Seals and opens datagrams.
            addresses: The configured peers and their fixed addresses.
            known_starts: The starts that were reported to `on_start_known` by earlier channels.
        """
        self.name = name
        self.epoch = epoch
        self.session = session
        self.seal = seal
        self.addresses = dict(addresses)
        self.known_starts = dict(known_starts or {})
        self.is_behind = False  # peers know a later start of this name than this disk records
        self.on_behind: Callable[[int], None] | None = None  # called with the epoch to store
        self.on_start_known: Callable[[str, KnownStart], None] | None = None
        self.refused: Counter[RefusalReason] = Counter()
        self.partial_bytes = 0  # of all messages that are being reassembled
        self.sent = 0
        self.received = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._peers: dict[str, PeerSession] = {}
        self._learned_addresses: dict[str, Address] = {}
        self._queued_bodies: dict[str, list[Body]] = {}
        self._hello_sent_at: dict[str, float] = {}
        self._partial_messages: dict[tuple[str, int], PartialMessage] = {}
        self._datagram_number = 0
        self._message_number = 0
        self._hello_limit = RateLimit(0.0)  # by name; "" for all names that are not configured
        self._outbox: list[tuple[Address, bytes]] = []

    # Sending.

    def send(self, to: str, body: Body, now: float) -> None:
        """Sends `body` to the peer `to`, or queues it until that peer's session is known.

        A body to a name without a known address is dropped.

        Raises:
            BodyTooLargeError: If the encoded body is larger than MESSAGE_BYTES_LIMIT.
        """
        address = self.address_of(to)
        if address is None:
            return
        peer = self._peers.get(to)
        if peer is not None:
            self._send_body(address, peer.session, body)
            return
        self._queued_bodies[to] = [*self._queued_bodies.get(to, ()), body][-QUEUED_BODIES_LIMIT:]
        if now - self._hello_sent_at.get(to, -HELLO_INTERVAL_S) >= HELLO_INTERVAL_S:
            self._hello_sent_at[to] = now
            self._send_datagram(address, 0, Hello())

    def address_of(self, name: str) -> Address | None:
        """Returns the address of a peer, or None if it is not known."""
        return self.addresses.get(name) or self._learned_addresses.get(name)

    def has_session(self, name: str) -> bool:
        """Returns whether the peer's session is known, so that bodies to it are sent immediately."""
        return name in self._peers

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Returns the datagrams to send now; each is returned once."""
        datagrams = self._outbox
        self._outbox = []
        return datagrams

    def _send_body(self, address: Address, session: int, body: Body) -> None:
        encoded = BODY_CODEC.encode(body)
        if len(encoded) <= FRAGMENT_BYTES:
            self._send_datagram(address, session, body)
            return
        if len(encoded) > MESSAGE_BYTES_LIMIT:
            raise BodyTooLargeError(
                f"{type(body).__name__}: expected at most {MESSAGE_BYTES_LIMIT} bytes, got {len(encoded)}"
            )
        self._message_number += 1
        pieces = [encoded[at : at + FRAGMENT_BYTES] for at in range(0, len(encoded), FRAGMENT_BYTES)]
        for index, piece in enumerate(pieces):
            self._send_datagram(address, session, Fragment(self._message_number, index, len(pieces), piece))

    def _send_datagram(self, address: Address, session: int, body: Body) -> None:
        self._datagram_number += 1
        envelope = Envelope(self.name, self.epoch, self.session, session, self._datagram_number, body)
        datagram = self.seal.seal(ENVELOPE_CODEC.encode(envelope))
        assert DATAGRAM_BYTES_MIN < len(datagram) <= DATAGRAM_BYTES_LIMIT, len(datagram)
        self.sent += 1
        self.sent_bytes += len(datagram)
        self._outbox.append((address, datagram))

    # Receiving.

    def receive(self, datagram: bytes, source: Address, now: float) -> list[tuple[str, Body]]:
        """Handles a received datagram; never raises because of its content.

        Args:
            datagram: The datagram as received.
            source: The address from which it was received.
            now: Seconds of the caller's monotonic clock.

        Returns:
            The sending peer's name and the body that the datagram completes; empty if it completes none.
        """
        try:
            envelope = self._open(datagram)
            body = self._accept(envelope, source, now)
        except DroppedError as error:
            self.refused[error.refusal] += 1
            return []
        self.received += 1
        self.received_bytes += len(datagram)
        return [] if body is None else [(envelope.name, body)]

    def _open(self, datagram: bytes) -> Envelope:
        try:
            plain = self.seal.open(datagram)
        except RefusedError:
            raise DroppedError(RefusalReason.SEAL) from None
        try:
            return ENVELOPE_CODEC.decode(plain)
        except DecodingError:
            raise DroppedError(RefusalReason.MALFORMED) from None

    def _accept(self, envelope: Envelope, source: Address, now: float) -> Body | None:
        if envelope.name == self.name:
            raise DroppedError(RefusalReason.OWN_NAME)
        if envelope.to_session != self.session:
            self._answer_with_hello(envelope, source, now)
            if isinstance(envelope.body, Hello) and envelope.to_session == 0:
                return None
            raise DroppedError(RefusalReason.OTHER_SESSION)
        self._accept_number(envelope, source, now)
        match envelope.body:
            case Hello(known_epoch):
                self._handle_known_epoch(known_epoch)
                body = None
            case Fragment():
                body = self._reassemble(envelope.name, envelope.body, now)
            case _:
                body = envelope.body
        self._send_queued_bodies(envelope.name)
        return body

    def _accept_number(self, envelope: Envelope, source: Address, now: float) -> None:
        """Records the sending peer's session and the datagram's number.

        Raises:
            DroppedError: If the datagram is of an earlier start or a replay.
        """
        peer = self._peers.get(envelope.name)
        if peer is None or peer.session != envelope.session:
            if self._find_later_epoch(envelope):
                self._answer_with_hello(envelope, source, now)
                raise DroppedError(RefusalReason.OLD_START)
            peer = self._begin_session(envelope)
        if not peer.is_new(envelope.number):
            raise DroppedError(RefusalReason.REPLAY)
        if envelope.epoch > peer.epoch:
            peer.epoch = envelope.epoch
        self._record_start(envelope.name, KnownStart(peer.epoch, peer.session))
        peer.received_at = now
        if envelope.name not in self.addresses:
            self._learned_addresses[envelope.name] = source

    def _begin_session(self, envelope: Envelope) -> PeerSession:
        if len(self._peers) >= PEERS_LIMIT:
            unconfigured = (name for name in self._peers if name not in self.addresses)
            self._forget(min(unconfigured, key=lambda name: self._peers[name].received_at))
        for key in [key for key in self._partial_messages if key[0] == envelope.name]:
            self._drop_partial(key)
        peer = PeerSession(envelope.epoch, envelope.session)
        self._peers[envelope.name] = peer
        return peer

    def _forget(self, name: str) -> None:
        self._peers.pop(name, None)
        self._learned_addresses.pop(name, None)
        self._queued_bodies.pop(name, None)
        self._hello_sent_at.pop(name, None)
        self.known_starts.pop(name, None)

    def _record_start(self, name: str, start: KnownStart) -> None:
        if self.known_starts.get(name) == start:
            return
        self.known_starts[name] = start
        if name in self.addresses and self.on_start_known is not None:
            self.on_start_known(name, start)

    def _find_later_epoch(self, envelope: Envelope) -> int:
        """Returns the sending peer's known epoch if the datagram is not of its latest start; otherwise 0."""
        known = self.known_starts.get(envelope.name)
        if known is None or known.session == envelope.session or known.epoch < envelope.epoch:
            return 0
        return known.epoch

    def _answer_with_hello(self, envelope: Envelope, source: Address, now: float) -> None:
        """Announces this session to a peer that does not know it, within the limits per second."""
        if envelope.name in self.addresses:
            is_allowed = self._hello_limit.allow(envelope.name, PEER_HELLO_ANSWERS_PER_SECOND, now)
        else:
            is_allowed = self._hello_limit.allow("", HELLO_ANSWERS_PER_SECOND, now)
        if not is_allowed:
            return
        address = self.addresses.get(envelope.name, source)
        self._send_datagram(
            address, envelope.session, Hello(self._find_later_epoch(envelope), is_answer=True)
        )

    def _handle_known_epoch(self, known_epoch: int) -> None:
        if known_epoch >= self.epoch:
            self.epoch = known_epoch + 1
            self.is_behind = True
            self._queued_bodies.clear()  # they were created before the old disk was detected
            if self.on_behind is not None:
                self.on_behind(self.epoch)

    def _send_queued_bodies(self, name: str) -> None:
        address = self.address_of(name)
        if address is None:
            return
        for body in self._queued_bodies.pop(name, ()):
            self._send_body(address, self._peers[name].session, body)

    # Fragments.

    def _reassemble(self, name: str, fragment: Fragment, now: float) -> Body | None:
        """Returns the complete body if this fragment was the last missing one, otherwise None.

        Raises:
            DroppedError: If the fragment does not fit its message.
        """
        self._drop_expired_partials(now)
        if not fragment.index < fragment.count <= FRAGMENTS_LIMIT or len(fragment.data) > FRAGMENT_BYTES:
            raise DroppedError(RefusalReason.FRAGMENT)
        key = name, fragment.message
        partial = self._partial_messages.get(key)
        if partial is None:
            partial = self._begin_partial(key, fragment, now)
        if partial.count != fragment.count:
            raise DroppedError(RefusalReason.FRAGMENT)
        if fragment.index in partial.parts:
            return None
        partial.parts[fragment.index] = fragment.data
        self.partial_bytes += len(fragment.data)
        if len(partial.parts) == partial.count:
            self._drop_partial(key)
            return self._decode_body(b"".join(partial.parts[index] for index in range(partial.count)))
        while self.partial_bytes > PARTIAL_BYTES_LIMIT:
            self._drop_partial(next(iter(self._partial_messages)))
        return None

    def _begin_partial(self, key: tuple[str, int], fragment: Fragment, now: float) -> PartialMessage:
        """Begins a partial message; drops the oldest one of the same peer if it has too many."""
        keys_of_peer = [other for other in self._partial_messages if other[0] == key[0]]
        if len(keys_of_peer) >= PARTIAL_MESSAGES_LIMIT:
            self._drop_partial(keys_of_peer[0])
        partial = PartialMessage(fragment.count, now)
        self._partial_messages[key] = partial
        return partial

    def _drop_expired_partials(self, now: float) -> None:
        expired = [
            key
            for key, partial in self._partial_messages.items()
            if now - partial.started_at > PARTIAL_AGE_LIMIT_S
        ]
        for key in expired:
            self._drop_partial(key)

    def _drop_partial(self, key: tuple[str, int]) -> None:
        partial = self._partial_messages.pop(key)
        self.partial_bytes -= sum(map(len, partial.parts.values()))

    def _decode_body(self, data: bytes) -> Body:
        try:
            body = BODY_CODEC.decode(data)
        except DecodingError:
            raise DroppedError(RefusalReason.MALFORMED) from None
        if isinstance(body, Hello | Fragment):
            raise DroppedError(RefusalReason.FRAGMENT)
        return body
