"""`message-sender control`, against a stub of a control node's socket."""

import asyncio
import contextlib
import json
import threading
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import pytest

from message_sender.cli import control as command
from message_sender.cli import control_change, main
from message_sender.cli.control_status import overview
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


class Stub:
    """A control node that makes changes by itself, on a thread of its own."""

    def __init__(self) -> None:
        self.version = 4
        self.resources = schema.read_toml(FLEET)
        self.sets: list[dict[str, Any]] = []
        self.results: dict[str, dict[str, Any]] = {}
        self.unavailable = 0  # so many requests are answered so
        self.nodes: list[dict[str, Any]] = []
        self.leader = "c1"  # that it knows of
        self.looked = 0
        self.look: Callable[[], None] = lambda: None

    def get(self, asked: Mapping[str, Any]) -> dict[str, Any]:
        values = {name: json.loads(value) for name, value in self.resources.items()}
        told = {"version": self.version, "digest": 77, "resources": values, "age_ms": 100}
        return told | {"role": "leader" if self.leader else "follower", "leader": self.leader}

    def set(self, asked: Mapping[str, Any]) -> dict[str, Any]:
        self.sets.append(dict(asked))
        if self.unavailable:
            self.unavailable -= 1
            return {"outcome": "unavailable", "version": self.version, "faults": []}
        if known := self.results.get(asked["request_id"]):
            return known
        if asked["base_version"] != self.version:
            return {"outcome": "conflict", "version": self.version, "faults": []}
        after = {name: x for name, x in self.resources.items() if name not in asked["delete"]}
        after |= {name: schema.encode_value(value) for name, value in asked["put"].items()}
        if faults := schema.validate(after):
            return {"outcome": "invalid", "version": self.version, "faults": list(faults)}
        self.resources, self.version = after, self.version + 1
        answer = {"outcome": "applied", "version": self.version, "faults": []}
        self.results[asked["request_id"]] = answer
        return answer

    def status(self, asked: Mapping[str, Any]) -> dict[str, Any]:
        self.looked += 1
        self.look()
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
            asyncio.run_coroutine_threadsafe(self.ended(control), loop).result()
            loop.call_soon_threadsafe(loop.stop)
            thread.join()
            loop.close()

    @staticmethod
    async def ended(control: ControlSocket) -> None:
        control.close()
        await asyncio.gather(*control.tasks, return_exceptions=True)


@pytest.fixture
def stub(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Stub]:
    monkeypatch.setattr(control_change, "RETRY_INTERVAL_S", 0.01)
    monkeypatch.setattr(command, "WAIT_INTERVAL_S", 0.01)
    made = Stub()
    with made.serving(tmp_path):
        yield made


