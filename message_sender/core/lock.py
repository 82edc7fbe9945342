"""The lock on a state folder, re-exported for the packages that use the core."""

from message_sender.journal.lock import LOCK_FILE, Lock, LockTakenError, read_holder_pid

__all__ = ["LOCK_FILE", "Lock", "LockTakenError", "read_holder_pid"]
