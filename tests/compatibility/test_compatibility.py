"""Stored data and wires keep their form: samples equal the recorded ones, and the recorded ones are read."""

import json
import shutil
from collections.abc import Callable
from pathlib import Path

import pytest

from compatibility import samples
from compatibility.samples import KEY, LIMIT_BYTES, RECORDED, SAMPLES, Sample
from message_sender.control import messages as control
from message_sender.control.document_file import DocumentFile
from message_sender.control.folder import StateFolder
from message_sender.control.log_file import LogFile
from message_sender.discovery.maintenance import MaintenanceFile
from message_sender.discovery.override_store import OverrideStore
from message_sender.fleet.seal import Seal
from message_sender.fleet.wire import decode
from message_sender.journal.answer_store import AnswerStore
from message_sender.journal.contents import JournalContents
from message_sender.journal.disk import SystemDisk
from message_sender.journal.inspection import InspectedJournal
from message_sender.journal.process_journal import Journal
from message_sender.recovery import id_inquiry, learned_snapshot
from message_sender.service.handover_state import decode_engine_state, decode_state


@pytest.mark.parametrize("make", SAMPLES, ids=lambda make: make.__name__)
def test_what_is_written_is_equal_to_the_recorded_sample(make: Callable[[], Sample]) -> None:
    written, recorded = make(), samples.recorded(make)
    assert recorded and written.keys() == recorded.keys()
    for name, data in recorded.items():
        assert written[name] == data, name


def copied(name: str, folder: Path) -> Path:
    """A recorded sample that may be written to."""
    return Path(shutil.copytree(RECORDED / name, folder / name))


def check_owed(journal: Journal | JournalContents) -> None:
    """The messages that samples.fill leaves."""
    assert list(journal.entries) == ["m1", "m2", "m3"]
    first, second, third = journal.entries.values()
    assert first.message == samples.message("m1")
    assert second.message == samples.message("m2", is_repeat=True, key="", tenant="", extras=samples.EXTRAS)
    assert third.message == samples.message("m3", body=b"", destination=2**40)
    told = {
        number: (each.started_us, each.endpoint, each.zone, each.outcome)
        for number, each in first.attempts.items()
    }
    assert told[0] == (1_600_000_000_000_001, "hub-1", "z1", samples.Outcome.FULL)
    assert told[1] == (1_600_000_000_000_002, "hub-2", "", None)
    assert third.attempts[0].outcome is samples.Outcome.MALFORMED


@pytest.mark.parametrize("name", ["platform_journal", "compacted_journal"])
def test_the_platform_journal_is_replayed(tmp_path: Path, name: str) -> None:
    check_owed(Journal(copied(name, tmp_path), LIMIT_BYTES))


def test_the_durable_journal_is_replayed(tmp_path: Path) -> None:
    folder = copied("durable_journal", tmp_path)
    found = InspectedJournal(folder)
    assert list(found.entries) == ["m1", "m2", "m3", "m5"]
    assert (
        found.previous_run.was_closed
        and found.previous_run.boot_id == "boot 1"
        and not found.previous_run.damage
    )
    assert found.entries["m2"].completion == ("refused", 1_500_000)
    assert {name: (each.state, each.key) for name, each in found.finished.items()} == {
        "m4": ("delivered", "k 1")
    }
    del found.entries["m5"]
    check_owed(found)


def test_the_platform_form_is_carried_over_by_a_durable_start(tmp_path: Path) -> None:
    found = samples.open_durable(copied("platform_journal", tmp_path), None)
    check_owed(found)
    found.close()


def test_answers_are_collected_from_the_recorded_file(tmp_path: Path) -> None:
    kept = AnswerStore(copied("answers", tmp_path), 3)
    assert kept.collect("m1") is None
    found = kept.collect("m2")
    assert found is not None and (found["state"], found["retry_after"], found["status"]) == (
        "refused",
        1_500_000,
        "FULL",
    )
    kept.close()


def test_what_was_learned_reads() -> None:
    values = {name: value for name, value in samples.BREAKER_VALUES.items() if name != "last_served"}
    found = learned_snapshot.decode((RECORDED / "learned" / "learned").read_bytes())
    assert found == (1_600_000_000_000_000, ((3, "hub-1", values), (4, "", {})))


