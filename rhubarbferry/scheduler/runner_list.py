"""The runners of one partition, from the platform's host list and the configuration."""

from __future__ import annotations

from rhubarbferry.core.ejection import Ejector
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.core.slots import Runner, SlotLedger
from rhubarbferry.ports.hosts import Host, HostKind
from rhubarbferry.scheduler.context import Context


class RunnerList:
    """Synchronize the runners of a ledger with the platform's host list.

    :ivar reports_valid_from: time on the monotonic clock; the first report of a runner is accepted
        only if its probe was sent at this time or later.
    """

    def __init__(
        self, *, partition: PartitionId, ctx: Context, ledger: SlotLedger, ejector: Ejector
    ) -> None:
        self._partition = partition
        self._ctx = ctx
        self._ledger = ledger
        self._ejector = ejector
        self._slots = 0
        self.reports_valid_from = ctx.clock.monotonic()

    def outdated(self) -> bool:
        """Return whether the configured slots have changed since the last :meth:`sync`."""
        return self._configured_slots() != self._slots

    def sync(self) -> None:
        """Add, update and remove runners according to the host list."""
        slots = self._slots = self._configured_slots()
        listed = {host.id: host for host in self._ctx.hosts.hosts() if self._matches(host)}
        for host in listed.values():
            known = host.id in self._ledger.runners
            runner = self._ledger.put_runner(
                id=host.id, address=host.address, slots=slots, leaving=host.leaving
            )
            if not known or runner.reported_slots is None:
                self._block_until_reported(runner)
        for id in [id for id in self._ledger.runners if id not in listed]:
            self._ledger.drop_runner(id)
            self._ejector.forget(id)

    def _configured_slots(self) -> int:
        service = self._ctx.cell.current().services.get(self._partition.name)
        return 0 if service is None else service.slots

    def _block_until_reported(self, runner: Runner) -> None:
        """Treat a runner that has not reported yet as fully occupied.

        An earlier owner may have granted its slots to requests that no responding guard reported.
        """
        if runner.blocked_until is not None:
            return
        now = self._ctx.clock.monotonic()
        longest_s = self._ctx.cfg.ownership.longest_request_s
        self._ledger.block(
            runner.id, until=now + longest_s, report_not_before=self.reports_valid_from
        )

    def _matches(self, host: Host) -> bool:
        partition = self._partition
        return (
            host.kind is HostKind.RUNNER
            and host.region == partition.region
            and host.service == partition.name
        )
