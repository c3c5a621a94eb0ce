"""Call the current owner of a partition, and follow changes of ownership."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from attrs import frozen
from loguru import logger

from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import OwnershipView
from rhubarbferry.rpc import CallRejected, CallUnclear, PeerUnreachable, Pool

LOOKUP_INTERVAL_S = 0.05


@frozen(kw_only=True, slots=True)
class Replied:
    """The reply of the owner.

    :param called_at: start of the call, on the monotonic clock.
    :param epoch: epoch of the owner that was called.
    :param unclear: whether an earlier call got no reply and may have taken effect.
    """

    reply: Any
    called_at: float
    epoch: int
    unclear: bool


@frozen(kw_only=True, slots=True)
class NoReply:
    """No owner replied in time.

    :param unclear: whether a call may have taken effect.
    :param store_lost: whether the calls ended early because the store is unreachable.
    """

    unclear: bool
    store_lost: bool = False


class Owners:
    """Look up and call the owners of partitions; repeat the lookup after a change of ownership.

    :param owner_timeout_s: how long to wait for a partition to have a serving owner. The time
        that a call spends at an owner, for example in its queue, does not count.
    :param store_lost: returns whether the store has been unreachable from this process for
        longer than a lease.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ownership: OwnershipView,
        pool: Pool,
        owner_timeout_s: float,
        store_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._pool = pool
        self._owner_timeout_s = owner_timeout_s
        self._store_lost = store_lost

    async def call(
        self,
        partition: PartitionId,
        method: str,
        build: Callable[[int], Any],
        *,
        deadline: float,
        not_owner: Callable[[Any], bool],
        before_retry: Callable[[], Any] | None = None,
    ) -> Replied | NoReply:
        """Call ``method`` until the partition's owner replies.

        :param build: returns the request for an epoch.
        :param deadline: on the monotonic clock.
        :param not_owner: returns whether a reply means that the callee is not the owner.
        :param before_retry: awaited before repeating a call that may have taken effect.
        """
        unclear = False
        started_at = self._clock.monotonic()
        owner_deadline = started_at + self._owner_timeout_s
        failures: Counter[str] = Counter()
        while (now := self._clock.monotonic()) < min(deadline, owner_deadline):
            owner = self._ownership.owner(partition)
            if owner is None:
                failures["no owner"] += 1
            else:
                try:
                    reply = await self._pool.call(
                        owner.address,
                        method,
                        build(owner.epoch),
                        timeout_s=deadline - now,
                        region=partition.region,
                    )
                    if not not_owner(reply):
                        return Replied(
                            reply=reply, called_at=now, epoch=owner.epoch, unclear=unclear
                        )
                    # The call may have been in the owner's queue for a long time. An immediate
                    # "not owner" adds nothing, so that the wait for an owner stays bounded.
                    owner_deadline += self._clock.monotonic() - now
                    failures["not owner"] += 1
                except PeerUnreachable:
                    failures["unreachable"] += 1
                except (CallUnclear, CallRejected) as exc:
                    owner_deadline += self._clock.monotonic() - now
                    failures["rejected" if isinstance(exc, CallRejected) else "no reply"] += 1
                    unclear = True
                    if before_retry is not None:
                        await before_retry()
            if self._cannot_be_served(partition):
                return NoReply(unclear=unclear, store_lost=True)
            await self._clock.sleep(LOOKUP_INTERVAL_S)
        logger.warning(
            "{} of {} got no reply in {:.2f} s: {}",
            method,
            partition,
            self._clock.monotonic() - started_at,
            ", ".join(f"{count} x {failure}" for failure, count in failures.items()),
        )
        return NoReply(unclear=unclear)

    def _cannot_be_served(self, partition: PartitionId) -> bool:
        """Return whether no owner can serve the partition until the store is reachable again.

        The known owner is gone or does not have the records. Without the store, no successor can
        claim the partition or record anything, so callers would wait in vain until their deadlines.
        """
        return partition.kind is PartitionKind.KEY and self._store_lost()

    async def call_once(
        self, partition: PartitionId, method: str, req: Any, *, timeout_s: float
    ) -> Any:
        """Call the current owner once; return ``None`` if there is none or it does not reply.

        ``req.epoch`` is set to the epoch of the owner.
        """
        owner = self._ownership.owner(partition)
        if owner is None:
            return None
        req.epoch = owner.epoch
        try:
            return await self._pool.call(
                owner.address, method, req, timeout_s=timeout_s, region=partition.region
            )
        except (PeerUnreachable, CallUnclear, CallRejected):
            return None
