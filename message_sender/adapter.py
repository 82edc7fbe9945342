"""The simulator's line protocol on standard input and output.

One process serves many instances of the delivery policy, which share no state. The input comes in batches of
lines, each from `sync` to `over_to_you`. The reply to a batch is the actions of its instances and one `end`
line. The names of fields and values are defined by the simulator.
"""

import json
import sys
from collections.abc import Callable, Mapping
from typing import IO, TypeVar

from message_sender.configuration.settings import decode_settings
from message_sender.policy.actions import (
    CancelAttempt,
    CloseIdle,
    Fail,
    LogLine,
    PolicyAction,
    Reject,
    Send,
    Subscribe,
    WakeAfter,
)
from message_sender.policy.dispatcher import Dispatcher
from message_sender.policy.events import (
    AttemptEnded,
    EndpointsUpdated,
    MessageAccepted,
    MessageWithdrawn,
    PolicyEvent,
    WakeUp,
)
from message_sender.policy.model import Endpoint, EndpointState, ListingKind, Outcome, Settings

OUTCOMES = {
    "OK": Outcome.OK,
    "INTERNAL": Outcome.ERROR,
    "RESOURCE_EXHAUSTED": Outcome.FULL,
    "DEADLINE_EXCEEDED": Outcome.TIMEOUT,
    "UNAVAILABLE": Outcome.CONNECT_FAILED,
    "ABORTED": Outcome.RESET,
    "CANCELLED": Outcome.CANCELLED,
    "TOO_LATE": Outcome.NOT_SENT,
}
STATES = {"1": EndpointState.READY, "2": EndpointState.DRAINING, "3": EndpointState.GONE}
LISTINGS = {
    "0": ListingKind.CHANGES,
    "1": ListingKind.CACHED,
    "2": ListingKind.FULL,
    "3": ListingKind.FAILED,
}
FLAGS = {"0": False, "1": True}
#: Types of lines whose last field is free text up to the end of the line, and the text that begins the field.
TEXT_FIELDS = {"power_on": " env="}
IS_REPEAT_BIT = 2  # in the field `bitmap` of a message
#: Types of events that the policy does not use.
IGNORED_EVENTS = {"head_received", "probe_result", "whisper"}

Value = TypeVar("Value")


class WireError(Exception):
    """The input violates the line protocol.

    Attributes:
        line: Number of the line, from 1.
        line_type: Type of the line.
        field: The invalid field, or another place in brackets.
        reason: Why it is invalid.
    """

    def __init__(self, line: int, line_type: str, field: str, reason: str) -> None:
        """Creates an error whose text names the place and the reason."""
        super().__init__(f"line {line}: {line_type}: {field}: {reason}")
        self.line = line
        self.line_type = line_type
        self.field = field
        self.reason = reason


class Line:
    """One line of the input.

    Attributes:
        number: Number of the line, from 1.
        type: Type of the line: its first word.
        fields: The texts of its fields, by name.
    """

    def __init__(self, number: int, text: str) -> None:
        """Parses a line.

        Args:
            number: Number of the line, from 1.
            text: The line.

        Raises:
            WireError: A field does not have the form name=value.
        """
        self.number = number
        text = text.rstrip("\n")
        self.type, _, rest = text.partition(" ")
        self.fields: dict[str, str] = {}
        marker = TEXT_FIELDS.get(self.type)
        if marker and marker in text:
            rest, _, free_text = rest.partition(marker)
            self.fields[marker[1:-1]] = free_text
        for part in rest.split(" ") if rest else ():
            name, separator, value = part.partition("=")
            if not separator or not name:
                raise self.error(part or "(empty)", "is not name=value")
            self.fields[name] = value

    def error(self, field: str, reason: str) -> WireError:
        """Returns an error for a field of this line."""
        return WireError(self.number, self.type or "(empty)", field, reason)

    def text(self, field: str, default: str | None = None) -> str:
        """Returns a field as text.

        Args:
            field: Name of the field.
            default: The value if the field is missing; None if it must be present.

        Raises:
            WireError: The field is missing and has no default.
        """
        value = self.fields.get(field, default)
        if value is None:
            raise self.error(field, "is missing")
        return value

    def integer(self, field: str, default: str | None = None) -> int:
        """Returns a field as an integer. Raises WireError if it is missing or is not an integer."""
        return self._convert(field, default, int)

    def real(self, field: str, default: str | None = None) -> float:
        """Returns a field as a number. Raises WireError if it is missing or is not a number."""
        return self._convert(field, default, float)

    def one_of(self, field: str, choices: Mapping[str, Value], default: str | None = None) -> Value:
        """Returns the choice that a field names. Raises WireError if it is missing or names no choice."""
        return self._convert(field, default, choices.__getitem__)

    def _convert(self, field: str, default: str | None, convert: Callable[[str], Value]) -> Value:
        value = self.text(field, default)
        try:
            return convert(value)
        except (ValueError, KeyError):
            raise self.error(field, f"cannot be {value!r}") from None


