"""How a process has become the owner, for the log."""

from __future__ import annotations

import enum

from attrs import frozen

from rhubarbferry.cell.members import Ownership


class Opportunity(enum.Enum):
    """Why a process may write the owner's key."""

    VACANT = "vacant"
    LEASE_REVOKED = "former lease revoked"
    HANDED_OVER = "handed over"
    OWN_EARLIER = "own earlier incarnation"


@frozen(kw_only=True, slots=True)
class Acquisition:
    """An attempt to become the owner.

    :param former: the owner that this process saw last.
    :param replaces: revision of the owner's key to replace, 0 if there was none.
    :param sent_at: monotonic time before the owner's key was written.
    """

    opportunity: Opportunity
    former: Ownership | None
    replaces: int
    sent_at: float

    @property
    def former_fence(self) -> int | None:
        """Fence number of the owner before, ``None`` if this process has not seen one."""
        if self.replaces:
            return self.replaces
        return self.former.fence if self.former is not None else None

    @property
    def former_name(self) -> str | None:
        """Name of the owner before, ``None`` if this process does not know it."""
        if self.former is None or self.former.fence != self.former_fence:
            return None
        return self.former.owner.name
