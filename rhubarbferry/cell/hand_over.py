"""Hand the ownership over to another process."""

from __future__ import annotations

from collections.abc import Callable

from rhubarbferry.cell.members import Member, successors
from rhubarbferry.cell.term_context import ProcessContext, Tenure

# Number of successors that an owner asks to take over before it gives up.
MAX_SUCCESSORS_TRIED = 2


async def hand_over(
    process: ProcessContext,
    tenure: Tenure,
    *,
    accepts: Callable[[Member], bool] = lambda member: True,
) -> Member | None:
    """Have another process replace the owner's key while this one still schedules.

    If the key were deleted first, no task would start until another process has noticed that, has
    waited for its turn in the election and has written its own key.

    :param accepts: returns whether a process may be asked.

    :returns: the new owner, ``None`` if no process has taken over.
    """
    candidates = [member for member in successors(process.own, process.view) if accepts(member)]
    for member in candidates[:MAX_SUCCESSORS_TRIED]:
        if not tenure.holds():
            return None
        taken = await process.peers.take_over(member, tenure.fence)
        process.log.emit("owner.hands_over", fence=tenure.fence, to=member.name, outcome=taken)
        if taken:
            tenure.handed_over = True
            return member
    return None
