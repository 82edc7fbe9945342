"""The general configuration: all faults are reported together, each with its path."""

import copy
from pathlib import Path
from typing import Any

import pytest

from message_sender.cli import main
from message_sender.configuration.general import ConfigError, load, read
from message_sender.policy.model import Effect, EndpointState

VALID: dict[str, Any] = {
    "name": "n",
    "listen": "127.0.0.1:8080",
    "state": "state",
    "classes": {
        "command": {"effect": "keyed", "aim_ms": 4000, "deadline_ms": 20000, "window_ms": 5000}
        | {"in_order": True}
    },
    "endpoints": [
        {"id": "a", "destination": 1, "dial": "127.0.0.1:9001", "zone": "x"},
        {"id": "b", "destination": 1, "dial": "[::1]:9002", "state": "draining", "own_limit": True},
    ],
    "limits": {"slots": 8, "disk_mb": 3},
    "rules": {"key_quiet_ms": 100, "rates_told": True},
    "tenants": {"acme": 5},
    "fleet": {"listen": "127.0.0.1:7701", "key_file": "key", "size": 5},
    "budgets": [
        {"name": "hub", "of": "calls", "destination": 1, "whole": "told", "per_ms": 1000},
        {"name": "out", "of": "in_flight", "destination": "each", "whole": 8, "floor": 1},
        {"name": "acme", "of": "tenant", "tenant": "acme", "whole": 50, "per_ms": 1000},
    ],
}


def test_a_valid_configuration_is_read_completely(tmp_path: Path) -> None:
    config = read(VALID, tmp_path)
    (command,) = config.settings.classes
    assert (command.effect, command.latency_objective, command.idempotency_window) == (
        Effect.KEYED,
        4_000_000,
        5_000_000,
    )
    assert config.state == tmp_path / "state" and config.disk_bytes == 3_000_000
    assert config.settings.slots == 8 and config.settings.tenants == (("acme", 5.0),)
    assert config.settings.key_pause == 100_000 and config.settings.announces_rates
    assert [each.dial for each in config.endpoints] == [("127.0.0.1", 9001), ("::1", 9002)]
    assert config.endpoints[1].endpoint.state is EndpointState.DRAINING
    assert config.endpoints[1].endpoint.kind == "apart"