def test_overrides_and_orders_read(tmp_path: Path) -> None:
    store = OverrideStore(copied("overrides", tmp_path))
    book = store.load()
    assert list(book.overrides) == ["o1", "o2", "o3", "o4", "o5"] and book.last_number == 5
    before = (tmp_path / "overrides" / "overrides.json").read_bytes()
    store.save(book)
    assert (tmp_path / "overrides" / "overrides.json").read_bytes() == before
    assert MaintenanceFile(copied("maintenance", tmp_path)).load() == (["hub-1", "hub-2"], True)


def test_a_control_nodes_folder_reads(tmp_path: Path) -> None:
    path = copied("control_folder", tmp_path) / "node"
    folder, disk = StateFolder(path), SystemDisk()
    identity = folder.identity()
    assert identity is not None and (identity.cluster, identity.name) == ("fleet", "node-1")
    assert folder.read_epoch() == 3 and folder.learner_reason() == "its disk is old"
    assert {name: (each.epoch, each.session) for name, each in folder.read_starts().items()} == {
        "node-2": (4, 2**61)
    }
    log = LogFile(path, disk)
    loaded = log.load()
    assert (loaded.hard_state.term, loaded.hard_state.voted_for, loaded.damage) == (2, "", None)
    assert [(each.index, each.term) for each in loaded.entries] == [(1, 1), (2, 2), (3, 2)]
    log.close()
    disk.finish()


def test_a_senders_control_documents_read(tmp_path: Path) -> None:
    folder, disk = copied("control_documents", tmp_path), SystemDisk()
    found = DocumentFile(folder / "control.document", disk).load()
    expected = samples.document()
    assert found is not None
    assert (found.version, found.digest, found.resources) == (7, expected.digest, expected.resources)
    waiting = DocumentFile(folder / "control.next", disk).load()
    assert waiting is not None and waiting.version == 8
    disk.finish()


def test_a_hand_over_packet_reads_as_it_was_told() -> None:
    told = decode_state((RECORDED / "handover_packet" / "packet.json").read_text())
    assert told.engine_state == samples.handed_state() and told.clock_base_ns == 123_456_789
    assert (
        told.destinations == (3, 4, 9)
        and told.returned == ("hub-2", "hub-9")
        and told.drain_ordered_at == 12.5
    )
    assert told.endpoint_list.dials == {"hub-1": ("10.0.0.1", 80), "hub-2": ("10.0.0.2", 80)}
    text = (RECORDED / "handover_packet" / "engine.json").read_text()
    assert decode_engine_state(json.loads(text)) == samples.handed_state()


def test_fleet_datagrams_open_and_decode() -> None:
    seal = Seal([KEY])
    for name, data in samples.recorded(samples.fleet_datagrams).items():
        envelope = decode(seal.open(data))
        assert (envelope.name, envelope.epoch, envelope.session, envelope.to_session, envelope.number) == (
            "s1",
            2,
            9,
            8,
            7,
        )
        assert type(envelope.body).__struct_config__.tag is not None, name
        assert envelope.updates[0].name == "s3" and envelope.updates[0].incarnation == 6


def test_control_datagrams_are_received() -> None:
    node, _ = samples.control_channels()
    recorded = samples.recorded(samples.control_datagrams)
    bodies: list[control.Body] = []
    order = [name for name in recorded if "sender" in name]
    order += [f"{name}-{number}" for name, _ in samples.control_bodies() for number in range(3)]
    for name in order:
        if name in recorded:
            bodies += [body for _, body in node.receive(recorded[name], ("10.0.0.9", 9000), 1.0)]
    assert bodies == [control.Poll(1, 2), *(body for _, body in samples.control_bodies())]
    assert not any(node.refused.values())


def test_questions_of_ids_are_answered_alike() -> None:
    recorded = samples.recorded(samples.questions)
    known = {"m1": id_inquiry.IdState.IN_FLIGHT, "m2": id_inquiry.IdState.COMPLETED}
    assert id_inquiry.answer_question(recorded["question-0"], known.get) == recorded["answer"]


def test_a_sample_is_the_same_each_time() -> None:
    """Else a comparison would prove nothing."""
    for make in SAMPLES:
        assert make() == make(), make.__name__
