"""Map the host and path of a client's request to a queue."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define, field, frozen

from rhubarbferry.cell.accounts import AccountTable
from rhubarbferry.dispatch.messages import Queue


@frozen(kw_only=True, slots=True)
class Route:
    """Assign requests for ``host`` whose path begins with ``prefix`` to ``queue``.

    :param public: whether its calls need no API key.
    """

    host: str
    prefix: str
    queue: Queue
    public: bool = False


# Limits while none are configured.
DEFAULT_HEAD_BYTES = 16_384
DEFAULT_BODY_BYTES = 262_144
DEFAULT_HEAD_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0


@frozen(kw_only=True, slots=True)
class Limits:
    """Limits of clients' requests.

    :param head_bytes: largest request line and headers in bytes.
    :param body_bytes: largest request body in bytes.
    :param head_timeout_s: seconds that a client may take for the request line and the headers.
    :param idle_timeout_s: seconds for which a connection without a request is kept.
    """

    head_bytes: int = DEFAULT_HEAD_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    head_timeout_s: float = DEFAULT_HEAD_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@define(kw_only=True, eq=False)
class RouteTable:
    """Routes, limits and client accounts of the configuration in force.

    The index is built once per revision: by host, then by prefix with the longest first, so that
    the cost of a request does not depend on the number of routes of other hosts.

    :param version: version number assigned by the operator, for logs.
    :param revision: store revision of the configuration.
    :ivar queues: queues by name.
    """

    version: int
    revision: int
    routes: Iterable[Route]
    limits: Limits = Factory(Limits)
    accounts: AccountTable = Factory(AccountTable)
    queues: dict[str, Queue] = field(init=False)
    _by_host: dict[str, list[Route]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.queues = {route.queue.name: route.queue for route in self.routes}
        self._by_host = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or ``None``."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