@pytest.fixture
def run(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Callable[..., tuple[int, str]]:
    """`message-sender control NAME STATE ...`: the exit code, and all that it wrote."""

    def run(name: str, *words: str) -> tuple[int, str]:
        code = main(["control", name, str(tmp_path), *words])
        told = capsys.readouterr()
        return code, told.out + told.err

    return run


Run = Callable[..., tuple[int, str]]


def file(tmp_path: Path, text: str) -> str:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    return str(path)


def test_a_whole_file_is_put_as_the_difference(stub: Stub, run: Run, tmp_path: Path) -> None:
    text = FLEET.replace("h:1", "h:9").replace('"b"', '"c"')
    assert run("set", file(tmp_path, text), "--author", "ann") == (0, "version 5: 2 put, 1 deleted\n")
    (asked,) = stub.sets
    assert asked["base_version"] == 4 and asked["author"] == "ann" and len(asked["request_id"]) == 32
    assert sorted(asked["put"]) == ["endpoints/a", "endpoints/c"] and asked["delete"] == ["endpoints/b"]
    assert stub.resources == schema.read_toml(text)
    assert run("set", file(tmp_path, text)) == (0, "version 5 holds this already: nothing was changed\n")
    assert len(stub.sets) == 1


def test_a_patch_leaves_alone_what_it_does_not_name(stub: Stub, run: Run, tmp_path: Path) -> None:
    text = '[[endpoints]]\nid = "c"\ndestination = 3\ndial = "h:3"\n'
    code, _ = run("set", file(tmp_path, text), "--patch", "--delete", "endpoints/a")
    assert code == 0 and sorted(stub.resources) == ["endpoints/b", "endpoints/c"]
    assert run("set", "--patch", "--delete", "endpoints/b")[0] == 0
    assert sorted(stub.resources) == ["endpoints/c"]
    code, out = run("set", "--patch", "--delete", "endpoints/x")
    assert code == 1 and "endpoints/x: is not in version 6" in out


def test_another_version_than_the_expected_one_is_shown(stub: Stub, run: Run, tmp_path: Path) -> None:
    code, out = run("set", file(tmp_path, ""), "--expect", "3")
    assert code == 1 and out == "version 4 is in force, and 3 was expected: nothing was changed\n"
    assert not stub.sets and run("set", file(tmp_path, ""), "--expect", "4")[0] == 0


def test_two_operators_at_once(stub: Stub, run: Run, tmp_path: Path) -> None:
    """The other one's change comes between the look and the change."""
    make = stub.set

    def late(asked: Mapping[str, Any]) -> dict[str, Any]:
        stub.version = 9
        return make(asked)

    stub.set = late  # type: ignore[method-assign]  # the socket asks by name, below
    with stub_at(stub, tmp_path / "other") as folder:
        code = main(["control", "set", str(folder), file(tmp_path, "")])
    assert code == 1 and len(stub.resources) == 2


@contextlib.contextmanager
def stub_at(stub: Stub, folder: Path) -> Iterator[Path]:
    folder.mkdir()
    with stub.serving(folder):
        yield folder


def test_the_faults_of_a_file_and_of_a_document_are_lines(stub: Stub, run: Run, tmp_path: Path) -> None:
    code, out = run("set", file(tmp_path, FLEET.replace("h:1", "x").replace("h:2", "y")))
    assert code == 1 and not stub.sets
    assert [line.removeprefix("Error: ") for line in out.splitlines()] == [
        "endpoints[0].dial: must be host:port, not 'x'",
        "endpoints[1].dial: must be host:port, not 'y'",
    ]
    stub.resources["budgets/old"] = b'{"of":"in_flight","destination":1,"whole":8}'
    row = '[[budgets]]\nname = "new"\nof = "in_flight"\ndestination = 1\nwhole = 8\n'
    code, out = run("set", file(tmp_path, row), "--patch")
    assert code == 1 and out.splitlines() == [
        "budgets/old.of: two budgets over one thing",
        "nothing was changed; version 4 is in force",
    ]


def test_a_change_is_asked_for_again_under_the_same_id(stub: Stub, run: Run, tmp_path: Path) -> None:
    stub.unavailable = 3
    code, out = run("set", file(tmp_path, ""))
    assert code == 0 and out == "version 5 after 4 tries: 0 put, 2 deleted\n"
    assert len({asked["request_id"] for asked in stub.sets}) == 1


def test_a_cut_off_node_does_not_say_that_all_is_as_wanted(stub: Stub, run: Run, tmp_path: Path) -> None:
    """Another version may be in force by now."""
    words = ("set", file(tmp_path, FLEET))
    assert run(*words) == (0, "version 4 holds this already: nothing was changed\n")
    stub.leader = ""
    code, out = run(*words)
    assert code == 1 and "no leader with a majority is known" in out and not stub.sets


def test_an_outcome_that_stays_unknown_is_said(stub: Stub, run: Run, tmp_path: Path) -> None:
    stub.unavailable = 10**6
    code, out = run("set", file(tmp_path, ""), "--timeout", "0.2", "--request-id", "r1")
    assert code == 1 and "not known whether it was made" in out and "--request-id r1" in out
    assert "no leader with a majority" in out and len(stub.sets) > 1


def test_a_change_that_was_made_before_is_not_made_again(stub: Stub, run: Run, tmp_path: Path) -> None:
    """Its first answer was lost: what the file holds is in force, at a version above the expected one."""
    words = (file(tmp_path, ""), "--expect", "4", "--request-id", "r1")
    assert run("set", *words)[0] == 0
    code, out = run("set", *words, "--json")
    told = json.loads(out)
    assert code == 0 and (told["outcome"], told["version"], told["request_id"]) == ("applied", 5, "r1")
    assert stub.version == 5
    code, out = run("set", file(tmp_path, ""), "--expect", "4", "--request-id", "r2", "--json")
    assert code == 1 and json.loads(out)["outcome"] == "conflict"


def test_get_gives_what_set_takes(stub: Stub, run: Run, tmp_path: Path) -> None:
    for words in ((), ("--toml",)):
        code, out = run("get", *words)
        assert code == 0 and out.startswith("# version 4, digest 77, 0.1 s old\n")
        assert schema.read_toml(out) == stub.resources
    code, out = run("get", "--json")
    assert code == 0 and json.loads(out)["resources"]["endpoints/a"] == {"destination": 1, "dial": "h:1"}


def test_misuse_ends_with_2(stub: Stub, run: Run, tmp_path: Path) -> None:
    name = file(tmp_path, "")
    assert run("set")[0] == 2
    assert run("set", name, "--delete", "endpoints/a")[0] == 2
    assert run("get", "--toml", "--json")[0] == 2
    assert run("status", "--wait", "4", "--watch")[0] == 2
    assert run("set", name, "--expect", "-1")[0] == 2 and not stub.sets


def test_no_control_node_ends_with_1(run: Run, tmp_path: Path) -> None:
    for words in (("get",), ("status",), ("set", file(tmp_path, "")), ("status", "--wait", "1")):
        code, out = run(*words)
        assert code == 1 and "no control node answers" in out
    missing = str(tmp_path / "none.toml")
    assert main(["control", "serve", "--config", missing]) == 1
    assert main(["control", "init", "--config", missing]) == 1


def test_what_a_node_refuses_is_told(stub: Stub, run: Run, tmp_path: Path) -> None:
    def refuse(asked: Mapping[str, Any]) -> dict[str, Any]:
        raise InvalidRequestError("a change of 40000 bytes; 32768 at the most")

    stub.set = refuse  # type: ignore[method-assign]  # the socket asks by name, below
    with stub_at(stub, tmp_path / "other") as folder:
        assert main(["control", "set", str(folder), file(tmp_path, "")]) == 1


def watcher(name: str, version: int, **changes: object) -> dict[str, object]:
    told = {"name": name, "version": version, "refused_version": 0, "reason": "", "silent_ms": 200}
    return told | changes


def node(name: str, version: int, *watchers: dict[str, object]) -> dict[str, Any]:
    told = {"number": 1, "name": name, "role": "follower", "leader": "c1", "term": 3, "version": version}
    return told | {"commit_index": 9, "age_ms": 100, "watchers": list(watchers)}


def test_status_tells_who_lags_and_why(stub: Stub, run: Run) -> None:
    stub.nodes = [
        node("c1", 7, watcher("n1", 7), watcher("n2", 6, refused_version=7, reason="budgets/rate: floor")),
        node("c2", 7, watcher("n3", 6, silent_ms=41_000), watcher("n4", 6), watcher("n5", 7, silent_ms=9000)),
        {"name": "c3", "is_reachable": False},
        node("c4", 5) | {"fault": "a learner: its folder was not initialised"},
    ]
    code, out = run("status")
    assert code == 0 and out.splitlines() == [
        "version 7: in force at 2 of 5 senders; 3 of 4 control nodes answer",
        "  control node c1           follower  version 7, term 3, 2 senders, a majority 0.1 s ago",
        "  control node c2           follower  version 7, term 3, 3 senders, a majority 0.1 s ago",
        "  control node c3           does not answer",
        "  control node c4           follower  version 5, term 3, 0 senders, a majority 0.1 s ago"
        "; a learner: its folder was not initialised",
        "  sender n2: version 6, refused 7: budgets/rate: floor",
        "  sender n3: version 6, silent for 41.0 s",
        "  sender n4: version 6, on its way",
        "  sender n5: version 7, silent for 9.0 s",
    ]
    code, out = run("status", "--json")
    assert code == 0 and json.loads(out) == {"nodes": stub.nodes}
    code, out = run("status", "--watch", "--times", "2", "--every", "0.1", "--json")
    assert code == 0 and len(out.splitlines()) == 2


def test_a_sender_that_moved_is_told_by_whom_heard_it_last() -> None:
    seen = overview(
        {"nodes": [node("c1", 7, watcher("n1", 6, silent_ms=900)), node("c2", 7, watcher("n1", 7))]}
    )
    (sender,) = seen.senders
    assert (sender.version, sender.node) == (7, "c2") and not seen.lagging(7)


def test_waiting_ends_once_it_is_everywhere(stub: Stub, run: Run) -> None:
    stub.nodes = [node("c1", 7, watcher("n1", 6))]

    def look() -> None:
        if stub.looked == 3:
            stub.nodes = [node("c1", 7, watcher("n1", 7))]

    stub.look = look
    code, out = run("status", "--wait", "7")
    assert code == 0 and out.startswith("version 7 is in force everywhere, at 1 senders, after ")
    assert stub.looked == 3


def test_waiting_ends_with_who_lags_once_the_time_is_over(stub: Stub, run: Run) -> None:
    stub.nodes = [node("c1", 7, watcher("n1", 6, silent_ms=41_000)), {"name": "c2", "is_reachable": False}]
    code, out = run("status", "--wait", "7", "--timeout", "0.1")
    assert code == 1 and out.splitlines()[1:] == [
        "control node c2: does not answer; its senders may not be known",
        "sender n1: version 6, silent for 41.0 s",
    ]
    assert run("status", "--wait", "7", "--timeout", "0.1", "--reachable")[0] == 0
    code, out = run("status", "--wait", "8", "--timeout", "0.1", "--reachable", "--json")
    told = json.loads(out)
    assert code == 1 and told["lagging"] == ["control node c1: version 7"] and not told["is_everywhere"]


def test_the_help_has_examples(capsys: pytest.CaptureFixture[str]) -> None:
    for name in ("serve", "init", "set", "get", "status"):
        assert main(["control", name, "--help"]) == 0
        assert f"message-sender control {name} " in capsys.readouterr().out
