"""Who owns the journal, the table of messages and every decision. Pure; the owner's side of a handover.

The rules:

- **Owner**: holds the lock. A successor that requests it is told everything once this process is frozen: it
  decides, sends and records nothing from then on. Then the lock is released and ownership is *offered*.
- **Offered**: nobody has changed anything yet. If the successor says that it has the lock, ownership is
  *handed over*. If the successor is lost first, the lock decides: got back, this process is owner again and
  goes on as it was; taken by somebody, it has *ended*.
- **Handed over**: never owner again. Its calls come to their ends and are reported; then the process ends.
  Where the successor is lost first, they end at once: who starts from the journal knows nothing of them.
- Whoever requests ownership that is offered or handed over is told nothing, and tries again.

The successor says *owned* before it opens the journal: so nothing has changed while that packet can still be
lost.
"""

from enum import Enum


class OwnershipState(Enum):
    """How far a process has handed over."""

    OWNER = "owner"
    OFFERED = "offered"
    HANDED_OVER = "gone"
    ENDED = "ended"


class Ownership:
    """Ownership as one process has it."""

    def __init__(self) -> None:
        """Begins as the owner."""
        self.state = OwnershipState.OWNER

    def request_handover(self) -> bool:
        """A successor requests ownership. Returns whether it is told everything now."""
        if self.state is not OwnershipState.OWNER:
            return False
        self.state = OwnershipState.OFFERED
        return True

    def confirm_handover(self) -> bool:
        """The successor has the lock. Returns whether everything is to be released now."""
        if self.state is not OwnershipState.OFFERED:
            return False
        self.state = OwnershipState.HANDED_OVER
        return True

    def lose_successor(self, is_locked: bool) -> bool:
        """The successor has ended. Returns whether all goes on as it was.

        Args:
            is_locked: This process has the lock again.
        """
        if self.state is not OwnershipState.OFFERED:
            return False
        self.state = OwnershipState.OWNER if is_locked else OwnershipState.ENDED
        return is_locked
