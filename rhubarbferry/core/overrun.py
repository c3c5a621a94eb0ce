"""Enforcement of declared sizes: actions on tasks that exceed them."""

from __future__ import annotations

from enum import IntEnum

from attrs import Factory, define, frozen

from rhubarbferry.core.cell import Size


class Remedy(IntEnum):
    """Action that a worker takes on a task, in order of severity."""

    NONE = 0
    THROTTLE = 1
    CHECKPOINT = 2
    STOP = 3


@frozen(kw_only=True, slots=True)
class OverrunRules:
    """Thresholds for escalating to the next remedy.

    :param tolerance: permitted usage above the declared size, as a fraction of that size.
    :param step_s: time that a remedy is given to take effect. Usage is reported with a lag, so a
        shorter time would penalise a task for what it used before it was throttled.
    """

    tolerance: float = 0.1
    step_s: float = 10.0


@define(kw_only=True, slots=True)
class _Overrun:
    remedy: Remedy
    since: float


@define(kw_only=True, eq=False)
class OverrunTracker:
    """Tracks the tasks of one worker partition that exceed their declared size."""

    rules: OverrunRules = Factory(OverrunRules)
    _overruns: dict[str, _Overrun] = Factory(dict)

    def judge(
        self, task_id: str, *, declared: Size, used: Size, preemptible: bool, now: float
    ) -> Remedy:
        """Return the remedy to apply now, ``NONE`` while the last one may still take effect.

        A task is throttled first. If it still exceeds its declared size, it is checkpointed if it
        is preemptible, and stopped if that is not possible or does not end it.
        """
        if not self._exceeds(declared, used):
            self._overruns.pop(task_id, None)
            return Remedy.NONE
        overrun = self._overruns.get(task_id)
        if overrun is None:
            self._overruns[task_id] = _Overrun(remedy=Remedy.THROTTLE, since=now)
            return Remedy.THROTTLE
        if now - overrun.since < self.rules.step_s or overrun.remedy is Remedy.STOP:
            return Remedy.NONE
        can_checkpoint = preemptible and overrun.remedy is Remedy.THROTTLE
        overrun.remedy = Remedy.CHECKPOINT if can_checkpoint else Remedy.STOP
        overrun.since = now
        return overrun.remedy

    def forget(self, task_id: str) -> None:
        """Discard the state of a task that has ended."""
        self._overruns.pop(task_id, None)

    def _exceeds(self, declared: Size, used: Size) -> bool:
        # Processors can be shared temporarily; memory and accelerators cannot.
        slack = 1.0 + self.rules.tolerance
        return (
            used.memory_bytes > declared.memory_bytes * slack
            or used.millicores > declared.millicores * slack
            or used.accelerators > declared.accelerators
        )