FAULTS: list[tuple[list[Any], Any, str]] = [
    (["listen"], "here", "listen: must be host:port, not 'here'"),
    (["listen"], "h:99999", "listen: must be host:port, not 'h:99999'"),
    (["name"], 7, "name: must be a string, not 7"),
    (["seed"], -1, "seed: must be from 0 to 9223372036854775808, not -1"),
    (["nmae"], "n", "nmae: is not a known key"),
    (["classes"], {}, "classes: must define at least one class"),
    (["classes", "command"], 1, "classes.command: must be a table"),
    (["classes", "command", "effect"], "twice", "effect: must be one of safe, keyed, unsafe, not 'twice'"),
    (["classes", "command", "aim_ms"], None, "classes.command.aim_ms: is missing"),
    (["classes", "command", "aim_ms"], True, "classes.command.aim_ms: must be a number, not True"),
    (
        ["classes", "command", "aim_ms"],
        30000,
        "classes.command.aim_ms: must be at most deadline_ms (20000), not 30000",
    ),
    (["classes", "command", "window_ms"], 0, "classes.command.window_ms: must be above 0 for a keyed class"),
    (["classes", "command", "widnow_ms"], 1, "classes.command.widnow_ms: is not a known key"),
    (["endpoints", 0, "dial"], "nowhere", "endpoints[0].dial: must be host:port"),
    (["endpoints", 1, "id"], "a", "endpoints[1].id: 'a' is listed twice"),
    (["endpoints", 1, "id"], "", "endpoints[1].id: must not be empty"),
    (["endpoints", 1], "b", "endpoints[1]: must be a table"),
    (["endpoints", 1, "state"], "gone", "endpoints[1].state: must be one of ready, draining"),
    (["endpoints", 0, "destination"], -3, "endpoints[0].destination: must be from 0"),
    (["limits", "slots"], 0, "limits.slots: must be from 1"),
    (["limits", "slot"], 3, "limits.slot: is not a known key"),
    (["limits", "disk_mb"], "much", "limits.disk_mb: must be a number, not 'much'"),
    (["rules", "cold_from"], 2, "rules.cold_from: must be from 0.01 to 1, not 2"),
    (["rules"], [], "rules: must be a table, not []"),
    (["budgets", 0, "whole"], -1, "budgets[0].whole: must be a whole number from 1 to 1000000000 or"),
    (["budgets", 0, "whole"], 0.5, "budgets[0].whole: must be a whole number"),
    (["budgets", 0, "whole"], None, "budgets[0].whole: is required, or share for repeats; got neither"),
    (["budgets", 0, "of"], "calsl", "budgets[0].of: must be one of calls, in_flight, trials, repeats"),
    (["budgets", 0, "per_ms"], None, "budgets[0].per_ms: is required with of = 'calls', which limits a rate"),
    (["budgets", 0, "destination"], None, "budgets[0].destination: exactly one destination, endpoint"),
    (
        ["budgets", 0, "name"],
        "a b",
        "budgets[0].name: must be 1 to 48 letters, digits, dots and dashes, not 'a b'",
    ),
    (["budgets", 1, "per_ms"], 100, "budgets[1].per_ms: is not allowed with of = 'in_flight', which"),
    (["budgets", 1, "whole"], "told", 'budgets[1].whole: "told" requires calls of a destination, not'),
    (["budgets", 1, "floor"], 2, "budgets[1].floor: must be at most 1 (a whole of 8 in a fleet of 5), not 2"),
    (["budgets", 1, "name"], "hub", "budgets[1].name: 'hub' is listed twice"),
    (["budgets", 2, "tenant"], None, "budgets[2].destination: exactly one tenant is required"),
    (
        ["budgets", 2],
        {"name": "b", "of": "calls", "destination": 1, "whole": 3, "per_ms": 50},
        "another budget also limits",
    ),
    (
        ["budgets", 0, "share"],
        0.1,
        "budgets[0].whole: is required, or share for repeats; got whole and share",
    ),
    (
        ["budgets", 0, "endpoint"],
        "a",
        "budgets[0].endpoint: exactly one destination, endpoint or zone is required",
    ),
    (["budgets", 2, "destination"], 1, "budgets[2].tenant: exactly one tenant is required"),
    (["budgets", 1, "of"], "list", "budgets[1].of: must be one of calls"),
    (["fleet"], None, "budgets: require a [fleet] table"),
    (["tenants", "acme"], "x", "tenants.acme: must be a number"),
]


def with_changes(*changes: tuple[list[Any], Any]) -> dict[str, Any]:
    """Returns a copy of `VALID` with the values at the paths replaced; None deletes a value."""
    values = copy.deepcopy(VALID)
    for path, value in changes:
        table: Any = values
        for key in path[:-1]:
            table = table[key]
        if value is None:
            del table[path[-1]]
        else:
            table[path[-1]] = value
    return values


@pytest.mark.parametrize(("path", "value", "text"), FAULTS, ids=lambda each: str(each)[:40])
def test_a_fault_is_reported_with_its_path(path: list[Any], value: Any, text: str) -> None:  # noqa: ANN401
    with pytest.raises(ConfigError) as error:
        read(with_changes((path, value)))
    assert any(text in str(each) for each in error.value.faults), error.value.faults


def test_all_faults_are_reported_together() -> None:
    changes = [(["listen"], "x"), (["classes", "command", "aim_ms"], 0), (["endpoints", 0, "dial"], 7)]
    with pytest.raises(ConfigError) as error:
        read(with_changes(*changes, (["limits", "slots"], -1), (["extra"], 1)))
    assert {each.path for each in error.value.faults} == {
        "listen",
        "classes.command.aim_ms",
        "endpoints[0].dial",
        "limits.slots",
        "extra",
    }


CONTROL: dict[str, Any] = {
    "nodes": [
        {"name": "c1", "address": "127.0.0.1:7801", "region": "north"},
        {"name": "c2", "address": "[::1]:7802"},
    ],
    "key_file": "control.key",
    "region": "north",
}


