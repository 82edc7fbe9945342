"""A node of the link between senders: the datagrams that it accepts and sends. Pure; see udp.py for I/O.

Rules:

- A datagram that is not sealed with one of the fleet's keys is counted by reason and has no other effect.
- A datagram is accepted only if it names the current session of this node. A peer that names another session
  is answered with a hello that carries the current one. The hello goes to the address in the peer's datagram;
  the number of hellos per second is bounded. A replayed datagram can have no other effect.
- For each member only the session with its highest epoch is accepted, and within it each datagram number only
  once (session.py).
- A member whose epoch is below the known epoch of its name has an old or empty disk. It is sent the known
  epoch, continues with a higher one, and records that its disk does not have the latest state (`is_behind`).
- Dead members are periodically sent a hello until they are dropped from the member list, so that a network
  partition also heals between members that are not seeds.
- Two members with the same name are detected by their addresses: the earlier one is kept, the other one is
  rejected.
- Each member sends one announcement to all other members: when it changes, and periodically at a rate that
  does not grow with the fleet.

All times are seconds of the caller's monotonic clock.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from message_sender.fleet import wire
from message_sender.fleet.announcements import Announcement, AnnouncementTable, split_announcement
from message_sender.fleet.default_handlers import (
    ignore_announcement,
    ignore_epoch,
    ignore_lease_datagram,
    ignore_query,
    ignore_query_reply,
)
from message_sender.fleet.indirect_probes import IndirectProbeTable
from message_sender.fleet.members import MemberList, MemberState
from message_sender.fleet.rate_limit import RateLimit
from message_sender.fleet.seal import RefusedError, Seal
from message_sender.fleet.session import PeerSession
from message_sender.fleet.wire import Address, Envelope, MembershipUpdate

HELLO_ANSWERS_PER_SECOND = 20  # plus one per known member
JOIN_INTERVAL_S = 0.3  # between hellos to the seeds while no other member is alive or suspect
REJOIN_INTERVAL_S = 2.0  # between hellos to seeds that are not alive or suspect members
JOIN_JITTER = (0.8, 1.2)  # range of the random factor applied to both intervals
ANNOUNCEMENTS_PER_SECOND = 100.0  # upper limit for unchanged announcements
ANNOUNCEMENT_INTERVAL_MIN_S = 1.0  # between two rounds of an unchanged announcement
ANNOUNCEMENT_ROUND_STEPS = 20  # batches of a round, spread evenly over the interval
QUEUED_BODIES_LIMIT = 4  # per member whose session is unknown; the oldest are dropped
DUPLICATE_NAME_AGE_S = 2.0  # after this silence a new session may use another address
UPDATES_PER_HELLO = 16  # in one datagram to a member with a new session


@dataclass(frozen=True, slots=True)
class LocalMember:
    """The configuration of the local member.

    Attributes:
        name: Its name, unique in the fleet.
        address: The address at which other members reach it.
        seeds: Addresses of the members that it contacts to join the fleet.
        size: The largest expected number of members.
    """

    name: str
    address: Address
    seeds: tuple[Address, ...] = ()
    size: int = 8


@dataclass
class LinkCounters:
    """Counts of datagrams since the start; `refused` is by reason."""

    sent: int = 0
    received: int = 0
    refused: Counter[str] = field(default_factory=Counter)


class FleetNode:
    """A node of the link, driven by received datagrams and ticks.

    Attributes:
        outbox: The datagrams to send, each with its destination address; the caller removes them.
        is_behind: Whether other members know a later start of this name than the local disk does.
        duplicate_name_address: The address of another member with the same name; empty if none was seen.
        on_epoch_raised: Called with a raised epoch, which must be stored.
        on_query: Called with the sender and the text of a query; returns the reply, or None to send none.
        on_query_reply: Called with the sender, the query's number and the text of a reply.
        on_lease_datagram: Called with the sender and the body of a lease datagram.
        on_announcement: Called with the sender and the content of a new announcement.
    """

    def __init__(
        self, me: LocalMember, seal: Seal, epoch: int, session: int, rng: random.Random, now: float
    ) -> None:
        """Creates a node without sessions.

        Args:
            me: The local member.
            seal: Seals and opens datagrams.
            epoch: The start number; higher than that of each known earlier start.
            session: The session number: random, above 0.
            rng: The source of randomness for targets and intervals.
            now: The current time.
        """
        self.me = me
        self.seal = seal
        self.session = session
        self.rng = rng
        self.members = MemberList(me.name, me.address, epoch, rng)
        self.peers: dict[str, PeerSession] = {}
        self.outbox: list[tuple[Address, bytes]] = []
        self.counters = LinkCounters()
        self.is_behind = False
        self.duplicate_name_address = ""
        self.datagram_number = 0
        self.announcement_version = 0
        self.announcement_text = b""
        self.announcement_round: list[str] = []  # members that have not been sent it in this round
        self.announcements_due = now
        self.join_due = now
        self.on_epoch_raised: Callable[[int], None] = ignore_epoch
        self.on_query: Callable[[str, bytes], bytes | None] = ignore_query
        self.on_query_reply: Callable[[str, int, bytes], None] = ignore_query_reply
        self.on_lease_datagram: Callable[[str, wire.LeaseDatagram], None] = ignore_lease_datagram
        self.on_announcement: Callable[[str, Announcement], None] = ignore_announcement
        self._announcements = AnnouncementTable()
        self._indirect_probes = IndirectProbeTable()
        self._queued_bodies: dict[str, list[wire.Body]] = {}  # by name of a member whose session is unknown
        self._hello_limit = RateLimit(now)

    @property
    def announcements(self) -> dict[str, Announcement]:
        """The newest announcement of each other member."""
        return self._announcements.newest

    # Sending.

    def send(
        self,
        address: Address,
        body: wire.Body,
        to_session: int = 0,
        updates: tuple[MembershipUpdate, ...] = (),
    ) -> None:
        """Seals a datagram and puts it into the outbox."""
        self.datagram_number += 1
        envelope = Envelope(
            self.me.name,
            self.me.address,
            self.members.me.epoch,
            self.session,
            to_session,
            self.datagram_number,
            body,
            updates,
        )
        datagram = self.seal.seal(wire.encode(envelope))
        self.counters.sent += 1
        self.outbox.append((address, datagram))

    def send_to(self, name: str, body: wire.Body) -> None:
        """Sends `body` to a member; if its session is unknown, sends a hello and queues `body`."""
        member = self.members.others.get(name)
        if member is None:
            return
        peer = self.peers.get(name)
        if peer is None or peer.epoch < member.epoch:
            self.send(member.address, wire.Hello())
            self._queued_bodies[name] = [*self._queued_bodies.get(name, ()), body][-QUEUED_BODIES_LIMIT:]
        else:
            self.send(member.address, body, peer.session, self.members.take_updates(name))

    def others(self) -> list[str]:
        """Returns the other members that are alive or suspect, sorted by name."""
        return [name for name in self.members.alive() if name != self.me.name]

    def publish(self, text: bytes, now: float) -> None:
        """Sets the local member's announcement and, if it has changed, sends it to all other members."""
        if text == self.announcement_text:
            return
        self.announcement_version += 1
        self.announcement_text = text
        for name in self.others():
            self.send_announcement(name)
        self.announcements_due = now + self.announcement_interval()

    def announcement_interval(self) -> float:
        """Returns the seconds between two rounds; they grow with the fleet, which bounds the rate."""
        return max(ANNOUNCEMENT_INTERVAL_MIN_S, len(self.members.others) / ANNOUNCEMENTS_PER_SECOND)

    def send_announcement(self, name: str) -> None:
        """Sends the local member's announcement, if there is one, to another member."""
        if not self.announcement_version:
            return
        for part in split_announcement(self.announcement_version, self.announcement_text):
            self.send_to(name, part)

    def send_query(self, number: int, names: Iterable[str], text: bytes) -> None:
        """Sends a query to the named members; their replies carry its number."""
        for name in names:
            self.send_to(name, wire.Query(number, text))

    def leave(self) -> None:
        """Announces the shutdown of the local member."""
        for name in self.others():
            self.send_to(name, wire.Leave())

    # Time.

    def tick(self, now: float) -> None:
        """Runs the actions due by `now`; must be called several times a second."""
        if now >= self.join_due:
            self.join(now)
        for probe in self.members.tick(now):
            self.send_to(probe.receiver, wire.Ping(probe.number, probe.target))
        if now >= self.announcements_due:
            self._send_announcement_step(now)

    def _send_announcement_step(self, now: float) -> None:
        """Sends the announcement to the next batch of members; batches spread a round evenly."""
        if not self.announcement_round:
            self.announcement_round = self.others()
            self.rng.shuffle(self.announcement_round)
        share = max(len(self.others()) // ANNOUNCEMENT_ROUND_STEPS, 1)
        for name in self.announcement_round[:share]:
            self.send_announcement(name)
        self.announcement_round = self.announcement_round[share:]
        interval = self.announcement_interval()
        if self.announcement_round:
            interval /= ANNOUNCEMENT_ROUND_STEPS
        self.announcements_due = now + interval

    def join(self, now: float) -> None:
        """Sends a hello to the seeds that are not alive or suspect members, and to one dead member."""
        members = self.members.others.values()
        known = {member.address for member in members if member.state <= MemberState.SUSPECT}
        for seed in self.me.seeds:
            if seed != self.me.address and seed not in known:
                self.send(seed, wire.Hello())
        dead = [member for member in members if member.state is MemberState.DEAD]
        if dead:  # a partition may have healed
            self.send(self.rng.choice(dead).address, wire.Hello())
        interval = REJOIN_INTERVAL_S if known else JOIN_INTERVAL_S
        self.join_due = now + interval * self.rng.uniform(*JOIN_JITTER)

    # Receiving.

    def receive(self, datagram: bytes, now: float) -> None:
        """Handles a datagram from the network; a rejected one is counted by reason."""
        try:
            self._accept(wire.decode(self.seal.open(datagram)), now)
        except RefusedError as error:
            self.counters.refused[str(error)] += 1

    def _accept(self, envelope: Envelope, now: float) -> None:
        if envelope.name == self.me.name:
            self._check_duplicate_name(envelope)
            return
        if isinstance(envelope.body, wire.Hello):
            self._handle_hello(envelope, envelope.body, now)
        if envelope.to_session != self.session:
            if not isinstance(envelope.body, wire.Hello):
                self._answer_with_hello(envelope, now)
                raise RefusedError("meant for another session: an old one, or a replay")
            return
        is_first = self._accept_number(envelope, now)
        self.counters.received += 1
        self.members.record_datagram(envelope.name, envelope.address, envelope.epoch, now)
        for update in envelope.updates:
            self.members.apply_update(update, envelope.name, now)
        self._dispatch(envelope, now)
        if is_first:
            self._send_initial_state(envelope.name)

    def _accept_number(self, envelope: Envelope, now: float) -> bool:
        """Records the sender's session and the datagram's number.

        Returns:
            Whether the datagram is the first of its session.

        Raises:
            RefusedError: If the datagram is replayed, of an earlier start, or of another member of this name.
        """
        name = envelope.name
        peer = self.peers.get(name)
        if peer and envelope.session != peer.session:
            self._check_new_session(envelope, peer, now)
            peer = None
        is_first = peer is None
        if peer is None:
            peer = PeerSession(envelope.epoch, envelope.session)
            self.peers[name] = peer
        if not peer.is_new(envelope.number):
            raise RefusedError(f"{name}: a datagram that has come before")
        peer.received_at = now
        peer.epoch = max(peer.epoch, envelope.epoch)
        return is_first

    def _check_new_session(self, envelope: Envelope, peer: PeerSession, now: float) -> None:
        """Raises RefusedError unless the new session may replace the known session of its name."""
        name = envelope.name
        if envelope.epoch <= peer.epoch:
            self._answer_with_hello(envelope, now)
            raise RefusedError(f"{name}: a start before the latest, or another one of its name")
        member = self.members.others.get(name)
        is_elsewhere = (
            member is not None and member.state is MemberState.ALIVE and member.address != envelope.address
        )
        if is_elsewhere and now - peer.received_at < DUPLICATE_NAME_AGE_S:
            self._answer_with_hello(envelope, now)
            raise RefusedError(f"{name}: two members use this name")

    def _answer_with_hello(self, envelope: Envelope, now: float) -> None:
        """Sends the current session to a peer that does not know it, within the rate limit."""
        if self._hello_limit.allow("", HELLO_ANSWERS_PER_SECOND + len(self.members.others), now):
            hello = wire.Hello(self._find_later_epoch(envelope), is_answer=True)
            self.send(envelope.address, hello, envelope.session)

    def _find_later_epoch(self, envelope: Envelope) -> int:
        """Returns the highest known epoch of the sender's name if it is of another start; otherwise 0."""
        peer = self.peers.get(envelope.name)
        if peer and peer.session != envelope.session and peer.epoch >= envelope.epoch:
            return peer.epoch
        member = self.members.others.get(envelope.name)
        return member.epoch if member and member.epoch > envelope.epoch else 0

    def _handle_hello(self, envelope: Envelope, hello: wire.Hello, now: float) -> None:
        """Answers a hello; one that names the current session may raise the local epoch.

        Only a hello that names the current session proves that its sender is alive: others may be replays.
        """
        if envelope.to_session != self.session:
            self._answer_with_hello(envelope, now)
        elif hello.known_epoch >= self.members.me.epoch:
            self.is_behind = True
            self.members.me.epoch = hello.known_epoch + 1
            self.on_epoch_raised(self.members.me.epoch)

    def _check_duplicate_name(self, envelope: Envelope) -> None:
        """Raises RefusedError if a datagram with the local name comes from another member."""
        if envelope.session != self.session and envelope.address != self.me.address:
            host, port = envelope.address
            self.duplicate_name_address = f"{host}:{port}"
            raise RefusedError(f"another member uses the name {envelope.name}")

    def _dispatch(self, envelope: Envelope, now: float) -> None:
        name = envelope.name
        match envelope.body:
            case wire.Ping(number, target):
                self._handle_ping(name, number, target)
            case wire.Ack(number):
                self._handle_ack(number)
            case wire.AnnouncementPart():
                announcement = self._announcements.add(name, envelope.epoch, envelope.body, now)
                if announcement is not None:
                    self.on_announcement(name, announcement)
            case wire.Query(number, text):
                reply = self.on_query(name, text)
                if reply is not None:
                    self.send_to(name, wire.QueryReply(number, reply))
            case wire.QueryReply(number, text):
                self.on_query_reply(name, number, text)
            case wire.LeaseDatagram():
                self.on_lease_datagram(name, envelope.body)
            case wire.Leave():
                self.members.record_leave(name, now)

    def _handle_ping(self, name: str, number: int, target: str) -> None:
        """Answers a direct probe; for an indirect one, probes `target` under a negative number."""
        if not target:
            self.send_to(name, wire.Ack(number))
        else:
            self.send_to(target, wire.Ping(-self._indirect_probes.add(name, number), ""))

    def _handle_ack(self, number: int) -> None:
        if number >= 0:
            self.members.record_ack(number)
            return
        probe = self._indirect_probes.take(-number)
        if probe is not None:
            self.send_to(probe.requester, wire.Ack(probe.number))

    def _send_initial_state(self, name: str) -> None:
        """Sends all alive members, the queued bodies and the announcement to a member with a new session."""
        updates = [
            member.to_update()
            for member in self.members.others.values()
            if member.state is MemberState.ALIVE and member.name != name
        ]
        peer = self.peers[name]
        address = self.members.others[name].address
        for start in range(0, max(len(updates), 1), UPDATES_PER_HELLO):
            batch = tuple(updates[start : start + UPDATES_PER_HELLO])
            self.send(address, wire.Hello(), peer.session, batch)
        for body in self._queued_bodies.pop(name, ()):
            self.send_to(name, body)
        self.send_announcement(name)
