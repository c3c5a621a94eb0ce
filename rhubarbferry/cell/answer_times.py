"""Time limits that follow how long the recent answers of one other side took."""

from __future__ import annotations

from attrs import define

# A limit is this multiple of the longest recent answer.
LIMIT_FACTOR = 3.0
# Factor by which the recorded longest answer decreases with each shorter one.
DECAY_PER_ANSWER = 0.9


@define(kw_only=True)
class AnswerTimes:
    """The longest recent answer, in seconds.

    A side whose processor or link is busy answers slowly for a while before it exceeds a fixed
    limit, and the remedy for that, such as a takeover, costs more than the wait.
    """

    longest_s: float = 0.0

    def record(self, took_s: float) -> None:
        """Record how long an answer took."""
        self.longest_s = max(took_s, DECAY_PER_ANSWER * self.longest_s)

    def limit_s(self, *, extra_s: float = 0.0, min_s: float, max_s: float) -> float:
        """Return the time limit for an answer.

        :param extra_s: added to the multiple of the longest recent answer.
        """
        return min(max_s, max(min_s, extra_s + LIMIT_FACTOR * self.longest_s))
