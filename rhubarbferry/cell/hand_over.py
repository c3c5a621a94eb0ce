"""Let another process replace the key of the owner."""

from __future__ import annotations

from rhubarbferry.cell.context import Surroundings, Tenure
from rhubarbferry.cell.members import Member, successors

# An owner that gives the work up asks this many others to take over.
SUCCESSORS_ASKED = 2


async def hand_over(around: Surroundings, tenure: Tenure) -> Member | None:
    """Let another process replace the owner's key while this one still decides.

    Were the key removed first, nothing would start until another process has seen it, has had its
    turn and has written its own.

    :returns: the new owner, ``None`` where nobody has taken over.
    """
    for member in successors(around.own, around.view)[:SUCCESSORS_ASKED]:
        if not tenure.holds():
            return None
        taken = await around.peers.take_over(member, tenure.fence)
        around.log.emit("owner.hands_over", fence=tenure.fence, to=member.name, outcome=taken)
        if taken:
            tenure.handed_over = True
            return member
    return None
