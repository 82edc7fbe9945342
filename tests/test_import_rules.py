"""Who may know whom: the arrows of the design run downward only, and the daemon imports no extra."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "message_sender"
#: What each part may import of the package, besides itself; the parts above are not in any of these.
BASE = {"files", "message", "policy.actions", "policy.events", "policy.limits", "policy.model"}
CONFIGURATION = {"configuration.general", "configuration.resources", "configuration.tables"}
FLEET = {"budget", "journal", "recovery", "fleet"}  # of a sender of our own, imported where it is asked for
#: The policy's messages, from below, and its parts, from below.
POLICY_TYPES = {"policy.model", "policy.events", "policy.actions", "policy.limits"}
PARTS = (
    "pending_message",
    "breaker",
    "timers",
    "loop_state",
    "list_polling",
    "urgency",
    "destination",
    "endpoints",
    "pending",
    "inflight",
    "state_transfer",
)
ALLOWED: dict[str, set[str]] = {
    "files": set(),
    "message": set(),
    "control_socket": set(),
    "policy": set(),
    "policy.model": set(),
    "policy.events": {"policy.model"},
    "policy.actions": set(),
    "policy.limits": {"policy.model"},
    "policy.pending_message": {"policy.events", "policy.model"},
    "policy.breaker": {"policy.pending_message", "policy.model"},
    "policy.timers": {"policy.breaker"},
    "policy.loop_state": {"policy.actions", "policy.breaker", "policy.model"},
    "policy.list_polling": {"policy.breaker", "policy.model"},
    "policy.urgency": {"policy.breaker", "policy.model", "policy.pending_message"},
    "policy.destination": {"policy.breaker", "policy.pending_message", "policy.urgency"},
    **{
        f"policy.{part}": {*(f"policy.{each}" for each in PARTS[: PARTS.index(part)]), *POLICY_TYPES}
        for part in ("endpoints", "pending", "inflight", "state_transfer")
    },
    "policy.dispatcher": {*(f"policy.{each}" for each in PARTS), *POLICY_TYPES},
    "journal": BASE,
    "admission": BASE,
    "discovery": BASE,
    "handover": {*BASE, "control_socket", "core"},
    "management": {*BASE, "core"},
    "core": {
        *BASE,
        "journal",
        "policy.breaker",
        "policy.destination",
        "policy.dispatcher",
        "policy.pending_message",
        "policy.state_transfer",
    },
    "configuration": set(),
    "configuration.tables": set(),
    "configuration.settings": {"policy.model"},
    "configuration.resources": {"configuration.tables", "discovery", "policy.model"},
    "configuration.sender_config": {"configuration.resources", "discovery", "policy.model"},
    "configuration.general_tables": {
        "configuration.resources",
        "configuration.sender_config",
        "configuration.tables",
        "discovery",
        "policy.model",
    },
    "configuration.general": {
        "configuration.general_tables",
        "configuration.resources",
        "configuration.sender_config",
        "configuration.tables",
        "discovery",
    },
    "control": {
        "configuration.resources",
        "configuration.tables",
        "control_socket",
        "discovery",
        "files",
        "fleet",
        "journal",
        "policy.model",
    },
    "http": {*BASE, "admission", "core"},
    "grpc": {*BASE, "configuration.general", "core", "discovery", "journal"},
    "service": {
        *BASE,
        *CONFIGURATION,
        *FLEET,
        "control",
        "control_socket",
        "core",
        "discovery",
        "handover",
        "http",
        "management",
        "policy.state_transfer",
    },
    "recovery": {*BASE, "fleet", "journal"},
    "fleet": {"files"},
    "testbed": {
        *BASE,
        "configuration.general",
        "control",
        "control_socket",
        "core",
        "discovery",
        "grpc",
        "http",
        "journal",
        "service",
    },
    "adapter": {"configuration.settings", "policy.dispatcher", *POLICY_TYPES},
    "budget": {"fleet"},
    "emulator": {
        *BASE,
        *FLEET,
        "configuration.general",
        "configuration.resources",
        "configuration.tables",
        "core",
        "discovery",
        "http",
        "policy.dispatcher",
        "service",
        "testbed",
    },
    "pcap": {"http"},  # patterns of its fast path
    "cli": {
        "configuration.general",
        "configuration.tables",
        "control",
        "control_socket",
        "core",
        "discovery",
        "emulator",
        "journal",
        "pcap",
        "service",
        "testbed",
    },
    "start": {"configuration.settings", "core", "handover", "http", "management", "service"},
    "__main__": {"cli", "start"},
    "__init__": {"policy.dispatcher"},
}
#: Packages whose modules are parts by themselves.
PARTED = ("configuration", "policy")


def part(file: Path) -> str:
    parts = file.relative_to(ROOT).with_suffix("").parts
    return part_of([each for each in parts if each != "__init__"] or ["__init__"])


def part_of(names: list[str]) -> str:
    """A package is one part, but for those whose modules are parts by themselves."""
    return ".".join(names[:2] if names[0] in PARTED else names[:1])


def imported(file: Path) -> set[str]:
    """The parts of the package that a file imports, wherever it does."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            names = [f"{node.module}.{each.name}" for each in node.names]
        elif isinstance(node, ast.Import):
            names = [each.name for each in node.names]
        for name in names:
            top, _, rest = name.partition(".")
            if top == "message_sender" and rest:
                found.add(part_of(rest.split(".")))
    return found


@pytest.mark.parametrize("file", sorted(ROOT.rglob("*.py")), ids=lambda file: str(file.relative_to(ROOT)))
def test_arrows_run_downward(file: Path) -> None:
    own = part(file)
    assert imported(file) - {own, "Dispatcher"} <= ALLOWED[own]


def modules(file: Path) -> set[str]:
    """The modules of the package that a file names in its imports, also those for types alone."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("message_sender"):
            found |= {node.module, *(f"{node.module}.{each.name}" for each in node.names)}
    return found


def test_no_module_is_in_a_circle_of_imports() -> None:
    files = {file.relative_to(ROOT).with_suffix("").parts: file for file in ROOT.rglob("*.py")}
    names = {".".join(("message_sender", *parts)): file for parts, file in files.items()}
    known = {name: (modules(file) & names.keys()) - {name} for name, file in names.items()}
    while free := {name for name, below in known.items() if not below & known.keys()}:
        known = {name: below for name, below in known.items() if name not in free}
    assert not known, f"a circle among {sorted(known)}"


def test_the_core_and_what_is_below_it_know_no_protocol() -> None:
    for name in (
        "core",
        "journal",
        "discovery",
        "policy.dispatcher",
        "policy.model",
        "policy.events",
        "message",
    ):
        assert not ALLOWED[name] & {"http", "grpc", "service", "testbed", "cli"}


EXTRAS = {
    "click", "pydantic", "structlog", "numpy", "grpc", "google", "hdrh", "rich", "hypothesis",
    "google_crc32c", "cryptography", "msgspec", "xxhash",
}  # fmt: skip


@pytest.mark.parametrize("module", ["__main__", "start", "service.daemon", "adapter"])
def test_the_daemon_imports_no_extra_and_nothing_of_the_control_plane(module: str) -> None:
    control = "{name for name in sys.modules if (name + '.').startswith('message_sender.control.')}"
    found = f"{EXTRAS} & set(sys.modules) | {control}"
    code = f"import sys, message_sender.{module}; print(sorted({found}))"
    words = [sys.executable, "-c", code]
    out = subprocess.run(words, cwd=ROOT.parent, capture_output=True, check=True, text=True)
    assert out.stdout.strip() == "[]"
