"""The effective configuration of a sender: its own file, and over it the control plane's document.

Rules:

- While the document holds endpoints, they replace the file's `[[endpoints]]`; while it holds none, the file's
  apply. The same goes for budgets. So senders with the same file and version have the same configuration,
  whichever versions they saw before.
- A version is applied completely or not at all. All reasons to refuse it are found before anything changes;
  then the document is made durable, and only then applied.
- What a running sender can't change is refused with its reason, and stored as the version for the next start.
- A version below one that was in force here is refused, also after a restart. A damaged file is renamed and
  logged; the sender then begins with its own file, and takes what the control plane has.
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
NEXT_START_FILE = "control.next"  # a version that waits for a restart

log = logging.getLogger(__name__)


class ConfigurableEndpoints(Protocol):
    """What is needed of the sender's directory."""

    def configure(self, places: Sequence[StaticEndpoint]) -> None:
        """Replaces the configured endpoints."""


class ConfigurableBudgets(Protocol):
    """What is needed of the sender's membership in the fleet."""

    def configure(self, budgets: tuple[SharedBudget, ...], size: int) -> None:
        """Replaces the shared budgets; `size`: members of the fleet."""

    def waits_for_start(self, budgets: tuple[SharedBudget, ...]) -> list[str]:
        """What of these budgets needs a restart: one text for each."""


def overlaid(config: SenderConfig, interpretation: Interpretation) -> SenderConfig:
    """The sender's own configuration with the document's resources over it."""
    return replace(
        config,
        endpoints=interpretation.endpoints() or config.endpoints,
        budgets=interpretation.shared_budgets() or config.budgets,
    )


def find_faults(config: SenderConfig, interpretation: Interpretation) -> list[str]:
    """Why this sender could not apply these resources, whether it starts with them or not."""
    fleet_size = config.fleet.size if config.fleet else 1
    faults = [str(fault) for fault in interpretation.faults(fleet_size)]
    if config.fleet is None:
        reason = "needs a [fleet] to be shared in, and this sender has none"
        faults += [f"{name}: {reason}" for name in sorted(interpretation.budgets_by_name)]
    return faults


