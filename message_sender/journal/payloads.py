"""The payloads that only the journal that survives the machine has. Pure."""

from dataclasses import dataclass

from message_sender.journal import records
from message_sender.journal.checkpoints import Tally
from message_sender.journal.process_journal import quoted


@dataclass(frozen=True, slots=True)
class FinishedMessage:
    """What is kept of a message that has ended."""

    at: int  # us, wall clock
    state: str
    key: str


def verdict_line(name: str, state: str, retry_after: int) -> bytes:
    return f'{{"verdict":{quoted(state)},"of":{quoted(name)},"after":{retry_after}}}\n'.encode()


def over_line(name: str, over: FinishedMessage) -> bytes:
    return f'{{"over":{quoted(name)}'.encode() + over_text(over) + b"\n"


def over_text(over: FinishedMessage) -> bytes:
    """The rest of a record."""
    return f',"at":{over.at},"state":{quoted(over.state)},"key":{quoted(over.key)}}}'.encode()


def doubt_line(name: str) -> bytes:
    return f'{{"doubt":{quoted(name)}}}\n'.encode()


def whole_record(size: int, tally: Tally) -> bytes:
    """Says that with it, beside so many bytes, a file is whole, and what that much of the file holds."""
    told = b'{"journal":2,"whole":%12d,"decisive":%12d,"names":%12d}'
    width = len(records.frame(told % (0, 0, 0), 0))
    return records.frame(told % (size + width, tally.count, tally.names), 0)
