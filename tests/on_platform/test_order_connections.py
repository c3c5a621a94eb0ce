"""Connections for orders in a cell with many hosts."""

from __future__ import annotations

import pytest

from rhubarbferry.platform.order_connections import (
    HOST_EXPIRY_S,
    MAX_CONNECTIONS_PER_HOST,
    REPORT_CONNECTIONS_PER_HOST,
    RESERVED_DESCRIPTORS,
    OrderConnections,
)


class FakeClient:
    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.closed = False

    async def close(self) -> None:
        self.closed = True


class Clock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now


def make_connections(max_descriptors: int, clock: Clock) -> OrderConnections:
    return OrderConnections(
        max_descriptors=max_descriptors,
        create_client=FakeClient,  # type: ignore[arg-type]
        monotonic=clock.monotonic,
    )


def limit(connections: OrderConnections) -> int:
    return connections.client.limit  # type: ignore[attr-defined]


@pytest.mark.parametrize("hosts", [1, 24, 176, 270, 550, 1000, 1500])
@pytest.mark.parametrize("max_descriptors", [4100, 8192])
def test_the_connections_to_all_hosts_fit_into_the_descriptors(hosts, max_descriptors):
    """Guards against an owner that can reach neither its hosts nor the store any more."""
    connections = make_connections(max_descriptors, Clock())
    for index in range(hosts):
        connections.add_host(f"10.0.0.{index}:1")
    needed = hosts * (limit(connections) + REPORT_CONNECTIONS_PER_HOST)
    assert limit(connections) >= 1
    # Hosts that one connection each would be too many for are more than one owner can have.
    assert needed <= max_descriptors - RESERVED_DESCRIPTORS or limit(connections) == 1


def test_a_small_cell_and_an_unknown_limit_allow_the_most_connections():
    for max_descriptors in (0, 4100):
        connections = make_connections(max_descriptors, Clock())
        connections.add_host("a:1")
        assert limit(connections) == MAX_CONNECTIONS_PER_HOST


def test_hosts_that_are_no_longer_called_do_not_count():
    clock = Clock()
    connections = make_connections(4100, clock)
    for index in range(1000):
        connections.add_host(f"old-{index}:1")
    assert limit(connections) < MAX_CONNECTIONS_PER_HOST
    clock.now += HOST_EXPIRY_S
    connections.add_host("new:1")
    assert limit(connections) == MAX_CONNECTIONS_PER_HOST


async def test_all_clients_are_closed():
    connections = make_connections(4100, Clock())
    first = connections.client
    for index in range(1000):
        connections.add_host(f"h-{index}:1")
    second = connections.client
    await connections.close()
    assert first is not second
    assert first.closed and second.closed  # type: ignore[attr-defined]
