"""Samples of everything that the program stores or sends, made by the present code.

A sample is a set of named byte strings; each function in SAMPLES makes one. The recorded samples, in a folder
of `recorded/` with the function's name, were written by version 0.2.0, before its modules and names were
changed. test_compatibility.py compares the samples with the recorded ones byte for byte.
"""

import asyncio
import itertools
import json
import tempfile
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict
from pathlib import Path
from types import SimpleNamespace

import click
import msgspec

from message_sender.budget.definition import Budget
from message_sender.budget.manager import LeaseManager
from message_sender.budget.status import describe_budgets
from message_sender.cli import root_command
from message_sender.control import messages as control
from message_sender.control.channel import Channel, KnownStart
from message_sender.control.document import Document
from message_sender.control.document_file import DocumentFile
from message_sender.control.folder import Identity, StateFolder
from message_sender.control.log_file import LogFile, make_batch
from message_sender.control.raft_types import HardState
from message_sender.core import explain, inventory
from message_sender.core.engine_config import HandoverState
from message_sender.core.ports import Completion, CompletionState
from message_sender.discovery.maintenance import MaintenanceFile
from message_sender.discovery.override_store import OverrideStore
from message_sender.discovery.overrides import OverrideBook, OverrideKind
from message_sender.fleet import wire as fleet
from message_sender.fleet.seal import Seal
from message_sender.grpc.route import encode_extras, from_metadata
from message_sender.http.client_connection import ClientConnection
from message_sender.http.discovery import Discovery
from message_sender.http.endpoint_list import EndpointList
from message_sender.http.server import Server
from message_sender.journal.answer_store import AnswerStore
from message_sender.journal.disk import SystemDisk
from message_sender.journal.durable import DurableJournal
from message_sender.journal.entries import AttemptRecord
from message_sender.journal.outage_file import OutageFile, OutageLine
from message_sender.journal.process_journal import Journal
from message_sender.management.metrics import Metrics
from message_sender.message import Message
from message_sender.policy.events import CallInFlight, InheritedState
from message_sender.policy.model import Outcome
from message_sender.policy.outage import OutagePhase
from message_sender.recovery import id_inquiry, learned_snapshot
from message_sender.service.handover_state import encode_engine_state
from message_sender.service.process_handover import ProcessHandover

from helpers import SAFE, KEYED, World, endpoint  # isort: skip

Sample = dict[str, bytes]

RECORDED = Path(__file__).parent / "recorded"
JOURNAL_LIMIT_BYTES = 100_000
KEY = bytes(range(32))
EXTRAS = ((":path", "/svc/Call"), ("x-trace-bin", "AAEC"))


