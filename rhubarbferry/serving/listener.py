"""Limits that the connections of a listener, and of a process, share."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from attrs import define, field
from attrs.validators import gt
from loguru import logger
from prometheus_client import Counter, Gauge

from rhubarbferry.serving.closures import Closure, Reason
from rhubarbferry.serving.limits import MIB, RequestLimits

CLOSED = Counter(
    "rhubarbferry_connections_closed_total",
    "Connections closed by the server, and requests refused with them",
    ["listener", "reason"],
)
OPEN = Gauge("rhubarbferry_connections_open", "Open connections", ["listener"])
HELD_BYTES = Gauge(
    "rhubarbferry_connections_held_bytes", "Bytes that connections hold for unanswered requests"
)

DEFAULT_LIMITS = RequestLimits()
DEFAULT_HELD_BYTES = 64 * MIB
DEFAULT_CONNECTIONS = 4096
# A client that does not read may keep a connection for this long.
DEFAULT_WRITE_TIMEOUT_S = 15.0
# Interval between two log lines with the same reason.
LOG_INTERVAL_S = 1.0
# The ordinary end of a connection, of which there are many.
NOT_LOGGED = frozenset({Reason.IDLE})

Report = Callable[..., None]


class Evictable(Protocol):
    """A connection that can be closed to make room."""

    def evict(self, closure: Closure) -> None:
        """Close the connection at once."""
        ...


def log_closure(event: str, **fields: object) -> None:
    """Write a log line for processes without a structured log."""
    logger.warning("{}: {}", event, ", ".join(f"{name} {value}" for name, value in fields.items()))


@define(kw_only=True, eq=False)
class ByteBudget:
    """Bytes that all connections of a process may hold for unanswered requests.

    :param max_bytes: limit of their sum.
    :ivar used: their sum.
    """

    max_bytes: int = field(default=DEFAULT_HELD_BYTES, validator=gt(0))
    used: int = field(default=0, init=False)
    _held: dict[Evictable, int] = field(factory=dict, init=False)
    # Connections with an incomplete request, the one that has waited longest first.
    _incomplete: dict[Evictable, None] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        HELD_BYTES.set_function(lambda: self.used)

    def hold(self, conn: Evictable, size: int, *, incomplete: bool) -> None:
        """Set the number of bytes that a connection holds; evict connections above the limit.

        :param incomplete: whether the request for which they are held is incomplete.
        """
        self.used += size - self._held.pop(conn, 0)
        if size:
            self._held[conn] = size
        if size and incomplete:
            self._incomplete.setdefault(conn)
        else:
            self._incomplete.pop(conn, None)
        while self.used > self.max_bytes and conn in self._held:
            victim = next(iter(self._incomplete), conn)
            self.release(victim)
            victim.evict(Closure(reason=Reason.HELD_BYTES, limit=self.max_bytes))

    def release(self, conn: Evictable) -> None:
        """Forget a connection."""
        self.used -= self._held.pop(conn, 0)
        self._incomplete.pop(conn, None)


@define(kw_only=True, eq=False)
class Listener:
    """The connections of one listening socket.

    :param name: label of the metrics and log lines.
    :param limits: returns the current limits of requests.
    :param budget: shared by all listeners of the process.
    :param max_connections: limit of open connections. Above it, the connection that has waited
        longest without a complete request is closed, or the new one if all have requests.
    :param write_timeout_s: seconds after which a connection is closed whose client reads nothing
        of a response.
    :param report: writes a log line from the name of an event and its fields.
    """

    name: str
    limits: Callable[[], RequestLimits] = lambda: DEFAULT_LIMITS
    budget: ByteBudget = field(factory=ByteBudget)
    max_connections: int = field(default=DEFAULT_CONNECTIONS, validator=gt(0))
    write_timeout_s: float = field(default=DEFAULT_WRITE_TIMEOUT_S, validator=gt(0))
    report: Report = log_closure
    _open: set[Evictable] = field(factory=set, init=False)
    # Connections that give way to others, the one that has waited longest first.
    _waiting: dict[Evictable, None] = field(factory=dict, init=False)
    _logged_at: dict[Reason, float] = field(factory=dict, init=False)
    _left_out: dict[Reason, int] = field(factory=dict, init=False)

    def opened(self, conn: Evictable) -> None:
        """Add a new connection, which may be evicted at once."""
        self._open.add(conn)
        if len(self._open) > self.max_connections:
            victim = next(iter(self._waiting), conn)
            victim.evict(Closure(reason=Reason.CONNECTIONS, limit=self.max_connections))
        if conn in self._open:
            self._waiting[conn] = None
        OPEN.labels(self.name).set(len(self._open))

    def mark_busy(self, conn: Evictable) -> None:
        """Note that a connection has a request in progress and doesn't give way to others."""
        self._waiting.pop(conn, None)

    def mark_waiting(self, conn: Evictable) -> None:
        """Note that a connection waits, and gives way to others after those that wait already."""
        self._waiting.pop(conn, None)
        if conn in self._open:
            self._waiting[conn] = None

    def closed(self, conn: Evictable) -> None:
        """Forget a connection."""
        self._open.discard(conn)
        self._waiting.pop(conn, None)
        self.budget.release(conn)
        OPEN.labels(self.name).set(len(self._open))

    def record(self, closure: Closure, *, peer: str) -> None:
        """Count a connection that is closed, and write a log line at a limited rate.

        :param peer: ``ip:port`` of the client.
        """
        reason = closure.reason
        CLOSED.labels(self.name, reason.value).inc()
        now = time.monotonic()
        if reason in NOT_LOGGED:
            return
        if now - self._logged_at.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            self._left_out[reason] = self._left_out.get(reason, 0) + 1
            return
        self._logged_at[reason] = now
        self.report(
            "connection.closed",
            listener=self.name,
            peer=peer,
            reason=reason.value,
            limit=closure.limit,
            open=len(self._open),
            held_bytes=self.budget.used,
            more=self._left_out.pop(reason, 0),
        )
