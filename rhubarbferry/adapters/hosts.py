"""Poll the platform's list of hosts, in the HTTP service discovery format of Prometheus."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
from attrs import frozen
from loguru import logger
from prometheus_client import Counter

from rhubarbferry.coordination.change_notifier import ChangeNotifier
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.hosts import Host, HostKind

POLLS = Counter("rhubarbferry_host_list_reads_total", "Reads of the host list", ["result"])
SKIPPED = Counter(
    "rhubarbferry_host_list_skipped_total", "Hosts of the list that could not be understood"
)

POLL_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 8 * 1024 * 1024
LEAVING_STATE = "leaving"


class HostListGarbled(Exception):
    """The response is no valid host list; the last valid one stays in use. Check its source."""


@frozen(kw_only=True, slots=True)
class ParsedHostList:
    """Result of parsing a host list.

    :param hosts: valid hosts, sorted by id.
    :param skipped: number of entries that were invalid or duplicates.
    """

    hosts: tuple[Host, ...]
    skipped: int


def parse_hosts(body: bytes) -> ParsedHostList:
    """Parse the JSON of a host list: groups of ``targets`` with ``labels``.

    An invalid entry is skipped, so that the other hosts stay in use.

    :raises HostListGarbled: when the body is no host list, or all its entries are invalid.
    """
    try:
        groups = json.loads(body)
    except ValueError as exc:
        raise HostListGarbled(f"not JSON: {exc}") from exc
    if not isinstance(groups, list):
        raise HostListGarbled("not a JSON list of groups")
    hosts: dict[str, Host] = {}
    skipped = 0
    for group in groups:
        host = _parse_host(group)
        if host is None or host.id in hosts:
            skipped += 1
        else:
            hosts[host.id] = host
    if groups and not hosts:
        raise HostListGarbled(f"none of {len(groups)} entries is valid")
    return ParsedHostList(
        hosts=tuple(sorted(hosts.values(), key=lambda host: host.id)), skipped=skipped
    )


def _parse_host(group: Any) -> Host | None:
    try:
        labels: Mapping[str, str] = group["labels"]
        targets: Sequence[str] = group["targets"]
        (address,) = targets
        host = Host(
            id=labels["id"],
            address=address,
            kind=HostKind(labels["kind"]),
            region=labels["region"],
            failure_domain=labels.get("failure_domain", ""),
            rack=labels.get("rack", ""),
            service=labels.get("service", ""),
            leaving=labels.get("state", "live") == LEAVING_STATE,
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    return host if _is_valid(host) else None


def _is_valid(host: Host) -> bool:
    texts = (host.id, host.address, host.region, host.failure_domain, host.rack, host.service)
    if not all(isinstance(text, str) for text in texts):
        return False
    _, colon, port = host.address.rpartition(":")
    rack_or_service = host.rack if host.kind is HostKind.WORKER else host.service
    named = host.id and host.region and rack_or_service and "/" not in host.region
    return bool(colon and port.isdigit() and named)


class HttpHostList:
    """Poll the host list; implements :class:`~rhubarbferry.ports.hosts.HostList`.

    :param url: address of the list.
    :param poll_s: seconds between two polls.
    """

    def __init__(self, *, url: str, poll_s: float, clock: Clock) -> None:
        self._url = url
        self._poll_s = poll_s
        self._clock = clock
        self._hosts: tuple[Host, ...] = ()
        self._change_notifier = ChangeNotifier()
        self._seen_version = 0
        self._last_poll_ok = True
        self._task: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession | None = None

    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts of the last valid list, also while the list can't be read."""
        return self._hosts

    async def changed(self) -> None:
        """Wait until the list has changed since the last call."""
        await self._change_notifier.changed(self._seen_version)
        self._seen_version = self._change_notifier.version

    async def start(self) -> None:
        """Poll the list once, then continue in the background."""
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT_S))
        await self.poll()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling and close the connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def poll(self) -> None:
        """Poll the list once; a failure is counted, and the last valid list stays in use."""
        try:
            parsed = parse_hosts(await self._fetch())
        except (aiohttp.ClientError, OSError, TimeoutError, HostListGarbled) as exc:
            POLLS.labels("failed").inc()
            self._log_transition(ok=False, reason=repr(exc))
            return
        POLLS.labels("good").inc()
        SKIPPED.inc(parsed.skipped)
        self._log_transition(ok=True, reason="")
        if parsed.hosts != self._hosts:
            self._hosts = parsed.hosts
            self._change_notifier.notify()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._poll_s)
            await self.poll()

    async def _fetch(self) -> bytes:
        assert self._session is not None
        async with self._session.get(self._url) as resp:
            resp.raise_for_status()
            # Bounded, since an endless response would fill the memory of this process.
            body = await resp.content.read(MAX_BODY_BYTES + 1)
            while len(body) <= MAX_BODY_BYTES and (
                chunk := await resp.content.read(MAX_BODY_BYTES)
            ):
                body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise HostListGarbled(f"longer than {MAX_BODY_BYTES} bytes")
        return body

    def _log_transition(self, *, ok: bool, reason: str) -> None:
        if ok != self._last_poll_ok:
            self._last_poll_ok = ok
            if ok:
                logger.info("the host list is readable again")
            else:
                logger.warning("cannot read the host list, keeping the last valid one: {}", reason)
