"""State of a guard's promises, on the guard's side and on the owner's side.

After its lease has expired, an owner cannot distinguish an outage of the store from a network
partition of its own. It may then act only while a majority of its guards has promised to
acknowledge no other owner.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

# Duration in a promise request that releases the promise the owner already holds.
NO_PROMISE_MS = 0


@frozen(kw_only=True, slots=True)
class GuardReply:
    """Reply of a guard to an owner or a successor.

    :param accepted: whether the guard acknowledged the epoch or gave the promise.
    :param highest_epoch: the highest epoch that the guard has acknowledged.
    :param promise_left_s: seconds until the promise that prevents acceptance expires.
    """

    accepted: bool
    highest_epoch: int
    promise_left_s: float = 0.0


@define(kw_only=True, slots=True)
class GuardState:
    """One guard's state for one partition.

    The state is lost when the process ends; a restarted process is a new member.

    :param highest_epoch: highest acknowledged epoch; lower ones are refused.
    :param promised_to: the owner that received the last promise.
    :param promised_until: monotonic time at which that promise expires.
    :param closed_below: promises under a guard set with a lower version are refused.
    """

    highest_epoch: int = 0
    promised_to: str = ""
    promised_until: float = 0.0
    closed_below: int = 0

    def acknowledge(self, *, epoch: int, owner: str, now: float) -> GuardReply:
        """Raise the epoch for a successor, unless a promise to another owner is active."""
        left = self.promise_left_s(now)
        if epoch < self.highest_epoch or (left > 0 and owner != self.promised_to):
            return self._answer(accepted=False, left=left)
        self.highest_epoch = epoch
        return self._answer(accepted=True, left=left)

    def promise(
        self, *, epoch: int, owner: str, now: float, duration_s: float, version: int = 0
    ) -> GuardReply:
        """Promise ``owner`` to acknowledge no other owner for ``duration_s`` from ``now``.

        :param version: version of the guard set in which the owner counts promises.
        """
        if version < self.closed_below:
            return self._answer(accepted=False, left=self.promise_left_s(now))
        answer = self.acknowledge(epoch=epoch, owner=owner, now=now)
        if not answer.accepted:
            return answer
        self.promised_until = max(self.promised_until, now + duration_s)
        self.promised_to = owner
        return self._answer(accepted=True, left=self.promise_left_s(now))

    def give_up(self, *, epoch: int, owner: str, now: float) -> GuardReply:
        """End the promise to an owner that reports that it has stopped acting under ``epoch``.

        Otherwise a planned handover would wait for the promise to expire, up to 3 s in which
        callers get no slot. A release that arrives after a higher epoch was acknowledged has no
        effect, because the promise may by then belong to that epoch.
        """
        if epoch < self.highest_epoch or owner != self.promised_to:
            return self._answer(accepted=False, left=self.promise_left_s(now))
        self.promised_until = min(self.promised_until, now)
        return self._answer(accepted=True, left=0.0)

    def close(self, *, version: int, now: float) -> GuardReply:
        """Refuse promises under guard sets below ``version``; active promises remain valid."""
        self.closed_below = max(self.closed_below, version)
        return self._answer(accepted=True, left=self.promise_left_s(now))

    def promise_left_s(self, now: float) -> float:
        """Return the remaining seconds of the active promise, 0 if there is none."""
        return max(0.0, self.promised_until - now)

    def _answer(self, *, accepted: bool, left: float) -> GuardReply:
        return GuardReply(accepted=accepted, highest_epoch=self.highest_epoch, promise_left_s=left)


@define(kw_only=True, slots=True)
class HeldPromises:
    """The promises that an owner holds for one partition under one epoch.

    :param guards: ids of the guards in the guard set.
    :param version: version of the guard set.
    :param margin_s: subtracted from each promise to allow for clocks that run at different rates.
    """

    guards: frozenset[str] = field(default=frozenset(), converter=frozenset)
    version: int = 0
    margin_s: float = 0.0
    _until: dict[str, float] = field(factory=dict, init=False)

    def set_guards(self, *, guards: Iterable[str], version: int) -> None:
        """Switch to a newer version of the guard set and discard all promises."""
        if version <= self.version:
            return
        self.guards = frozenset(guards)
        self.version = version
        self._until.clear()

    def add_promise(self, *, guard: str, version: int, asked_at: float, duration_s: float) -> None:
        """Record a promise.

        :param version: version of the guard set in the request.
        :param asked_at: monotonic time BEFORE the request was sent.
        """
        if guard in self.guards and version == self.version:
            until = asked_at + duration_s - self.margin_s
            self._until[guard] = max(self._until.get(guard, until), until)

    def held(self, now: float) -> int:
        """Return the number of guards whose promise is active."""
        return sum(now < until for until in self._until.values())

    def majority(self, now: float) -> bool:
        """Return whether a majority of the guard set has an active promise."""
        return self.held(now) > len(self.guards) // 2 if self.guards else False