def collect_files(write_files: Callable[[Path], None]) -> Sample:
    """Returns the files that `write_files` creates in an empty folder, without lock files."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_files(folder)
        paths = {str(each.relative_to(folder)): each for each in sorted(folder.rglob("*")) if each.is_file()}
        return {each: path.read_bytes() for each, path in paths.items() if each != "lock"}


def build_message(message_id: str, **changes: object) -> Message:
    """Returns a message with every field set, with `changes` applied."""
    values: dict[str, object] = {
        "message_class": "keyed", "destination": 3, "deadline_us": 1_700_000_000_000_000,
        "tenant": "t\u00e9", "key": "k 1", "idempotency_key": f"key of {message_id}", "is_repeat": False,
        "body": bytes(range(0, 256, 5)),
    }  # fmt: skip
    return Message(id=message_id, **(values | changes))  # type: ignore[arg-type]


def fill_journal(journal: Journal, has_completion: bool = True) -> None:
    """Records messages in every state that a journal can contain."""
    journal.record_accepted(build_message("m1"))
    journal.record_accepted(build_message("m2", is_repeat=True, key="", tenant="", extras=EXTRAS))
    journal.record_accepted(build_message("m3", body=b"", destination=2**40))
    journal.record_attempt("m1", 0, AttemptRecord(1_600_000_000_000_001, "hub-1", "z1"))
    journal.record_outcome("m1", 0, Outcome.FULL)
    journal.record_attempt("m1", 1, AttemptRecord(1_600_000_000_000_002, "hub-2", ""))
    journal.record_attempt("m3", 0, AttemptRecord(1_600_000_000_000_003, "hub-\u00fc", "z2"))
    journal.record_outcome("m3", 0, Outcome.MALFORMED)
    journal.record_accepted(build_message("m4"))
    if has_completion:
        journal.record_completion("m2", CompletionState.REFUSED.value, 1_500_000)
    journal.record_attempt("m4", 0, AttemptRecord(1_600_000_000_000_004, "hub-1", "z1"))
    journal.record_outcome("m4", 0, Outcome.OK)
    journal.record_end("m4", CompletionState.DELIVERED.value)


def journal_files(has_completion: bool, restarts: int) -> Sample:
    """The file of the process journal after its records were appended, and after some restarts."""

    def write_files(folder: Path) -> None:
        journal = Journal(folder, JOURNAL_LIMIT_BYTES)
        fill_journal(journal, has_completion)
        journal.close()
        for _ in range(restarts):
            Journal(folder, JOURNAL_LIMIT_BYTES).close()

    return collect_files(write_files)


def platform_journal() -> Sample:
    """The process journal as versions that recorded no completion wrote it."""
    return journal_files(has_completion=False, restarts=0)


def compacted_journal() -> Sample:
    """The same after a restart, which rewrites only the messages that have not finished."""
    return journal_files(has_completion=False, restarts=1)


def journal_with_completion() -> Sample:
    """The process journal with a completion that is not acknowledged."""
    return journal_files(has_completion=True, restarts=0)


def compacted_journal_with_completion() -> Sample:
    """The same after a restart."""
    return journal_files(has_completion=True, restarts=1)


def open_durable_journal(folder: Path, sync_interval_s: float | None) -> DurableJournal:
    """Opens a durable journal whose clock advances by 1 us with each reading.

    `sync_interval_s` None disables syncing.
    """
    clock = itertools.count(1_600_000_000_000_010)
    return DurableJournal(folder, JOURNAL_LIMIT_BYTES, sync_interval_s, None, "boot 1", lambda: next(clock))


def durable_journal() -> Sample:
    """The durable journal with its sync records, and its ballast file."""

    def write_files(folder: Path) -> None:
        async def write_journal() -> None:
            journal = open_durable_journal(folder, 0.0)
            fill_journal(journal)
            synced = asyncio.get_running_loop().create_future()
            journal.when_durable(synced.set_result)
            assert await synced
            journal.record_accepted(build_message("m5"))
            journal.close()

        asyncio.run(write_journal())

    return collect_files(write_files)


def carried_over_journal() -> Sample:
    """The durable journal that a start creates from a process journal."""

    def write_files(folder: Path) -> None:
        journal = Journal(folder, JOURNAL_LIMIT_BYTES)
        fill_journal(journal, has_completion=False)
        journal.close()
        open_durable_journal(folder, None).close()

    return collect_files(write_files)


def outages() -> Sample:
    """The file of outages: one that goes on, a warm-up of a separate route, and one that is over."""

    def write_files(folder: Path) -> None:
        file = OutageFile(folder, JOURNAL_LIMIT_BYTES, 0)
        file.record(OutageLine(2, "", OutagePhase.OUT, 1_700_000_000_000_000))
        file.record(OutageLine(7, "s-0fd15416", OutagePhase.WARMING_UP, 1_700_000_001_000_000))
        file.record(OutageLine(3, "", OutagePhase.OUT, 1_700_000_002_000_000))
        file.record(OutageLine(3, "", OutagePhase.SERVING, 1_700_000_003_000_000))

    return collect_files(write_files)


def answers() -> Sample:
    """Final answers that the host has not collected."""

    def write_files(folder: Path) -> None:
        store = AnswerStore(folder, 3)
        store.add("m1", CompletionState.DELIVERED.value, 0, b"\0reply", "")
        store.add("m2", CompletionState.REFUSED.value, 1_500_000, b"", "FULL")
        store.add("m3", CompletionState.FAILED.value, 0, b"", "")
        store.collect("m1")
        store.close()

    return collect_files(write_files)


BREAKER_VALUES = {
    "calls": 7.0, "cold_since": 5.0, "failures": 3.0, "full_since": 2.0, "gap": 1_000.0, "gap_changed": 4.0,
    "known": 1.0, "last_sent": 9.0, "last_served": float("-inf"), "served_sent": 6.0, "sick": 0.0,
    "span": 8.0, "spread": 2.5, "took": 11.0, "trial_at": 12.0, "unserved": 1.0, "wait_until": 13.0,
}  # fmt: skip


def learned() -> Sample:
    """The learned state of destinations and endpoints."""
    return {
        "learned": learned_snapshot.encode(1_600_000_000_000_000, ((3, "hub-1", BREAKER_VALUES), (4, "", {})))
    }


def overrides() -> Sample:
    """Overrides of each kind, and the log of their changes."""

    def write_files(folder: Path) -> None:
        book, store, second_us = OverrideBook(), OverrideStore(folder), 1_000_000
        times_us = (1_000 * second_us, 2_000 * second_us, 1_500 * second_us)  # begins, until, now
        created = [
            book.set(OverrideKind.OUT, "hub-1", "ann", "disk \u00e9", *times_us),
            book.set(OverrideKind.WEIGHT, "hub-2", "bob", "slow", *times_us, weight=0.25),
            book.set(OverrideKind.PIN, "hub-3", "cas", "trial", *times_us, destination=7),
            book.set(OverrideKind.PIN, "hub-3", "cas", "trial", *times_us, tenant="t1"),
            book.set(OverrideKind.PIN, "hub-3", "cas", "trial", *times_us, key="k1"),
        ]
        store.save(book)
        for each in created:
            store.record(1_500 * second_us, each.who, "set", each, each.why)
        store.record(1_600 * second_us, "ann", "ended", created[0])

    return collect_files(write_files)


def maintenance() -> Sample:
    """The file of operators' maintenance orders."""
    return collect_files(lambda folder: MaintenanceFile(folder).save({"hub-2", "hub-1"}, True))


