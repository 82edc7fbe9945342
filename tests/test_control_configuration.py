"""A sender activates versions of the control plane completely or not at all, and never an older one."""

from pathlib import Path
from typing import Any

import pytest

from message_sender.configuration.general import SenderConfig, read
from message_sender.configuration.resources import SharedBudget
from message_sender.control import schema
from message_sender.control.document import Document
from message_sender.control.messages import Delta, Resource
from message_sender.control.watch import RefusedConfigurationError
from message_sender.journal.disk import SystemDisk
from message_sender.service.control_configuration import IN_FORCE_FILE, NEXT_START_FILE, SenderConfiguration

OWN_FILE: dict[str, Any] = {
    "name": "n1",
    "classes": {"c": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2000}},
    "fleet": {"listen": "127.0.0.1:0", "key_file": "key", "size": 4},
    "endpoints": [{"id": "own", "destination": 1, "dial": "127.0.0.1:1"}],
}
RATE = {"of": "calls", "destination": 1, "whole": 60, "per_ms": 1000}


def endpoint(port: int) -> dict[str, object]:
    return {"destination": 1, "dial": f"127.0.0.1:{port}"}


class RunningSenderStub:
    """A stub of a running sender: records the endpoints and budgets that were configured last."""

    def __init__(self, config: SenderConfig) -> None:
        self.endpoints, self.budgets, self.size = config.endpoints, config.budgets, 0
        self.reasons: list[str] = []

    def configure(self, *arguments: Any) -> None:  # noqa: ANN401
        if len(arguments) == 1:
            self.endpoints = tuple(arguments[0])
        else:
            self.budgets, self.size = arguments

    def changes_for_next_start(self, budgets: tuple[SharedBudget, ...]) -> list[str]:
        return list(self.reasons)

    def ids(self) -> list[str]:
        return [dialed.endpoint.id for dialed in self.endpoints]


class FullDisk(SystemDisk):
    """A disk whose writes fail while `is_full` is set."""

    is_full = True

    def write(self, file: int, data: bytes) -> None:
        if self.is_full:
            raise OSError(28, "No space left on device")
        super().write(file, data)


class RestartableSender:
    """A sender's configuration, which can be started again with the same state folder."""

    def __init__(self, state: Path, disk: SystemDisk | None = None, **changes: object) -> None:
        self.state, self.own, self.disk = state, {**OWN_FILE, **changes}, disk or SystemDisk()
        self.start()

    def start(self) -> None:
        self.configuration = SenderConfiguration(read(self.own), self.state, self.disk)
        self.running = RunningSenderStub(self.configuration.effective_config())
        has_fleet = self.configuration.own_config.fleet is not None
        self.configuration.bind(self.running, self.running if has_fleet else None)

    def apply(self, version: int, put: dict[str, object], delete: tuple[str, ...] = ()) -> None:
        """Applies a delta to this version, as the watch does."""
        document = self.configuration.document
        resources = tuple(Resource(*each) for each in schema.read_values(put).items())
        digest = document.digest_after(resources, delete)
        delta = Delta(document.version, version, resources, delete, digest)
        self.configuration.apply(document, delta)

    def apply_refused(
        self, version: int, put: dict[str, object], kind: type[Exception] = RefusedConfigurationError
    ) -> str:
        """Applies a delta that must be refused without any change, and returns the error text."""
        before = self.snapshot()
        with pytest.raises(kind) as error:
            self.apply(version, put)
        assert self.snapshot() == before
        return str(error.value)

    def snapshot(self) -> tuple[object, ...]:
        file = self.state / IN_FORCE_FILE
        document = self.configuration.document
        stored = file.read_bytes() if file.exists() else b""
        return (
            document.version, dict(document.resources), self.running.endpoints, self.running.budgets, stored,
        )  # fmt: skip


