"""Approvals of hosts to run a step, as decided by the policy service."""

from __future__ import annotations

from attrs import Factory, define, frozen

from rhubarbferry.dispatch.messages import ApprovalResponse

# A ticket must still be valid when the start order arrives: the one-way latency between regions is
# 20 ms, and a busy process may delay the order.
TICKET_EXPIRY_MARGIN_S = 0.25


@frozen(kw_only=True, slots=True)
class Ticket:
    """Proof of an approval, to be presented to the host.

    :param text: value that the host verifies.
    :param expires_at: when it stops being used, a margin before it becomes invalid.
    :param incarnation: incarnation of the host that it is valid for.
    """

    text: str
    expires_at: float
    incarnation: int


@define(kw_only=True, eq=False, slots=True)
class StepApprovals:
    """Approved and denied hosts of one step. A decision on a host is final; tickets expire.

    :ivar pending: hosts named in a pending approval request.
    :ivar failed_at: when the last approval request failed.
    """

    approved: set[str] = Factory(set)
    denied: set[str] = Factory(set)
    tickets: dict[str, Ticket] = Factory(dict)
    pending: set[str] = Factory(set)
    failed_at: float = -1.0

    def record_response(self, response: ApprovalResponse, incarnations: dict[str, int]) -> None:
        """Record the response to an approval request.

        :param incarnations: current incarnation of each known host.
        """
        self.pending.difference_update(response.asked)
        named = {approval.host: approval.ticket for approval in response.approvals}
        for host in response.asked:
            if host not in named:
                self.denied.add(host)
                continue
            self.approved.add(host)
            # The validity starts when the policy service issues the ticket, which is earlier than
            # the arrival of the response by one network trip. The margin covers the difference.
            self.tickets[host] = Ticket(
                text=named[host],
                expires_at=response.answered_at + response.valid_s - TICKET_EXPIRY_MARGIN_S,
                incarnation=incarnations.get(host, 0),
            )

    def ticket(self, host: str, incarnation: int, now: float) -> str:
        """Return a valid ticket, or an empty string."""
        if self.ticket_expires_at(host, incarnation) <= now:
            return ""
        return self.tickets[host].text

    def ticket_expires_at(self, host: str, incarnation: int) -> float:
        """Return when the ticket for a host's incarnation expires; ``-inf`` if there is none."""
        ticket = self.tickets.get(host)
        if ticket is None or ticket.incarnation != incarnation:
            return float("-inf")
        return ticket.expires_at

    @property
    def awaiting_first_approval(self) -> bool:
        """Whether a request is pending and no host has been approved yet."""
        return bool(self.pending) and not self.approved

    def may_use_or_request(self, host: str) -> bool:
        """Return whether a host is approved, or may be named in an approval request now.

        Only one request for a step is pending at a time. Until its response arrives, hosts that no
        request has named can't be used.
        """
        return host in self.approved or not (self.pending or host in self.denied)

    def is_undecided(self, host: str) -> bool:
        """Return whether the policy service has not decided on a host yet."""
        return host not in self.approved and host not in self.denied