def test_the_control_plane_settings_are_read_completely(tmp_path: Path) -> None:
    control = read({**VALID, "control": CONTROL}, tmp_path).control
    assert control and [each.address for each in control.nodes] == [("127.0.0.1", 7801), ("::1", 7802)]
    assert [each.region for each in control.nodes] == ["north", ""]
    assert control.key_file == tmp_path / "control.key" and control.listen == ("0.0.0.0", 0)
    assert read(VALID).control is None


def test_all_faults_of_the_control_plane_are_reported_together() -> None:
    node = {"name": "c1", "address": "127.0.0.1:7801"}
    nodes = [node, node, {"name": "c 3", "address": "here"}, {"name": "c4", "address": "h:0", "zone": "x"}]
    with pytest.raises(ConfigError) as error:
        read({**VALID, "control": {"nodes": nodes, "listen": 7, "keys": "x"}})
    assert sorted(map(str, error.value.faults)) == [
        "control.key_file: is missing",
        "control.keys: is not a known key",
        "control.listen: must be a string, not 7",
        "control.nodes[2].address: must be host:port, not 'here'",
        "control.nodes[2].name: must be 1 to 64 letters, digits, dots and dashes, not 'c 3'",
        "control.nodes[3].zone: is not a known key",
    ]
    nodes = [node, node, {"name": "c4", "address": "h:0"}]
    with pytest.raises(ConfigError) as error:
        read({**VALID, "name": "n" * 65, "control": {"nodes": nodes, "key_file": "x"}})
    assert sorted(map(str, error.value.faults)) == [
        "control.nodes[1].address: 127.0.0.1:7801 is listed twice",
        "control.nodes[1].name: 'c1' is listed twice",
        "control.nodes[2].address: must have a port above 0, not 0",
    ]
    for changes, text in (
        (
            {"name": "n" * 65, "control": CONTROL},
            "name: must have at most 64 characters with [control], not 65",
        ),
        (
            {"name": "c1", "control": CONTROL},
            "name: must differ from the names of control nodes, not 'c1': that node would treat its own "
            "disk as outdated",
        ),
        (
            {"control": CONTROL | {"nodes": [{"name": "c1", "address": "control-1.example:7801"}]}},
            "control.nodes[0].address: must be an IP address and a port: a name would be looked up on the "
            "event loop for each datagram",
        ),
        ({"control": CONTROL | {"nodes": []}}, "control.nodes: must list at least one control node"),
    ):
        with pytest.raises(ConfigError) as error:
            read({**VALID, **changes})
        assert [str(each) for each in error.value.faults] == [text]


def test_check_prints_all_faults_and_exits_with_1(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "c.toml"
    file.write_text('listen = "x"\nslots = 3\n')
    assert main(["check", str(file)]) == 1
    out = capsys.readouterr().out
    assert out.splitlines() == [
        "listen: must be host:port, not 'x'",
        "classes: must define at least one class",
        "slots: is not a known key",
    ]
    file.write_text("no toml")
    assert main(["check", str(file)]) == 1 and str(file) in capsys.readouterr().out
    assert main(["check", str(tmp_path / "nothing")]) == 1


@pytest.mark.parametrize("name", ["serve.toml", "grpc.toml", "fleet.toml", "controlled.toml"])
def test_the_example_configurations_in_deploy_are_valid(name: str) -> None:
    assert load(Path(__file__).parent.parent / "deploy" / name).endpoints


def test_a_demo_shortened_to_a_tenth_breaks_no_rule(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["demo", "--pace", "0.1", "--plain"]) == 0
    out = capsys.readouterr().out
    assert "history check: no violations" in out and "phase recovery" in out
    assert main(["demo", "--pace", "9"]) == 2


def test_a_demo_with_a_broken_rule_exits_with_1(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from message_sender.testbed import demo
    from message_sender.testbed.history_checker import Violation

    async def run_with_violation(self: object, show: object) -> list[Violation]:
        return [Violation("order", 1.0, "forged")]

    monkeypatch.setattr(demo.Demo, "run", run_with_violation)
    assert main(["demo", "--plain"]) == 1 and "violation: order: forged" in capsys.readouterr().out
