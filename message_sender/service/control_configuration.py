"""What is in force at a sender: its own file, and over it what the control plane's document holds.

Rules:

- While the document holds endpoints, they stand in place of the file's `[[endpoints]]`; while it holds none,
  the file's do. The same goes for budgets. So senders with the same file and version have the same in force,
  whichever versions they saw before.
- A version is in force whole or not at all. All that can be refused is found before anything changes; then
  the document is made durable, and only then put in force.
- What a running sender can't change is refused with its reason, and kept as the version to begin with at the
  next start.
- A version below one that was in force here is refused, also after a restart. A damaged file is named and put
  aside; the sender then begins with its own file, and takes what the control plane has.
"""

import logging
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Protocol

from message_sender.configuration.general import ConfigError, SenderConfig
from message_sender.configuration.resources import SharedBudget
from message_sender.control import schema
from message_sender.control.document import DeltaMismatchError, Document
from message_sender.control.document_file import DamagedDocumentError, DocumentFile
from message_sender.control.messages import Delta
from message_sender.control.schema import Interpretation
from message_sender.control.watch import RefusedConfigurationError
from message_sender.discovery.static import StaticEndpoint
from message_sender.journal.disk import Disk

IN_FORCE_FILE = "control.document"
NEXT_START_FILE = "control.next"  # a version that waits for a start

log = logging.getLogger(__name__)


class ConfigurableEndpoints(Protocol):
    """What is needed of the sender's list of endpoints."""

    def configure(self, places: Sequence[StaticEndpoint]) -> None: ...


class ConfigurableBudgets(Protocol):
    """What is needed of the sender's end of the fleet."""

    def configure(self, budgets: tuple[SharedBudget, ...], size: int) -> None: ...

    def waits_for_start(self, budgets: tuple[SharedBudget, ...]) -> list[str]: ...


def overlaid(config: SenderConfig, interpretation: Interpretation) -> SenderConfig:
    """The sender's own configuration with the document's resources over it."""
    return replace(
        config,
        endpoints=interpretation.endpoints() or config.endpoints,
        budgets=interpretation.shared_budgets() or config.budgets,
    )


def faults_here(config: SenderConfig, interpretation: Interpretation) -> list[str]:
    """Why this sender could not have these in force, whether it begins with them or not."""
    found = [str(each) for each in interpretation.faults(config.fleet.size if config.fleet else 1)]
    if config.fleet is None:
        reason = "needs a [fleet] to be shared in, and this sender has none"
        found += [f"{name}: {reason}" for name in sorted(interpretation.budgets)]
    return found


