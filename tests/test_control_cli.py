"""The command `message-sender control`, against a stub of a control node's socket."""

import asyncio
import contextlib
import json
import threading
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import pytest

from message_sender.cli import configuration_change, main
from message_sender.cli import control as control_command
from message_sender.cli.deployment_status import parse_status
from message_sender.control import schema
from message_sender.control_socket import ControlSocket, InvalidRequestError

FLEET = """
[[endpoints]]
id = "a"
destination = 1
dial = "h:1"

[[endpoints]]
id = "b"
destination = 2
dial = "h:2"
"""


class StubNode:
    """A control node without replication; it serves its control socket on a separate thread."""

    def __init__(self) -> None:
        self.version = 4
        self.resources = schema.read_toml(FLEET)
        self.change_requests: list[dict[str, Any]] = []
        self.results: dict[str, dict[str, Any]] = {}
        self.unavailable_responses = 0  # still to be sent
        self.nodes: list[dict[str, Any]] = []
        self.leader = "c1"  # the known leader; empty if there is none
        self.status_requests = 0

    def get(self, request: Mapping[str, Any]) -> dict[str, Any]:
        values = {name: json.loads(value) for name, value in self.resources.items()}
        fields = {"version": self.version, "digest": 77, "resources": values, "age_ms": 100}
        return fields | {"role": "leader" if self.leader else "follower", "leader": self.leader}

    def set(self, request: Mapping[str, Any]) -> dict[str, Any]:
        self.change_requests.append(dict(request))
        if self.unavailable_responses:
            self.unavailable_responses -= 1
            return {"outcome": "unavailable", "version": self.version, "faults": []}
        if known := self.results.get(request["request_id"]):
            return known
        if request["base_version"] != self.version:
            return {"outcome": "conflict", "version": self.version, "faults": []}
        changed = {name: value for name, value in self.resources.items() if name not in request["delete"]}
        changed |= {name: schema.encode_value(value) for name, value in request["put"].items()}
        if faults := schema.validate(changed):
            return {"outcome": "invalid", "version": self.version, "faults": list(faults)}
        self.resources = changed
        self.version += 1
        response = {"outcome": "applied", "version": self.version, "faults": []}
        self.results[request["request_id"]] = response
        return response

    def on_status(self) -> None:
        """Called before each response to `status`; tests replace it."""

    def status(self, request: Mapping[str, Any]) -> dict[str, Any]:
        self.status_requests += 1
        self.on_status()
        return {"nodes": self.nodes}

    @contextlib.contextmanager
    def serving(self, folder: Path) -> Iterator[None]:
        loop = asyncio.new_event_loop()
        control = ControlSocket(folder, {"get": self.get, "set": self.set, "status": self.status})
        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        asyncio.run_coroutine_threadsafe(control.start(), loop).result()
        try:
            yield
        finally:
            asyncio.run_coroutine_threadsafe(self.close(control), loop).result()
            loop.call_soon_threadsafe(loop.stop)
            thread.join()
            loop.close()

    @staticmethod
    async def close(control: ControlSocket) -> None:
        control.close()
        await asyncio.gather(*control.tasks, return_exceptions=True)


