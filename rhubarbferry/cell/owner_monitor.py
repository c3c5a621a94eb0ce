"""Detect an owner that has died or is frozen before its lease expires."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field

from rhubarbferry.cell.answer_times import AnswerTimes
from rhubarbferry.cell.candidate import ELECTION_STAGGER_S
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.members import CellView, Member, Ownership, successors
from rhubarbferry.cell.peers import PeerClient, PingResult
from rhubarbferry.cell.term import MAX_LOAD_S
from rhubarbferry.ports.clock import Clock

# Interval between two pings of the owner.
PING_INTERVAL_S = 0.25
# Covers a round trip between regions and the delay of a busy process. It is extended for an owner
# whose recent answers took longer.
PING_TIMEOUT_S = 0.3
MAX_PING_TIMEOUT_S = 1.0
# Pause after an unanswered ping.
PING_RETRY_INTERVAL_S = 0.05
# The owner counts as unresponsive after this many consecutive unanswered pings. A single ping may
# be lost with its connection.
MAX_MISSED_PINGS = 2
# An owner that has not loaded the jobs yet may miss more and slower pings during this period. One
# that has died or is frozen does not extend its lease, which ends earlier.
NEW_OWNER_PERIOD_S = MAX_LOAD_S
NEW_OWNER_MAX_MISSED_PINGS = 4
# Number of processes that ping the owner: the first ones in the order of succession.
MONITOR_COUNT = 3
# Number of other members to ping, to check that it is not this process that is disconnected.
CONNECTIVITY_PROBES = 2


@define(kw_only=True, eq=False)
class OwnerMonitor:
    """Pings the owner and replaces it when it does not answer.

    When an owner is killed, loses power or freezes, its key exists until its lease expires, and no
    task starts for 1.2 to 1.5 s. Pings reduce this to 0.3 s for a killed owner, whose host refuses
    connections, and to 0.6 to 0.9 s for an unresponsive one. The owner need not be proven dead:
    replacing a live owner is safe and costs only one unnecessary change of the owner.

    :param replace: ends the lease of the given owner and lets this process try to succeed it;
        returns whether the lease existed until then.
    """

    clock: Clock
    log: EventLog
    own: Member
    view: CellView
    peers: PeerClient
    replace: Callable[[Ownership], Awaitable[bool]]
    _fence: int | None = None
    _changed_at: float = float("-inf")
    _loaded: bool = False
    _answer_times: AnswerTimes = field(factory=AnswerTimes)
    _monitors: list[str] = field(factory=list)
    _monitors_version: tuple[int, int] | None = None

    async def run(self) -> None:
        """Monitor the owner until cancelled."""
        while True:
            ownership = self.view.ownership
            self.record_owner(ownership)
            position = self.position(ownership) if ownership is not None else None
            if ownership is None or position is None:
                await self.clock.sleep(PING_INTERVAL_S)
            elif await self._is_unresponsive(ownership):
                await self._replace(ownership, position)

    def position(self, ownership: Ownership) -> int | None:
        """Return this process's position among the monitors, ``None`` if it is not one."""
        # Cached, because each process calls this several times a second and sorting takes longer
        # the more members there are.
        version = (ownership.fence, self.view.version)
        if version != self._monitors_version:
            self._monitors_version = version
            monitors = successors(ownership.owner, self.view)[:MONITOR_COUNT]
            self._monitors = [member.name for member in monitors]
        return self._monitors.index(self.own.name) if self.own.name in self._monitors else None

    def record_owner(self, ownership: Ownership | None) -> None:
        """Record the time of a change of the owner."""
        fence = 0 if ownership is None else ownership.fence
        if fence == self._fence:
            return
        if fence and self._fence is not None:
            self._changed_at = self.clock.monotonic()
        self._fence = fence
        self._loaded = False
        self._answer_times = AnswerTimes()

    def _owner_is_new(self) -> bool:
        return not self._loaded and self.clock.monotonic() - self._changed_at < NEW_OWNER_PERIOD_S

    def max_missed_pings(self) -> int:
        """Return after how many consecutive missed pings the owner counts as unresponsive.

        A new owner reads the backlog and connects to all hosts. On a small host its processor and
        its link are busy meanwhile, and it answers slowly. If it were replaced for that, each new
        owner would be replaced in turn and none would ever schedule a job.
        """
        return NEW_OWNER_MAX_MISSED_PINGS if self._owner_is_new() else MAX_MISSED_PINGS

    def ping_timeout_s(self) -> float:
        """Return how long the owner may take to answer a ping."""
        if self._owner_is_new():
            return MAX_PING_TIMEOUT_S
        return self._answer_times.limit_s(min_s=PING_TIMEOUT_S, max_s=MAX_PING_TIMEOUT_S)

    async def _is_unresponsive(self, ownership: Ownership) -> bool:
        """Return whether the owner has stopped responding.

        A responsive owner is pinged once, followed by the ping interval.
        """
        refused = unanswered = 0
        while refused < MAX_MISSED_PINGS and unanswered < self.max_missed_pings():
            sent_at = self.clock.monotonic()
            match await self.peers.ping(ownership.owner, timeout_s=self.ping_timeout_s()):
                case PingResult.ANSWERED | PingResult.LOADING as result:
                    self._answer_times.record(self.clock.monotonic() - sent_at)
                    self._loaded = result is PingResult.ANSWERED
                    await self.clock.sleep(PING_INTERVAL_S)
                    return False
                case PingResult.REFUSED:
                    refused += 1
            unanswered += 1
            await self.clock.sleep(PING_RETRY_INTERVAL_S)
            if self.view.ownership is None or self.view.ownership.fence != ownership.fence:
                return False
        return await self._is_connected(ownership.owner)

    async def _is_connected(self, owner: Member) -> bool:
        names = (owner.name, self.own.name)
        others = [m for m in self.view.members.values() if m.name not in names][
            :CONNECTIVITY_PROBES
        ]
        results = await asyncio.gather(
            *(self.peers.ping(member, timeout_s=PING_TIMEOUT_S) for member in others)
        )
        return not others or not {PingResult.ANSWERED, PingResult.LOADING}.isdisjoint(results)

    async def _replace(self, ownership: Ownership, position: int) -> None:
        await self.clock.sleep(position * ELECTION_STAGGER_S)
        if self.view.ownership is None or self.view.ownership.fence != ownership.fence:
            return
        replaced = await self.replace(ownership)
        self.log.emit(
            "owner.found_silent",
            owner=ownership.owner.name,
            fence=ownership.fence,
            outcome="replaced" if replaced else "left to others",
        )