class SenderConfiguration:
    """Implements the control plane's `Applier` for one sender."""

    def __init__(self, config: SenderConfig, state: Path, disk: Disk) -> None:
        """`config`: the sender's own file."""
        self.own_config = config
        self.in_force_file = DocumentFile(state / IN_FORCE_FILE, disk)
        self.next_start_file = DocumentFile(state / NEXT_START_FILE, disk)
        self.next_start_version = 0  # 0: nothing waits for a start
        self.newest_version = 0  # the newest that was in force here, as far as the disk knows
        self.directory: ConfigurableEndpoints | None = None
        self.budgets: ConfigurableBudgets | None = None
        self.interpretation = Interpretation({}, {})  # of the document
        self.document = self.load_document()

    def bind(self, directory: ConfigurableEndpoints, budgets: ConfigurableBudgets | None) -> None:
        """From here on versions are put in force there. `budgets`: None where the sender has no fleet."""
        self.directory, self.budgets = directory, budgets

    def effective_config(self) -> SenderConfig:
        """The sender's own configuration with what the control plane holds over it."""
        return overlaid(self.own_config, self.interpretation)

    def reload(self, config: SenderConfig) -> SenderConfig:
        """The sender's own file was read anew: what is to be in force now."""
        self.own_config = config
        return self.effective_config()

    # At a start.

    def load_document(self) -> Document:
        """The document to begin with: version 0 where there is none that can be used."""
        stored, waiting = self.load_file(self.in_force_file), self.load_file(self.next_start_file)
        self.newest_version = stored.version if stored else 0
        if waiting and waiting.version > self.newest_version:
            self.next_start_version = waiting.version
            interpretation = self.interpret_for_start(waiting)
            if interpretation and self.store_waiting(waiting):
                self.interpretation = interpretation
                return waiting
        if stored and (interpretation := self.interpret_for_start(stored)):
            self.interpretation = interpretation
            return stored
        return Document()

    def load_file(self, file: DocumentFile) -> Document | None:
        """What stands in a file; what is damaged is named and put aside."""
        try:
            return file.load()
        except DamagedDocumentError as error:
            log.error("control: %s; this sender begins without it", error)
            self.put_aside(file)
        except OSError as error:
            log.error("control: %s cannot be read, and this sender begins without it: %s", file.path, error)
        return None

    def put_aside(self, file: DocumentFile) -> None:
        """Keeps a damaged file for whoever wants to look at it."""
        try:
            log.error("control: it is in %s now", file.put_aside())
        except OSError as error:
            log.error("control: it cannot be put aside: %s", error)

    def interpret_for_start(self, document: Document) -> Interpretation | None:
        """What this sender makes of it; None where it cannot begin with it: the log says why."""
        try:
            interpretation = schema.interpret(document.resources)
            faults = faults_here(self.own_config, interpretation)
        except ConfigError as error:
            faults = [str(each) for each in error.faults]
        if faults:
            reasons = "; ".join(faults)
            log.error("control: version %d is not used by this start: %s", document.version, reasons)
            return None
        return interpretation

    def store_waiting(self, waiting: Document) -> bool:
        """Makes a version that waited for this start durable as the one in force."""
        try:
            self.in_force_file.store(waiting)
        except OSError as error:
            log.error("control: version %d cannot be kept, and waits on: %s", waiting.version, error)
            return False
        self.newest_version = waiting.version
        log.info("control: version %d waited for this start, and is in force", waiting.version)
        self.forget_waiting()
        return True

    # While the sender runs.

    def apply(self, document: Document, delta: Delta) -> None:
        """Puts in force what `delta` makes of `document`. Raises RefusedConfigurationError, or OSError where
        it cannot be made durable; nothing in force was changed then."""
        after = self.apply_delta(document, delta)
        if after.version < self.newest_version:
            raise RefusedConfigurationError(f"version {self.newest_version} was in force here")
        interpretation = self.interpret_delta(document, delta)
        if faults := faults_here(self.own_config, interpretation):
            raise RefusedConfigurationError("; ".join(faults))
        before, config = self.effective_config(), overlaid(self.own_config, interpretation)
        if reasons := self.waits_for_start(before, config):
            self.store_for_start(after)
            raise RefusedConfigurationError("; ".join(reasons))
        self.in_force_file.store(after)
        self.document, self.interpretation, self.newest_version = after, interpretation, after.version
        self.put_in_force(before, config)
        if self.next_start_version:
            self.forget_waiting()

    @staticmethod
    def apply_delta(document: Document, delta: Delta) -> Document:
        """A copy with the delta applied."""
        after = Document()
        after.version, after.digest = document.version, document.digest
        after.resources = dict(document.resources)
        try:
            after.apply(delta)
        except DeltaMismatchError as error:
            raise RefusedConfigurationError(str(error)) from None
        return after

    def interpret_delta(self, document: Document, delta: Delta) -> Interpretation:
        """What a sender makes of the changed document."""
        put = {each.name: each.value for each in delta.put}
        try:
            is_present = (document.version, document.digest) == (self.document.version, self.document.digest)
            known = self.interpretation if is_present else schema.interpret(document.resources)
            return known.changed(put, delta.delete)
        except ConfigError as error:
            raise RefusedConfigurationError("; ".join(map(str, error.faults))) from None

    def waits_for_start(self, before: SenderConfig, after: SenderConfig) -> list[str]:
        """What would have to change and can't while the sender runs."""
        if before.budgets == after.budgets:
            return []
        if self.budgets is None:
            return ["budgets: the link to the fleet could not be made at this start"]
        return self.budgets.waits_for_start(after.budgets)

    def put_in_force(self, before: SenderConfig, after: SenderConfig) -> None:
        """Tells the sender's parts what has changed."""
        assert self.directory
        if before.endpoints != after.endpoints:
            self.directory.configure(after.endpoints)
        if before.budgets != after.budgets:
            assert self.budgets and after.fleet
            self.budgets.configure(after.budgets, after.fleet.size)

    def store_for_start(self, document: Document) -> None:
        """A start can have it in force."""
        if self.next_start_version == document.version:
            return
        try:
            self.next_start_file.store(document)
        except OSError as error:
            log.error("control: version %d is not kept for the next start: %s", document.version, error)
            return
        self.next_start_version = document.version

    def forget_waiting(self) -> None:
        """A newer version is in force."""
        self.next_start_version = 0
        try:
            self.next_start_file.remove()
        except OSError as error:  # it is older than what is in force, and not used
            log.warning("control: %s cannot be removed: %s", self.next_start_file.path, error)