def test_endpoints_of_the_control_plane_replace_those_of_the_file(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(1, {"budgets/rate": RATE})
    assert sender.running.ids() == ["own"] and [budget.name for budget in sender.running.budgets] == ["rate"]
    sender.apply(2, {"endpoints/a": endpoint(2), "endpoints/b": endpoint(3)})
    assert sender.running.ids() == ["a", "b"] and sender.running.size == 4
    sender.apply(3, {"endpoints/a": endpoint(4)}, ("endpoints/b",))
    assert sender.running.endpoints[0].dial == ("127.0.0.1", 4) and sender.running.ids() == ["a"]
    sender.apply(4, {}, ("endpoints/a",))
    assert sender.running.ids() == ["own"]


def test_a_start_continues_with_the_last_active_version(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(7, {"endpoints/a": endpoint(2), "budgets/rate": RATE})
    sender.start()
    assert sender.configuration.document.version == 7
    assert sender.running.ids() == ["a"] and [budget.name for budget in sender.running.budgets] == ["rate"]
    sender.apply(8, {"endpoints/b": endpoint(3)})
    sender.start()
    assert sender.configuration.document.version == 8 and sender.running.ids() == ["a", "b"]


def test_the_document_is_durable_before_it_becomes_active(tmp_path: Path) -> None:
    steps: list[str] = []

    class RecordingDisk(SystemDisk):
        def sync(self, file: int) -> None:
            steps.append("sync")
            super().sync(file)

        def replace(self, old: Path, new: Path) -> None:
            steps.append("replace")
            super().replace(old, new)

        def sync_folder(self, path: Path) -> None:
            steps.append("sync folder")
            super().sync_folder(path)

    class RecordingSender(RunningSenderStub):
        def configure(self, *arguments: Any) -> None:  # noqa: ANN401
            steps.append("configure")

    sender = RestartableSender(tmp_path, RecordingDisk())
    parts = RecordingSender(sender.configuration.own_config)
    sender.configuration.bind(parts, parts)
    sender.apply(1, {"endpoints/a": endpoint(2)})
    assert steps == ["sync", "replace", "sync folder", "configure"]


def test_a_full_disk_refuses_the_version_and_keeps_the_old_one(tmp_path: Path) -> None:
    disk = FullDisk()
    disk.is_full = False
    sender = RestartableSender(tmp_path, disk)
    sender.apply(1, {"endpoints/a": endpoint(2)})
    disk.is_full = True
    assert "No space left" in sender.apply_refused(2, {"endpoints/b": endpoint(3)}, OSError)
    sender.start()
    assert sender.configuration.document.version == 1 and sender.running.ids() == ["a"]
    disk.is_full = False
    sender.apply(2, {"endpoints/b": endpoint(3)})
    assert sender.running.ids() == ["a", "b"]


def test_a_version_that_the_sender_can_never_activate_is_refused_completely(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(1, {"endpoints/a": endpoint(2)})
    reason = sender.apply_refused(2, {"endpoints/b": endpoint(3), "budgets/rate": RATE | {"floor": 16}})
    assert reason == "budgets/rate.floor: must be at most 15 (a whole of 60 in a fleet of 4), not 16"
    assert not (tmp_path / NEXT_START_FILE).exists()
    (tmp_path / "alone").mkdir()
    alone = RestartableSender(tmp_path / "alone", fleet=None)
    assert "needs a [fleet]" in alone.apply_refused(1, {"endpoints/b": endpoint(3), "budgets/rate": RATE})
    document = alone.configuration.document
    digest = document.digest_after([Resource("routes/x", b"{}")], ())
    with pytest.raises(RefusedConfigurationError, match="routes/x: must be one of"):
        alone.configuration.apply(document, Delta(0, 1, (Resource("routes/x", b"{}"),), (), digest))
    with pytest.raises(RefusedConfigurationError, match="would differ"):
        alone.configuration.apply(document, Delta(0, 1, (), (), 5))


def test_a_version_that_needs_a_restart_is_refused_until_then_and_active_after_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(1, {"budgets/rate": RATE})
    sender.running.reasons = ["budgets/rate: floor cannot change before the next start"]
    changed = {"budgets/rate": RATE | {"floor": 2}, "endpoints/a": endpoint(2)}
    assert sender.apply_refused(2, changed) == "budgets/rate: floor cannot change before the next start"
    assert sender.configuration.next_start_version == 2
    sender.start()
    assert sender.configuration.document.version == 2 and sender.running.ids() == ["a"]
    assert sender.running.budgets[0].floor == 2 and not (tmp_path / NEXT_START_FILE).exists()
    sender.start()
    assert sender.configuration.document.version == 2


def test_a_version_that_waits_for_a_restart_is_dropped_once_a_newer_one_is_active(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(1, {"budgets/rate": RATE})
    sender.running.reasons = ["budgets/rate: floor cannot change before the next start"]
    sender.apply_refused(2, {"budgets/rate": RATE | {"floor": 2}})
    sender.running.reasons = []
    sender.apply(3, {"budgets/rate": RATE | {"whole": 50}})
    assert sender.configuration.next_start_version == 0 and not (tmp_path / NEXT_START_FILE).exists()
    sender.start()
    assert sender.configuration.document.version == 3


def test_a_waiting_version_that_is_invalid_at_the_restart_leaves_the_old_one_active(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(1, {"endpoints/a": endpoint(2)})
    sender.running.reasons = ["budgets: the link to the fleet could not be opened at this start"]
    sender.apply_refused(2, {"budgets/rate": RATE | {"floor": 15}})
    sender.own = {**OWN_FILE, "fleet": OWN_FILE["fleet"] | {"size": 5}}
    sender.start()
    assert sender.configuration.document.version == 1 and sender.running.ids() == ["a"]


def test_a_waiting_version_that_cannot_be_stored_keeps_waiting(tmp_path: Path) -> None:
    disk = FullDisk()
    disk.is_full = False
    sender = RestartableSender(tmp_path, disk)
    sender.running.reasons = ["budgets: the link to the fleet could not be opened at this start"]
    sender.apply_refused(2, {"budgets/rate": RATE, "endpoints/a": endpoint(2)})
    disk.is_full = True
    sender.start()
    assert sender.configuration.document.version == 0 and sender.configuration.next_start_version == 2
    assert sender.running.ids() == ["own"] and not sender.running.budgets
    disk.is_full = False
    sender.start()
    assert sender.configuration.document.version == 2 and sender.running.ids() == ["a"]


def test_a_version_below_the_last_active_one_is_refused_after_a_restart(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(7, {"budgets/rate": RATE})
    sender.own = {**OWN_FILE, "fleet": None}
    sender.start()  # without a fleet the budget is refused, so this start does not apply version 7
    assert sender.configuration.document.version == 0 and sender.running.ids() == ["own"]
    assert (
        sender.apply_refused(6, {"endpoints/a": endpoint(2)})
        == "older than version 7, which was in force here"
    )
    sender.apply(8, {"endpoints/a": endpoint(2)})
    assert sender.running.ids() == ["a"]


@pytest.mark.parametrize("at", ["magic", "header", "length", "body", "cut", "empty"])
def test_a_damaged_document_file_is_reported_and_not_used(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, at: str
) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(7, {"endpoints/a": endpoint(2)})
    file = tmp_path / IN_FORCE_FILE
    data = bytearray(file.read_bytes())
    if at in ("cut", "header"):
        del data[25 if at == "header" else -1 :]
    elif at == "empty":
        data[:] = b"\0"
    else:
        data[{"magic": 3, "length": 27, "body": len(data) - 5}[at]] ^= 1
    file.write_bytes(data)
    sender.start()
    assert sender.configuration.document.version == 0 and sender.running.ids() == ["own"]
    offset = {"magic": 0, "empty": 0, "header": 25}.get(at, 32)
    assert f"{file}: damaged at byte {offset}: " in caplog.text
    assert file.with_name("control.document.damaged").read_bytes() == data
    sender.apply(8, {"endpoints/b": endpoint(3)})
    sender.start()
    assert sender.configuration.document.version == 8 and sender.running.ids() == ["b"]


def test_a_flipped_bit_in_any_byte_of_the_document_file_is_detected(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(7, {"endpoints/a": endpoint(2)})
    file = tmp_path / IN_FORCE_FILE
    data = file.read_bytes()
    for at in range(len(data)):
        flipped = bytearray(data)
        flipped[at] ^= 0x10
        file.write_bytes(flipped)
        assert SenderConfiguration(read(OWN_FILE), tmp_path, sender.disk).document.version == 0, at


def test_a_reloaded_file_does_not_override_the_control_plane(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(1, {"endpoints/a": endpoint(2)})
    own = read({**OWN_FILE, "endpoints": [{"id": "new", "destination": 1, "dial": "127.0.0.1:9"}]})
    config = sender.configuration.reload(own)
    assert [each.endpoint.id for each in config.endpoints] == ["a"]
    sender.apply(2, {}, ("endpoints/a",))
    assert sender.running.ids() == ["new"]


def test_a_change_of_endpoints_does_not_configure_budgets(tmp_path: Path) -> None:
    budget = {"name": "own", "of": "in_flight", "destination": 1, "whole": 8, "floor": 1}
    sender = RestartableSender(tmp_path, budgets=[budget])
    sender.configuration.reload(read({**sender.own, "budgets": [budget | {"floor": 2}]}))
    # As after SIGHUP; this reason must not matter for a change of endpoints.
    sender.running.reasons = ["the file's floor waits for a start"]
    sender.apply(1, {"endpoints/a": endpoint(2)})
    assert sender.running.ids() == ["a"] and sender.running.budgets[0].floor == 1


def test_a_delta_to_the_same_version_repairs_its_content(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    sender.apply(3, {"endpoints/a": endpoint(2)})
    sender.apply(3, {"endpoints/b": endpoint(3)})
    assert sender.running.ids() == ["a", "b"]
    sender.start()
    assert sender.configuration.document.version == 3 and sender.running.ids() == ["a", "b"]


def test_apply_does_not_change_the_given_document(tmp_path: Path) -> None:
    sender = RestartableSender(tmp_path)
    document = Document(0, {})
    resource = Resource("endpoints/a", b'{"destination":1,"dial":"h:1"}')
    sender.configuration.apply(document, Delta(0, 1, (resource,), (), document.digest_after([resource], ())))
    assert document.version == 0 and not document.resources
    assert [dialed.dial for dialed in sender.running.endpoints] == [("h", 1)]
