"""The lock on a state folder, under the name by which the packages above the core import it."""

from message_sender.journal.lock import FILE, Lock, LockTakenError, holder

__all__ = ["FILE", "Lock", "LockTakenError", "holder"]
