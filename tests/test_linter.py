"""The list of packages that are exempt from the newer linter rules may only shrink."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
RULES = ["D", "C90", "SIM", "RET"]
#: The initial exemptions; entries may be removed, but not added.
INITIAL_EXEMPTIONS = {
    "message_sender/__main__.py",
    "message_sender/adapter.py",
    "message_sender/admission/**",
    "message_sender/budget/**",
    "message_sender/cli/**",
    "message_sender/configuration/**",
    "message_sender/control/**",
    "message_sender/control_socket.py",
    "message_sender/core/**",
    "message_sender/discovery/**",
    "message_sender/emulator/**",
    "message_sender/files.py",
    "message_sender/fleet/**",
    "message_sender/grpc/**",
    "message_sender/handover/**",
    "message_sender/http/**",
    "message_sender/journal/**",
    "message_sender/management/**",
    "message_sender/message.py",
    "message_sender/pcap/**",
    "message_sender/policy/**",
    "message_sender/recovery/**",
    "message_sender/service/**",
    "message_sender/start.py",
    "message_sender/testbed/**",
}


def lint_settings() -> dict[str, object]:
    with (ROOT / "pyproject.toml").open("rb") as file:
        lint: dict[str, object] = tomllib.load(file)["tool"]["ruff"]["lint"]
    return lint


def exemptions() -> dict[str, list[str]]:
    ignores = lint_settings()["per-file-ignores"]
    assert isinstance(ignores, dict)
    return {path: rules for path, rules in ignores.items() if path.startswith("message_sender/")}


def test_no_package_was_added_to_the_exemptions() -> None:
    assert exemptions().keys() <= INITIAL_EXEMPTIONS


def test_each_exemption_matches_files_and_covers_only_the_newer_rules() -> None:
    for path, rules in exemptions().items():
        assert list(ROOT.glob(path)), path
        assert set(rules) <= set(RULES), path


def test_the_newer_rules_are_selected() -> None:
    selected = lint_settings()["select"]
    assert isinstance(selected, list) and set(RULES) <= set(selected)
