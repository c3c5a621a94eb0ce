"""What a new owner must learn before it starts tasks that an earlier owner may have started."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define, evolve, frozen


@frozen(kw_only=True, slots=True)
class RosterEntry:
    """Stored entry for a host that has received orders and may still carry them out.

    :param address: ``ip:port`` of its task interface, as the host list may no longer contain the
        host.
    :param incarnation: incarnation that the orders were sent to.
    :param service: pool that it belongs to.
    :param outstanding: ``None`` while the host may receive orders. Otherwise the host is closed,
        and these are the jobs that it may still run, or of which it may have ended tasks whose ends
        are not recorded; it stays closed until this is ``None`` again in the store.
    """

    id: str
    address: str
    incarnation: int
    service: str
    outstanding: tuple[str, ...] | None = None

    def may_run(self, job: str) -> bool:
        """Return whether tasks of a job may be running on the host, start there, or have ended."""
        return self.outstanding is None or job in self.outstanding


@frozen(kw_only=True, slots=True)
class HostsGivenUp:
    """Hosts that a new owner has stopped waiting for, since all earlier leases must have expired.

    :param hosts: ids of the hosts that have not answered.
    :param jobs: ids of the inherited jobs that waited for them.
    :param roster_known: whether the stored roster could be read.
    :param waited_s: time since the takeover.
    """

    hosts: tuple[str, ...]
    jobs: tuple[str, ...]
    roster_known: bool
    waited_s: float


@define(kw_only=True, eq=False)
class Takeover:
    """Hosts of the roster that have not been adopted by the new owner yet.

    A host that can't be reached may still run tasks of the earlier owner and accept its orders. So
    a task that the earlier owner may have started there waits until the host has answered, after
    which it refuses orders with an older fence, and the runs that it reports are known, or until
    all its leases must have expired. After a report that only shows a restart, the jobs that this
    report names still wait. Hosts that were silent or leaving before the takeover are closed in the
    roster, so only the jobs listed there wait for them. Otherwise a single host that has left would
    delay all inherited jobs by 8 s.

    :param unconfirmed: roster entries of the hosts that have not been adopted yet, by id.
    :param roster_known: whether ``unconfirmed`` lists all hosts that may run tasks. If not, all
        inherited jobs wait until the earlier leases must have expired.
    :param leases_expire_at: when every earlier task lease must have expired: the time from which
        the earlier owner can't extend its own lease, plus that lease, the longest task lease and
        the maximum clock drift. Infinite until that time is known.
    :param began_at: time of the takeover.
    """

    unconfirmed: dict[str, RosterEntry] = Factory(dict)
    roster_known: bool = True
    leases_expire_at: float
    began_at: float = 0.0

    def record_adoption(self, id: str) -> None:
        """Record that a host has answered under the new fence and that its runs are known."""
        self.unconfirmed.pop(id, None)

    def record_restart(self, id: str, jobs: Iterable[str]) -> None:
        """Record that a later incarnation of a host has answered under the new fence.

        From then on it refuses orders of an earlier owner, and the earlier incarnation has ended.

        :param jobs: jobs of the runs and the ends that it reports, which are not adopted yet.
        """
        entry = self.unconfirmed.get(id)
        if entry is not None:
            self.unconfirmed[id] = evolve(entry, outstanding=tuple(sorted(jobs)))

    def record_host_gone(self, id: str) -> None:
        """Record that the incarnation of a host which received orders has ended.

        Each order was sent to its address, where another host answers now.
        """
        self.unconfirmed.pop(id, None)

    def gives_up_hosts(self, now: float) -> bool:
        """Return whether :meth:`expire` would stop waiting for hosts now."""
        waiting = bool(self.unconfirmed) or not self.roster_known
        return waiting and now >= self.leases_expire_at

    def expire(self, now: float) -> None:
        """Stop waiting for hosts once all earlier leases must have expired."""
        if now >= self.leases_expire_at:
            self.unconfirmed.clear()
            self.roster_known = True

    def may_resume(self, job: str) -> bool:
        """Return whether no unconfirmed host can be running tasks of a job."""
        return self.roster_known and not any(
            entry.may_run(job) for entry in self.unconfirmed.values()
        )
