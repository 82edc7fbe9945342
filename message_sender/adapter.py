"""The simulator's wire on standard input and output.

One process serves many instances of the delivery policy, which share nothing. The input comes in batches of
lines, from `sync` to `over_to_you`; each batch is answered by the actions of its instances and one `end`.
The names of fields and values on the wire are the simulator's.
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
#: Types of lines with a field of free text up to the end of the line, and how that field begins.
TEXT_FIELDS = {"power_on": " env="}
IS_REPEAT_BIT = 2  # in the field `bitmap` of a message
IGNORED_EVENTS = {"head_received", "probe_result", "whisper"}

Value = TypeVar("Value")


class WireError(Exception):
    """The input is not what the wire describes.

    Attributes:
        line: Number of the line, from 1.
        line_type: Its type.
        field: The field that is wrong, or a place in brackets.
        reason: What is wrong with it.
    """

    def __init__(self, line: int, line_type: str, field: str, reason: str) -> None:
        """Creates an error whose text names the place and the reason."""
        super().__init__(f"line {line}: {line_type}: {field}: {reason}")
        self.line = line
        self.line_type = line_type
        self.field = field
        self.reason = reason


class Line:
    """One line of the input: its type and its fields, as text."""

    def __init__(self, number: int, text: str) -> None:
        """Parses a line.

        Args:
            number: Number of the line, from 1.
            text: The line.

        Raises:
            WireError: A field is not name=value.
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
        """Returns the error that a field of this line is wrong."""
        return WireError(self.number, self.type or "(empty)", field, reason)

    def text(self, field: str, default: str | None = None) -> str:
        """Returns a field. Raises WireError if it is missing and has no default, as the next methods do."""
        value = self.fields.get(field, default)
        if value is None:
            raise self.error(field, "is missing")
        return value

    def integer(self, field: str, default: str | None = None) -> int:
        """Returns a field that is an integer."""
        return self._convert(field, default, int)

    def real(self, field: str, default: str | None = None) -> float:
        """Returns a field that is a number."""
        return self._convert(field, default, float)

    def one_of(self, field: str, choices: Mapping[str, Value], default: str | None = None) -> Value:
        """Returns the choice that a field names."""
        return self._convert(field, default, choices.__getitem__)

    def _convert(self, field: str, default: str | None, convert: Callable[[str], Value]) -> Value:
        value = self.text(field, default)
        try:
            return convert(value)
        except (ValueError, KeyError):
            raise self.error(field, f"cannot be {value!r}") from None


