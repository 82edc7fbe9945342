"""Samples of names that leave the process but are in no sample of samples.py.

These are the keys of settings, the lines of the adapter and of traces, commands, and fields of reports. Each
function in OUTWARD_SAMPLES makes one sample; the recorded ones are in `recorded/` as well.
"""

import dataclasses
import inspect
import io
import json
import tempfile
from collections.abc import Callable, Iterator
from enum import Enum
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Literal, Union, get_args, get_origin

from pydantic import BaseModel

from message_sender import start
from message_sender.adapter import Adapter
from message_sender.configuration.general_tables import GeneralTable
from message_sender.control.configuration import NodeFile
from message_sender.control.operators import OperatorCommands
from message_sender.control.schema import ConfigurationTable
from message_sender.core import inventory
from message_sender.discovery.file import LAST_GOOD_FILE, row_from_endpoint
from message_sender.discovery.static import StaticEndpoint
from message_sender.emulator.experiment import RunResult
from message_sender.emulator.scenario import Scenario
from message_sender.emulator.search import Found
from message_sender.emulator.trace import encode_trace
from message_sender.fleet import udp
from message_sender.policy.model import Endpoint, EndpointState
from message_sender.service import control_link
from message_sender.service.standalone_commands import StandaloneCommands
from message_sender.testbed import event_stream, history
from message_sender.testbed.history_checker import Violation

from helpers import ENV, World, endpoint  # isort: skip

Sample = dict[str, bytes]
PLAIN_TYPES = (bool, int, float, str)
HISTORY_EVENTS: tuple[history.HistoryEvent, ...] = (
    history.MessageAdmitted(1.0, "m1", "keyed", 3, 2.0, "k1", "n0"),
    history.MessageRejected(1.5, "m2"),
    history.AttemptStarted(2.0, "m1", "e1", 7, "n0"),
    history.AttemptFinished(2.5, 7, history.EffectApplied.MAYBE, 0.25),
    history.MessageCompleted(3.0, "m1", "delivered"),
    history.EndpointDrained(3.5, "e1", "n0"),
    history.EndpointRestored(4.0, "e1", "n0"),
    history.SenderRestarted(4.5, "n0", 5.0),
)
ADAPTER_LINES = (
    "sync wall=1000 seq=1",
    f"power_on who=sender-0 nonce64=5 env={json.dumps(ENV)}",
    f"power_on who=sender-1 nonce64=6 env={json.dumps(ENV)}",
    "sheet table=0 elements=2",
    "receiver receiver=10.0.0.1:1 destination=3 state=1 scale=1 generation_hw=k dc=z",
    "receiver receiver=10.0.0.2:1 destination=4 state=2 scale=2 generation_hw=k dc=y",
    "view who=sender-0 how=2 seq_no=1 table=0",
    "view who=sender-1 how=3 seq_no=1",
    "req who=sender-0 ref=a service=c time_left=8000000 dest=3 bitmap=0 customer=t path_key=k",
    "req who=sender-0 ref=b service=c time_left=9000 dest=4 bitmap=2",
    "req who=sender-0 ref=d service=c time_left=8000000 dest=3 bitmap=1",
    "req who=sender-1 ref=c service=c time_left=8000000 dest=3 bitmap=0",
    "whisper who=sender-0",
    "over_to_you",
    "sync wall=9000 seq=2",
    "answer who=sender-0 ref=a go=0 receiver=10.0.0.1:1 outcome=RESOURCE_EXHAUSTED note=30 lag=5 finished=0",
    "answer who=sender-0 ref=d go=0 receiver=10.0.0.1:1 outcome=INTERNAL lag=5 finished=0",
    "reminder who=sender-1 handle=0",
    "lapsed who=sender-1 ref=c",
    "over_to_you",
    *(
        line
        for seq, wall in enumerate(range(50_000, 21_000_000, 500_000), 3)
        for line in (
            f"sync wall={wall} seq={seq}", "reminder who=sender-0 handle=0", "over_to_you"
        )
    ),
    "sync wall=21000000 seq=90",
    "destroy who=sender-1",
    "over_to_you",
)  # fmt: skip


