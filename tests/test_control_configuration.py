"""What a sender puts in force of the control plane: a version whole or not at all, and never an older one."""

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

OWN: dict[str, Any] = {
    "name": "n1",
    "classes": {"c": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2000}},
    "fleet": {"listen": "127.0.0.1:0", "key_file": "key", "size": 4},
    "endpoints": [{"id": "own", "destination": 1, "dial": "127.0.0.1:1"}],
}
RATE = {"of": "calls", "destination": 1, "whole": 60, "per_ms": 1000}


def endpoint(port: int) -> dict[str, object]:
    return {"destination": 1, "dial": f"127.0.0.1:{port}"}


class Running:
    """What a running sender has: the endpoints and budgets that it was told last."""

    def __init__(self, config: SenderConfig) -> None:
        self.places, self.told, self.size = config.endpoints, config.budgets, 0
        self.reasons: list[str] = []

    def configure(self, *arguments: Any) -> None:  # noqa: ANN401
        if len(arguments) == 1:
            self.places = tuple(arguments[0])
        else:
            self.told, self.size = arguments

    def changes_for_next_start(self, budgets: tuple[SharedBudget, ...]) -> list[str]:
        return list(self.reasons)

    def ids(self) -> list[str]:
        return [each.endpoint.id for each in self.places]


class FullDisk(SystemDisk):
    """Refuses to write while it is full."""

    is_full = True

    def write(self, file: int, data: bytes) -> None:
        if self.is_full:
            raise OSError(28, "No space left on device")
        super().write(file, data)


class Scene:
    """A sender's configuration over its starts."""

    def __init__(self, state: Path, disk: SystemDisk | None = None, **changes: object) -> None:
        self.state, self.own, self.disk = state, {**OWN, **changes}, disk or SystemDisk()
        self.start()

    def start(self) -> None:
        self.configuration = SenderConfiguration(read(self.own), self.state, self.disk)
        self.running = Running(self.configuration.effective_config())
        has_fleet = self.configuration.own_config.fleet is not None
        self.configuration.bind(self.running, self.running if has_fleet else None)

    def to(self, version: int, put: dict[str, object], delete: tuple[str, ...] = ()) -> None:
        """As the watch does with a delta to this version."""
        document = self.configuration.document
        resources = tuple(Resource(*each) for each in schema.read_values(put).items())
        digest = document.digest_after(resources, delete)
        delta = Delta(document.version, version, resources, delete, digest)
        self.configuration.apply(document, delta)

    def refused(
        self, version: int, put: dict[str, object], kind: type[Exception] = RefusedConfigurationError
    ) -> str:
        """Nothing may have changed by it."""
        before = self.all()
        with pytest.raises(kind) as error:
            self.to(version, put)
        assert self.all() == before
        return str(error.value)

    def all(self) -> tuple[object, ...]:
        file = self.state / IN_FORCE_FILE
        document = self.configuration.document
        stored = file.read_bytes() if file.exists() else b""
        return (
            document.version, dict(document.resources), self.running.places, self.running.told, stored,
        )  # fmt: skip


