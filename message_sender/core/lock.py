"""The lock on a state folder, under the name by which the parts above the core know it."""

from message_sender.journal.lock import FILE, Lock, LockTakenError, holder

__all__ = ["FILE", "Lock", "LockTakenError", "holder"]
