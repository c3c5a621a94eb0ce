"""Limits of the connections of a listener, and the record of those that it closes."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field
from attrs.validators import gt
from loguru import logger
from prometheus_client import Counter

from rhubarbferry.serving.closures import Closure, Reason
from rhubarbferry.serving.limits import RequestLimits

CLOSED = Counter(
    "rhubarbferry_connections_closed_total",
    "Connections closed by the server, and requests refused with them",
    ["listener", "reason"],
)

# A client that does not read may keep a connection for this long.
DEFAULT_WRITE_TIMEOUT_S = 15.0
# Interval between two log lines with the same reason.
LOG_INTERVAL_S = 1.0
# The ordinary end of a connection, of which there are many.
NOT_LOGGED = frozenset({Reason.IDLE})

Report = Callable[..., None]


def log_closure(event: str, **fields: object) -> None:
    """Write a log line for processes without a structured log."""
    logger.warning("{}: {}", event, ", ".join(f"{name} {value}" for name, value in fields.items()))


@define(kw_only=True, eq=False)
class Listener:
    """The connections of one listening socket.

    :param name: label of the metrics and log lines.
    :param limits: returns the current limits of requests.
    :param write_timeout_s: seconds after which a connection is closed whose client reads nothing
        of a response.
    :param report: writes a log line from the name of an event and its fields.
    """

    name: str
    limits: Callable[[], RequestLimits] = RequestLimits
    write_timeout_s: float = field(default=DEFAULT_WRITE_TIMEOUT_S, validator=gt(0))
    report: Report = log_closure
    _logged_at: dict[Reason, float] = field(factory=dict, init=False)
    _left_out: dict[Reason, int] = field(factory=dict, init=False)

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
            more=self._left_out.pop(reason, 0),
        )
