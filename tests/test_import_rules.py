"""Imports within the package follow its layers, without cycles; the daemon imports no optional dependency."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "message_sender"
#: The lowest parts, which most other parts may import.
BASE = {"files", "message", "policy.actions", "policy.events", "policy.limits", "policy.model"}
CONFIGURATION = {"configuration.general", "configuration.resources", "configuration.tables"}
FLEET = {"budget", "journal", "recovery", "fleet"}  # of the standalone sender, imported only if it is enabled
#: The data types of the policy.
POLICY_TYPES = {"policy.model", "policy.events", "policy.actions", "policy.limits"}
#: The other modules of the policy, in order from the lowest layer to the highest.
POLICY_MODULES = (
    "pending_message",
    "outage",
    "breaker_context",
    "breaker",
    "breaker_status",
    "silence",
    "timers",
    "loop_state",
    "list_confirmation",
    "list_polling",
    "urgency",
    "destination",
    "endpoints",
    "pending",
    "inflight",
    "state_transfer",
)
#: The other parts of the package that each part may import; a part never imports a part of a higher layer.
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
    "policy.outage": {"policy.model"},
    "policy.breaker_context": {"policy.model"},
    "policy.breaker": {
        "policy.breaker_context",
        "policy.model",
        "policy.outage",
        "policy.pending_message",
    },
    "policy.breaker_status": {"policy.breaker", "policy.outage"},
    "policy.silence": {"policy.breaker", "policy.outage"},
    "policy.timers": {"policy.breaker"},
    "policy.loop_state": {
        "policy.actions",
        "policy.breaker",
        "policy.breaker_context",
        "policy.breaker_status",
        "policy.model",
    },
    "policy.list_confirmation": {"policy.breaker", "policy.model"},
    "policy.list_polling": {"policy.breaker", "policy.breaker_context", "policy.model"},
    "policy.urgency": {"policy.breaker", "policy.model", "policy.pending_message"},
    "policy.destination": {"policy.breaker", "policy.pending_message", "policy.urgency"},
    **{
        f"policy.{part}": {
            *(f"policy.{each}" for each in POLICY_MODULES[: POLICY_MODULES.index(part)]),
            *POLICY_TYPES,
        }
        for part in ("endpoints", "pending", "inflight", "state_transfer")
    },
    "policy.dispatcher": {*(f"policy.{each}" for each in POLICY_MODULES), *POLICY_TYPES},
    "journal": {*BASE, "policy.outage"},
    "admission": BASE,
    "discovery": BASE,
    "handover": {*BASE, "control_socket", "core"},
    "management": {*BASE, "core"},
    "core": {
        *BASE,
        "journal",
        "policy.breaker",
        "policy.breaker_status",
        "policy.destination",
        "policy.dispatcher",
        "policy.outage",
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
    "http": {*BASE, "admission", "core", "discovery"},
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
        "policy.breaker_status",
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
#: Packages of which each module is a part of its own; any other package is one part.
SPLIT_PACKAGES = ("configuration", "policy")


def part_of_file(file: Path) -> str:
    """Returns the part of the package that a source file belongs to."""
    names = file.relative_to(ROOT).with_suffix("").parts
    return part_of_module([each for each in names if each != "__init__"] or ["__init__"])


def part_of_module(names: list[str]) -> str:
    """Returns the part that a module belongs to; `names` are the components of the module's name."""
    return ".".join(names[:2] if names[0] in SPLIT_PACKAGES else names[:1])


def imported_parts(file: Path) -> set[str]:
    """Returns the parts of the package that a file imports, at its head or in a function."""
    parts = set()
    for node in ast.walk(ast.parse(file.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            names = [f"{node.module}.{each.name}" for each in node.names]
        elif isinstance(node, ast.Import):
            names = [each.name for each in node.names]
        for name in names:
            top, _, rest = name.partition(".")
            if top == "message_sender" and rest:
                parts.add(part_of_module(rest.split(".")))
    return parts


@pytest.mark.parametrize("file", sorted(ROOT.rglob("*.py")), ids=lambda file: str(file.relative_to(ROOT)))
def test_a_module_imports_only_allowed_parts(file: Path) -> None:
    own = part_of_file(file)
    assert imported_parts(file) - {own, "Dispatcher"} <= ALLOWED[own]


def imported_modules(file: Path) -> set[str]:
    """Returns the modules of the package that a file imports, also those for type checking only.

    The result also has the names that are imported from these modules.
    """
    modules = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("message_sender"):
            modules |= {node.module, *(f"{node.module}.{each.name}" for each in node.names)}
    return modules


def test_no_module_is_in_an_import_cycle() -> None:
    paths = {file.relative_to(ROOT).with_suffix("").parts: file for file in ROOT.rglob("*.py")}
    modules = {".".join(("message_sender", *names)): file for names, file in paths.items()}
    remaining = {name: (imported_modules(file) & modules.keys()) - {name} for name, file in modules.items()}
    while independent := {name for name, imports in remaining.items() if not imports & remaining.keys()}:
        remaining = {name: imports for name, imports in remaining.items() if name not in independent}
    assert not remaining, f"import cycle among {sorted(remaining)}"


def test_the_core_and_the_parts_below_it_import_no_protocol() -> None:
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


#: Packages of the optional dependencies.
EXTRAS = {
    "click", "pydantic", "structlog", "numpy", "grpc", "google", "hdrh", "rich", "hypothesis",
    "google_crc32c", "cryptography", "msgspec", "xxhash",
}  # fmt: skip


@pytest.mark.parametrize("module", ["__main__", "start", "service.daemon", "adapter"])
def test_the_daemon_imports_no_extra_and_nothing_of_the_control_plane(module: str) -> None:
    control_modules = "{name for name in sys.modules if (name + '.').startswith('message_sender.control.')}"
    imported = f"{EXTRAS} & set(sys.modules) | {control_modules}"
    code = f"import sys, message_sender.{module}; print(sorted({imported}))"
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, cwd=ROOT.parent, capture_output=True, check=True, text=True)
    assert result.stdout.strip() == "[]"
