"""Outlier ejection: stop using hosts whose work fails, and probe them before reuse."""

from __future__ import annotations

from enum import Enum

from attrs import Factory, define, frozen


class Health(Enum):
    """Whether a host is given work."""

    IN_USE = "in use"
    EJECTED = "ejected"
    PROBED = "probed"


@frozen(kw_only=True, slots=True)
class EjectionRules:
    """Thresholds and durations of ejection.

    :param distinct_failures: number of failed requests or jobs, without a success in between,
        that ejects a host.
    :param window_s: failures older than this are ignored.
    :param eject_s: duration of the first ejection; doubled each time a probe fails.
    :param max_eject_s: maximum duration of an ejection.
    :param max_share: maximum fraction of ejected hosts; if more hosts fail, the fault is more
        likely in the work or the network than in the hosts.
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
    probe_cause: str | None = None

    def is_ejected(self, now: float) -> bool:
        if self.ejected_until is None:
            return False
        return self.ejected_until > now or self.probe_cause is not None


@define(kw_only=True, eq=False)
class Ejector:
    """Tracks the health of the hosts of one partition from the outcomes of their work."""

    rules: EjectionRules = Factory(EjectionRules)
    _hosts: dict[str, _Host] = Factory(dict)

    def health(self, id: str, *, now: float) -> Health:
        """Return the health of a host; an unknown host is in use."""
        host = self._hosts.get(id)
        if host is None or host.ejected_until is None:
            return Health.IN_USE
        return Health.EJECTED if host.is_ejected(now) else Health.PROBED

    def usable(self, id: str, *, now: float) -> bool:
        """Return whether a host may be given work now; a probed host gets one request or job."""
        return self.health(id, now=now) is not Health.EJECTED

    def unusable(self, *, now: float) -> set[str]:
        """Return the hosts that may not be given work now."""
        return {id for id, host in self._hosts.items() if host.is_ejected(now)}

    def started(self, id: str, cause: str, *, now: float) -> None:
        """Record that a host was given a request or job; for a probed host it is the probe."""
        if self.health(id, now=now) is Health.PROBED:
            self._hosts[id].probe_cause = cause

    def succeeded(self, id: str, cause: str, *, now: float) -> None:
        """Record a success, which clears the failures; the success of a probe ends the ejection."""
        host = self._hosts.get(id)
        if host is None:
            return
        if host.ejected_until is not None and host.probe_cause != cause:
            # Work started before the ejection does not show that the host has recovered.
            return
        del self._hosts[id]

    def failed(self, id: str, cause: str, *, now: float, hosts: int) -> bool:
        """Record a failure.

        :param cause: id of the failed request or job; each id is counted once.
        :param hosts: total number of hosts, to which ``max_share`` applies.
        :returns: whether this failure ejected the host.
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

    def record_inconclusive(self, id: str, cause: str) -> None:
        """Record that work ended without showing success or failure; a probe may be repeated."""
        host = self._hosts.get(id)
        if host is not None and host.probe_cause == cause:
            host.probe_cause = None

    def forget(self, id: str) -> None:
        """Discard the state of a host that was removed."""
        self._hosts.pop(id, None)

    def ejected(self) -> int:
        """Return the number of ejected and probed hosts."""
        return sum(1 for host in self._hosts.values() if host.ejected_until is not None)

    def _probe_failed(self, host: _Host, cause: str, now: float) -> bool:
        if host.probe_cause != cause:
            return False
        self._eject(host, min(2 * host.eject_s, self.rules.max_eject_s), now)
        return True

    def _eject(self, host: _Host, seconds: float, now: float) -> None:
        host.eject_s = seconds
        host.ejected_until = now + seconds
        host.probe_cause = None
        host.failures = {}