def build_document() -> Document:
    """Returns a document of the control plane."""
    resources = {"endpoints/hub-1": b'{"destination":1}', "budgets/b\u00e9": b'{"calls":5}'}
    return Document(7, resources)


def control_folder() -> Sample:
    """A control node's state folder: identity, epoch, known starts, learner mark, log and hard state."""

    def write_files(folder: Path) -> None:
        disk, path = SystemDisk(), folder / "node"
        state = StateFolder(path)
        state.initialise(Identity("fleet", "node-1", "2026-12-01T00:00:00Z"), disk)
        state.write_epoch(3)
        state.write_starts({"node-2": KnownStart(4, 2**61)})
        state.mark_learner("its disk is old")
        log = LogFile(path, disk)
        log.load()
        change = control.Change("r1", 0, (control.Resource("endpoints/a", b"{}"),), ("budgets/b",), "ann")
        data = msgspec.msgpack.encode(change)
        entries = [control.LogEntry(1, 1, b""), control.LogEntry(2, 1, data), control.LogEntry(3, 2, b"")]
        log.store(make_batch(HardState(1, "node-2"), None, entries[:2]))
        log.store(make_batch(HardState(2, ""), 2, [control.LogEntry(2, 2, b"")]))
        log.store(make_batch(None, None, entries[2:]))
        log.close()
        disk.finish()

    return collect_files(write_files)


def control_documents() -> Sample:
    """A sender's copies of control documents: the version in force and the one for its next start."""

    def write_files(folder: Path) -> None:
        disk = SystemDisk()
        DocumentFile(folder / "control.document", disk).store(build_document())
        DocumentFile(folder / "control.next", disk).store(Document(8))
        disk.finish()

    return collect_files(write_files)


