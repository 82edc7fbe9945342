"""One end of the link: what is believed of what comes, and what is sent. Pure; I/O is in udp.py.

The rules:

- What is not sealed with a key of ours is counted and named, and nothing else comes of it.
- A datagram is believed only if it names this one's present session. Whoever does not know it is told it, at
  the address that it gives, a bounded number of times a second; that is all a replayed datagram can cause.
- Of each member one session counts, that of its highest epoch, and of this each number once (a window of 64).
- A member that comes with an epoch below one that was heard of is told so: its disk is old or empty. It goes
  on with a higher one, and knows that what stands on its disk is not the latest (`behind`).
- Who is dead is greeted now and then while it is remembered: a split heals by that, also between members that
  are no seeds.
- Two that use one name are noticed by their addresses: the one that was there stays, the other is refused.
- Each member says one thing of itself to everybody, its bulletin: sent when it changes, and again and again
  at a rate that does not grow with the fleet.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from message_sender.fleet import wire
from message_sender.fleet.members import MemberList, MemberState
from message_sender.fleet.seal import RefusedError, Seal
from message_sender.fleet.session import PeerSession
from message_sender.fleet.wire import Address, Envelope, MembershipUpdate

HELLO_ANSWERS_PER_SECOND = 20  # answers to strangers a second
JOIN_INTERVAL_S = 0.3  # s between calls to the seeds while nobody is known
REJOIN_INTERVAL_S = 2.0  # s between calls to seeds that are not known to be there
ANNOUNCEMENT_PART_BYTES = 900  # bytes of a bulletin's part
ANNOUNCEMENTS_PER_SECOND = 100.0  # bulletins a second to others, at the most, when nothing changes
ANNOUNCEMENT_INTERVAL_MIN_S = 1.0  # s between two rounds of an unchanged bulletin, at the least
ANNOUNCEMENT_PARTS_LIMIT = 64  # of a bulletin at the most
INDIRECT_PROBES_LIMIT = 64  # that are remembered
QUEUED_BODIES_LIMIT = 4  # things that wait for a member's session, the latest ones


@dataclass(frozen=True, slots=True)
class LocalMember:
    name: str
    address: Address  # where others call this one
    seeds: tuple[Address, ...] = ()
    size: int = 8  # the most members expected


@dataclass(slots=True)
class Announcement:
    """The newest bulletin of a member."""

    epoch: int
    version: int
    text: bytes
    at: float  # s: when it was whole here


@dataclass
class LinkCounters:
    sent: int = 0
    heard: int = 0
    refused: dict[str, int] = field(default_factory=dict)  # why, and how often


class FleetNode:
    def __init__(
        self, me: LocalMember, seal: Seal, epoch: int, session: int, rng: random.Random, now: float
    ) -> None:
        """`session`: drawn at random, above 0. `epoch`: above that of each start before, as far as known."""
        self.me, self.seal, self.session, self.rng = me, seal, session, rng
        self.members = MemberList(me.name, me.address, epoch, rng)
        self.outbox: list[tuple[Address, bytes]] = []
        self.peers: dict[str, PeerSession] = {}
        self.bulletins: dict[str, Announcement] = {}
        self.parts: dict[str, tuple[int, int, dict[int, bytes]]] = {}
        self.number, self.version, self.text = 0, 0, b""
        self.next_join = self.next_round = now
        self.round: list[str] = []
        self.greeted, self.greeted_since = 0, now
        self.errand_number = 0
        self.errands: dict[int, tuple[str, int]] = {}  # asked for others: who asked, and their number
        self.unsaid: dict[str, list[wire.Body]] = {}  # to members whose session is not known yet
        self.counted = LinkCounters()
        self.behind = False  # others know a later start of this name than its disk does
        self.namesake = ""  # the address of another one that uses this name
        self.epoch_raised: Callable[[int], None] = lambda epoch: None  # to be put on the disk
        self.on_ask: Callable[[str, bytes], bytes | None] = lambda name, text: None
        self.on_answer: Callable[[str, int, bytes], None] = lambda name, number, text: None
        self.on_share: Callable[[str, wire.LeaseDatagram], None] = lambda name, share: None
        self.on_bulletin: Callable[[str, Announcement], None] = lambda name, said: None

    # Sending.

    def send(
        self, address: Address, body: wire.Body, to: int = 0, news: tuple[MembershipUpdate, ...] = ()
    ) -> None:
        self.number += 1
        epoch = self.members.me.epoch
        told = Envelope(self.me.name, self.me.address, epoch, self.session, to, self.number, body, news)
        data = self.seal.seal(wire.encode(told))
        self.counted.sent += 1
        self.outbox.append((address, data))

    def send_to(self, name: str, body: wire.Body) -> None:
        """To a member. One whose session is not known is greeted first, and hears it once it has answered."""
        member, peer = self.members.others.get(name), self.peers.get(name)
        if member is None:
            return
        if peer is None or peer.epoch < member.epoch:
            self.send(member.address, wire.Hello())
            self.unsaid[name] = [*self.unsaid.get(name, ()), body][-QUEUED_BODIES_LIMIT:]
        else:
            self.send(member.address, body, peer.session, self.members.news(name))

    def others(self) -> list[str]:
        return [name for name in self.members.alive() if name != self.me.name]

    def publish(self, text: bytes, now: float) -> None:
        """Says this of itself from now on, to everybody at once if it is new."""
        if text == self.text:
            return
        self.version, self.text = self.version + 1, text
        for name in self.others():
            self.tell(name)
        self.next_round = now + self.rest()

    def rest(self) -> float:
        """s between two rounds to all: the rate of what is sent does not grow with the fleet."""
        return max(ANNOUNCEMENT_INTERVAL_MIN_S, len(self.members.others) / ANNOUNCEMENTS_PER_SECOND)

    def tell(self, name: str) -> None:
        if not self.version:
            return
        pieces = [self.text[at : at + ANNOUNCEMENT_PART_BYTES] for at in range(0, len(self.text), ANNOUNCEMENT_PART_BYTES)] or [b""]
        for part, piece in enumerate(pieces[:ANNOUNCEMENT_PARTS_LIMIT]):
            self.send_to(name, wire.AnnouncementPart(self.version, part, len(pieces), piece))

    def ask(self, number: int, names: Iterable[str], text: bytes) -> None:
        """Puts a question to these members, under a number that answers come with."""
        for name in names:
            self.send_to(name, wire.Query(number, text))

    def leave(self) -> None:
        for name in self.others():
            self.send_to(name, wire.Leave())

    def tick(self, now: float) -> None:
        """Several times a second."""
        if now >= self.next_join:
            self.join(now)
        for name, number, about in self.members.tick(now):
            self.send_to(name, wire.Ping(number, about))
        if now >= self.next_round:
            if not self.round:
                self.round = self.others()
                self.rng.shuffle(self.round)
            share = max(len(self.others()) // 20, 1)  # a part at a time, evenly over the round
            for name in self.round[:share]:
                self.tell(name)
            self.round = self.round[share:]
            self.next_round = now + (self.rest() / 20 if self.round else self.rest())

    def join(self, now: float) -> None:
        there = {each.address for each in self.members.others.values() if each.state <= MemberState.SUSPECT}
        for seed in self.me.seeds:
            if seed != self.me.address and seed not in there:
                self.send(seed, wire.Hello())
        dead = [each for each in self.members.others.values() if each.state is MemberState.DEAD]
        if dead:  # a split may have healed
            self.send(self.rng.choice(dead).address, wire.Hello())
        self.next_join = now + (REJOIN_INTERVAL_S if there else JOIN_INTERVAL_S) * self.rng.uniform(0.8, 1.2)

    # Hearing.

    def received(self, data: bytes, now: float) -> None:
        """Never raises for what comes."""
        try:
            self.hear(wire.decode(self.seal.open(data)), now)
        except RefusedError as error:
            why = str(error)
            self.counted.refused[why] = self.counted.refused.get(why, 0) + 1

    def hear(self, told: Envelope, now: float) -> None:
        if told.name == self.me.name:
            self.hear_namesake(told)
            return
        if isinstance(told.body, wire.Hello):
            self.hear_hello(told, now)
        if told.to != self.session:
            if not isinstance(told.body, wire.Hello):
                self.greet(told, now)
                raise RefusedError("meant for another session: an old one, or a replay")
            return
        fresh = self.admit(told, now)
        self.counted.heard += 1
        self.members.speaks(told.name, told.address, told.epoch, now)
        for rumour in told.news:
            self.members.hear(rumour, told.name, now)
        self.act(told, now)
        if fresh:
            self.welcome(told.name)

    def admit(self, told: Envelope, now: float) -> bool:
        """Whether this is the first of its session. Raises RefusedError for a session that is over and a
        number that has come."""
        peer = self.peers.get(told.name)
        member = self.members.others.get(told.name)
        if peer and told.session != peer.session:
            if told.epoch <= peer.epoch:
                self.greet(told, now)
                raise RefusedError(f"{told.name}: a start before the latest, or another one of its name")
            elsewhere = member and member.state is MemberState.ALIVE and told.address != member.address
            if elsewhere and now - peer.received_at < 2.0:
                self.greet(told, now)
                raise RefusedError(f"{told.name}: two members use this name")
            peer = None
        if fresh := peer is None:
            peer = self.peers[told.name] = PeerSession(told.epoch, told.session)
        if not peer.is_new(told.number):
            raise RefusedError(f"{told.name}: a datagram that has come before")
        peer.received_at, peer.epoch = now, max(peer.epoch, told.epoch)
        return fresh

    def greet(self, told: Envelope, now: float) -> None:
        """Tells a stranger this one's session, by an answer to the address that it gives."""
        if now - self.greeted_since >= 1.0:
            self.greeted, self.greeted_since = 0, now
        if self.greeted < HELLO_ANSWERS_PER_SECOND + len(self.members.others):
            self.greeted += 1
            self.send(told.address, wire.Hello(self.known_epoch(told), answer=True), told.session)

    def known_epoch(self, told: Envelope) -> int:
        """The highest epoch heard of its name, if that was not this start of it; else 0."""
        peer, member = self.peers.get(told.name), self.members.others.get(told.name)
        if peer and peer.session != told.session and peer.epoch >= told.epoch:
            return peer.epoch
        return member.epoch if member and member.epoch > told.epoch else 0

    def hear_hello(self, told: Envelope, now: float) -> None:
        """A hello alone is no proof of life: a replay says hello too. Only one that names this session is,
        and brings the epoch that its sender's name has here."""
        if told.to != self.session:
            self.greet(told, now)
            return
        if told.body.known >= self.members.me.epoch:  # type: ignore[union-attr]
            self.raise_epoch(told.body.known + 1)  # type: ignore[union-attr]

    def raise_epoch(self, epoch: int) -> None:
        self.behind = True
        self.members.me.epoch = epoch
        self.epoch_raised(epoch)

    def hear_namesake(self, told: Envelope) -> None:
        if told.session != self.session and told.address != self.me.address:
            self.namesake = f"{told.address[0]}:{told.address[1]}"
            raise RefusedError(f"another member uses the name {told.name}")

    def act(self, told: Envelope, now: float) -> None:
        match told.body:
            case wire.Ping(number, ""):
                self.send_to(told.name, wire.Ack(number))
            case wire.Ping(number, about):
                self.send_to(about, wire.Ping(-self.errand(told.name, number), ""))
            case wire.Ack(number) if number >= 0:
                self.members.acked(number)
            case wire.Ack(number):
                asker, its = self.errands.pop(-number, ("", 0))
                self.send_to(asker, wire.Ack(its))
            case wire.AnnouncementPart():
                self.hear_bulletin(told.name, told.epoch, told.body, now)
            case wire.Query(number, text):
                answer = self.on_ask(told.name, text)
                if answer is not None:
                    self.send_to(told.name, wire.QueryReply(number, answer))
            case wire.QueryReply(number, text):
                self.on_answer(told.name, number, text)
            case wire.LeaseDatagram():
                self.on_share(told.name, told.body)
            case wire.Leave():
                self.members.left(told.name, now)

    def errand(self, asker: str, number: int) -> int:
        """A question asked for another one."""
        self.errand_number += 1
        self.errands[self.errand_number] = asker, number
        if len(self.errands) > INDIRECT_PROBES_LIMIT:
            del self.errands[next(iter(self.errands))]
        return self.errand_number

    def welcome(self, name: str) -> None:
        """Both know the other one's session now: it hears of everybody, and this one's own word."""
        known = [
            x.rumour()
            for x in self.members.others.values()
            if x.state is MemberState.ALIVE and x.name != name
        ]
        peer, member = self.peers[name], self.members.others[name]
        for at in range(0, max(len(known), 1), 16):
            self.send(member.address, wire.Hello(), peer.session, tuple(known[at : at + 16]))
        for body in self.unsaid.pop(name, ()):
            self.send_to(name, body)
        self.tell(name)

    def hear_bulletin(self, name: str, epoch: int, told: wire.AnnouncementPart, now: float) -> None:
        known = self.bulletins.get(name)
        if known and (known.epoch, known.version) >= (epoch, told.version):
            if (known.epoch, known.version) == (epoch, told.version):
                known.at = now
            return
        if not 0 <= told.part < told.parts <= ANNOUNCEMENT_PARTS_LIMIT:
            raise RefusedError(f"{name}: a bulletin in {told.parts} parts")
        version, parts, pieces = self.parts.get(name, (0, 0, {}))
        if (version, parts) != (told.version, told.parts):
            pieces = {}
        pieces[told.part] = told.text
        self.parts[name] = told.version, told.parts, pieces
        if len(pieces) < told.parts:
            return
        del self.parts[name]
        text = b"".join(pieces[part] for part in range(told.parts))
        self.bulletins[name] = said = Announcement(epoch, told.version, text, now)
        self.on_bulletin(name, said)
