"""Stored list of the hosts that owners have sent orders to, kept for the next owner."""

from __future__ import annotations

import json

import cattrs
from attrs import define, field

from rhubarbferry.cell import keys
from rhubarbferry.cell.term_context import EndSignal, OwnershipLost, Tenure
from rhubarbferry.dispatch.roster import next_fences
from rhubarbferry.dispatch.takeover import RosterEntry
from rhubarbferry.ports.store import Conflict, Expect, KeyValue, Put, Txn, TxnStore


class RosterError(Exception):
    """The stored roster can't be decoded; another version of the program may have written it."""


@define(kw_only=True, eq=False)
class Roster:
    """The stored roster. A host gets no orders before it is on it.

    The host list drops a host that has been unresponsive for some seconds, but the host's tasks
    run on until their leases expire. Without the roster a new owner would not find this host and
    would start its tasks a second time.

    :ivar entries: the last entries that the store is known to have held.
    :ivar fences: fence number of the calls to each of these hosts, by host id.
    """

    store: TxnStore
    tenure: Tenure
    entries: dict[str, RosterEntry] = field(factory=dict)
    fences: dict[str, int] = field(factory=dict)
    revision: int = 0
    _write_unclear: bool = False

    def load(self, item: KeyValue | None) -> None:
        """Load the roster that an earlier owner has written.

        :raises RosterError: if it can't be decoded; it is empty then, and :meth:`update` replaces
            it.
        """
        if item is None:
            return
        self.revision = item.mod_revision
        self.entries = _decode(item)
        self.fences = dict.fromkeys(self.entries, self.tenure.fence)

    def holds(self, id: str) -> bool:
        """Return whether a host is on the roster."""
        return id in self.entries

    async def update(self, entries: dict[str, RosterEntry]) -> bool:
        """Write the roster if it has changed, or if the result of the last write is unknown.

        A write without an answer may have taken effect, or may take effect seconds later. Writing
        again settles this even if the entries are back at those known to be stored: the new
        revision rules out the earlier write.

        :returns: whether the store now holds these entries.
        :raises StoreError: if the write failed or its result is unknown.
        :raises OwnershipLost: if another process is the owner.
        """
        if entries == self.entries and not self._write_unclear:
            return True
        self._write_unclear = True
        value = json.dumps([cattrs.unstructure(entry) for entry in entries.values()]).encode()
        result = await self.store.commit(
            Txn(
                expect=(
                    self.tenure.condition(),
                    Expect(key=keys.ROSTER, revision=self.revision),
                ),
                put=(Put(key=keys.ROSTER, value=value),),
            )
        )
        if isinstance(result, Conflict):
            self._handle_conflict(result)
            return False
        self._set_stored(entries, result.revision)
        return True

    def _handle_conflict(self, conflict: Conflict) -> None:
        owner = conflict.items.get(keys.OWNER)
        if owner is None or owner.mod_revision != self.tenure.fence:
            self.tenure.end("another process has taken over", by=EndSignal.CONFLICT)
            raise OwnershipLost("another process has taken over")
        # An earlier write by this process took effect although its answer was lost.
        item = conflict.items.get(keys.ROSTER)
        if item is not None:
            self._set_stored(_decode(item), item.mod_revision)

    def _set_stored(self, entries: dict[str, RosterEntry], revision: int) -> None:
        """Record the result of a write by this process."""
        self._write_unclear = False
        self.fences = next_fences(self.fences, self.entries, entries, revision=revision)
        self.revision = revision
        self.entries = entries


def _decode(item: KeyValue) -> dict[str, RosterEntry]:
    """Decode a stored roster.

    :raises RosterError: if the value is not a valid roster.
    """
    try:
        entries = [cattrs.structure(entry, RosterEntry) for entry in json.loads(item.value)]
    except Exception as exc:
        raise RosterError(f"the stored roster is invalid: {exc!r:.300}") from exc
    return {entry.id: entry for entry in entries}
