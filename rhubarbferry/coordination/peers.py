"""Fetch the configuration from other processes while the store is unavailable."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from rhubarbferry.core.configuration import ConfigRecord
from rhubarbferry.rpc import Pool, RpcError
from rhubarbferry.rpc.gen.ttypes import StatusReply, StatusRequest

CALL_TIMEOUT_S = 1.0


class PeerConfiguration:
    """Read the active configuration of peers with the ``status`` RPC.

    :param pool: connection pool for calls to the peers; every service of this project implements
        ``status``.
    :param addresses: ``ip:port`` of their RPC servers.
    """

    def __init__(self, *, pool: Pool, addresses: Sequence[str]) -> None:
        self._pool = pool
        self._addresses = tuple(addresses)

    async def __call__(self) -> ConfigRecord | None:
        """Return the highest revision active at any peer; ``None`` when no peer answers."""
        answers = await asyncio.gather(*(self._fetch(address) for address in self._addresses))
        found = [record for record in answers if record is not None]
        return max(found, key=lambda record: record.revision, default=None)

    async def _fetch(self, address: str) -> ConfigRecord | None:
        try:
            reply: StatusReply = await self._pool.call(
                address, "status", StatusRequest(), timeout_s=CALL_TIMEOUT_S
            )
        except RpcError:
            return None
        if not reply.config_revision or reply.config_text is None:
            return None
        text = bytes(reply.config_text).decode(errors="replace")
        return ConfigRecord(revision=reply.config_revision, text=text, author=reply.member_id)
