"""The configuration as the committed entries of the replicated log make it, the same on every node. Pure.

Rules:

- Entries are applied in the order of the log, each once. What an entry does depends on the log before it
  alone: no clock, no chance, nothing that a node knows for itself.
- Compare-and-set: a change that was made against another version than the present one writes nothing.
- A request id that was seen before is answered as it was then. So many ids are remembered, the oldest is
  forgotten first. A change whose id is forgotten isn't made twice either: its base version is old by then.
- The history holds the names that each version touched, no values: what a sender lacks are the present values
  of all names touched since its version. It is bounded by versions and by bytes; a sender from before it
  needs a snapshot.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

import msgspec

from message_sender.control.document import DeltaMismatchError, Document
from message_sender.control.messages import (
    CHANGE_BYTES_LIMIT,
    NAME_LENGTH_LIMIT,
    Change,
    ChangeResult,
    Delta,
    LogEntry,
    Outcome,
    Resource,
)

HISTORY_VERSIONS_LIMIT = 2_000  # versions: two days at 980 changes a day
HISTORY_BYTES_LIMIT = 4 * 1024 * 1024  # bytes of names in the history
RESULTS_LIMIT = 10_000  # request ids that are remembered
DELTA_BYTES_LIMIT = CHANGE_BYTES_LIMIT + 8 * 1024  # bytes of a delta; any single change fits
DELTA_CACHE_LIMIT = 64  # deltas to the present version that are kept for the next sender
RESOURCE_OVERHEAD_BYTES = 10  # bytes that msgpack adds to a resource, at the most
NAME_OVERHEAD_BYTES = 100  # bytes in memory that a name in the history takes besides its text


class ChangeFormatError(ValueError):
    """Bytes that are no change; the text says why."""


def encode_change(change: Change) -> bytes:
    """The data of a log entry. Raises ChangeFormatError where it would be too large, or holds a text or a
    number that has no form on the wire."""
    try:
        data = msgspec.msgpack.encode(change)
    except (UnicodeEncodeError, OverflowError) as error:
        raise ChangeFormatError(f"no change: {error}") from None
    if len(data) > CHANGE_BYTES_LIMIT:
        raise ChangeFormatError(f"a change of {len(data)} bytes; {CHANGE_BYTES_LIMIT} at the most")
    return data


def decode_change(data: bytes) -> Change:
    """Raises ChangeFormatError."""
    if len(data) > CHANGE_BYTES_LIMIT:
        raise ChangeFormatError(f"a change of {len(data)} bytes; {CHANGE_BYTES_LIMIT} at the most")
    try:
        change = msgspec.msgpack.decode(data, type=Change)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise ChangeFormatError(f"no change: {error}") from None
    if not 0 < len(change.request_id) <= NAME_LENGTH_LIMIT:
        raise ChangeFormatError(f"a request id has 1 to {NAME_LENGTH_LIMIT} characters")
    return change


@dataclass(frozen=True, slots=True)
class HistoryStep:
    """What one version touched: each name, and whether it was there at the version before."""

    from_version: int
    existed_before: dict[str, bool]
    size: int


class ConfigurationStore:
    """The present document, the answers to the latest requests and the history of versions."""

    def __init__(
        self,
        history_limit: int = HISTORY_VERSIONS_LIMIT,
        history_bytes_limit: int = HISTORY_BYTES_LIMIT,
        results_limit: int = RESULTS_LIMIT,
        delta_bytes_limit: int = DELTA_BYTES_LIMIT,
    ) -> None:
        self.document = Document()
        self.applied_index = 0
        self.history_limit = history_limit
        self.history_bytes_limit = history_bytes_limit
        self.results_limit = results_limit
        self.delta_bytes_limit = delta_bytes_limit
        self._results: OrderedDict[str, ChangeResult] = OrderedDict()
        self._history: deque[HistoryStep] = deque()
        self._history_bytes = 0
        self._deltas: dict[int, Delta | None] = {}

    def apply(self, entry: LogEntry) -> ChangeResult | None:
        """Applies the next committed entry; None for an entry that holds no change or was applied before."""
        if entry.index <= self.applied_index:
            return None
        self.applied_index = entry.index
        if not entry.data:
            return None
        try:
            change = decode_change(entry.data)
        except ChangeFormatError as error:
            return ChangeResult("", Outcome.INVALID, self.document.version, (str(error),))
        known = self.known_result(change.request_id)
        if known is not None:
            return known
        result = self._apply_change(change)
        self._remember(result)
        return result

    def known_result(self, request_id: str) -> ChangeResult | None:
        """The answer to a request that was applied, while it is remembered."""
        return self._results.get(request_id)

    def delta_from(self, version: int) -> Delta | None:
        """All that changed since `version`; None where a snapshot is needed.

        That is: the version is older than the history or not among the versions made, or the delta would
        be larger than a delta may be. From the present version there is none either.
        """
        if version not in self._deltas:
            if len(self._deltas) >= DELTA_CACHE_LIMIT:
                del self._deltas[next(iter(self._deltas))]
            self._deltas[version] = self._merge_from(version)
        return self._deltas[version]

    @property
    def oldest_version(self) -> int:
        """The oldest version from which the history leads on."""
        return self._history[0].from_version if self._history else self.document.version

    @property
    def history_bytes(self) -> int:
        """Bytes that the history takes, about."""
        return self._history_bytes

    def _apply_change(self, change: Change) -> ChangeResult:
        version = self.document.version
        if change.base_version != version:
            return ChangeResult(change.request_id, Outcome.CONFLICT, version)
        try:
            digest = self.document.digest_after(change.put, change.delete)
        except DeltaMismatchError as error:
            return ChangeResult(change.request_id, Outcome.INVALID, version, (str(error),))
        step = self._make_history_step(change)
        self.document.apply(Delta(version, version + 1, change.put, change.delete, digest))
        self._deltas.clear()
        self._add_step(step)
        return ChangeResult(change.request_id, Outcome.APPLIED, version + 1)

    def _make_history_step(self, change: Change) -> HistoryStep:
        was_there = {resource.name: resource.name in self.document.resources for resource in change.put}
        was_there |= dict.fromkeys(change.delete, True)
        size = sum(len(name) + NAME_OVERHEAD_BYTES for name in was_there)
        return HistoryStep(self.document.version, was_there, size)

    def _add_step(self, step: HistoryStep) -> None:
        self._history.append(step)
        self._history_bytes += step.size
        while len(self._history) > self.history_limit or self._history_bytes > self.history_bytes_limit:
            self._history_bytes -= self._history.popleft().size

    def _remember(self, result: ChangeResult) -> None:
        self._results[result.request_id] = result
        while len(self._results) > self.results_limit:
            self._results.popitem(last=False)

    def _merge_from(self, version: int) -> Delta | None:
        present = self.document
        if not self.oldest_version <= version < present.version:
            return None
        was_there: dict[str, bool] = {}
        for number in range(version - self.oldest_version, len(self._history)):
            for name, was in self._history[number].existed_before.items():
                was_there.setdefault(name, was)
        put = tuple(
            Resource(name, present.resources[name]) for name in sorted(was_there) if name in present.resources
        )
        delete = tuple(
            name for name, was in sorted(was_there.items()) if was and name not in present.resources
        )
        size = sum(len(each.name) + len(each.value) + RESOURCE_OVERHEAD_BYTES for each in put)
        size += sum(len(name) + RESOURCE_OVERHEAD_BYTES for name in delete)
        if size > self.delta_bytes_limit:
            return None
        return Delta(version, present.version, put, delete, present.digest)
