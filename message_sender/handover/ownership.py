"""Who owns the journal, the table of messages and every decision. Pure; the owner's side of a hand-over.

The rules:

- **owner**: holds the lock. One that asks to follow is told everything once this one is frozen: it decides,
  sends and records nothing from then on. Then the lock is let go and it is *offered*.
- **offered**: nobody has changed anything yet. If the other one says that it has the lock, this one is
  *gone*. If the other one is lost first, the lock decides: got back, this one is owner again and goes on as
  it was; taken by somebody, it has *ended*.
- **gone**: never owner again. Its calls come to their ends and are told; then the process ends. Where the
  one that followed is lost first, they end at once: who starts from the journal knows nothing of them.
- Whoever asks an owner that is offered or gone is told nothing, and tries again.

The one that follows says *owned* before it opens the journal: so nothing has changed while that word can
still be lost.
"""

from enum import Enum


class OwnershipState(Enum):
    OWNER = "owner"
    OFFERED = "offered"
    GONE = "gone"
    ENDED = "ended"


class Ownership:
    def __init__(self) -> None:
        self.side = OwnershipState.OWNER

    def asked(self) -> bool:
        """Somebody wants to follow; whether it is told everything now."""
        if self.side is not OwnershipState.OWNER:
            return False
        self.side = OwnershipState.OFFERED
        return True

    def owned(self) -> bool:
        """It has the lock; whether everything is to be let go now."""
        if self.side is not OwnershipState.OFFERED:
            return False
        self.side = OwnershipState.GONE
        return True

    def lost(self, locked: bool) -> bool:
        """It is no more; `locked`: this one has the lock again. Whether all is to go on as it was."""
        if self.side is not OwnershipState.OFFERED:
            return False
        self.side = OwnershipState.OWNER if locked else OwnershipState.ENDED
        return locked