def read_settings(line: Line) -> Settings:
    """Reads the settings of an instance. Raises WireError if they are invalid."""
    try:
        return decode_settings(json.loads(line.text("env")))
    except KeyError as error:
        raise line.error("env", f"{error.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise line.error("env", str(error)) from None


def read_endpoint(line: Line) -> Endpoint:
    """Reads an entry of an endpoint list. Raises WireError if it is invalid."""
    return Endpoint(
        id=line.text("receiver"),
        destination=line.integer("destination"),
        state=line.one_of("state", STATES),
        kind=line.text("generation_hw", ""),
        zone=line.text("dc", ""),
        scale=line.real("scale", "1"),
    )


def read_message(line: Line) -> MessageAccepted:
    """Reads a message that a client submitted. Raises WireError if it is invalid."""
    return MessageAccepted(
        message=line.text("ref"),
        message_class=line.text("service"),
        destination=line.integer("dest"),
        time_left_us=line.integer("time_left"),
        tenant=line.text("customer", ""),
        key=line.text("path_key", ""),
        is_repeat=bool(line.integer("bitmap", "0") & IS_REPEAT_BIT),
    )


def read_result(line: Line) -> AttemptEnded:
    """Reads the result of an attempt. Raises WireError if it is invalid."""
    outcome = line.one_of("outcome", OUTCOMES)
    wait_ms = line.integer("note", "0") if outcome is Outcome.FULL else 0
    return AttemptEnded(
        message=line.text("ref"),
        attempt=line.integer("go"),
        outcome=outcome,
        finished=line.one_of("finished", FLAGS, "0"),
        wait=wait_ms * 1000,
    )


def write_action(instance: str, action: PolicyAction) -> str:
    """Returns the line for an action of the named instance."""
    match action:
        case Send(message, endpoint, timeout):
            return f"place who={instance} ref={message} give_up_after={timeout} receiver={endpoint}\n"
        case Reject(message, retry_after):
            return f"shed who={instance} ref={message} retry_after={retry_after}\n"
        case Fail(message):
            return f"error who={instance} ref={message}\n"
        case CancelAttempt(message, attempt):
            return f"stop_attempt who={instance} ref={message} go={attempt}\n"
        case WakeAfter(delay):
            return f"set_alarm who={instance} handle=0 delay={delay}\n"
        case Subscribe():
            return f"listen who={instance} on=1\n"
        case CloseIdle(endpoint):
            return f"release who={instance} receiver={endpoint}\n"
        case LogLine(text):
            return f"remark who={instance} message={text}\n"


class Adapter:
    """Converts batches of lines into events, and the resulting actions into lines.

    Attributes:
        source: The input.
        sink: The output.
        senders: The running instances of the policy, by name.
        endpoint_lists: The endpoint lists received so far, by the number of their `sheet`.
        line_number: Number of lines read.
    """

    def __init__(self, source: IO[str], sink: IO[str]) -> None:
        """Creates an adapter without instances."""
        self.source = source
        self.sink = sink
        self.senders: dict[str, Dispatcher] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self.line_number = 0

    def read_line(self) -> Line | None:
        """Returns the next line; None at the end of the input."""
        text = self.source.readline()
        if not text:
            return None
        self.line_number += 1
        return Line(self.line_number, text)

    def run(self) -> None:
        """Serves all batches until the input ends. Raises WireError for malformed input."""
        while (line := self.read_line()) is not None:
            if line.type == "":
                continue  # empty lines between batches are allowed
            if line.type != "sync":
                raise line.error("(type)", "a batch begins with sync")
            now_us, sequence = line.integer("wall"), line.integer("seq")
            self.answer(now_us, sequence, self.read_batch())

    def read_batch(self) -> dict[str, list[PolicyEvent]]:
        """Reads the lines of a batch.

        Returns:
            The events by the name of the instance, for each instance that has a line in the batch.

        Raises:
            WireError: A line is invalid, or the input ends inside the batch.
        """
        events_by_instance: dict[str, list[PolicyEvent]] = {}
        while True:
            line = self.read_line()
            if line is None:
                raise WireError(self.line_number, "sync", "(end)", "the input ends inside a batch")
            if line.type == "over_to_you":
                return events_by_instance
            if line.type == "sheet":
                self.endpoint_lists[line.integer("table")] = self.read_endpoint_list(line.integer("elements"))
            else:
                self.read_instance_line(line, events_by_instance)

    def read_instance_line(self, line: Line, events_by_instance: dict[str, list[PolicyEvent]]) -> None:
        """Applies the start, the end or an event of an instance. Raises WireError if the line is invalid."""
        instance = line.text("who")
        if line.type == "power_on":
            self.senders[instance] = Dispatcher(read_settings(line), line.integer("nonce64"))
            events_by_instance[instance] = []
            return
        if line.type == "destroy":
            self.senders.pop(instance, None)
            events_by_instance.pop(instance, None)
            return
        event = self.read_event(line)
        if instance not in self.senders:
            raise line.error("who", f"{instance} is not running")
        events = events_by_instance.setdefault(instance, [])
        if event is not None:
            events.append(event)

    def answer(self, now_us: int, sequence: int, events_by_instance: dict[str, list[PolicyEvent]]) -> None:
        """Runs an iteration of each instance in the batch, and writes the actions."""
        lines: list[str] = []
        for instance, events in events_by_instance.items():
            try:
                actions = self.senders[instance].handle(now_us, events)
            except Exception as error:  # boundary: a fault of one instance must not end the others
                text = " ".join(f"{type(error).__name__}: {error}".split())
                lines.append(f"panic who={instance} message={text}\n")
                continue
            lines.extend(write_action(instance, action) for action in actions)
        self.sink.write("".join(lines) + f"end seq={sequence}\n")
        self.sink.flush()

    def read_endpoint_list(self, count: int) -> tuple[Endpoint, ...]:
        """Reads an endpoint list of `count` lines. Raises WireError if a line is missing or invalid."""
        entries = []
        for _ in range(count):
            line = self.read_line()
            if line is None or line.type != "receiver":
                raise WireError(self.line_number, "sheet", "elements", "a receiver line is missing")
            entries.append(read_endpoint(line))
        return tuple(entries)

    def read_event(self, line: Line) -> PolicyEvent | None:
        """Reads an event; None if the policy does not use it. Raises WireError if it is invalid."""
        match line.type:
            case "view":
                return self.read_update(line)
            case "req":
                return read_message(line)
            case "answer":
                return read_result(line)
            case "lapsed":
                return MessageWithdrawn(line.text("ref"))
            case "reminder":
                line.integer("handle")
                return WakeUp()
            case name if name in IGNORED_EVENTS:
                return None
            case _:
                raise line.error("(type)", "unknown event")

    def read_update(self, line: Line) -> EndpointsUpdated:
        """Reads an update of the endpoint list, whose entries are in the `sheet` with the given number."""
        listing = line.one_of("how", LISTINGS)
        if listing is ListingKind.FAILED:
            return EndpointsUpdated(listing)
        table = line.integer("table")
        if table not in self.endpoint_lists:
            raise line.error("table", f"sheet {table} has not been received")
        return EndpointsUpdated(listing, self.endpoint_lists[table])


def main() -> int:
    """Serves standard input and output; returns the exit code."""
    try:
        Adapter(sys.stdin, sys.stdout).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"message-sender: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
