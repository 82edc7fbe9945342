"""A sender with a `[control]` table: its resources, SIGHUP, and budget changes that need a restart."""

import asyncio
import io
import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from peers import run_async_test
from sender_files import FLEET, SENDER, control_section, write_sender

from message_sender.configuration.general import load
from message_sender.configuration.resources import SharedBudget
from message_sender.control import schema
from message_sender.control.document import Document
from message_sender.control.document_file import DocumentFile
from message_sender.control.messages import Delta, Resource
from message_sender.control_socket import send_request
from message_sender.core.hooks import HookChain
from message_sender.emulator.budget_links import LinkHub
from message_sender.journal.disk import SystemDisk
from message_sender.policy.model import DestinationKind, Endpoint, EndpointState
from message_sender.service.control_configuration import IN_FORCE_FILE
from message_sender.service.standalone import CompletionWriter, StandaloneSender, reload_configuration
from message_sender.testbed.in_process_sender import running

ROOT = Path(__file__).parent.parent
US = 1_000_000
CONTROL = control_section({"c1": 9})
STORED = schema.read_values({"endpoints/held": {"destination": 1, "dial": "127.0.0.1:2"}})


def make_sender(file: Path, state: Path) -> StandaloneSender:
    return StandaloneSender(load(file), state, CompletionWriter(io.StringIO()))


SENDER_PROGRAM = """
import asyncio, io, sys
from pathlib import Path
from message_sender.configuration.general import load
from message_sender.service.standalone import CompletionWriter, StandaloneSender, reload_configuration
from message_sender.testbed.in_process_sender import running

async def main(file, state):
    sender = StandaloneSender(load(file), state, CompletionWriter(io.StringIO()))
    async with running(sender):
        reload_configuration(sender, file)
        assert sender.commands()["control"]({}) == {}

asyncio.run(main(Path(sys.argv[1]), Path(sys.argv[2])))
print(sorted(name for name in sys.modules if "control" in name and name.startswith("message_sender")))
"""


def test_without_a_control_table_no_part_of_it_is_imported_opened_or_written(tmp_path: Path) -> None:
    file = write_sender(tmp_path, SENDER)
    state = tmp_path / "state"
    state.mkdir()
    command = [sys.executable, "-c", SENDER_PROGRAM, str(file), str(state)]
    out = subprocess.run(command, cwd=ROOT, capture_output=True, check=True, text=True)
    assert out.stdout.strip() == "['message_sender.control_socket']"
    assert not [each.name for each in state.iterdir() if each.name.startswith("control.")]


@run_async_test
async def test_a_start_and_sighup_keep_the_configuration_of_the_control_plane(state: Path) -> None:
    file = write_sender(state, SENDER + CONTROL)
    DocumentFile(state / IN_FORCE_FILE, SystemDisk()).store(Document(7, STORED))
    sender = make_sender(file, state)
    async with running(sender):
        assert sender.dial_addresses() == {"held": ("127.0.0.1", 2)}
        file.write_text((SENDER + CONTROL).replace('"own"', '"new"'))
        reload_configuration(sender, file)
        assert sender.dial_addresses() == {"held": ("127.0.0.1", 2)}
        assert set(sender.engine.dispatcher.endpoints) == {"held"}
        status = (await asyncio.to_thread(send_request, state, {"do": "control"}))["value"]
        assert (status["version"], status["endpoints_from"], status["budgets_from"]) == (
            7,
            "control plane",
            "own file",
        )
        assert (status["refused_version"], status["node"], status["fault"]) == (0, "c1", "")
    assert json.loads((state / "control.epoch").read_text()) == 1


@run_async_test
async def test_sighup_reads_the_file_while_the_control_plane_has_no_endpoints(state: Path) -> None:
    file = write_sender(state, SENDER + CONTROL)
    sender = make_sender(file, state)
    async with running(sender):
        assert set(sender.dial_addresses()) == {"own"}
        file.write_text((SENDER + CONTROL).replace('"own"', '"new"'))
        reload_configuration(sender, file)
        assert set(sender.dial_addresses()) == {"new"}