class SenderConfiguration:
    """Implements the control plane's `Applier` for one sender.

    Attributes:
        own_config: The sender's own file.
        document: The control plane's document that is in force.
        interpretation: Its endpoints and budgets.
        next_start_version: A version that waits for a restart; 0: none does.
        newest_version: The newest that was in force here, as far as the disk knows.
    """

    def __init__(self, config: SenderConfig, state: Path, disk: Disk) -> None:
        """Loads the stored document.

        Args:
            config: The sender's own file.
            state: The state folder.
            disk: Where documents are stored.
        """
        self.own_config = config
        self.in_force_file = DocumentFile(state / IN_FORCE_FILE, disk)
        self.next_start_file = DocumentFile(state / NEXT_START_FILE, disk)
        self.next_start_version = 0
        self.newest_version = 0
        self.directory: ConfigurableEndpoints | None = None
        self.budgets: ConfigurableBudgets | None = None
        self.interpretation = Interpretation({}, {})
        self.document = self.load_document()

    def bind(self, directory: ConfigurableEndpoints, budgets: ConfigurableBudgets | None) -> None:
        """Versions are applied to these parts from now on; `budgets` is None where there is no fleet."""
        self.directory = directory
        self.budgets = budgets

    def effective_config(self) -> SenderConfig:
        """The sender's own configuration, with the control plane's resources over it."""
        return overlaid(self.own_config, self.interpretation)

    def reload(self, config: SenderConfig) -> SenderConfig:
        """Takes the sender's own file as it is now; returns the effective configuration."""
        self.own_config = config
        return self.effective_config()

    # At the sender's start.

    def load_document(self) -> Document:
        """The document to begin with: version 0 where there is none that can be used."""
        stored = self.load_file(self.in_force_file)
        waiting = self.load_file(self.next_start_file)
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
        """The document in a file; None where there is none, or it is damaged and was renamed."""
        try:
            return file.load()
        except DamagedDocumentError as error:
            log.error("control: document ignored: reason=%s", error)
            self.rename_damaged(file)
        except OSError as error:
            log.error("control: document not read: path=%s reason=%s", file.path, error)
        return None

    def rename_damaged(self, file: DocumentFile) -> None:
        """Keeps a damaged file under another name for an examination."""
        try:
            log.error("control: damaged document renamed: path=%s", file.move_damaged_aside())
        except OSError as error:
            log.error("control: damaged document not renamed: path=%s reason=%s", file.path, error)

    def interpret_for_start(self, document: Document) -> Interpretation | None:
        """The document's resources; None where this sender cannot start with them: the log says why."""
        try:
            interpretation = schema.interpret(document.resources)
            faults = find_faults(self.own_config, interpretation)
        except ConfigError as error:
            faults = [str(fault) for fault in error.faults]
        if faults:
            reasons = "; ".join(faults)
            log.error(
                "control: version not applied by this start: version=%d reason=%s", document.version, reasons
            )
            return None
        return interpretation

    def store_waiting(self, waiting: Document) -> bool:
        """Makes a version that waited for this start durable as the one in force."""
        try:
            self.in_force_file.store(waiting)
        except OSError as error:
            log.error("control: waiting version not stored: version=%d reason=%s", waiting.version, error)
            return False
        self.newest_version = waiting.version
        log.info("control: waiting version applied by this start: version=%d", waiting.version)
        self.forget_waiting()
        return True

    # While the sender runs.

    def apply(self, document: Document, delta: Delta) -> None:
        """Applies a change of `document`.

        Raises:
            RefusedConfigurationError: This sender cannot apply it; nothing has changed.
            OSError: It cannot be made durable; nothing has changed.
        """
        after = self.apply_delta(document, delta)
        if after.version < self.newest_version:
            raise RefusedConfigurationError(f"version {self.newest_version} was in force here")
        interpretation = self.interpret_delta(document, delta)
        if faults := find_faults(self.own_config, interpretation):
            raise RefusedConfigurationError("; ".join(faults))
        before = self.effective_config()
        config = overlaid(self.own_config, interpretation)
        if reasons := self.waits_for_start(before, config):
            self.store_for_start(after)
            raise RefusedConfigurationError("; ".join(reasons))
        self.in_force_file.store(after)
        self.document = after
        self.interpretation = interpretation
        self.newest_version = after.version
        self.put_in_force(before, config)
        if self.next_start_version:
            self.forget_waiting()

    @staticmethod
    def apply_delta(document: Document, delta: Delta) -> Document:
        """A copy of the document with the change applied.

        Raises:
            RefusedConfigurationError: The change is not one of this document.
        """
        after = Document()
        after.version = document.version
        after.digest = document.digest
        after.resources = dict(document.resources)
        try:
            after.apply(delta)
        except DeltaMismatchError as error:
            raise RefusedConfigurationError(str(error)) from None
        return after

    def interpret_delta(self, document: Document, delta: Delta) -> Interpretation:
        """The resources of the changed document.

        Raises:
            RefusedConfigurationError: They are malformed.
        """
        put = {resource.name: resource.value for resource in delta.put}
        try:
            is_present = (document.version, document.digest) == (self.document.version, self.document.digest)
            known = self.interpretation if is_present else schema.interpret(document.resources)
            return known.with_changes(put, delta.delete)
        except ConfigError as error:
            raise RefusedConfigurationError("; ".join(map(str, error.faults))) from None

    def waits_for_start(self, before: SenderConfig, after: SenderConfig) -> list[str]:
        """What would have to change and can't while the sender runs: one text for each."""
        if before.budgets == after.budgets:
            return []
        if self.budgets is None:
            return ["budgets: the link to the fleet could not be made at this start"]
        return self.budgets.waits_for_start(after.budgets)

    def put_in_force(self, before: SenderConfig, after: SenderConfig) -> None:
        """Gives the sender's parts what has changed for them."""
        assert self.directory
        if before.endpoints != after.endpoints:
            self.directory.configure(after.endpoints)
        if before.budgets != after.budgets:
            assert self.budgets and after.fleet
            self.budgets.configure(after.budgets, after.fleet.size)

    def store_for_start(self, document: Document) -> None:
        """Stores a version that the next start can apply."""
        if self.next_start_version == document.version:
            return
        try:
            self.next_start_file.store(document)
        except OSError as error:
            log.error(
                "control: version for the next start not stored: version=%d reason=%s",
                document.version,
                error,
            )
            return
        self.next_start_version = document.version

    def forget_waiting(self) -> None:
        """Removes the version that waits for a restart: a newer one is in force."""
        self.next_start_version = 0
        try:
            self.next_start_file.remove()
        except OSError as error:  # it is older than what is in force, and never used
            log.warning("control: file not removed: path=%s reason=%s", self.next_start_file.path, error)
