"""Both sides of a guard's promise, as pure state.

Past the end of its lease an owner can't tell an outage of the store from a cut of its own, so
it may act only while a majority of its guards has promised to follow nobody else.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

# The length, in a request for a promise, by which an owner gives up the one that it has.
NO_PROMISE_MS = 0


@frozen(kw_only=True, slots=True)
class GuardAnswer:
    """What a guard answers an owner or a successor.

    :param accepted: whether the epoch was acknowledged or the promise given.
    :param highest_epoch: the highest epoch that the guard has acknowledged.
    :param promise_left_s: seconds until the promise that stands in the way has run out.
    """

    accepted: bool
    highest_epoch: int
    promise_left_s: float = 0.0


@define(kw_only=True, slots=True)
class GuardState:
    """One guard's state for one partition; lost with the process, which is a new member then.

    :param highest_epoch: lower epochs are refused.
    :param promised_to: the owner that holds the last promise.
    :param promised_until: monotonic time at which that promise ends.
    :param closed_below: promises under a guard set with a lower version are refused.
    """

    highest_epoch: int = 0
    promised_to: str = ""
    promised_until: float = 0.0
    closed_below: int = 0

    def acknowledge(self, *, epoch: int, owner: str, now: float) -> GuardAnswer:
        """Raise the epoch for a successor, unless a promise to another owner is open."""
        left = self.promise_left_s(now)
        if epoch < self.highest_epoch or (left > 0 and owner != self.promised_to):
            return self._answer(accepted=False, left=left)
        self.highest_epoch = epoch
        return self._answer(accepted=True, left=left)

    def promise(
        self, *, epoch: int, owner: str, now: float, duration_s: float, version: int = 0
    ) -> GuardAnswer:
        """Promise ``owner`` to acknowledge nobody else for ``duration_s`` from ``now``.

        :param version: the version of the guard set that the owner counts by.
        """
        if version < self.closed_below:
            return self._answer(accepted=False, left=self.promise_left_s(now))
        answer = self.acknowledge(epoch=epoch, owner=owner, now=now)
        if not answer.accepted:
            return answer
        self.promised_until = max(self.promised_until, now + duration_s)
        self.promised_to = owner
        return self._answer(accepted=True, left=self.promise_left_s(now))

    def give_up(self, *, epoch: int, owner: str, now: float) -> GuardAnswer:
        """End the promise to an owner that says it acts no more under ``epoch``.

        A planned hand-over would otherwise wait for the promise to run out, up to 3 s in which
        callers get no slot. A word that comes late, when a higher epoch has been acknowledged,
        changes nothing: the promise may by then be one for that epoch.
        """
        if epoch < self.highest_epoch or owner != self.promised_to:
            return self._answer(accepted=False, left=self.promise_left_s(now))
        self.promised_until = min(self.promised_until, now)
        return self._answer(accepted=True, left=0.0)

    def close(self, *, version: int, now: float) -> GuardAnswer:
        """Promise nothing more under guard sets below ``version``; what is open stays open."""
        self.closed_below = max(self.closed_below, version)
        return self._answer(accepted=True, left=self.promise_left_s(now))

    def promise_left_s(self, now: float) -> float:
        """Return the seconds that the open promise still runs, 0 for none."""
        return max(0.0, self.promised_until - now)

    def _answer(self, *, accepted: bool, left: float) -> GuardAnswer:
        return GuardAnswer(accepted=accepted, highest_epoch=self.highest_epoch, promise_left_s=left)


@define(kw_only=True, slots=True)
class PromiseBook:
    """The promises that one owner holds for one partition under one epoch.

    :param guards: ids of the guard set that the promises are counted by.
    :param version: the version of that set.
    :param margin_s: taken off each promise, for clocks of differing rates.
    """

    guards: frozenset[str] = field(default=frozenset(), converter=frozenset)
    version: int = 0
    margin_s: float = 0.0
    _until: dict[str, float] = field(factory=dict, init=False)

    def use(self, *, guards: Iterable[str], version: int) -> None:
        """Count by another version of the guard set from now on; begin with no promise."""
        if version <= self.version:
            return
        self.guards = frozenset(guards)
        self.version = version
        self._until.clear()

    def given(self, *, guard: str, version: int, asked_at: float, duration_s: float) -> None:
        """Note a promise.

        :param version: the version of the guard set that the request named.
        :param asked_at: monotonic time BEFORE the request was sent.
        """
        if guard in self.guards and version == self.version:
            until = asked_at + duration_s - self.margin_s
            self._until[guard] = max(self._until.get(guard, until), until)

    def held(self, now: float) -> int:
        """Return how many guards' promises are held."""
        return sum(now < until for until in self._until.values())

    def majority(self, now: float) -> bool:
        """Tell whether a majority of the guard set has promised."""
        return self.held(now) > len(self.guards) // 2 if self.guards else False
