"""Ownership of the journal, the message table and all decisions: the owner's side of a handover. Pure.

The states are:

- **Owner**: the process holds the lock. When a successor requests ownership, this process freezes, so that it
  decides, sends and records nothing more, and sends its whole state. Then it releases the lock, and ownership
  is *offered*.
- **Offered**: neither process has changed anything yet. If the successor confirms that it has the lock,
  ownership is *handed over*. If the successor is lost before that, this process tries to take the lock back:
  with the lock it is the owner again and resumes; if another process holds the lock, it has *ended*.
- **Handed over**: the process never becomes the owner again. Its attempts in flight complete and their
  outcomes are reported; then the process ends. If the successor is lost before that, the attempts are aborted
  at once, because a process that starts from the journal does not know about them.
- A request for ownership that is already offered or handed over is not answered; the requester retries.

The successor sends `owned` before it opens the journal, so that nothing has changed as long as that packet
can still be lost.
"""

from enum import Enum


class OwnershipState(Enum):
    """Progress of a process's handover to its successor."""

    OWNER = "owner"
    OFFERED = "offered"
    HANDED_OVER = "gone"
    ENDED = "ended"


class Ownership:
    """The ownership state of one process."""

    def __init__(self) -> None:
        """Begins in state OWNER."""
        self.state = OwnershipState.OWNER

    def request_handover(self) -> bool:
        """Handles a successor's request for ownership; returns whether to send it the state now."""
        if self.state is not OwnershipState.OWNER:
            return False
        self.state = OwnershipState.OFFERED
        return True

    def confirm_handover(self) -> bool:
        """Handles the successor's confirmation of the lock; returns whether to release everything now."""
        if self.state is not OwnershipState.OFFERED:
            return False
        self.state = OwnershipState.HANDED_OVER
        return True

    def lose_successor(self, is_locked: bool) -> bool:
        """Handles the loss of the successor; returns whether this process is the owner again and must resume.

        Args:
            is_locked: Whether this process has the lock again.
        """
        if self.state is not OwnershipState.OFFERED:
            return False
        self.state = OwnershipState.OWNER if is_locked else OwnershipState.ENDED
        return is_locked