def build_handover_state() -> HandoverState:
    """Returns the state that an engine hands over, with every field set."""
    inherited = InheritedState(
        breakers=((3, "hub-1", BREAKER_VALUES | {"last_served": -1.0}),),
        endpoints=(("hub-1", {"bad_until": 1.0, "last_sent": 2.0, "refused_at": 3.0, "scarce_until": 4.0}),),
        keys=(("k1", 5),),
        credit=(("t1", 6.5, 7),),
        silent=((9, 8.0),),
    )
    return HandoverState(
        inherited=inherited,
        calls={"m1": (1, CallInFlight("hub-1", "z1", 11, True, True)), "m2": (0, CallInFlight("h", "", 12))},
        pending_completions={
            "m3": Completion(CompletionState.REFUSED, 1_500_000),
            "m4": Completion(CompletionState.FAILED),
        },
        weight_factors={"m1": 0.5},
        completed_ids=("m5", "m6"),
    )


def handover_packet() -> Sample:
    """Version 1 of the state that a process sends to its successor."""
    listed_hosts = [
        {"host": "hub-1", "dial": "10.0.0.1:80", "site": "z1", "class": "k", "block": 3, "health": "ready",
         "share": 2.0},
        {"host": "hub-2", "dial": "10.0.0.2:80", "site": "", "class": "", "block": 4, "health": "draining",
         "share": 1.0},
    ]  # fmt: skip
    endpoint_list = EndpointList({"seq": 41, "whole": True, "hosts": listed_hosts})
    engine = SimpleNamespace(export_state=build_handover_state)
    discovery = SimpleNamespace(version=41, dials=endpoint_list.dials, destinations={4, 3, 9})
    maintenance = SimpleNamespace(
        listed={each.id: each for each in endpoint_list.endpoints}, returned={"hub-9", "hub-2"}
    )
    sender = SimpleNamespace(
        engine=engine, discovery=discovery, maintenance=maintenance, clock=SimpleNamespace(base=123_456_789),
        drain=SimpleNamespace(ordered_at_s=12.5),
    )  # fmt: skip
    handover = ProcessHandover(sender, None)  # type: ignore[arg-type]
    text = json.dumps(handover.encode_state())
    return {
        "packet.json": text.encode(),
        "engine.json": json.dumps(encode_engine_state(build_handover_state())).encode(),
    }


def fleet_datagrams() -> Sample:
    """Sealed datagrams between senders, one of each kind, with a fixed key and nonce."""
    seal = Seal([KEY], lambda size: bytes(range(size)))
    bodies: dict[str, fleet.Body] = {
        "hello": fleet.Hello(3, True),
        "ping": fleet.Ping(4, "s2"),
        "ack": fleet.Ack(5),
        "bulletin": fleet.AnnouncementPart(6, 1, 2, b"text"),
        "ask": fleet.Query(7, b"question"),
        "answer": fleet.QueryReply(8, b"answer"),
        "leave": fleet.Leave(),
        "share": fleet.LeaseDatagram("b1", 2, 3, 4, 5, 6, 7, 8, 9, 1000),
    }
    updates = (fleet.MembershipUpdate("s3", ("10.0.0.3", 7000), 5, 6, 1),)
    return {
        name: seal.seal(fleet.encode(fleet.Envelope("s1", ("10.0.0.1", 7000), 2, 9, 8, 7, body, updates)))
        for name, body in bodies.items()
    }


def control_bodies() -> Iterator[tuple[str, control.Body]]:
    """Yields a name and a body for each kind of control-plane message, and one body that needs fragments."""
    put = (control.Resource("endpoints/a", b'{"x":1}'),)
    change = control.Change("r1", 4, put, ("budgets/b",), "ann")
    result = control.ChangeResult("r1", control.Outcome.INVALID, 4, ("budgets/b: no",))
    watcher = control.WatcherStatus("s1", 4, 3, "why", 120)
    status = control.NodeStatus(1, "n1", "leader", "n1", 2, 4, 9, 10, (watcher,), "disk")
    yield "poll", control.Poll(4, 2**63 + 1, 3, "why")
    yield "version-notice", control.VersionNotice(5, 77, True, 120, 250)
    yield "delta", control.Delta(4, 5, put, ("budgets/b",), 77)
    yield "snapshot-request", control.SnapshotRequest(5, 1000)
    yield "snapshot-chunk", control.SnapshotChunk(5, 1000, 2000, b"chunk")
    yield "vote-request", control.VoteRequest(3, 9, 2, True)
    yield "vote-reply", control.VoteReply(3, True, False)
    yield "append-request", control.AppendRequest(3, 9, 2, 8, 7, (control.LogEntry(10, 3, b"data"),))
    yield "append-reply", control.AppendReply(3, True, 10, 7, True)
    yield "timeout-now", control.TimeoutNow(3)
    yield "forwarded-change", control.ForwardedChange(change)
    yield "forwarded-result", control.ForwardedResult(result)
    yield "status-request", control.StatusRequest(5)
    yield "node-status", status
    yield "fragments", control.SnapshotChunk(5, 0, 3000, bytes(3000))


