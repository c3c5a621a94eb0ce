"""The hosts that owners have given orders to, on record for the next owner."""

from __future__ import annotations

import json

import cattrs
from attrs import define, field

from rhubarbferry.cell import keys
from rhubarbferry.cell.context import OwnershipLost, Tenure
from rhubarbferry.dispatch.succession import RosterEntry
from rhubarbferry.ports.store import Conflict, Expect, KeyValue, Put, Txn, TxnStore


@define(kw_only=True, eq=False)
class Roster:
    """The recorded hosts. A host gets no order before it stands here.

    The host list forgets a host that has been silent for some seconds, yet its tasks run on
    until their leases end. Without this record a new owner could not know of it, and would
    start its tasks a second time.
    """

    store: TxnStore
    tenure: Tenure
    entries: dict[str, RosterEntry] = field(factory=dict)
    revision: int = 0

    def load(self, item: KeyValue | None) -> None:
        """Take in what an earlier owner has written."""
        if item is None:
            return
        self.revision = item.mod_revision
        rows = [cattrs.structure(row, RosterEntry) for row in json.loads(item.value)]
        self.entries = {row.id: row for row in rows}

    def holds(self, id: str) -> bool:
        """Tell whether a host stands on the roster."""
        return id in self.entries

    async def update(self, entries: dict[str, RosterEntry]) -> bool:
        """Write the roster if it is another one; return whether it stands on record.

        :raises StoreError: when it may not have been written.
        :raises OwnershipLost: when another process owns the work.
        """
        if entries == self.entries:
            return True
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
            self._conflict(result)
            return False
        self.revision = result.revision
        self.entries = entries
        return True

    def _conflict(self, conflict: Conflict) -> None:
        owner = conflict.items.get(keys.OWNER)
        if owner is None or owner.mod_revision != self.tenure.fence:
            self.tenure.end("another process has taken over")
            raise OwnershipLost("another process has taken over")
        # A write of ours whose answer was lost has taken effect after all.
        self.load(conflict.items.get(keys.ROSTER))
