"""Writes the changes that occur while a control node runs to its state folder."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial

from message_sender.control.channel import KnownStart
from message_sender.control.folder import StateFolder
from message_sender.control.node import ControlNode

FOLDER_RETRY_INTERVAL_S = 1.0

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FolderChanges:
    """Values to write to a state folder; an empty text, 0 and None stand for an unchanged value."""

    learner_reason: str = ""
    epoch: int = 0
    starts: Mapping[str, KnownStart] | None = None

    def write(self, folder: StateFolder) -> None:
        """Writes the values in the order that folder.py requires.

        Raises:
            OSError: If a value cannot be made durable.
        """
        if self.learner_reason:
            folder.mark_learner(self.learner_reason)
        if self.epoch:
            folder.write_epoch(self.epoch)
        if self.starts is not None:
            folder.write_starts(self.starts)


class FolderWriter:
    """Collects changes of the state folder and hands them out as jobs for a worker thread.

    A sync may take seconds, so the event loop never writes to the folder itself. A failed job is retried.
    """

    def __init__(self, folder: StateFolder, node: ControlNode) -> None:
        """Subscribes to the events of `node` that change the state folder."""
        self.folder = folder
        self._channel = node.channel
        self._pending = FolderChanges()
        self._in_progress: FolderChanges | None = None
        self._retry_at = 0.0
        node.on_learner = self._record_learner
        node.channel.on_behind = self._record_epoch
        node.channel.on_start_known = self._record_start

    def _record_learner(self, reason: str) -> None:
        log.error("control: node became a learner: reason=%s", reason)
        self._pending = replace(self._pending, learner_reason=reason)

    def _record_epoch(self, epoch: int) -> None:
        self._pending = replace(self._pending, epoch=epoch)

    def _record_start(self, name: str, start: KnownStart) -> None:
        known = self._channel.known_starts
        starts = {peer: known[peer] for peer in self._channel.addresses if peer in known}
        self._pending = replace(self._pending, starts=starts)

    def take_job(self, now: float) -> Callable[[], None] | None:
        """Returns a job that writes all pending changes, and raises OSError if a write fails.

        Returns None if nothing is pending, a job is in progress, or the last job failed less than
        FOLDER_RETRY_INTERVAL_S ago. The caller reports the end of the job with `job_succeeded` or
        `job_failed`.
        """
        if self._in_progress is not None or now < self._retry_at or self._pending == FolderChanges():
            return None
        self._in_progress = self._pending
        self._pending = FolderChanges()
        return partial(self._in_progress.write, self.folder)

    def job_succeeded(self) -> None:
        """Records that the job in progress has ended and its changes are durable."""
        self._in_progress = None

    def job_failed(self, error: OSError, now: float) -> None:
        """Schedules the changes of the failed job again, except values for which a newer one is pending."""
        log.error("control: state folder write failed: error=%s", error)
        assert self._in_progress is not None
        failed = self._in_progress
        self._in_progress = None
        self._retry_at = now + FOLDER_RETRY_INTERVAL_S
        self._pending = FolderChanges(
            self._pending.learner_reason or failed.learner_reason,
            self._pending.epoch or failed.epoch,
            failed.starts if self._pending.starts is None else self._pending.starts,
        )
