"""Protocols of the hosts that run tasks, the host directory and the policy service."""

from __future__ import annotations

from collections.abc import Callable
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
    """Base class of the errors of calls to hosts and to the policy service."""


class WorkerSilent(WorkerError):
    """No valid response was received in time; the call may have taken effect."""


class WorkerGone(WorkerError):
    """Another host now uses the address; the host that was called no longer exists."""


class FenceStale(WorkerError):
    """The host has received a higher fence number, of a later owner or for its new incarnation."""


class PolicyBusy(WorkerError):
    """The policy service is overloaded and rejected the request. Retry after a delay."""


@frozen(kw_only=True, slots=True)
class TaskLeaseRequest:
    """Request to extend the task leases of a host and to report its tasks.

    :param fence: fence number of the calls to the host's incarnation.
    :param deadline_s: time on the host's clock until which to extend the leases; ``None`` leaves
        them unchanged.
    :param acknowledged_to: highest number of an ended task that the host need not list any more.
    :param wait_s: time after which the host responds; it responds earlier only when a task ends.
    :param response_margin_s: time beyond ``wait_s`` after which the call times out.
    """

    fence: int
    deadline_s: float | None
    acknowledged_to: int
    wait_s: float
    response_margin_s: float


class WorkerCalls(Protocol):
    """Client for the task interface of hosts.

    The parameter ``fence`` is the fence number of the calls to the host's incarnation; a host that
    has received a higher one refuses the call.
    """

    async def extend_leases(self, host: HostEntry, req: TaskLeaseRequest) -> HostReport:
        """Extend the task leases of a host; return its running and ended tasks.

        :raises WorkerError: when the host refuses the request or does not respond.
        """
        ...

    async def start(
        self,
        host: HostEntry,
        order: StartOrder,
        *,
        fence: int,
        on_written: Callable[[], None] | None = None,
    ) -> OrderResult:
        """Start a task; return whether the host started it.

        :param on_written: called when a connection takes the order.
        """
        ...

    async def stop(self, host: HostEntry, order: StopOrder, *, fence: int) -> float:
        """Stop a task; return the time on the host's clock.

        From that time on, the host refuses to start this attempt of the task.

        :raises WorkerError: when the host refuses the order or does not respond.
        """
        ...

    async def pace(self, host: HostEntry, order: PaceOrder, *, fence: int) -> None:
        """Limit a task to a percentage of its full speed.

        :raises WorkerError: when the host does not confirm the order.
        """
        ...


class HostDirectory(Protocol):
    """The directory of registered hosts."""

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are currently registered.

        :raises StoreError: when the directory can't be read.
        """
        ...


@frozen(kw_only=True, slots=True)
class Approvals:
    """The response of the policy service.

    :param approvals: the granted approvals.
    :param valid_s: seconds for which they are valid.
    """

    approvals: tuple[Approval, ...]
    valid_s: float


class PolicyService(Protocol):
    """The service that decides which hosts may run the tasks of a step."""

    async def request_approvals(
        self, step: StepId, hosts: tuple[str, ...], *, timeout_s: float
    ) -> Approvals:
        """Request approval to run ``step`` on each of ``hosts``; return the approvals granted.

        :raises WorkerError: when the service rejects the request or does not respond.
        """
        ...
