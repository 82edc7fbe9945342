"""The lock on a state folder, under the name by which the packages above the core import it."""

from message_sender.journal.lock import LOCK_FILE, Lock, LockTakenError, read_holder_pid

__all__ = ["LOCK_FILE", "Lock", "LockTakenError", "read_holder_pid"]