def read_settings(line: Line) -> Settings:
    """Reads the settings of an instance. Raises WireError if they are malformed."""
    try:
        return decode_settings(json.loads(line.text("env")))
    except KeyError as error:
        raise line.error("env", f"{error.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise line.error("env", str(error)) from None


def read_endpoint(line: Line) -> Endpoint:
    """Reads an entry of a list of endpoints."""
    return Endpoint(
        id=line.text("receiver"),
        destination=line.integer("destination"),
        state=line.one_of("state", STATES),
        kind=line.text("generation_hw", ""),
        zone=line.text("dc", ""),
        scale=line.real("scale", "1"),
    )


def read_message(line: Line) -> MessageAccepted:
    """Reads a message of a client."""
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
    """Reads the result of an attempt."""
    outcome = line.one_of("outcome", OUTCOMES)
    wait_ms = line.integer("note", "0") if outcome is Outcome.FULL else 0
    return AttemptEnded(
        message=line.text("ref"),
        attempt=line.integer("go"),
        outcome=outcome,
        finished=line.one_of("finished", FLAGS, "0"),
        wait=wait_ms * 1000,
    )


def write_action(who: str, action: PolicyAction) -> str:
    """Returns the line of an action of the instance `who`."""
    match action:
        case Send(message, endpoint, timeout):
            return f"place who={who} ref={message} give_up_after={timeout} receiver={endpoint}\n"
        case Reject(message, retry_after):
            return f"shed who={who} ref={message} retry_after={retry_after}\n"
        case Fail(message):
            return f"error who={who} ref={message}\n"
        case CancelAttempt(message, attempt):
            return f"stop_attempt who={who} ref={message} go={attempt}\n"
        case WakeAfter(delay):
            return f"set_alarm who={who} handle=0 delay={delay}\n"
        case Subscribe():
            return f"listen who={who} on=1\n"
        case CloseIdle(endpoint):
            return f"release who={who} receiver={endpoint}\n"
        case LogLine(text):
            return f"remark who={who} message={text}\n"


class Adapter:
    """Turns batches of lines into events, and the actions that follow into lines."""

    def __init__(self, source: IO[str], sink: IO[str]) -> None:
        """Creates an adapter without instances."""
        self.source = source
        self.sink = sink
        self.senders: dict[str, Dispatcher] = {}
        self.sheets: dict[int, tuple[Endpoint, ...]] = {}
        self.line_number = 0

    def read_line(self) -> Line | None:
        """Returns the next line; None at the end of the input."""
        text = self.source.readline()
        if not text:
            return None
        self.line_number += 1
        return Line(self.line_number, text)

    def run(self) -> None:
        """Serves all batches. Raises WireError for malformed input."""
        while (line := self.read_line()) is not None:
            if line.type == "":
                continue  # an empty line between batches
            if line.type != "sync":
                raise line.error("(type)", "a batch begins with sync")
            now_us, sequence = line.integer("wall"), line.integer("seq")
            self.answer(now_us, sequence, self.read_batch())

    def read_batch(self) -> dict[str, list[PolicyEvent]]:
        """Reads the lines of a batch.

        Returns:
            The events of each instance that has a line in it, by the instance's name.
        """
        inbox: dict[str, list[PolicyEvent]] = {}
        while True:
            line = self.read_line()
            if line is None:
                raise WireError(self.line_number, "sync", "(end)", "the input ends inside a batch")
            if line.type == "over_to_you":
                return inbox
            if line.type == "sheet":
                self.sheets[line.integer("table")] = self.read_sheet(line.integer("elements"))
            else:
                self.read_instance_line(line, inbox)

    def read_instance_line(self, line: Line, inbox: dict[str, list[PolicyEvent]]) -> None:
        """Applies a line that concerns one instance: its start, its end or an event."""
        who = line.text("who")
        if line.type == "power_on":
            self.senders[who] = Dispatcher(read_settings(line), line.integer("nonce64"))
            inbox[who] = []
            return
        if line.type == "destroy":
            self.senders.pop(who, None)
            inbox.pop(who, None)
            return
        event = self.read_event(line)
        if who not in self.senders:
            raise line.error("who", f"{who} is not running")
        events = inbox.setdefault(who, [])
        if event is not None:
            events.append(event)

    def answer(self, now_us: int, sequence: int, inbox: dict[str, list[PolicyEvent]]) -> None:
        """Runs an iteration of each instance with events, and writes the actions."""
        out: list[str] = []
        for who, events in inbox.items():
            try:
                actions = self.senders[who].handle(now_us, events)
            except Exception as error:  # boundary: one instance's fault must not end the others
                text = " ".join(f"{type(error).__name__}: {error}".split())
                out.append(f"panic who={who} message={text}\n")
                continue
            out.extend(write_action(who, action) for action in actions)
        self.sink.write("".join(out) + f"end seq={sequence}\n")
        self.sink.flush()

    def read_sheet(self, count: int) -> tuple[Endpoint, ...]:
        """Reads a list of endpoints, one a line."""
        entries = []
        for _ in range(count):
            line = self.read_line()
            if line is None or line.type != "receiver":
                raise WireError(self.line_number, "sheet", "elements", "a receiver line is missing")
            entries.append(read_endpoint(line))
        return tuple(entries)

    def read_event(self, line: Line) -> PolicyEvent | None:
        """Reads an event; None for one that the policy does not use."""
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
        """Reads an update of the list of endpoints, which refers to a sheet by number."""
        listing = line.one_of("how", LISTINGS)
        if listing is ListingKind.FAILED:
            return EndpointsUpdated(listing)
        table = line.integer("table")
        if table not in self.sheets:
            raise line.error("table", f"no sheet {table}")
        return EndpointsUpdated(listing, self.sheets[table])


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
