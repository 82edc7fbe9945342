"""Stored and sent data keep their format: samples equal the recorded ones, and the recorded ones are read."""

import json
import shutil
from collections.abc import Callable
from pathlib import Path

import pytest

from compatibility import samples
from compatibility.samples import JOURNAL_LIMIT_BYTES, KEY, RECORDED, SAMPLES, Sample
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
from message_sender.journal.outage_file import OutageFile
from message_sender.journal.process_journal import Journal
from message_sender.policy.events import RestoredOutage
from message_sender.recovery import id_inquiry, learned_snapshot
from message_sender.service.handover_state import decode_engine_state, decode_state


@pytest.mark.parametrize("make", SAMPLES, ids=lambda make: make.__name__)
def test_written_data_are_equal_to_the_recorded_sample(make: Callable[[], Sample]) -> None:
    written, recorded = make(), samples.read_recorded(make)
    assert recorded and written.keys() == recorded.keys()
    for name, data in recorded.items():
        assert written[name] == data, name


def copy_recorded(name: str, folder: Path) -> Path:
    """Returns a copy of a recorded sample, which the test may change."""
    return Path(shutil.copytree(RECORDED / name, folder / name))


def check_pending_messages(journal: Journal | JournalContents) -> None:
    """Checks that the unfinished messages are those that samples.fill_journal records."""
    assert list(journal.entries) == ["m1", "m2", "m3"]
    first, second, third = journal.entries.values()
    assert first.message == samples.build_message("m1")
    assert second.message == samples.build_message(
        "m2", is_repeat=True, key="", tenant="", extras=samples.EXTRAS
    )
    assert third.message == samples.build_message("m3", body=b"", destination=2**40)
    attempts = {
        number: (each.started_us, each.endpoint, each.zone, each.outcome)
        for number, each in first.attempts.items()
    }
    assert attempts[0] == (1_600_000_000_000_001, "hub-1", "z1", samples.Outcome.FULL)
    assert attempts[1] == (1_600_000_000_000_002, "hub-2", "", None)
    assert third.attempts[0].outcome is samples.Outcome.MALFORMED


@pytest.mark.parametrize("name", ["platform_journal", "compacted_journal"])
def test_the_process_journal_is_replayed(tmp_path: Path, name: str) -> None:
    check_pending_messages(Journal(copy_recorded(name, tmp_path), JOURNAL_LIMIT_BYTES))


@pytest.mark.parametrize("name", ["journal_with_completion", "compacted_journal_with_completion"])
def test_a_recorded_completion_of_the_process_journal_is_replayed(tmp_path: Path, name: str) -> None:
    journal = Journal(copy_recorded(name, tmp_path), JOURNAL_LIMIT_BYTES)
    check_pending_messages(journal)
    assert journal.entries["m2"].completion == ("refused", 1_500_000)


def test_the_durable_journal_is_replayed(tmp_path: Path) -> None:
    folder = copy_recorded("durable_journal", tmp_path)
    journal = InspectedJournal(folder)
    assert list(journal.entries) == ["m1", "m2", "m3", "m5"]
    assert (
        journal.previous_run.was_closed
        and journal.previous_run.boot_id == "boot 1"
        and not journal.previous_run.damage
    )
    assert journal.entries["m2"].completion == ("refused", 1_500_000)
    assert {name: (each.state, each.key) for name, each in journal.finished.items()} == {
        "m4": ("delivered", "k 1")
    }
    del journal.entries["m5"]
    check_pending_messages(journal)


def test_a_process_journal_is_converted_by_a_start_with_a_durable_journal(tmp_path: Path) -> None:
    journal = samples.open_durable_journal(copy_recorded("platform_journal", tmp_path), None)
    check_pending_messages(journal)
    journal.close()


def test_answers_are_collected_from_the_recorded_file(tmp_path: Path) -> None:
    store = AnswerStore(copy_recorded("answers", tmp_path), 3)
    assert store.collect("m1") is None
    answer = store.collect("m2")
    assert answer is not None and (answer["state"], answer["retry_after"], answer["status"]) == (
        "refused",
        1_500_000,
        "FULL",
    )
    store.close()