def describe_type(annotation: Any) -> object:  # noqa: ANN401
    """Returns the type of a setting: plain types by name, choices as a list, tables by their keys."""
    if inspect.isclass(annotation) and issubclass(annotation, BaseModel):
        return describe_table(annotation)
    origin, parts = get_origin(annotation), get_args(annotation)
    if origin is Literal:
        return sorted(parts)
    if origin in (tuple, dict, Union, UnionType):
        kind = {tuple: "list of", dict: "table of"}.get(origin, "one of")
        return {kind: [describe_type(each) for each in parts if each is not Ellipsis]}
    if parts:
        return describe_type(parts[0])  # Annotated
    return annotation.__name__ if annotation in (*PLAIN_TYPES, NoneType) else "value"


def describe_table(table: type[BaseModel]) -> dict[str, object]:
    """Returns the keys of a table, each with its type, its default if plain, and whether it is required."""
    described: dict[str, object] = {}
    for name, field in table.model_fields.items():
        default = field.default if isinstance(field.default, PLAIN_TYPES) else None
        described[field.alias or name] = [describe_type(field.annotation), default, field.is_required()]
    return described


def encode_json(value: object) -> bytes:
    return json.dumps(value, indent=1, sort_keys=True).encode()


def settings_keys() -> Sample:
    """The keys of all TOML files."""
    tables = {
        "sender": GeneralTable, "control-node": NodeFile, "control-document": ConfigurationTable,
        "scenario": Scenario,
    }  # fmt: skip
    return {f"{name}.json": encode_json(describe_table(table)) for name, table in tables.items()}


def environment() -> Sample:
    """The environment variables of the platform sender."""
    variables = (
        start.CONFIG_VARIABLE, start.STATE_VARIABLE, start.MANAGEMENT_VARIABLE, start.LISTENER_VARIABLE,
    )  # fmt: skip
    return {"variables.json": encode_json(variables)}


def adapter_lines() -> Sample:
    """The lines that the simulator's adapter writes for a fixed input."""
    output = io.StringIO()
    Adapter(io.StringIO("\n".join(ADAPTER_LINES) + "\n"), output).run()
    return {"output": output.getvalue().encode()}


def event_stream_names() -> Sample:
    """The types in recorded event streams, with their fields or values."""
    names: dict[str, object] = {}
    for name, each in event_stream.TYPES.items():
        if issubclass(each, Enum):
            names[name] = [value.value for value in each]
        else:
            fields = (field.name for field in dataclasses.fields(each))
            names[name] = [event_stream.RECORDED_FIELDS.get(field, field) for field in fields]
    return {"types.json": encode_json(names)}


def trace_lines() -> Sample:
    """The lines of a trace, one for each kind of history event."""
    return {"trace": "\n".join(encode_trace(HISTORY_EVENTS)).encode()}


def search_lines() -> Sample:
    """The reports that a search and an experiment write for each run."""
    found = Found(5, [Violation("order", 1.5, "text")], "", {"delivered": 2}, 3, 4, 5)
    result = RunResult("key", {"goodput": 0.5}, ["order"], "")
    return {"found.json": encode_json(dataclasses.asdict(found)), "result": result.line().encode()}


def command_names() -> Sample:
    """The commands of the control sockets, of a sender and of a control node."""
    owner: Any = None  # not used: the commands are listed, not called
    commands = {"sender": StandaloneCommands(owner).by_name(), "node": OperatorCommands(owner).commands()}
    return {"commands.json": encode_json({name: sorted(each) for name, each in commands.items()})}


def state_files() -> Sample:
    """Files of the state folder that are in no sample of samples.py: epoch, destinations, last valid list."""

    def make_files(folder: Path) -> Iterator[tuple[str, bytes]]:
        world = World(endpoint("a"))
        world.accept()
        control_link.write_epoch(folder, 3)
        yield control_link.EPOCH_FILE, (folder / control_link.EPOCH_FILE).read_bytes()
        path = inventory.write(world.dispatcher, world.now, folder)
        content = json.loads(path.read_text())
        for each in content["destinations"]:
            each["bytes"] = 0  # depends on the interpreter
        yield path.name, encode_json(content)
        static_endpoint = StaticEndpoint(Endpoint("e1", 3, EndpointState.READY, "k", "z"), ("10.0.0.1", 80))
        yield LAST_GOOD_FILE, encode_json(row_from_endpoint(static_endpoint))
        yield "names.json", encode_json({"fleet": udp.EPOCH_FILE})

    with tempfile.TemporaryDirectory() as name:
        return dict(make_files(Path(name)))


OUTWARD_SAMPLES: tuple[Callable[[], Sample], ...] = (
    settings_keys, environment, adapter_lines, event_stream_names, trace_lines, search_lines, command_names,
    state_files,
)  # fmt: skip
