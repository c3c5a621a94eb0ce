"""Pool of connections to other processes, opened on first use."""

from __future__ import annotations

import asyncio
from typing import Any

from rhubarbferry.rpc.codec import Service
from rhubarbferry.rpc.connection import Connection, Timing


class Pool:
    """Keeps one connection to each address and replaces it when it has failed."""

    def __init__(self, *, service: Service, timing: Timing | None = None) -> None:
        self._service = service
        self._timing = timing or Timing()
        self._conns: dict[str, Connection] = {}
        self._connecting: dict[str, asyncio.Task[Connection]] = {}

    async def call(
        self, address: str, method: str, req: Any, *, timeout_s: float, region: str = ""
    ) -> Any:
        """Call ``method`` of the process at ``address``; raise as :meth:`Connection.call` does.

        :param region: region of the process, a label of the metric of bytes sent.
        """
        conn = self._conns.get(address)
        if conn is None or conn.closed:
            conn = await self._get_connection(address, region)
        return await conn.call(method, req, timeout_s=timeout_s)

    async def _get_connection(self, address: str, region: str) -> Connection:
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.create_task(self._connect(address, region))
            self._connecting[address] = task
        # Shielded, since several callers may wait for this connection and one of them may be
        # cancelled.
        return await asyncio.shield(task)

    async def _connect(self, address: str, region: str) -> Connection:
        try:
            conn = await Connection.open(
                service=self._service,
                address=address,
                timing=self._timing,
                peer_region=region,
            )
            replaced = self._conns.get(address)
            self._conns[address] = conn
        finally:
            del self._connecting[address]
        if replaced is not None:
            await replaced.close()
        return conn

    async def close_connection(self, address: str) -> None:
        """Close the connection to a process that has ended."""
        conn = self._conns.pop(address, None)
        if conn is not None:
            await conn.close()

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self._conns):
            await self.close_connection(address)
