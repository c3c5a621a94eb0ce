"""Decides when the new owner of a rack may treat tasks on unreachable workers as ended.

The previous owner may be partitioned from the store and continue as long as a majority of the
rack's workers replies to it. A worker that the new owner has adopted no longer replies to it.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define


@define(kw_only=True, slots=True)
class Succession:
    """State of one takeover of a rack.

    The previous owner computed its majority from its own list of workers, which may be older or
    newer than the successor's. No list is used here. Instead, the adopted workers that the
    previous owner had counted must outnumber the workers that were never adopted. The previous
    owner then cannot have a majority of any list that contains both groups. A worker that is new
    or was restarted is not counted.

    :param won_at: monotonic time at which the successor acquired the rack.
    :param promise_s: how long a worker's reply allows the previous owner to continue.
    :param lease_s: lease of a task, including the margin for clock rate differences.
    :param longest_extension_s: maximum time that the previous owner may continue.
    """

    won_at: float
    promise_s: float
    lease_s: float
    longest_extension_s: float
    _settled_epochs: dict[str, int] = Factory(dict)
    _majority_at: float | None = None

    def record_adoption(self, worker: str, *, settled_epoch: int) -> None:
        """Record the adoption of a worker.

        :param settled_epoch: epoch of the last owner that counted this worker, 0 for none.
        """
        self._settled_epochs[worker] = max(settled_epoch, self._settled_epochs.get(worker, 0))

    def check_majority(self, *, unadopted: Iterable[str], now: float) -> None:
        """Check whether a majority has been reached, and record the time at which it was.

        :param unadopted: workers in the host list that were never adopted.
        """
        if self._majority_at is None and self._has_majority(list(unadopted)):
            self._majority_at = now

    def settled_at(self) -> float:
        """Return the time by which all tasks of earlier owners on unadopted workers have ended."""
        stopped_at = self.won_at + self.longest_extension_s
        if self._majority_at is not None:
            stopped_at = min(stopped_at, self._majority_at)
        return stopped_at + self.promise_s + self.lease_s

    def lacks_majority(self) -> bool:
        """Return whether no majority has been reached yet."""
        return self._majority_at is None

    def _has_majority(self, unadopted: list[str]) -> bool:
        if not unadopted:
            return True
        last = max(self._settled_epochs.values(), default=0)
        counted = sum(1 for epoch in self._settled_epochs.values() if epoch == last and last > 0)
        return counted > len(unadopted)
