"""The simulator's wire on standard input and output; many senders, nothing shared between them."""

import json
import sys
from collections.abc import Callable
from typing import IO, Any

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
BITS = {"0": False, "1": True}
TEXT_FIELDS = {"power_on": " env="}
AGAIN_BIT = 2
IGNORED = {"head_received", "probe_result", "whisper"}


class WireError(Exception):
    """The input is not what the wire describes."""


class Line:
    """One line of the input: its type and its fields."""

    def __init__(self, number: int, text: str) -> None:
        self.number = number
        text = text.rstrip("\n")
        head, _, rest = text.partition(" ")
        self.type = head
        self.fields: dict[str, str] = {}
        marker = TEXT_FIELDS.get(head)
        if marker and marker in text:
            rest, _, tail = rest.partition(marker)
            self.fields[marker[1:-1]] = tail
        for part in rest.split(" ") if rest else ():
            name, found, value = part.partition("=")
            if not found or not name:
                raise self.error(part or "(empty)", "is not name=value")
            self.fields[name] = value

    def error(self, field: str, what: str) -> WireError:
        return WireError(f"line {self.number}: {self.type or '(empty)'}: {field}: {what}")

    def text(self, field: str, default: str | None = None) -> str:
        value = self.fields.get(field, default)
        if value is None:
            raise self.error(field, "is missing")
        return value

    def number_of(self, field: str, default: str | None = None) -> int:
        return int(self._read(field, default, int))

    def real(self, field: str, default: str | None = None) -> float:
        return float(self._read(field, default, float))

    def one_of(self, field: str, choices: dict[str, Any], default: str | None = None) -> Any:  # noqa: ANN401
        return self._read(field, default, choices.__getitem__)

    def _read(self, field: str, default: str | None, read: Callable[[str], Any]) -> Any:  # noqa: ANN401
        value = self.text(field, default)
        try:
            return read(value)
        except (ValueError, KeyError):
            raise self.error(field, f"cannot be {value!r}") from None


def read_settings(line: Line) -> Settings:
    try:
        return decode_settings(json.loads(line.text("env")))
    except KeyError as error:
        raise line.error("env", f"{error.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise line.error("env", str(error)) from None


def write_action(who: str, action: PolicyAction) -> str:
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
    """Turns batches of lines into events and the answers into lines."""

    def __init__(self, source: IO[str], sink: IO[str]) -> None:
        self.source = source
        self.sink = sink
        self.senders: dict[str, Dispatcher] = {}
        self.sheets: dict[int, tuple[Endpoint, ...]] = {}
        self.number = 0

    def next_line(self) -> Line | None:
        text = self.source.readline()
        if not text:
            return None
        self.number += 1
        return Line(self.number, text)

    def run(self) -> None:
        while (line := self.next_line()) is not None:
            if line.type == "":
                continue  # an empty line between batches
            if line.type != "sync":
                raise line.error("(type)", "a batch begins with sync")
            self.batch(line.number_of("wall"), line.number_of("seq"))

    def batch(self, now: int, seq: int) -> None:
        inbox: dict[str, list[PolicyEvent]] = {}
        while True:
            line = self.next_line()
            if line is None:
                raise WireError(f"line {self.number}: sync: (end): the input ends inside a batch")
            if line.type == "over_to_you":
                break
            if line.type == "sheet":
                self.sheets[line.number_of("table")] = self.read_sheet(line.number_of("elements"))
                continue
            who = line.text("who")
            if line.type == "power_on":
                self.senders[who] = Dispatcher(read_settings(line), line.number_of("nonce64"))
                inbox[who] = []
                continue
            if line.type == "destroy":
                self.senders.pop(who, None)
                inbox.pop(who, None)
                continue
            event = self.read_event(line)
            if who not in self.senders:
                raise line.error("who", f"{who} is not running")
            inbox.setdefault(who, [])
            if event is not None:
                inbox[who].append(event)
        out = []
        for who, events in inbox.items():
            try:
                actions = self.senders[who].handle(now, events)
            except Exception as error:
                text = " ".join(f"{type(error).__name__}: {error}".split())
                out.append(f"panic who={who} message={text}\n")
                continue
            out.extend(write_action(who, action) for action in actions)
        self.sink.write("".join(out) + f"end seq={seq}\n")
        self.sink.flush()

    def read_sheet(self, count: int) -> tuple[Endpoint, ...]:
        entries = []
        for _ in range(count):
            line = self.next_line()
            if line is None or line.type != "receiver":
                raise WireError(f"line {self.number}: sheet: elements: a receiver line is missing")
            entries.append(
                Endpoint(
                    id=line.text("receiver"),
                    destination=line.number_of("destination"),
                    state=line.one_of("state", STATES),
                    kind=line.text("generation_hw", ""),
                    zone=line.text("dc", ""),
                    scale=line.real("scale", "1"),
                )
            )
        return tuple(entries)

    def read_event(self, line: Line) -> PolicyEvent | None:
        match line.type:
            case "view":
                listing = line.one_of("how", LISTINGS)
                if listing is ListingKind.FAILED:
                    return EndpointsUpdated(listing)
                table = line.number_of("table")
                if table not in self.sheets:
                    raise line.error("table", f"no sheet {table}")
                return EndpointsUpdated(listing, self.sheets[table])
            case "req":
                return MessageAccepted(
                    message=line.text("ref"),
                    message_class=line.text("service"),
                    destination=line.number_of("dest"),
                    time_left=line.number_of("time_left"),
                    tenant=line.text("customer", ""),
                    key=line.text("path_key", ""),
                    is_repeat=bool(line.number_of("bitmap", "0") & AGAIN_BIT),
                )
            case "answer":
                outcome = line.one_of("outcome", OUTCOMES)
                wait_ms = line.number_of("note", "0") if outcome is Outcome.FULL else 0
                return AttemptEnded(
                    message=line.text("ref"),
                    attempt=line.number_of("go"),
                    outcome=outcome,
                    finished=line.one_of("finished", BITS, "0"),
                    wait=wait_ms * 1000,
                )
            case "lapsed":
                return MessageWithdrawn(line.text("ref"))
            case "reminder":
                line.number_of("handle")
                return WakeUp()
            case name if name in IGNORED:
                return None
            case _:
                raise line.error("(type)", "unknown event")


def main() -> int:
    try:
        Adapter(sys.stdin, sys.stdout).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"message-sender: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
