"""What a new owner must know before it starts tasks that an earlier owner may have started."""

from __future__ import annotations

from attrs import Factory, define, frozen


@frozen(kw_only=True, slots=True)
class RosterEntry:
    """A host that some owner has given orders to, and that may still run them.

    :param address: ``ip:port`` of its task interface, since the host list may have dropped it.
    :param incarnation: the life that the orders were meant for.
    :param outstanding: ``None`` while it may get orders. Once it gets none, the jobs of which it
        may still run something; the host stays closed until this is ``None`` again on record.
    """

    id: str
    address: str
    incarnation: int
    service: str
    outstanding: tuple[str, ...] | None = None

    def may_run(self, job: str) -> bool:
        """Tell whether tasks of a job may be running there, or may yet start."""
        return self.outstanding is None or job in self.outstanding


@define(kw_only=True, eq=False)
class Succession:
    """The hosts of the roster that have not yet answered under this owner's fence number.

    A host that cannot be reached may still run tasks for the earlier owner, and may still take
    its orders. So a task that the earlier owner may have started there waits until the host has
    answered (from then on it takes no older order), or until whatever it was given must have
    lapsed. Hosts that were silent or leaving before the takeover are closed on record, so that
    only the jobs that they had wait for them: one host that has left would otherwise hold up all
    inherited jobs for 8 s.

    :param lapsed_at: when every task lease from before must have ended: the earlier owner's
        own lease, the longest task lease and the clocks' drift after this one took over.
    """

    unconfirmed: dict[str, RosterEntry] = Factory(dict)
    lapsed_at: float

    def note_report(self, id: str) -> None:
        """Note that a host answered under the new fence number, or that its life has ended."""
        self.unconfirmed.pop(id, None)

    def pass_time(self, now: float) -> None:
        """Wait for nobody once all earlier leases have ended."""
        if now >= self.lapsed_at:
            self.unconfirmed.clear()

    def settled(self, job: str) -> bool:
        """Tell whether no task of a job can be running unseen for an earlier owner."""
        return not any(entry.may_run(job) for entry in self.unconfirmed.values())
