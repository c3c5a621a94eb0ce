"""A holder's local record of its lease in the store."""

from __future__ import annotations

from attrs import evolve, frozen


@frozen(kw_only=True, slots=True)
class Lease:
    """A lease whose expiry the holder computes on its own monotonic clock.

    The store starts a lease term when a renewal arrives, the holder before it sends the renewal.
    The lease therefore expires at the holder first, whatever the latency of the call or its reply.

    :param id: lease id assigned by the store.
    :param incarnation: number of this lease among those of the process, from 1.
    :param until: monotonic time by which the holder must have stopped acting.
    :param margin_s: subtracted from each term to allow for clocks that run at different rates.
    """

    id: int
    incarnation: int
    until: float
    margin_s: float

    @classmethod
    def granted(
        cls, *, id: int, incarnation: int, asked_at: float, ttl_s: float, margin_s: float
    ) -> Lease:
        """Return a new lease.

        :param asked_at: monotonic time BEFORE the request was sent.
        """
        until = asked_at + ttl_s - margin_s
        return cls(id=id, incarnation=incarnation, until=until, margin_s=margin_s)

    def renewed(self, *, asked_at: float, ttl_s: float) -> Lease:
        """Return the lease extended by a renewal that the store has confirmed.

        :param asked_at: monotonic time BEFORE the renewal was sent.
        """
        return evolve(self, until=max(self.until, asked_at + ttl_s - self.margin_s))

    def holds(self, now: float) -> bool:
        """Return whether the lease is certain to be still valid in the store."""
        return now < self.until
