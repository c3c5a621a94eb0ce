"""What is known of the hosts that a policy lets run one step."""

from __future__ import annotations

from attrs import Factory, define, frozen

from rhubarbferry.dispatch.messages import Advice

# A ticket must still be good when the start arrives: one way between regions takes 20 ms, and
# the order may wait for its turn in a busy process.
TICKET_MARGIN_S = 0.25


@frozen(kw_only=True, slots=True)
class Ticket:
    """A proof of approval.

    :param incarnation: the life of the host that it is good for.
    """

    text: str
    expires_at: float
    incarnation: int


@define(kw_only=True, eq=False, slots=True)
class StepApprovals:
    """Which hosts may run a step. The verdict on a host never changes; only tickets age.

    :ivar asking: hosts that a question is under way for.
    """

    approved: set[str] = Factory(set)
    denied: set[str] = Factory(set)
    tickets: dict[str, Ticket] = Factory(dict)
    asking: set[str] = Factory(set)
    failed_at: float = -1.0

    def learn(self, advice: Advice, incarnations: dict[str, int]) -> None:
        """Take in an answer.

        :param incarnations: the present life of each known host.
        """
        self.asking.difference_update(advice.asked)
        named = {approval.host: approval.ticket for approval in advice.approvals}
        for host in advice.asked:
            if host not in named:
                self.denied.add(host)
                continue
            self.approved.add(host)
            # The policy service stamps the ticket when it answers. Counting from the answer's
            # arrival would be too late by the way back, so the margin covers it.
            self.tickets[host] = Ticket(
                text=named[host],
                expires_at=advice.answered_at + advice.valid_s - TICKET_MARGIN_S,
                incarnation=incarnations.get(host, 0),
            )

    def ticket(self, host: str, incarnation: int, now: float) -> str:
        """Return a ticket that is still good, or an empty string."""
        if self.lapses_at(host, incarnation) <= now:
            return ""
        return self.tickets[host].text

    def lapses_at(self, host: str, incarnation: int) -> float:
        """Return until when the ticket for this life of a host is good; in the past if none is."""
        ticket = self.tickets.get(host)
        if ticket is None or ticket.incarnation != incarnation:
            return float("-inf")
        return ticket.expires_at

    @property
    def awaiting_first(self) -> bool:
        """Whether a question is under way and no host has been approved yet."""
        return bool(self.asking) and not self.approved

    def allows(self, host: str) -> bool:
        """Tell whether a host may be used now, or may be asked about now.

        While a question is under way no other is asked for the step, so a host that nobody has
        asked about is of no use to it until then.
        """
        return host in self.approved or not (self.asking or host in self.denied)

    def unknown(self, host: str) -> bool:
        """Tell whether nobody has asked about a host."""
        return host not in self.approved and host not in self.denied
