"""What a new owner must know before it starts tasks that an earlier owner may have started."""

from __future__ import annotations

from attrs import Factory, define, frozen


@frozen(kw_only=True, slots=True)
class RosterEntry:
    """A host that some owner has given orders to, and that may still run them.

    :param address: ``ip:port`` of its task interface, since the host list may have dropped it.
    :param incarnation: the life that the orders were meant for.
    """

    id: str
    address: str
    incarnation: int
    service: str


@define(kw_only=True, eq=False)
class Succession:
    """The hosts of the roster that have not yet answered under this owner's fence number.

    A host that cannot be reached may still run tasks for the earlier owner, and may still take
    its orders. So a task that the earlier owner may have started waits until each host of the
    roster has answered (from then on it takes no older order), or until whatever it was given
    must have lapsed.

    :param lapsed_at: when every task lease from before must have ended: the earlier owner's
        own lease, the longest task lease and the clocks' drift after this one took over.
    """

    unheard: dict[str, RosterEntry] = Factory(dict)
    lapsed_at: float

    def heard(self, id: str) -> None:
        """Note that a host answered under the new fence number, or that its life has ended."""
        self.unheard.pop(id, None)

    def settled(self, now: float) -> bool:
        """Tell whether no task of an earlier owner can be running unseen."""
        return not self.unheard or now >= self.lapsed_at
