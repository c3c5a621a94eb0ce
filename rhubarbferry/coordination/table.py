"""Write the ownership table by compare-and-swap."""

from __future__ import annotations

import itertools

from prometheus_client import Counter

from rhubarbferry.coordination.keys import OWNERSHIP
from rhubarbferry.coordination.records import TableRecord, decode, encode
from rhubarbferry.core.ownership import Table
from rhubarbferry.ports.store import Store, StoreUnclear

TABLE_WRITES = Counter(
    "rhubarbferry_table_writes_total", "Attempts to write the ownership table", ["result"]
)


class TableWriter:
    """Write the table as one member.

    :param writer_id: the member, part of each value to know one's own write again.
    """

    def __init__(self, *, store: Store, writer_id: str) -> None:
        self._store = store
        self._writer_id = writer_id
        self._write_numbers = itertools.count(1)

    async def write(self, table: Table, *, based_on: int) -> bool:
        """Replace the table whose last write was store revision ``based_on`` (0: there is none).

        :returns: whether this write is_stored; ``False`` when another one came first.
        :raises StoreError: when that is not known. Read the table before the next attempt.
        """
        write_id = str(next(self._write_numbers))
        value = encode(TableRecord(table=table, writer_id=self._writer_id, write_id=write_id))
        try:
            if based_on == 0:
                revision = await self._store.create(OWNERSHIP, value)
            else:
                revision = await self._store.put_if(OWNERSHIP, value, mod_revision=based_on)
        except StoreUnclear:
            is_stored = await self._is_stored(write_id)
            TABLE_WRITES.labels("read_back").inc()
            return is_stored
        TABLE_WRITES.labels("refused" if revision is None else "written").inc()
        return revision is not None

    async def _is_stored(self, write_id: str) -> bool:
        # Repeating the write would be refused by its own first copy, and a caller told "refused"
        # would plan again although its table is_stored.
        kv = await self._store.get(OWNERSHIP)
        if kv is None:
            return False
        record = decode(OWNERSHIP, kv.value, TableRecord)
        return (record.writer_id, record.write_id) == (self._writer_id, write_id)
