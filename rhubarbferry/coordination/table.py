"""Write the ownership table by compare-and-swap."""

from __future__ import annotations

import itertools

from prometheus_client import Counter

from rhubarbferry.coordination.keys import OWNERSHIP_KEY
from rhubarbferry.coordination.records import TableRecord, decode, encode
from rhubarbferry.core.ownership import Table
from rhubarbferry.ports.store import Store, StoreUnclear

TABLE_WRITES = Counter(
    "rhubarbferry_table_writes_total", "Attempts to write the ownership table", ["result"]
)


class TableWriter:
    """Write the ownership table on behalf of one member.

    :param writer_id: the id of this member, stored with the table to identify its own writes.
    """

    def __init__(self, *, store: Store, writer_id: str) -> None:
        self._store = store
        self._writer_id = writer_id
        self._write_numbers = itertools.count(1)

    async def write(self, table: Table, *, based_on: int) -> bool:
        """Replace the table last written at store revision ``based_on`` (0: there is no table).

        :returns: whether this table was stored; ``False`` when another write came first.
        :raises StoreError: when this is unknown. Read the table before the next attempt.
        """
        write_id = str(next(self._write_numbers))
        value = encode(TableRecord(table=table, writer_id=self._writer_id, write_id=write_id))
        try:
            if based_on == 0:
                revision = await self._store.create(OWNERSHIP_KEY, value)
            else:
                revision = await self._store.put_if(OWNERSHIP_KEY, value, mod_revision=based_on)
        except StoreUnclear:
            is_stored = await self._is_stored(write_id)
            TABLE_WRITES.labels("read_back").inc()
            return is_stored
        TABLE_WRITES.labels("refused" if revision is None else "written").inc()
        return revision is not None

    async def _is_stored(self, write_id: str) -> bool:
        # Don't repeat the write: if the first attempt was stored, the repetition would be
        # rejected, and the caller would plan again although its table is in place.
        kv = await self._store.get(OWNERSHIP_KEY)
        if kv is None:
            return False
        record = decode(OWNERSHIP_KEY, kv.value, TableRecord)
        return (record.writer_id, record.write_id) == (self._writer_id, write_id)
