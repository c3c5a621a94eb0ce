"""Base class of the partitions that a scheduler owns."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from enum import StrEnum

from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.rpc import Handler
from rhubarbferry.scheduler.context import Context


class Phase(StrEnum):
    """The lifecycle phase of a partition."""

    RECOVERING = "recovering"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Partition(ABC):
    """One partition during one tenure: recover, then serve until the tenure ends.

    The daemon creates an object for each tenure and discards it when the tenure ends. A
    partition that is won again gets a new object, so no state of an earlier tenure is used
    under a new epoch.

    :param tenure: the right to act as owner; ``tenure.holds()`` is checked right before each
        action.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context) -> None:
        self.tenure = tenure
        self.ctx = ctx
        self.phase = Phase.RECOVERING

    @abstractmethod
    def handlers(self) -> Mapping[str, Handler]:
        """Return the RPC methods that this partition serves.

        Handlers may be called in any phase. While the phase is not ``SERVING`` they must reply
        "not owner" or refuse with a retry delay.
        """

    @abstractmethod
    async def recover(self) -> None:
        """Rebuild the state from records and from the processes that carry out decisions.

        Return only when it is safe to make new decisions. May be cancelled at any await.
        """

    @abstractmethod
    async def serve(self) -> None:
        """Run background tasks until cancelled; called after :meth:`recover`."""

    async def drain(self) -> None:
        """Finish work that must not be interrupted by a hand-over; bounded in time."""

    async def close(self) -> None:
        """Release all resources; the tenure has ended, so nothing may be sent any more."""

    def depth(self) -> int:
        """Return the number of waiting requests or tasks."""
        return 0
