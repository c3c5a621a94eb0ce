"""Model of the policy service, and of hosts that check its tickets.

A ticket is issued by the id of a host, for the life that the host has at that moment, and holds for
a short time. The policy service doesn't know which incarnation the owner means.
"""

from __future__ import annotations

from attrs import Factory, define, evolve, frozen

from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.messages import (
    Approval,
    ApprovalCost,
    ApprovalRequest,
    ApprovalResponse,
    OrderResult,
    Refusal,
    Refused,
    StartOrder,
    StepId,
)

from .host_model import LEASE_S, HostModel

TICKET_VALIDITY_S = 1.5
APPROVAL_COST = ApprovalCost(decision_s=0.5, per_host_s=0.0, valid_s=TICKET_VALIDITY_S)


@frozen
class IssuedTicket:
    """A ticket for a step on one incarnation of a host."""

    step: StepId
    host: str
    incarnation: int
    valid_until: float


@frozen
class PendingRequest:
    """An approval request and the dispatcher that reads the response.

    :param decided_at: when the tickets are issued.
    :param answered_at: when the response arrives.
    """

    req: ApprovalRequest
    dispatcher: Dispatcher
    decided_at: float
    answered_at: float
    approvals: tuple[Approval, ...] | None = None


@define
class PolicyModel:
    """The policy service. It approves all hosts.

    :ivar decision_s: time until a request is decided.
    :ivar trip_s: time that a response takes on its way.
    """

    now: float = 0.0
    decision_s: float = 0.25
    trip_s: float = 0.0
    issued: dict[str, IssuedTicket] = Factory(dict)
    pending: list[PendingRequest] = Factory(list)

    def request(self, req: ApprovalRequest, dispatcher: Dispatcher) -> None:
        decided_at = self.now + self.decision_s
        self.pending.append(
            PendingRequest(
                req=req,
                dispatcher=dispatcher,
                decided_at=decided_at,
                answered_at=decided_at + self.trip_s,
            )
        )

    def advance(self, now: float, hosts: dict[str, HostModel]) -> None:
        """Decide the requests that are due, and deliver the responses that have arrived."""
        self.now = now
        pending, self.pending = self.pending, []
        for request in pending:
            if request.approvals is None and request.decided_at <= now:
                request = evolve(request, approvals=self._issue(request.req, hosts))
            if request.approvals is None or request.answered_at > now:
                self.pending.append(request)
                continue
            response = ApprovalResponse(
                step=request.req.step,
                asked=request.req.hosts,
                approvals=request.approvals,
                answered_at=now,
                valid_s=TICKET_VALIDITY_S,
            )
            request.dispatcher.handle_approvals(response, now=now)

    def _issue(self, req: ApprovalRequest, hosts: dict[str, HostModel]) -> tuple[Approval, ...]:
        approvals = []
        for id in req.hosts:
            text = f"ticket {len(self.issued)}"
            self.issued[text] = IssuedTicket(
                step=req.step,
                host=id,
                incarnation=hosts[id].incarnation,
                valid_until=self.now + TICKET_VALIDITY_S,
            )
            approvals.append(Approval(host=id, ticket=text))
        return tuple(approvals)

    def accepts(self, order: StartOrder, host: HostModel) -> bool:
        """Return whether a start order carries a valid ticket for a host's present life."""
        ticket = self.issued.get(order.ticket)
        if ticket is None or self.now > ticket.valid_until:
            return False
        step = StepId(job=order.task.job, occurrence=order.task.occurrence, step=order.task.step)
        return (ticket.step, ticket.host, ticket.incarnation) == (step, host.id, host.incarnation)


@define
class TicketHost(HostModel):
    """A host that starts a task only with a valid ticket."""

    policy: PolicyModel = Factory(PolicyModel)

    def start(self, order: StartOrder, fence: int) -> OrderResult:
        if not self.policy.accepts(order, self):
            return Refused(reason=Refusal.NO_TICKET)
        # A deadline on the clock of an earlier incarnation may be far ahead of this one's clock. A
        # longer lease than the longest is shortened.
        deadline_s = min(order.deadline_s, self.clock_s + LEASE_S)
        return super().start(evolve(order, deadline_s=deadline_s), fence)