def test_outages_are_read_from_the_recorded_file(tmp_path: Path) -> None:
    copy_recorded("outages", tmp_path)
    file = OutageFile(tmp_path / "outages", JOURNAL_LIMIT_BYTES, 1_800_000_000_000_000)
    assert file.restored() == (
        RestoredOutage(2, "", True, 1_700_000_000_000_000),
        RestoredOutage(7, "s-0fd15416", False, 1_700_000_001_000_000),
    )


def test_learned_state_is_decoded() -> None:
    values = {name: value for name, value in samples.BREAKER_VALUES.items() if name != "last_served"}
    learned = learned_snapshot.decode((RECORDED / "learned" / "learned").read_bytes())
    assert learned == (1_600_000_000_000_000, ((3, "hub-1", values), (4, "", {})))


def test_overrides_and_maintenance_orders_are_read(tmp_path: Path) -> None:
    store = OverrideStore(copy_recorded("overrides", tmp_path))
    book = store.load()
    assert list(book.overrides) == ["o1", "o2", "o3", "o4", "o5"] and book.last_number == 5
    before = (tmp_path / "overrides" / "overrides.json").read_bytes()
    store.save(book)
    assert (tmp_path / "overrides" / "overrides.json").read_bytes() == before
    assert MaintenanceFile(copy_recorded("maintenance", tmp_path)).load() == (["hub-1", "hub-2"], True)


def test_a_control_nodes_state_folder_is_read(tmp_path: Path) -> None:
    path = copy_recorded("control_folder", tmp_path) / "node"
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


def test_a_senders_control_documents_are_read(tmp_path: Path) -> None:
    folder, disk = copy_recorded("control_documents", tmp_path), SystemDisk()
    in_force = DocumentFile(folder / "control.document", disk).load()
    expected = samples.build_document()
    assert in_force is not None
    assert (in_force.version, in_force.digest, in_force.resources) == (7, expected.digest, expected.resources)
    next_document = DocumentFile(folder / "control.next", disk).load()
    assert next_document is not None and next_document.version == 8
    disk.finish()


def test_the_state_in_a_handover_packet_is_decoded() -> None:
    state = decode_state((RECORDED / "handover_packet" / "packet.json").read_text())
    assert state.engine_state == samples.build_handover_state() and state.clock_base_ns == 123_456_789
    assert (
        state.destinations == (3, 4, 9)
        and state.returned == ("hub-2", "hub-9")
        and state.drain_ordered_at == 12.5
    )
    assert state.endpoint_list.dials == {"hub-1": ("10.0.0.1", 80), "hub-2": ("10.0.0.2", 80)}
    text = (RECORDED / "handover_packet" / "engine.json").read_text()
    assert decode_engine_state(json.loads(text)) == samples.build_handover_state()


def test_fleet_datagrams_are_opened_and_decoded() -> None:
    seal = Seal([KEY])
    for name, data in samples.read_recorded(samples.fleet_datagrams).items():
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
    recorded = samples.read_recorded(samples.control_datagrams)
    bodies: list[control.Body] = []
    order = [name for name in recorded if "sender" in name]
    order += [f"{name}-{number}" for name, _ in samples.control_bodies() for number in range(3)]
    for name in order:
        if name in recorded:
            bodies += [body for _, body in node.receive(recorded[name], ("10.0.0.9", 9000), 1.0)]
    assert bodies == [control.Poll(1, 2), *(body for _, body in samples.control_bodies())]
    assert not any(node.refused.values())


def test_an_id_inquiry_gets_the_recorded_answer() -> None:
    recorded = samples.read_recorded(samples.questions)
    states = {"m1": id_inquiry.IdState.IN_FLIGHT, "m2": id_inquiry.IdState.COMPLETED}
    assert id_inquiry.answer_question(recorded["question-0"], states.get) == recorded["answer"]


def test_samples_are_deterministic() -> None:
    """Otherwise a comparison with the recorded samples would prove nothing."""
    for make in SAMPLES:
        assert make() == make(), make.__name__