def control_channels() -> tuple[Channel, Channel]:
    """Returns the two ends of a link, n1 and s1, with fixed sessions."""
    addresses = {"n1": ("10.0.0.1", 7100)}
    node = Channel("n1", 2, 1001, Seal([KEY], lambda size: bytes(range(size))), addresses)
    sender = Channel("s1", 5, 2002, Seal([KEY], lambda size: bytes(range(1, size + 1))), addresses)
    return node, sender


def control_datagrams() -> Sample:
    """Sealed datagrams between a sender and a control node: the session setup, then each kind of message."""
    node, sender = control_channels()
    datagrams: Sample = {}
    sender.send("n1", control.Poll(1, 2), 0.0)
    for step in range(4):
        for _, datagram in sender.take_datagrams():
            datagrams[f"greeting-{step}-sender-{len(datagrams)}"] = datagram
            node.receive(datagram, ("10.0.0.9", 9000), 0.0)
        for address, datagram in node.take_datagrams():
            datagrams[f"greeting-{step}-node-{len(datagrams)}"] = datagram
            sender.receive(datagram, address, 0.0)
    for name, body in control_bodies():
        sender.send("n1", body, 1.0)
        for number, (_, datagram) in enumerate(sender.take_datagrams()):
            datagrams[f"{name}-{number}"] = datagram
    return datagrams


def questions() -> Sample:
    """The questions of an id inquiry, and the answer to the first one."""
    states = {"m1": id_inquiry.IdState.IN_FLIGHT, "m2": id_inquiry.IdState.COMPLETED}
    encoded = id_inquiry.encode_questions(["m1", "m2", "m3", "x" * 600, "y" * 600])
    reply = id_inquiry.answer_question(encoded[0], states.get)
    assert reply is not None
    return {f"question-{number}": each for number, each in enumerate(encoded)} | {"answer": reply}


def notices() -> Sample:
    """The notices that report completions to the platform, one a line."""
    endpoint_list = EndpointList({"seq": 1, "whole": True, "hosts": []})

    async def make() -> dict[str, str]:
        discovery = Discovery(("127.0.0.1", 1), endpoint_list, lambda event: None, lambda name: None)
        assert discovery.notify("m1", Completion(CompletionState.REFUSED, 1_500_001))
        assert discovery.notify("m2 \u00e9", Completion(CompletionState.FAILED))
        assert discovery.notify("m3", Completion(CompletionState.REFUSED))
        assert not discovery.notify("m4", Completion(CompletionState.DELIVERED))
        return discovery.notices

    return {"notices": "\n".join(asyncio.run(make()).values()).encode()}


class RecordingSocket:
    """A socket that keeps the data written to it."""

    def __init__(self) -> None:
        self.data = b""

    def send(self, data: bytes) -> int:
        self.data += bytes(data)
        return len(data)


def build_call_headers() -> dict[str, str]:
    """Returns the header fields of a call to an endpoint."""
    return {
        "X-Correlation-Id": "m1",
        "Idempotency-Key": "k\u00e9",
        "X-Time-Left": "1.500",
        "Content-Length": "4",
    }


