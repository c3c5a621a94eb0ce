"""The hosts that run tasks, their list, and the policy service, as the owner of work needs them."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from rhubarbferry.dispatch.messages import (
    Approval,
    HostEntry,
    HostReport,
    OrderResult,
    PaceOrder,
    StartOrder,
    StepId,
    StopOrder,
)


class WorkerError(Exception):
    """Base of the errors of calls to hosts and to the policy service."""


class WorkerSilent(WorkerError):
    """No answer in time, or none that can be read. The call may have been carried out."""


class WorkerGone(WorkerError):
    """Another host answers at that address; the one that was meant is not there any more."""


class FenceStale(WorkerError):
    """The host has seen a higher fence number: another process owns the work now."""


class PolicyBusy(WorkerError):
    """The policy service turned the question away. Ask again after a pause."""


@frozen(kw_only=True, slots=True)
class HoldRequest:
    """Extend the task leases of a host and look at what it runs.

    :param deadline_s: on the host's clock, until when the leases run; ``None`` for no change.
    :param forget_to: highest number of an end that the host need not list any more.
    :param wait_s: the host answers early only when a run ends.
    :param patience_s: beyond that, how long to wait for the answer.
    """

    fence: int
    deadline_s: float | None
    forget_to: int
    wait_s: float
    patience_s: float


class WorkerCalls(Protocol):
    """Orders to hosts."""

    async def hold(self, host: HostEntry, req: HoldRequest) -> HostReport:
        """Extend task leases and return what runs and what has ended.

        :raises WorkerError: when there is no such answer.
        """
        ...

    async def start(self, host: HostEntry, order: StartOrder, *, fence: int) -> OrderResult:
        """Start a task."""
        ...

    async def stop(self, host: HostEntry, order: StopOrder, *, fence: int) -> float:
        """Stop a task; return the host's clock, from which on it won't start that run.

        :raises WorkerError: when there is no such answer.
        """
        ...

    async def pace(self, host: HostEntry, order: PaceOrder, *, fence: int) -> None:
        """Let a task work at a share of its speed.

        :raises WorkerError: when the host has not confirmed it.
        """
        ...


class HostDirectory(Protocol):
    """The list of hosts."""

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are registered now.

        :raises StoreError: when the list can't be read.
        """
        ...


@frozen(kw_only=True, slots=True)
class Approvals:
    """The answer of the policy service."""

    approvals: tuple[Approval, ...]
    valid_s: float


class PolicyService(Protocol):
    """Says which hosts may run a step."""

    async def ask(self, step: StepId, hosts: tuple[str, ...], *, timeout_s: float) -> Approvals:
        """Return the approvals among ``hosts``.

        :raises WorkerError: when there is no answer.
        """
        ...
