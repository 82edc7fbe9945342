"""The effective configuration of a sender: the control plane's document merged over the sender's own file.

Rules:

- While the document holds endpoints, they replace the file's `[[endpoints]]`; while it holds none, the file's
  endpoints apply. The same rule applies to budgets. Senders with the same file and version therefore have the
  same configuration, whichever versions they applied before.
- A version is applied completely or not at all. All reasons to refuse it are found before anything changes;
  the document is then made durable, and only after that applied.
- A version with a change that needs a restart is refused with the reasons, and stored for the next start.
- A version lower than one that was already in force here is refused, even after a restart. A damaged file is
  renamed and logged; the sender then starts with its own file and fetches the control plane's document.
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
NEXT_START_FILE = "control.next"  # a version that the next start applies

log = logging.getLogger(__name__)


class ConfigurableEndpoints(Protocol):
    """The operation of the sender's directory that a new version needs."""

    def configure(self, endpoints: Sequence[StaticEndpoint]) -> None:
        """Replaces the configured endpoints."""


class ConfigurableBudgets(Protocol):
    """The operations of the sender's fleet membership that a new version needs."""

    def configure(self, budgets: tuple[SharedBudget, ...], size: int) -> None:
        """Replaces the shared budgets; `size` is the number of members in the fleet."""

    def changes_for_next_start(self, budgets: tuple[SharedBudget, ...]) -> list[str]:
        """Returns one text for each change of a budget that needs a restart."""


def merge_resources(config: SenderConfig, interpretation: Interpretation) -> SenderConfig:
    """Returns the sender's own configuration with endpoints and budgets replaced by the document's."""
    return replace(
        config,
        endpoints=interpretation.endpoints() or config.endpoints,
        budgets=interpretation.shared_budgets() or config.budgets,
    )


def find_faults(config: SenderConfig, interpretation: Interpretation) -> list[str]:
    """Returns the reasons why this sender cannot apply the resources, not even by a restart."""
    fleet_size = config.fleet.size if config.fleet else 1
    faults = [str(fault) for fault in interpretation.faults(fleet_size)]
    if config.fleet is None:
        reason = "needs a [fleet] to be shared in, and this sender has none"
        faults += [f"{name}: {reason}" for name in sorted(interpretation.budgets_by_name)]
    return faults


class SenderConfiguration:
    """Implements the control plane's `Applier` for one sender.

    Attributes:
        own_config: The configuration in the sender's own file.
        document: The control plane's document that is in force.
        interpretation: The endpoints and budgets of that document.
        next_start_version: The version stored for the next start; 0 if there is none.
        newest_version: The newest version that was in force here, as far as is stored on disk.
    """

    def __init__(self, config: SenderConfig, state: Path, disk: Disk) -> None:
        """Loads the stored document.

        Args:
            config: The configuration in the sender's own file.
            state: The state folder.
            disk: The disk that stores documents.
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
        """Sets the parts that new versions are applied to; `budgets` is None where there is no fleet."""
        self.directory = directory
        self.budgets = budgets

    def effective_config(self) -> SenderConfig:
        """Returns the sender's own configuration merged with the control plane's resources."""
        return merge_resources(self.own_config, self.interpretation)

    def reload(self, config: SenderConfig) -> SenderConfig:
        """Replaces the sender's own configuration; returns the effective one."""
        self.own_config = config
        return self.effective_config()

    # Sender start.

    def load_document(self) -> Document:
        """Returns the document to start with; an empty one of version 0 if no stored document is usable."""
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
        """Returns the document in a file; None if the file is absent, unreadable or damaged.

        A damaged file is renamed.
        """
        try:
            return file.load()
        except DamagedDocumentError as error:
            log.error("control: document ignored: reason=%s", error)
            self.rename_damaged(file)
        except OSError as error:
            log.error("control: document not read: path=%s reason=%s", file.path, error)
        return None

    def rename_damaged(self, file: DocumentFile) -> None:
        """Renames a damaged file, so that it can be examined."""
        try:
            log.error("control: damaged document renamed: path=%s", file.move_damaged_aside())
        except OSError as error:
            log.error("control: damaged document not renamed: path=%s reason=%s", file.path, error)

    def interpret_for_start(self, document: Document) -> Interpretation | None:
        """Returns the document's resources; None if the sender cannot apply them, with the reasons logged."""
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
        """Stores the version that waited for this start as the one in force; returns whether it succeeded."""
        try:
            self.in_force_file.store(waiting)
        except OSError as error:
            log.error("control: waiting version not stored: version=%d reason=%s", waiting.version, error)
            return False
        self.newest_version = waiting.version
        log.info("control: waiting version applied by this start: version=%d", waiting.version)
        self.remove_waiting()
        return True

    # While the sender runs.

    def apply(self, document: Document, delta: Delta) -> None:
        """Applies a change of `document`.

        Raises:
            RefusedConfigurationError: This sender cannot apply the change; nothing has changed.
            OSError: The changed document cannot be made durable; nothing has changed.
        """
        after = self.apply_delta(document, delta)
        if after.version < self.newest_version:
            raise RefusedConfigurationError(
                f"older than version {self.newest_version}, which was in force here"
            )
        interpretation = self.interpret_delta(document, delta)
        if faults := find_faults(self.own_config, interpretation):
            raise RefusedConfigurationError("; ".join(faults))
        before = self.effective_config()
        config = merge_resources(self.own_config, interpretation)
        if reasons := self.changes_for_next_start(before, config):
            self.store_for_start(after)
            raise RefusedConfigurationError("; ".join(reasons))
        self.in_force_file.store(after)
        self.document = after
        self.interpretation = interpretation
        self.newest_version = after.version
        self.configure_parts(before, config)
        if self.next_start_version:
            self.remove_waiting()

    @staticmethod
    def apply_delta(document: Document, delta: Delta) -> Document:
        """Returns a copy of the document with the change applied.

        Raises:
            RefusedConfigurationError: The change is not based on this document.
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
        """Returns the resources of the changed document.

        Raises:
            RefusedConfigurationError: A resource is malformed.
        """
        put = {resource.name: resource.value for resource in delta.put}
        try:
            is_in_force = (document.version, document.digest) == (self.document.version, self.document.digest)
            base = self.interpretation if is_in_force else schema.interpret(document.resources)
            return base.with_changes(put, delta.delete)
        except ConfigError as error:
            raise RefusedConfigurationError("; ".join(map(str, error.faults))) from None

    def changes_for_next_start(self, before: SenderConfig, after: SenderConfig) -> list[str]:
        """Returns one text for each change that cannot be applied while the sender runs."""
        if before.budgets == after.budgets:
            return []
        if self.budgets is None:
            return ["budgets: the link to the fleet could not be opened at this start"]
        return self.budgets.changes_for_next_start(after.budgets)

    def configure_parts(self, before: SenderConfig, after: SenderConfig) -> None:
        """Passes changed endpoints and budgets to the sender's parts."""
        assert self.directory
        if before.endpoints != after.endpoints:
            self.directory.configure(after.endpoints)
        if before.budgets != after.budgets:
            assert self.budgets and after.fleet
            self.budgets.configure(after.budgets, after.fleet.size)

    def store_for_start(self, document: Document) -> None:
        """Stores a version for the next start."""
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

    def remove_waiting(self) -> None:
        """Removes the version stored for the next start, because it or a newer one is in force."""
        self.next_start_version = 0
        try:
            self.next_start_file.remove()
        except OSError as error:  # a stored version that is not newer than the one in force is never used
            log.warning("control: file not removed: path=%s reason=%s", self.next_start_file.path, error)