def requests() -> Sample:
    """Requests to an endpoint, written by the fast path and by the codec, and a request to discovery."""

    async def make(is_fast: bool, method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        connection_socket = RecordingSocket()
        connection = ClientConnection(connection_socket, ("10.0.0.1", 80))  # type: ignore[arg-type]
        connection.is_fast = is_fast
        await connection.send(method, target, headers, body)
        return connection_socket.data

    return {
        "call-quick": asyncio.run(make(True, "POST", "/hook", build_call_headers(), b"body")),
        "call-codec": asyncio.run(make(False, "POST", "/hook", build_call_headers(), b"body")),
        "watch": asyncio.run(make(False, "GET", "/registry/instances?watch=1&after=41", {}, b"")),
    }


def build_client_request(path: str = "/safe/x", method: str = "POST", **headers: str | None) -> bytes:
    """Returns a client's request; the value None omits a header field."""
    fields = {
        "Host": "x", "X-Service-Class": "safe", "X-Route-To": "dest=1", "X-Time-Left": "2.5",
        "X-Correlation-Id": "m1", "Content-Length": "1",
    }  # fmt: skip
    lines = {name: headers.get(name.replace("-", "_"), value) for name, value in fields.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value is not None)
    return f"{method} {path} HTTP/1.1\r\n{head}\r\nx".encode()


CLIENT_REQUESTS = {
    "accepted": build_client_request(),
    "again": build_client_request(X_Correlation_Id="again"),
    "refused": build_client_request(X_Correlation_Id="refused"),
    "no-room": build_client_request(X_Correlation_Id="no-room"),
    "other-id": build_client_request(X_Correlation_Id="other-id"),
    "no-class": build_client_request("/other/x", X_Service_Class="other"),
    "no-class-header": build_client_request(X_Service_Class=None),
    "no-route": build_client_request(X_Route_To="x=1"),
    "no-time": build_client_request(X_Time_Left="1e3"),
    "no-id": build_client_request(X_Correlation_Id=None),
    "no-key": build_client_request("/keyed/x", X_Service_Class="keyed"),
    "no-destination": build_client_request(X_Route_To="dest=99"),
    "too-long": build_client_request(Content_Length="70000"),
    "bad-length": build_client_request(Content_Length="1, 2"),
    "long-head": build_client_request(Host="x" * 17_000),
    "spoilt": b"NONSENSE\r\n\r\n",
    "get": build_client_request("/safe/x", "GET"),
    "put": build_client_request("/health/ready", "PUT"),
    "ready": b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "head-ready": b"HEAD /health/ready HTTP/1.1\r\nHost: x\r\n\r\n",
}


def client_answers() -> Sample:
    """The responses of the server to each request of CLIENT_REQUESTS, as bytes on a socket."""
    from message_sender.core.ports import Rejected, RejectReason

    def submit(message: Message, caller: object) -> None:
        rejections = {
            "refused": Rejected(RejectReason.REFUSED, 1_250_000),
            "no-room": Rejected(RejectReason.AT_CAPACITY, 0),
            "other-id": Rejected(RejectReason.ID_CONFLICT, 500_000),
        }
        if message.id in rejections:
            caller.rejected(rejections[message.id])  # type: ignore[attr-defined]
        else:
            caller.accepted()  # type: ignore[attr-defined]

    async def send_request(server: Server, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(data)
        writer.write_eof()
        try:
            return await asyncio.wait_for(reader.read(), 10)
        finally:
            writer.close()

    async def make() -> Sample:
        classes = {each.name: each for each in (SAFE, KEYED)}
        server = Server(classes, submit, lambda: 1_000_000, 50, named=lambda number: number != 99)
        server.listen("127.0.0.1", 0)
        server.is_ready = True
        responses = {name: await send_request(server, data) for name, data in CLIENT_REQUESTS.items()}
        server.is_ready = False
        responses["not-ready"] = await send_request(server, CLIENT_REQUESTS["ready"])
        server.close()
        return responses

    return asyncio.run(make())


def figures() -> Sample:
    """The metrics of the management API."""
    completions = {
        "safe": {"answered": 3, "deferred": 2, "errored": 1},
        "keyed": dict.fromkeys(("answered",), 0),
    }
    return {"figures": Metrics(completions, 12, 5, 40, 2).text().encode()}


def people_json() -> Sample:
    """Objects in replies of the control socket and in a state file: destinations, endpoints, `explain`."""
    world = World(endpoint("a"), endpoint("b", destination=2))
    world.accept()
    world.end_attempt("m1", Outcome.FULL, wait=500_000)
    dispatcher, now = world.dispatcher, world.now
    destinations = [asdict(each) for each in inventory.inventory(dispatcher, now)]
    output = {
        "destinations": [each | {"bytes": 0} for each in destinations],  # depends on the interpreter
        "endpoints": explain.endpoints(dispatcher, now),
        "explain": explain.explain(dispatcher, 1, "", now),
    }
    return {"told.json": json.dumps(output, indent=1, sort_keys=True).encode()}


def budget_json() -> Sample:
    """A budget as `fleet budgets` prints it."""
    clock = itertools.count(5_000_000, 1_000_000)
    manager = LeaseManager("s1", 3, lambda: next(clock))
    manager.open(Budget("b1", "calls", 10, 2, 1_000_000), lambda: 3)
    for _ in range(4):
        manager.tick(["s2"])
    return {"budgets.json": json.dumps(describe_budgets(manager), indent=1, sort_keys=True).encode()}


def grpc_metadata() -> Sample:
    """The route that is read from a call's metadata, and the metadata that is passed on to the endpoint."""
    metadata = (
        ("elmglade-destination", "7"), ("elmglade-class", "keyed"), ("elmglade-tenant", "t1"),
        ("elmglade-key", "k1"), ("elmglade-id", "m1"), ("idempotency-key", "i1"), ("x-own", "1"),
        ("x-own-bin", b"\0\1"), ("grpc-timeout", "1S"),
    )  # fmt: skip
    route = from_metadata("/svc/Call", b"", metadata)
    fields = (
        route.destination,
        route.message_class,
        route.tenant,
        route.key,
        route.idempotency_key,
        route.id,
    )
    output = {"route": fields, "passed on": encode_extras("/svc/Call", metadata)}
    return {"metadata.json": json.dumps(output, indent=1).encode()}


def describe_command(command: click.Command) -> dict[str, object]:
    """Returns the options, arguments and subcommands of a command, without their help texts."""
    context = click.Context(command)
    names = command.list_commands(context) if isinstance(command, click.Group) else []
    return {
        "parameters": [
            {
                "kind": each.param_type_name, "name": each.opts + each.secondary_opts, "type": each.type.name,
                "required": each.required, "nargs": each.nargs, "multiple": each.multiple,
            }
            for each in command.params
        ],
        "commands": {name: describe_command(each) for name in names if (each := command.get_command(context, name))},  # type: ignore[attr-defined]  # noqa: E501
    }  # fmt: skip


def command_line() -> Sample:
    """All commands with their options and arguments."""
    return {"commands.json": json.dumps(describe_command(root_command), indent=1, sort_keys=True).encode()}


SAMPLES: tuple[Callable[[], Sample], ...] = (
    platform_journal, compacted_journal, journal_with_completion, compacted_journal_with_completion,
    durable_journal, carried_over_journal, outages, answers, learned, overrides, maintenance, control_folder,
    control_documents, handover_packet, fleet_datagrams, control_datagrams, questions, notices, requests,
    client_answers, figures, people_json, budget_json, grpc_metadata, command_line,
)  # fmt: skip


def read_recorded(make: Callable[[], Sample]) -> Sample:
    """Returns the recorded sample of a function that makes samples."""
    folder = RECORDED / make.__name__
    return {
        str(each.relative_to(folder)): each.read_bytes()
        for each in sorted(folder.rglob("*"))
        if each.is_file()
    }


def record_missing_samples(makers: Iterable[Callable[[], Sample]] = SAMPLES) -> None:
    """Records samples that are not recorded yet; recorded samples are left unchanged."""
    for make in makers:
        folder = RECORDED / make.__name__
        if folder.exists():
            continue
        for name, data in make().items():
            path = folder / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(data)


if __name__ == "__main__":
    record_missing_samples()