def test_endpoints_stand_in_place_of_the_file_s_while_there_are_any(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(1, {"budgets/rate": RATE})
    assert scene.running.ids() == ["own"] and [each.name for each in scene.running.told] == ["rate"]
    scene.to(2, {"endpoints/a": endpoint(2), "endpoints/b": endpoint(3)})
    assert scene.running.ids() == ["a", "b"] and scene.running.size == 4
    scene.to(3, {"endpoints/a": endpoint(4)}, ("endpoints/b",))
    assert scene.running.places[0].dial == ("127.0.0.1", 4) and scene.running.ids() == ["a"]
    scene.to(4, {}, ("endpoints/a",))
    assert scene.running.ids() == ["own"]


def test_a_start_goes_on_with_the_version_that_was_in_force(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(7, {"endpoints/a": endpoint(2), "budgets/rate": RATE})
    scene.start()
    assert scene.configuration.document.version == 7
    assert scene.running.ids() == ["a"] and [each.name for each in scene.running.told] == ["rate"]
    scene.to(8, {"endpoints/b": endpoint(3)})
    scene.start()
    assert scene.configuration.document.version == 8 and scene.running.ids() == ["a", "b"]


def test_the_document_is_durable_before_it_is_in_force(tmp_path: Path) -> None:
    steps: list[str] = []

    class Noted(SystemDisk):
        def sync(self, file: int) -> None:
            steps.append("sync")
            super().sync(file)

        def replace(self, old: Path, new: Path) -> None:
            steps.append("replace")
            super().replace(old, new)

        def sync_folder(self, path: Path) -> None:
            steps.append("sync folder")
            super().sync_folder(path)

    class Told(Running):
        def configure(self, *arguments: Any) -> None:  # noqa: ANN401
            steps.append("in force")

    scene = Scene(tmp_path, Noted())
    parts = Told(scene.configuration.own_config)
    scene.configuration.bind(parts, parts)
    scene.to(1, {"endpoints/a": endpoint(2)})
    assert steps == ["sync", "replace", "sync folder", "in force"]


def test_a_full_disk_refuses_the_version_and_leaves_the_old_one(tmp_path: Path) -> None:
    disk = FullDisk()
    disk.is_full = False
    scene = Scene(tmp_path, disk)
    scene.to(1, {"endpoints/a": endpoint(2)})
    disk.is_full = True
    assert "No space left" in scene.refused(2, {"endpoints/b": endpoint(3)}, OSError)
    scene.start()
    assert scene.configuration.document.version == 1 and scene.running.ids() == ["a"]
    disk.is_full = False
    scene.to(2, {"endpoints/b": endpoint(3)})
    assert scene.running.ids() == ["a", "b"]


def test_what_a_sender_can_never_have_in_force_is_refused_whole(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(1, {"endpoints/a": endpoint(2)})
    reason = scene.refused(2, {"endpoints/b": endpoint(3), "budgets/rate": RATE | {"floor": 16}})
    assert reason == "budgets/rate.floor: 16 for each of 4 is over the whole"
    assert not (tmp_path / NEXT_START_FILE).exists()
    (tmp_path / "alone").mkdir()
    alone = Scene(tmp_path / "alone", fleet=None)
    assert "needs a [fleet]" in alone.refused(1, {"endpoints/b": endpoint(3), "budgets/rate": RATE})
    document = alone.configuration.document
    digest = document.digest_after([Resource("routes/x", b"{}")], ())
    with pytest.raises(RefusedConfigurationError, match="routes/x: must be one of"):
        alone.configuration.apply(document, Delta(0, 1, (Resource("routes/x", b"{}"),), (), digest))
    with pytest.raises(RefusedConfigurationError, match="would differ"):
        alone.configuration.apply(document, Delta(0, 1, (), (), 5))


def test_what_waits_for_a_start_is_refused_until_then_and_in_force_after_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    scene = Scene(tmp_path)
    scene.to(1, {"budgets/rate": RATE})
    scene.running.reasons = ["budgets/rate: floor cannot change before the next start"]
    changed = {"budgets/rate": RATE | {"floor": 2}, "endpoints/a": endpoint(2)}
    assert scene.refused(2, changed) == "budgets/rate: floor cannot change before the next start"
    assert scene.configuration.next_start_version == 2
    scene.start()
    assert scene.configuration.document.version == 2 and scene.running.ids() == ["a"]
    assert scene.running.told[0].floor == 2 and not (tmp_path / NEXT_START_FILE).exists()
    scene.start()
    assert scene.configuration.document.version == 2


def test_a_version_that_waited_is_forgotten_once_a_newer_one_is_in_force(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(1, {"budgets/rate": RATE})
    scene.running.reasons = ["budgets/rate: floor cannot change before the next start"]
    scene.refused(2, {"budgets/rate": RATE | {"floor": 2}})
    scene.running.reasons = []
    scene.to(3, {"budgets/rate": RATE | {"whole": 50}})
    assert scene.configuration.next_start_version == 0 and not (tmp_path / NEXT_START_FILE).exists()
    scene.start()
    assert scene.configuration.document.version == 3


def test_a_waiting_version_that_the_sender_cannot_use_leaves_the_old_one(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(1, {"endpoints/a": endpoint(2)})
    scene.running.reasons = ["budgets: the link to the fleet could not be made at this start"]
    scene.refused(2, {"budgets/rate": RATE | {"floor": 15}})
    scene.own = {**OWN, "fleet": OWN["fleet"] | {"size": 5}}
    scene.start()
    assert scene.configuration.document.version == 1 and scene.running.ids() == ["a"]


def test_a_waiting_version_that_cannot_be_kept_waits_on(tmp_path: Path) -> None:
    disk = FullDisk()
    disk.is_full = False
    scene = Scene(tmp_path, disk)
    scene.running.reasons = ["budgets: the link to the fleet could not be made at this start"]
    scene.refused(2, {"budgets/rate": RATE, "endpoints/a": endpoint(2)})
    disk.is_full = True
    scene.start()
    assert scene.configuration.document.version == 0 and scene.configuration.next_start_version == 2
    assert scene.running.ids() == ["own"] and not scene.running.told
    disk.is_full = False
    scene.start()
    assert scene.configuration.document.version == 2 and scene.running.ids() == ["a"]


def test_a_version_below_the_one_that_was_in_force_is_refused_after_a_start(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(7, {"budgets/rate": RATE})
    scene.own = {**OWN, "fleet": None}
    scene.start()  # it cannot have the budget: version 7 is not applied by this start
    assert scene.configuration.document.version == 0 and scene.running.ids() == ["own"]
    assert scene.refused(6, {"endpoints/a": endpoint(2)}) == "version 7 was in force here"
    scene.to(8, {"endpoints/a": endpoint(2)})
    assert scene.running.ids() == ["a"]


@pytest.mark.parametrize("at", ["magic", "header", "length", "body", "cut", "empty"])
def test_a_damaged_file_is_named_and_not_believed(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, at: str
) -> None:
    scene = Scene(tmp_path)
    scene.to(7, {"endpoints/a": endpoint(2)})
    file = tmp_path / IN_FORCE_FILE
    data = bytearray(file.read_bytes())
    if at in ("cut", "header"):
        del data[25 if at == "header" else -1 :]
    elif at == "empty":
        data[:] = b"\0"
    else:
        data[{"magic": 3, "length": 27, "body": len(data) - 5}[at]] ^= 1
    file.write_bytes(data)
    scene.start()
    assert scene.configuration.document.version == 0 and scene.running.ids() == ["own"]
    offset = {"magic": 0, "empty": 0, "header": 25}.get(at, 32)
    assert f"{file}: damaged at byte {offset}: " in caplog.text
    assert file.with_name("control.document.damaged").read_bytes() == data
    scene.to(8, {"endpoints/b": endpoint(3)})
    scene.start()
    assert scene.configuration.document.version == 8 and scene.running.ids() == ["b"]


def test_every_flipped_byte_of_the_file_is_noticed(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(7, {"endpoints/a": endpoint(2)})
    file = tmp_path / IN_FORCE_FILE
    data = file.read_bytes()
    for at in range(len(data)):
        flipped = bytearray(data)
        flipped[at] ^= 0x10
        file.write_bytes(flipped)
        assert SenderConfiguration(read(OWN), tmp_path, scene.disk).document.version == 0, at


def test_a_file_that_is_read_anew_does_not_come_back_over_the_control_plane(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(1, {"endpoints/a": endpoint(2)})
    own = read({**OWN, "endpoints": [{"id": "new", "destination": 1, "dial": "127.0.0.1:9"}]})
    config = scene.configuration.reload(own)
    assert [each.endpoint.id for each in config.endpoints] == ["a"]
    scene.to(2, {}, ("endpoints/a",))
    assert scene.running.ids() == ["new"]


def test_a_change_of_endpoints_alone_leaves_budgets_as_they_are(tmp_path: Path) -> None:
    budget = {"name": "own", "of": "in_flight", "destination": 1, "whole": 8, "floor": 1}
    scene = Scene(tmp_path, budgets=[budget])
    scene.configuration.reload(read({**scene.own, "budgets": [budget | {"floor": 2}]}))
    scene.running.reasons = ["the file's floor waits for a start"]  # as SIGHUP said, and of no concern here
    scene.to(1, {"endpoints/a": endpoint(2)})
    assert scene.running.ids() == ["a"] and scene.running.told[0].floor == 1


def test_the_content_of_a_version_is_mended(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    scene.to(3, {"endpoints/a": endpoint(2)})
    scene.to(3, {"endpoints/b": endpoint(3)})
    assert scene.running.ids() == ["a", "b"]
    scene.start()
    assert scene.configuration.document.version == 3 and scene.running.ids() == ["a", "b"]


def test_the_documents_given_are_not_changed(tmp_path: Path) -> None:
    scene = Scene(tmp_path)
    document = Document(0, {})
    place = Resource("endpoints/a", b'{"destination":1,"dial":"h:1"}')
    scene.configuration.apply(document, Delta(0, 1, (place,), (), document.digest_after([place], ())))
    assert document.version == 0 and not document.resources
    assert [each.dial for each in scene.running.places] == [("h", 1)]