@pytest.fixture
def stub(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[StubNode]:
    monkeypatch.setattr(configuration_change, "RETRY_INTERVAL_S", 0.01)
    monkeypatch.setattr(control_command, "WAIT_INTERVAL_S", 0.01)
    node = StubNode()
    with node.serving(tmp_path):
        yield node


@pytest.fixture
def run(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Callable[..., tuple[int, str]]:
    """Runs `message-sender control NAME STATE ...`; returns the exit code and all output."""

    def run(name: str, *arguments: str) -> tuple[int, str]:
        code = main(["control", name, str(tmp_path), *arguments])
        output = capsys.readouterr()
        return code, output.out + output.err

    return run


Run = Callable[..., tuple[int, str]]


def write_file(tmp_path: Path, text: str) -> str:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    return str(path)


def test_a_complete_file_is_applied_as_the_difference(stub: StubNode, run: Run, tmp_path: Path) -> None:
    text = FLEET.replace("h:1", "h:9").replace('"b"', '"c"')
    assert run("set", write_file(tmp_path, text), "--author", "ann") == (0, "version 5: 2 put, 1 deleted\n")
    (request,) = stub.change_requests
    assert request["base_version"] == 4 and request["author"] == "ann" and len(request["request_id"]) == 32
    assert sorted(request["put"]) == ["endpoints/a", "endpoints/c"] and request["delete"] == ["endpoints/b"]
    assert stub.resources == schema.read_toml(text)
    assert run("set", write_file(tmp_path, text)) == (
        0,
        "version 5 already has this content: nothing was changed\n",
    )
    assert len(stub.change_requests) == 1


def test_a_patch_keeps_resources_that_it_does_not_name(stub: StubNode, run: Run, tmp_path: Path) -> None:
    text = '[[endpoints]]\nid = "c"\ndestination = 3\ndial = "h:3"\n'
    code, _ = run("set", write_file(tmp_path, text), "--patch", "--delete", "endpoints/a")
    assert code == 0 and sorted(stub.resources) == ["endpoints/b", "endpoints/c"]
    assert run("set", "--patch", "--delete", "endpoints/b")[0] == 0
    assert sorted(stub.resources) == ["endpoints/c"]
    code, out = run("set", "--patch", "--delete", "endpoints/x")
    assert code == 1 and "endpoints/x: is not in version 6" in out


def test_a_conflict_shows_the_active_version(stub: StubNode, run: Run, tmp_path: Path) -> None:
    code, out = run("set", write_file(tmp_path, ""), "--expect", "3")
    assert code == 1 and out == "version 4 is in force, but 3 was expected: nothing was changed\n"
    assert not stub.change_requests and run("set", write_file(tmp_path, ""), "--expect", "4")[0] == 0


def test_a_concurrent_change_is_a_conflict(stub: StubNode, run: Run, tmp_path: Path) -> None:
    """The other operator's change is applied between `get` and `set`."""
    apply_change = stub.set

    def apply_after_another(request: Mapping[str, Any]) -> dict[str, Any]:
        stub.version = 9
        return apply_change(request)

    stub.set = apply_after_another  # type: ignore[method-assign]  # a new socket binds it below
    with stub_at(stub, tmp_path / "other") as folder:
        code = main(["control", "set", str(folder), write_file(tmp_path, "")])
    assert code == 1 and len(stub.resources) == 2


@contextlib.contextmanager
def stub_at(stub: StubNode, folder: Path) -> Iterator[Path]:
    folder.mkdir()
    with stub.serving(folder):
        yield folder


def test_each_fault_of_a_file_or_configuration_is_a_line(stub: StubNode, run: Run, tmp_path: Path) -> None:
    code, out = run("set", write_file(tmp_path, FLEET.replace("h:1", "x").replace("h:2", "y")))
    assert code == 1 and not stub.change_requests
    assert [line.removeprefix("Error: ") for line in out.splitlines()] == [
        "endpoints[0].dial: must be host:port, not 'x'",
        "endpoints[1].dial: must be host:port, not 'y'",
    ]
    stub.resources["budgets/old"] = b'{"of":"in_flight","destination":1,"whole":8}'
    row = '[[budgets]]\nname = "new"\nof = "in_flight"\ndestination = 1\nwhole = 8\n'
    code, out = run("set", write_file(tmp_path, row), "--patch")
    assert code == 1 and out.splitlines() == [
        "budgets/old.of: another budget also limits in_flight of destination 1",
        "nothing was changed; version 4 is in force",
    ]


def test_an_unavailable_change_is_retried_with_the_same_request_id(
    stub: StubNode, run: Run, tmp_path: Path
) -> None:
    stub.unavailable_responses = 3
    code, out = run("set", write_file(tmp_path, ""))
    assert code == 0 and out == "version 5 after 4 attempts: 0 put, 2 deleted\n"
    assert len({request["request_id"] for request in stub.change_requests}) == 1


def test_a_node_without_a_leader_does_not_report_an_unchanged_configuration(
    stub: StubNode, run: Run, tmp_path: Path
) -> None:
    """A newer version may exist that this node does not know."""
    arguments = ("set", write_file(tmp_path, FLEET))
    assert run(*arguments) == (0, "version 4 already has this content: nothing was changed\n")
    stub.leader = ""
    code, out = run(*arguments)
    assert code == 1 and "no leader with a majority is known" in out and not stub.change_requests


def test_an_unknown_outcome_is_reported_after_the_timeout(stub: StubNode, run: Run, tmp_path: Path) -> None:
    stub.unavailable_responses = 10**6
    code, out = run("set", write_file(tmp_path, ""), "--timeout", "0.2", "--request-id", "r1")
    assert code == 1 and "outcome unknown" in out and "--request-id r1" in out
    assert "no leader with a majority" in out and len(stub.change_requests) > 1


def test_a_repeated_request_id_is_applied_once(stub: StubNode, run: Run, tmp_path: Path) -> None:
    """The first response was lost: the file is active, at a version above the expected one."""
    arguments = (write_file(tmp_path, ""), "--expect", "4", "--request-id", "r1")
    assert run("set", *arguments)[0] == 0
    code, out = run("set", *arguments, "--json")
    result = json.loads(out)
    assert code == 0 and (result["outcome"], result["version"], result["request_id"]) == ("applied", 5, "r1")
    assert stub.version == 5
    code, out = run("set", write_file(tmp_path, ""), "--expect", "4", "--request-id", "r2", "--json")
    assert code == 1 and json.loads(out)["outcome"] == "conflict"


def test_the_output_of_get_is_an_input_of_set(stub: StubNode, run: Run, tmp_path: Path) -> None:
    for arguments in ((), ("--toml",)):
        code, out = run("get", *arguments)
        assert code == 0 and out.startswith("# version 4, digest 77, 0.1 s old\n")
        assert schema.read_toml(out) == stub.resources
    code, out = run("get", "--json")
    assert code == 0 and json.loads(out)["resources"]["endpoints/a"] == {"destination": 1, "dial": "h:1"}


def test_wrong_usage_exits_with_2(stub: StubNode, run: Run, tmp_path: Path) -> None:
    name = write_file(tmp_path, "")
    assert run("set")[0] == 2
    assert run("set", name, "--delete", "endpoints/a")[0] == 2
    assert run("get", "--toml", "--json")[0] == 2
    assert run("status", "--wait", "4", "--watch")[0] == 2
    assert run("set", name, "--expect", "-1")[0] == 2 and not stub.change_requests


def test_an_unreachable_control_node_exits_with_1(run: Run, tmp_path: Path) -> None:
    for arguments in (("get",), ("status",), ("set", write_file(tmp_path, "")), ("status", "--wait", "1")):
        code, out = run(*arguments)
        assert code == 1 and "no control node answers" in out
    missing = str(tmp_path / "none.toml")
    assert main(["control", "serve", "--config", missing]) == 1
    assert main(["control", "init", "--config", missing]) == 1


def test_a_refused_request_exits_with_1(stub: StubNode, run: Run, tmp_path: Path) -> None:
    def refuse(request: Mapping[str, Any]) -> dict[str, Any]:
        raise InvalidRequestError("the change has 40000 bytes, more than the limit of 32768")

    stub.set = refuse  # type: ignore[method-assign]  # a new socket binds it below
    with stub_at(stub, tmp_path / "other") as folder:
        assert main(["control", "set", str(folder), write_file(tmp_path, "")]) == 1


def watcher(name: str, version: int, **changes: object) -> dict[str, object]:
    fields = {"name": name, "version": version, "refused_version": 0, "reason": "", "silent_ms": 200}
    return fields | changes


def node(name: str, version: int, *watchers: dict[str, object]) -> dict[str, Any]:
    fields = {"number": 1, "name": name, "role": "follower", "leader": "c1", "term": 3, "version": version}
    return fields | {"commit_index": 9, "age_ms": 100, "watchers": list(watchers)}


def test_status_shows_lagging_senders_with_reasons(stub: StubNode, run: Run) -> None:
    stub.nodes = [
        node("c1", 7, watcher("n1", 7), watcher("n2", 6, refused_version=7, reason="budgets/rate: floor")),
        node("c2", 7, watcher("n3", 6, silent_ms=41_000), watcher("n4", 6), watcher("n5", 7, silent_ms=9000)),
        {"name": "c3", "is_reachable": False},
        node("c4", 5) | {"fault": "a learner: its folder was not initialised"},
    ]
    code, out = run("status")
    assert code == 0 and out.splitlines() == [
        "version 7: in force at 2 of 5 senders; 3 of 4 control nodes answer",
        "  control node c1           follower  version 7, term 3, 2 senders, majority seen 0.1 s ago",
        "  control node c2           follower  version 7, term 3, 3 senders, majority seen 0.1 s ago",
        "  control node c3           does not answer",
        "  control node c4           follower  version 5, term 3, 0 senders, majority seen 0.1 s ago"
        "; a learner: its folder was not initialised",
        "  sender n2: version 6, refused 7: budgets/rate: floor",
        "  sender n3: version 6, silent for 41.0 s",
        "  sender n4: version 6, update pending",
        "  sender n5: version 7, silent for 9.0 s",
    ]
    code, out = run("status", "--json")
    assert code == 0 and json.loads(out) == {"nodes": stub.nodes}
    code, out = run("status", "--watch", "--times", "2", "--every", "0.1", "--json")
    assert code == 0 and len(out.splitlines()) == 2


def test_the_node_that_a_sender_polled_last_counts() -> None:
    deployment = parse_status(
        {"nodes": [node("c1", 7, watcher("n1", 6, silent_ms=900)), node("c2", 7, watcher("n1", 7))]}
    )
    (sender,) = deployment.senders
    assert (sender.version, sender.node) == (7, "c2") and not deployment.find_lagging(7)


def test_a_wait_ends_when_the_version_is_active_everywhere(stub: StubNode, run: Run) -> None:
    stub.nodes = [node("c1", 7, watcher("n1", 6))]

    def apply_version() -> None:
        if stub.status_requests == 3:
            stub.nodes = [node("c1", 7, watcher("n1", 7))]

    stub.on_status = apply_version  # type: ignore[method-assign]
    code, out = run("status", "--wait", "7")
    assert code == 0 and out.startswith("version 7 is in force everywhere, at 1 senders, after ")
    assert stub.status_requests == 3


def test_a_wait_that_times_out_shows_the_lagging_senders_and_nodes(stub: StubNode, run: Run) -> None:
    stub.nodes = [node("c1", 7, watcher("n1", 6, silent_ms=41_000)), {"name": "c2", "is_reachable": False}]
    code, out = run("status", "--wait", "7", "--timeout", "0.1")
    assert code == 1 and out.splitlines()[1:] == [
        "control node c2: does not answer; its senders may not be known",
        "sender n1: version 6, silent for 41.0 s",
    ]
    assert run("status", "--wait", "7", "--timeout", "0.1", "--reachable")[0] == 0
    code, out = run("status", "--wait", "8", "--timeout", "0.1", "--reachable", "--json")
    result = json.loads(out)
    assert code == 1 and result["lagging"] == ["control node c1: version 7"] and not result["is_everywhere"]


def test_each_help_text_has_an_example(capsys: pytest.CaptureFixture[str]) -> None:
    for name in ("serve", "init", "set", "get", "status"):
        assert main(["control", name, "--help"]) == 0
        assert f"message-sender control {name} " in capsys.readouterr().out
