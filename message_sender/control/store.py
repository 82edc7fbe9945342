"""The configuration that results from the committed log entries, equal on every node. No I/O.

Rules:

- Entries are applied in the order of the log, each once. The effect of an entry depends only on the earlier
  entries: no clock, no randomness, no state of a single node.
- Compare-and-set: a change whose base version is not the current version changes nothing.
- A known request id gets the same answer again. The number of remembered ids is bounded, the oldest is
  dropped first. A change whose id was dropped is not made twice either, because its base version is old by
  then.
- The history has the names that each version changed, without their values, because a sender needs the
  current values of all names that changed since its version. It is bounded by versions and by bytes; a sender
  with an older version needs a snapshot.
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
HISTORY_BYTES_LIMIT = 4 * 1024 * 1024  # size of the names in the history
RESULTS_LIMIT = 10_000  # number of remembered request ids
DELTA_BYTES_LIMIT = CHANGE_BYTES_LIMIT + 8 * 1024  # large enough for any single change
DELTA_CACHE_LIMIT = 64  # number of cached deltas to the current version
RESOURCE_OVERHEAD_BYTES = 10  # upper bound of the bytes that msgpack adds to a resource
NAME_OVERHEAD_BYTES = 100  # memory for a name in the history in addition to its text


class ChangeFormatError(ValueError):
    """Bytes that are not a valid change; the text gives the reason."""


def encode_change(change: Change) -> bytes:
    """Returns the data of a log entry.

    Raises:
        ChangeFormatError: If the entry would be too large, or a text or a number cannot be encoded.
    """
    try:
        data = msgspec.msgpack.encode(change)
    except (UnicodeEncodeError, OverflowError) as error:
        raise ChangeFormatError(f"not a valid change: {error}") from None
    if len(data) > CHANGE_BYTES_LIMIT:
        raise ChangeFormatError(
            f"the change has {len(data)} bytes, more than the limit of {CHANGE_BYTES_LIMIT}"
        )
    return data


def decode_change(data: bytes) -> Change:
    """Decodes the data of a log entry.

    Raises:
        ChangeFormatError: If the data is not a valid change.
    """
    if len(data) > CHANGE_BYTES_LIMIT:
        raise ChangeFormatError(
            f"the change has {len(data)} bytes, more than the limit of {CHANGE_BYTES_LIMIT}"
        )
    try:
        change = msgspec.msgpack.decode(data, type=Change)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise ChangeFormatError(f"not a valid change: {error}") from None
    if not 0 < len(change.request_id) <= NAME_LENGTH_LIMIT:
        raise ChangeFormatError(f"the request id must have 1 to {NAME_LENGTH_LIMIT} characters")
    return change


@dataclass(frozen=True, slots=True)
class HistoryStep:
    """The change from one version to the next.

    Attributes:
        from_version: The version before the change.
        existed_before: For each changed name whether it existed in `from_version`.
        size: The approximate size in memory, in bytes.
    """

    from_version: int
    existed_before: dict[str, bool]
    size: int


class ConfigurationStore:
    """The current document, the results of the latest requests and the history of versions."""

    def __init__(
        self,
        history_limit: int = HISTORY_VERSIONS_LIMIT,
        history_bytes_limit: int = HISTORY_BYTES_LIMIT,
        results_limit: int = RESULTS_LIMIT,
        delta_bytes_limit: int = DELTA_BYTES_LIMIT,
    ) -> None:
        """Creates an empty store at version 0.

        Args:
            history_limit: Largest number of versions in the history.
            history_bytes_limit: Largest size of the history in memory, in bytes.
            results_limit: Largest number of remembered request ids.
            delta_bytes_limit: Largest size of a delta in bytes; a larger one is replaced by a snapshot.
        """
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
            The result, or None for an entry without a change or one that was applied before.
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
        """Returns the result of a request, or None if its id is unknown or was dropped."""
        return self._results.get(request_id)

    def delta_from(self, version: int) -> Delta | None:
        """Returns the delta from `version` to the current version, or None if a snapshot is needed.

        A snapshot is needed if the version is older than the history or never existed, or if the delta would
        be too large. The result is also None for the current version.
        """
        if version not in self._deltas:
            if len(self._deltas) >= DELTA_CACHE_LIMIT:
                del self._deltas[next(iter(self._deltas))]
            self._deltas[version] = self._merge_from(version)
        return self._deltas[version]

    @property
    def oldest_version(self) -> int:
        """The oldest version for which the history has the later changes."""
        return self._history[0].from_version if self._history else self.document.version

    @property
    def history_bytes(self) -> int:
        """The approximate size of the history in memory, in bytes."""
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
        current = self.document
        if not self.oldest_version <= version < current.version:
            return None
        existed_before: dict[str, bool] = {}
        for number in range(version - self.oldest_version, len(self._history)):
            for name, existed in self._history[number].existed_before.items():
                existed_before.setdefault(name, existed)
        changed_names = sorted(existed_before)
        put = tuple(
            Resource(name, current.resources[name]) for name in changed_names if name in current.resources
        )
        delete = tuple(
            name for name in changed_names if existed_before[name] and name not in current.resources
        )
        size = sum(len(resource.name) + len(resource.value) + RESOURCE_OVERHEAD_BYTES for resource in put)
        size += sum(len(name) + RESOURCE_OVERHEAD_BYTES for name in delete)
        if size > self.delta_bytes_limit:
            return None
        return Delta(version, current.version, put, delete, current.digest)
