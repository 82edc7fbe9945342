"""The configuration that results from the committed entries of the log, equal on every node. Pure.

Rules:

- Entries are applied in the order of the log, each once. The effect of an entry depends on the earlier log
  alone: no clock, no randomness, no state of a single node.
- Compare-and-set: a change that was made against another version than the present one writes nothing.
- A known request id gets the same answer again. The number of remembered ids is bounded, the oldest is
  dropped first. A change whose id was dropped isn't made twice either: its base version is old by then.
- The history has the names that each version changed, without values: a sender needs the present values
  of all names that changed since its version. It is bounded by versions and by bytes; a sender with an older
  version needs a snapshot.
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

HISTORY_VERSIONS_LIMIT = 2_000  # two days at 980 changes a day
HISTORY_BYTES_LIMIT = 4 * 1024 * 1024  # of names in the history
RESULTS_LIMIT = 10_000  # remembered request ids
DELTA_BYTES_LIMIT = CHANGE_BYTES_LIMIT + 8 * 1024  # any single change fits
DELTA_CACHE_LIMIT = 64  # cached deltas to the present version
RESOURCE_OVERHEAD_BYTES = 10  # that msgpack adds to a resource, at most
NAME_OVERHEAD_BYTES = 100  # in memory, for a name in the history, besides its text


class ChangeFormatError(ValueError):
    """Bytes that are not a valid change; the text gives the reason."""


def encode_change(change: Change) -> bytes:
    """Returns the data of a log entry.

    Raises:
        ChangeFormatError: If it would be too large, or a text or a number cannot be encoded.
    """
    try:
        data = msgspec.msgpack.encode(change)
    except (UnicodeEncodeError, OverflowError) as error:
        raise ChangeFormatError(f"no change: {error}") from None
    if len(data) > CHANGE_BYTES_LIMIT:
        raise ChangeFormatError(f"a change of {len(data)} bytes; {CHANGE_BYTES_LIMIT} at the most")
    return data


def decode_change(data: bytes) -> Change:
    """Decodes the data of a log entry.

    Raises:
        ChangeFormatError: If it is not a valid change.
    """
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
    """The change from one version to the next.

    Attributes:
        from_version: The version before.
        existed_before: Each changed name, and whether it existed in the version before.
        size: About the bytes in memory.
    """

    from_version: int
    existed_before: dict[str, bool]
    size: int


class ConfigurationStore:
    """The present document, the results of the latest requests and the history of versions."""

    def __init__(
        self,
        history_limit: int = HISTORY_VERSIONS_LIMIT,
        history_bytes_limit: int = HISTORY_BYTES_LIMIT,
        results_limit: int = RESULTS_LIMIT,
        delta_bytes_limit: int = DELTA_BYTES_LIMIT,
    ) -> None:
        """Creates a store at version 0."""
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
        """Applies the next committed entry.

        Returns:
            The result, or None for an entry that has no change or was applied before.
        """
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
        """Returns the result of a request that was applied, or None if it is unknown or was dropped."""
        return self._results.get(request_id)

    def delta_from(self, version: int) -> Delta | None:
        """Returns all that changed since `version`, or None if a snapshot is needed.

        A snapshot is needed if the version is older than the history or was never made, or if the delta would
        be too large. For the present version the result is None too.
        """
        if version not in self._deltas:
            if len(self._deltas) >= DELTA_CACHE_LIMIT:
                del self._deltas[next(iter(self._deltas))]
            self._deltas[version] = self._merge_from(version)
        return self._deltas[version]

    @property
    def oldest_version(self) -> int:
        """The oldest version from which there is a history."""
        return self._history[0].from_version if self._history else self.document.version

    @property
    def history_bytes(self) -> int:
        """About the bytes in memory of the history."""
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
        existed_before = {resource.name: resource.name in self.document.resources for resource in change.put}
        existed_before |= dict.fromkeys(change.delete, True)
        size = sum(len(name) + NAME_OVERHEAD_BYTES for name in existed_before)
        return HistoryStep(self.document.version, existed_before, size)

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
        existed_before: dict[str, bool] = {}
        for number in range(version - self.oldest_version, len(self._history)):
            for name, existed in self._history[number].existed_before.items():
                existed_before.setdefault(name, existed)
        changed_names = sorted(existed_before)
        put = tuple(
            Resource(name, present.resources[name]) for name in changed_names if name in present.resources
        )
        delete = tuple(
            name for name in changed_names if existed_before[name] and name not in present.resources
        )
        size = sum(len(resource.name) + len(resource.value) + RESOURCE_OVERHEAD_BYTES for resource in put)
        size += sum(len(name) + RESOURCE_OVERHEAD_BYTES for name in delete)
        if size > self.delta_bytes_limit:
            return None
        return Delta(version, present.version, put, delete, present.digest)
