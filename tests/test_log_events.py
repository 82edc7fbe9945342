"""Each event of the log is in docs/operate/log-events.md with its level, and the page has no other.

The sources are read as syntax trees. An event is the text of a log call, with `…` for each value.
"""

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

import pytest
from peers import World, run_async_test
from socket_faults import next_iteration

ROOT = Path(__file__).parent.parent
SOURCES = ROOT / "message_sender"
PAGE = ROOT / "docs" / "operate" / "log-events.md"

#: The level that a method of a logger prints.
LEVELS = {level: level for level in ("debug", "info", "warning", "error", "critical")} | {
    "exception": "error"
}
LOGGER_NAMES = {"log", "_log", "logger", "_logger", "logging"}
VALUE = "…"
CONVERSION = re.compile(r"%(?:\(\w+\))?[-#0 +]*(?:\d+|\*)?(?:\.(?:\d+|\*))?[diouxXeEfFgGcrsa%]")
TABLE_HEAD = ("| Event | Level | Meaning | What to do |", "| --- | --- | --- | --- |")
SECTION = re.compile(r"^## `([a-z_]+)`$")
ROW = re.compile(r"^\| `([^`]+)` \| ([a-z]+) \| ([^|]+) \| ([^|]+) \|$")


class LogEvent(NamedTuple):
    """An event that a package logs."""

    package: str
    level: str
    text: str


def replace_values(text: str) -> str:
    """The text of a format with `…` for each conversion."""
    return CONVERSION.sub(lambda match: "%" if match.group().endswith("%") else VALUE, text)


def event_text(node: ast.expr) -> str:
    """The text of a call's format.

    Raises:
        ValueError: If the format is not made of literals.
    """
    match node:
        case ast.Constant(value=str(text)):
            return replace_values(text)
        case ast.JoinedStr(values=values):
            return "".join(event_text(value) for value in values)
        case ast.FormattedValue():
            return VALUE
        case ast.BinOp(left=left, op=ast.Add(), right=right):
            return event_text(left) + event_text(right)
    raise ValueError(f"line {node.lineno}: the format of a log call is not a literal")


def receiver_name(node: ast.expr) -> str:
    """The last name of the expression before a method's name; empty if it is no name."""
    match node:
        case ast.Name(id=name) | ast.Attribute(attr=name):
            return name
    return ""


def is_logger(node: ast.expr) -> bool:
    """Whether an expression is a logger: by its name, or a call of `getLogger`."""
    if isinstance(node, ast.Call):
        return receiver_name(node.func) == "getLogger"
    return receiver_name(node) in LOGGER_NAMES


def log_events(source: str, package: str) -> Iterator[LogEvent]:
    """The events of the log calls in a module.

    Raises:
        ValueError: If the format or the level of a call is not a literal.
    """
    for node in ast.walk(ast.parse(source)):
        match node:
            case ast.Call(func=ast.Attribute(value=logger, attr=level), args=[text, *_]) if is_logger(logger):
                if level == "log":
                    raise ValueError(f"line {node.lineno}: a log call without a literal level")
                if level in LEVELS:
                    yield LogEvent(package, LEVELS[level], event_text(text))


def package_of(file: Path) -> str:
    """The package that a source file belongs to, or its own name at the top."""
    return file.relative_to(SOURCES).with_suffix("").parts[0]


def events_in_sources() -> set[LogEvent]:
    """The events of all modules."""
    files = sorted(SOURCES.rglob("*.py"))
    return {event for file in files for event in log_events(file.read_text(), package_of(file))}


def events_in_page() -> list[LogEvent]:
    """The rows of the page's tables."""
    events = []
    package = ""
    for line in PAGE.read_text().splitlines():
        if section := SECTION.match(line):
            package = section[1]
        elif row := ROW.match(line):
            events.append(LogEvent(package, row[2], row[1]))
    return events


def table_lines() -> list[str]:
    """The lines of the page's tables, without their heads."""
    lines = PAGE.read_text().splitlines()
    return [line for line in lines if line.startswith("|") and line not in TABLE_HEAD]


def loggers_with_another_name(file: Path) -> list[str]:
    """The lines that give a logger a name by which this test does not know it."""
    return [
        f"{file.relative_to(ROOT)}:{node.lineno}"
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Assign)
        and any(isinstance(part, ast.Attribute) and part.attr == "getLogger" for part in ast.walk(node.value))
        and any(receiver_name(target) not in LOGGER_NAMES for target in node.targets)
    ]


def test_each_event_of_the_sources_is_in_the_page() -> None:
    assert sorted(events_in_sources() - set(events_in_page())) == []


def test_each_event_of_the_page_is_in_the_sources() -> None:
    assert sorted(set(events_in_page()) - events_in_sources()) == []


def test_the_page_has_each_event_once() -> None:
    events = events_in_page()
    assert len(events) == len(set(events))


def test_each_line_of_the_tables_is_an_event_with_a_meaning_and_an_action() -> None:
    assert [line for line in table_lines() if not ROW.match(line)] == []


def test_each_logger_has_a_name_by_which_its_calls_are_found() -> None:
    """The root logger, whose handlers the command line sets, logs nothing itself."""
    modules = {
        line.split(":")[0] for file in SOURCES.rglob("*.py") for line in loggers_with_another_name(file)
    }
    assert modules <= {"message_sender/cli/log_format.py"}


@pytest.mark.parametrize(
    ("call", "event"),
    [
        ('log.info("a: b=%s c=%.3f", b, c)', LogEvent("p", "info", "a: b=… c=…")),
        ('self._log.error("%s: %d%% of %r", a, b, c)', LogEvent("p", "error", "…: …% of …")),
        ('log.warning("a: " "b=%-5d", b)', LogEvent("p", "warning", "a: b=…")),
        ('log.critical("a: " + "b=%s", b)', LogEvent("p", "critical", "a: b=…")),
        ('log.debug(f"a: b={b!r} c=%s", c)', LogEvent("p", "debug", "a: b=… c=…")),
        ('logging.getLogger("x").exception("a")', LogEvent("p", "error", "a")),
    ],
)
def test_values_are_replaced_in_all_forms_of_a_format(call: str, event: LogEvent) -> None:
    assert list(log_events(call, "p")) == [event]


@pytest.mark.parametrize(
    "call", ["log.info(text)", 'log.info("a" + text)', "log.info(texts[0], a)", 'log.log(level, "a")']
)
def test_a_call_whose_event_is_not_a_literal_is_refused(call: str) -> None:
    with pytest.raises(ValueError, match="line 1: "):
        list(log_events(call, "p"))


@pytest.mark.parametrize("call", ["task.exception()", "leadership.info(1)", "log.isEnabledFor(10)"])
def test_other_calls_are_no_events(call: str) -> None:
    assert not list(log_events(call, "p"))


def test_an_attempt_and_a_message_that_end_without_a_delivery_are_logged_with_the_id(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test(folder: Path) -> None:
        async with World(folder) as world:
            assert (await world.submit("m1", X_Time_Left="0.3")).status == 202
            while world.sender.engine.journal.entries:
                if not world.receiver.requests.empty():
                    world.receiver.requests.get_nowait().answer(503)
                await next_iteration()
                if not world.platform.requests.empty():
                    world.platform.requests.get_nowait().answer(204)

    caplog.set_level("INFO")
    with TemporaryDirectory() as folder:
        run_async_test(test)(Path(folder))
    messages = [each.getMessage() for each in caplog.records]
    assert "attempt ended: message=m1 attempt=0 endpoint=r outcome=full retry_after_ms=0" in messages
    assert any(each.startswith("message ended: message=m1 state=") for each in messages)
