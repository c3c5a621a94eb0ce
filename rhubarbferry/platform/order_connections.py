"""Connections for orders to hosts, within the descriptors that the process may use."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from prometheus_client import Gauge

from rhubarbferry.platform.http_client import JsonClient

CONNECTIONS_PER_HOST = Gauge(
    "rhubarbferry_order_connections_per_host", "Most connections for orders to one host"
)
# More connections to one host are of no use: a host is rarely given more tasks at one moment.
MAX_CONNECTIONS_PER_HOST = 8
# Descriptors for files, clients, other processes, the store and new connections of all kinds.
RESERVED_DESCRIPTORS = 1300
# Each host also has a connection on which its reports are awaited, and may have a second one while
# a silent one is replaced.
REPORT_CONNECTIONS_PER_HOST = 2
# A host that was not called for this long does not count any more.
HOST_EXPIRY_S = 60.0


@define(kw_only=True, eq=False)
class OrderConnections:
    """Clients for orders, with fewer connections to each host the more hosts there are.

    Connections stay open between orders, so a process with many hosts would run out of descriptors,
    and then it could reach neither its hosts nor the store.

    :param max_descriptors: descriptors that the process may use; 0 if unknown.
    :param create_client: returns a client with a limit of connections to each host.
    :param monotonic: returns the monotonic time in seconds.
    """

    max_descriptors: int
    create_client: Callable[[int], JsonClient]
    monotonic: Callable[[], float]
    _called_at: dict[str, float] = field(factory=dict)
    _clients: dict[int, JsonClient] = field(factory=dict)
    _limit: int = MAX_CONNECTIONS_PER_HOST

    def add_host(self, address: str) -> None:
        """Count a host that is being called."""
        now = self.monotonic()
        is_new = address not in self._called_at
        self._called_at[address] = now
        if is_new:
            self._called_at = {
                known: at for known, at in self._called_at.items() if now - at < HOST_EXPIRY_S
            }
            self._limit = self._limit_for(len(self._called_at))
            CONNECTIONS_PER_HOST.set(self._limit)

    def _limit_for(self, hosts: int) -> int:
        """Return a power of two, so that a changing number of hosts needs only a few clients."""
        limit = MAX_CONNECTIONS_PER_HOST
        if not self.max_descriptors:
            return limit
        available = self.max_descriptors - RESERVED_DESCRIPTORS
        while limit > 1 and hosts * (limit + REPORT_CONNECTIONS_PER_HOST) > available:
            limit //= 2
        return limit

    @property
    def client(self) -> JsonClient:
        """The client for the next order."""
        client = self._clients.get(self._limit)
        if client is None:
            client = self._clients[self._limit] = self.create_client(self._limit)
        return client

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()
