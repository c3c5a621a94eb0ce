"""Take hosts that fail what they are given out of use, and try them again one by one."""

from __future__ import annotations

from enum import Enum

from attrs import Factory, define, frozen


class Health(Enum):
    """Whether a host gets work."""

    IN_USE = "in use"
    EJECTED = "ejected"
    PROBED = "probed"


@frozen(kw_only=True, slots=True)
class EjectionRules:
    """When to eject and when to try again.

    :param distinct_failures: failures of so many distinct causes, with no success between.
    :param window_s: failures older than this don't count.
    :param eject_s: first time out of use; doubled each time a probe fails.
    :param max_eject_s: longest time out of use.
    :param max_share: never more than this share of the hosts; above it the fault is
        more likely in the work or the network than in the hosts.
    """

    distinct_failures: int = 3
    window_s: float = 30.0
    eject_s: float = 5.0
    max_eject_s: float = 120.0
    max_share: float = 0.3


@define(kw_only=True, eq=False)
class _Host:
    failures: dict[str, float] = Factory(dict)
    ejected_until: float | None = None
    eject_s: float = 0.0
    probing: str | None = None

    def is_out(self, now: float) -> bool:
        if self.ejected_until is None:
            return False
        return self.ejected_until > now or self.probing is not None


@define(kw_only=True, eq=False)
class Ejector:
    """Health of the hosts of one partition, from the ends of their work."""

    rules: EjectionRules = Factory(EjectionRules)
    _hosts: dict[str, _Host] = Factory(dict)

    def health(self, id: str, *, now: float) -> Health:
        """Return the health of a host; one never heard of is in use."""
        host = self._hosts.get(id)
        if host is None or host.ejected_until is None:
            return Health.IN_USE
        return Health.EJECTED if host.is_out(now) else Health.PROBED

    def usable(self, id: str, *, now: float) -> bool:
        """Tell whether a host may get work now; a probed one gets a single piece."""
        return self.health(id, now=now) is not Health.EJECTED

    def unusable(self, *, now: float) -> set[str]:
        """Return the hosts that may not get work now."""
        return {id for id, host in self._hosts.items() if host.is_out(now)}

    def started(self, id: str, cause: str, *, now: float) -> None:
        """Note that a host got a piece of work; for a probed one it is the probe."""
        if self.health(id, now=now) is Health.PROBED:
            self._hosts[id].probing = cause

    def succeeded(self, id: str, cause: str, *, now: float) -> None:
        """Note a success; it clears the failures, and of a probe it ends the ejection."""
        host = self._hosts.get(id)
        if host is None:
            return
        if host.ejected_until is not None and host.probing != cause:
            # Work from before the ejection proves nothing about the host as it is now.
            return
        del self._hosts[id]

    def failed(self, id: str, cause: str, *, now: float, hosts: int) -> bool:
        """Note a failure.

        :param cause: what failed (a request, a job); one cause counts once.
        :param hosts: number of hosts in all, for the ceiling.
        :returns: whether the host is ejected by it.
        """
        host = self._hosts.setdefault(id, _Host())
        if host.ejected_until is not None:
            return self._probe_failed(host, cause, now)
        host.failures = {c: at for c, at in host.failures.items() if at > now - self.rules.window_s}
        if len(host.failures) < self.rules.distinct_failures or cause in host.failures:
            host.failures[cause] = now
        if len(host.failures) < self.rules.distinct_failures:
            return False
        if self.ejected() + 1 > self.rules.max_share * hosts:
            return False
        self._eject(host, self.rules.eject_s, now)
        return True

    def neither(self, id: str, cause: str) -> None:
        """Note that a piece of work ended without proof either way; a probe may be repeated."""
        host = self._hosts.get(id)
        if host is not None and host.probing == cause:
            host.probing = None

    def forget(self, id: str) -> None:
        """Drop what is known of a host that has gone."""
        self._hosts.pop(id, None)

    def ejected(self) -> int:
        """Return how many hosts are out of use or probed."""
        return sum(1 for host in self._hosts.values() if host.ejected_until is not None)

    def _probe_failed(self, host: _Host, cause: str, now: float) -> bool:
        if host.probing != cause:
            return False
        self._eject(host, min(2 * host.eject_s, self.rules.max_eject_s), now)
        return True

    def _eject(self, host: _Host, seconds: float, now: float) -> None:
        host.eject_s = seconds
        host.ejected_until = now + seconds
        host.probing = None
        host.failures = {}
