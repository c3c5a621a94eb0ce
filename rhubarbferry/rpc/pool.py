"""Connections to other processes, opened when first used."""

from __future__ import annotations

import asyncio
from typing import Any

from rhubarbferry.rpc.codec import Service
from rhubarbferry.rpc.connection import Connection, Timing


class Pool:
    """One connection for each address, replaced when it has failed."""

    def __init__(self, *, service: Service, timing: Timing | None = None) -> None:
        self._service = service
        self._timing = timing or Timing()
        self._conns: dict[str, Connection] = {}
        self._opening: dict[str, asyncio.Task[Connection]] = {}

    async def call(
        self, address: str, method: str, req: Any, *, timeout_s: float, region: str = ""
    ) -> Any:
        """Call ``method`` of the process at ``address``; errors as in :meth:`Connection.call`."""
        conn = self._conns.get(address)
        if conn is None or conn.closed:
            conn = await self._open(address, region)
        return await conn.call(method, req, timeout_s=timeout_s)

    async def _open(self, address: str, region: str) -> Connection:
        task = self._opening.get(address)
        if task is None:
            task = asyncio.create_task(self._connect(address, region))
            self._opening[address] = task
        # Shielded, since many callers wait for one connection and one may be cancelled.
        return await asyncio.shield(task)

    async def _connect(self, address: str, region: str) -> Connection:
        try:
            conn = await Connection.open(
                service=self._service,
                address=address,
                timing=self._timing,
                peer_region=region,
            )
            old = self._conns.get(address)
            self._conns[address] = conn
        finally:
            del self._opening[address]
        if old is not None:
            await old.close()
        return conn

    async def forget(self, address: str) -> None:
        """Close the connection to a process that has gone."""
        conn = self._conns.pop(address, None)
        if conn is not None:
            await conn.close()

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self._conns):
            await self.forget(address)