@run_async_test
async def test_without_a_key_the_last_version_stays_active_and_the_status_has_the_fault(state: Path) -> None:
    file = write_sender(state, SENDER + CONTROL)
    (state / "control.key").unlink()
    DocumentFile(state / IN_FORCE_FILE, SystemDisk()).store(Document(7, STORED))
    sender = make_sender(file, state)
    async with running(sender):
        assert set(sender.dial_addresses()) == {"held"}
        status = sender.commands()["control"]({})
        assert status["version"] == 7 and "control.key" in status["fault"]
        reload_configuration(sender, file)
        assert set(sender.dial_addresses()) == {"held"}


@run_async_test
async def test_each_start_has_a_higher_epoch(state: Path) -> None:
    file = write_sender(state, SENDER + CONTROL)
    for number in (1, 2):
        sender = make_sender(file, state)
        async with running(sender):
            assert sender.control_plane and sender.control_plane.link
            assert sender.control_plane.link.channel.epoch == number


@run_async_test
async def test_the_first_budget_can_be_added_while_the_sender_runs(state: Path) -> None:
    sender = make_sender(write_sender(state, SENDER + CONTROL + FLEET), state)
    async with running(sender):
        assert sender.control_plane and sender.membership and sender.membership.budgets
        configuration = sender.control_plane.configuration
        resources = schema.read_values({"budgets/out": {"of": "in_flight", "destination": 1, "whole": 8}})
        document = configuration.document
        put = tuple(Resource(*each) for each in resources.items())
        configuration.apply(document, Delta(0, 1, put, (), document.digest_after(put, ())))
        assert sender.membership.budgets.manager.ledgers["out"].budget.limit == 8
        endpoint = sender.directory.endpoints()[0]
        assert sender.membership.budgets.registry.budgets_of(endpoint).calls == ["out"]


def test_changes_that_need_a_restart_are_those_that_configure_delays(
    caplog: pytest.LogCaptureFixture,
) -> None:
    listed = Endpoint("e", 3, EndpointState.READY, "plain", "", 8.0)
    destination = SimpleNamespace(pending={}, endpoints=[SimpleNamespace(listed=listed)], breakers=())
    registry = SimpleNamespace(kinds={"plain": DestinationKind()}, recheck_destination=lambda number: None)
    endpoints = {"e": destination.endpoints[0]}
    dispatcher = SimpleNamespace(endpoints=endpoints, destinations={3: destination}, registry=registry)
    engine: Any = SimpleNamespace(
        dispatcher=dispatcher, post=lambda event: None, transport=None, hooks=HookChain()
    )
    links = LinkHub(lambda: 0.0, lambda *_args: None, 1, US, 0.0, 1)
    links.join("n0", engine, 1)
    _, budgets = links.ends["n0"]
    definitions = tuple(budgets.registry.definitions.values())
    calls = SharedBudget("calls", "calls", "destination", 3, 10, None, US, 0, US, 0, 0)
    budgets.configure((*definitions, calls), 1)

    def reasons(*changed: SharedBudget) -> list[str]:
        """Returns the reasons for a restart; checks that they match the logged delays."""
        found_reasons = budgets.changes_for_next_start((*definitions, *changed))
        caplog.clear()
        budgets.configure((*definitions, *changed), 1)
        is_changed = "budget change waits for the next start: budget=" in caplog.text
        is_delayed = is_changed or "removed budget applies until the next start: budget=" in caplog.text
        assert bool(found_reasons) == is_delayed
        return found_reasons

    assert reasons(calls) == [] and reasons(replace(calls, limit=4)) == []
    assert reasons(replace(calls, floor=1, lease_us=2 * US, window_us=2 * US)) == [
        "budgets/calls: per_ms, floor, lease_ms cannot change before the next start"
    ]
    assert reasons(replace(calls, binding="zone", value="z")) == [
        "budgets/calls: kind of binding, bound value cannot change before the next start"
    ]
    assert reasons() == ["budgets/calls: cannot be removed before the next start"]
    new = replace(calls, name="new", resource="in_flight", window_us=None)
    assert reasons(calls, new) == [] and len(reasons()) == 2
