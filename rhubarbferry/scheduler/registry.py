"""Create partition objects by partition kind."""

from __future__ import annotations

from typing import cast

from rhubarbferry.core.partition import PartitionKind
from rhubarbferry.ports.entry_log import EntryLog
from rhubarbferry.ports.ownership import RackTenure, Tenure
from rhubarbferry.ports.runners import RunnerReports
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.partition import Partition


class Registry:
    """Factory of the three kinds of partitions; imports the code of a kind on first use.

    :param reports: port that queries runners for their state.
    """

    def __init__(self, *, ctx: Context, reports: RunnerReports) -> None:
        self._ctx = ctx
        self._reports = reports

    def create(self, tenure: Tenure) -> Partition:
        """Return a new partition object for a tenure."""
        match tenure.partition.kind:
            case PartitionKind.RUNNER:
                return self._create_runner(tenure)
            case PartitionKind.KEY:
                return self._create_key(tenure)
            case PartitionKind.WORKER:
                return self._create_worker(cast(RackTenure, tenure))

    def _create_runner(self, tenure: Tenure) -> Partition:
        from rhubarbferry.scheduler.runner_partition import RunnerPartition

        return RunnerPartition(tenure=tenure, ctx=self._ctx, reports=self._reports)

    def _create_worker(self, tenure: RackTenure) -> Partition:
        from rhubarbferry.scheduler.worker_partition import WorkerPartition

        return WorkerPartition(tenure=tenure, ctx=self._ctx)

    def _create_key(self, tenure: Tenure) -> Partition:
        from rhubarbferry.core.intents import IntentRules
        from rhubarbferry.scheduler.intents import IntentRegistry
        from rhubarbferry.scheduler.job_home import JobHome
        from rhubarbferry.scheduler.key_partition import KeyPartition

        ctx = self._ctx
        rules = IntentRules(
            retention_s=ctx.cfg.requests.intent_retention_s,
            kept_per_account=ctx.cfg.requests.intents_per_account,
        )
        return KeyPartition(
            tenure=tenure,
            ctx=ctx,
            log=self._create_log(tenure),
            components=[
                lambda log: IntentRegistry(tenure=tenure, ctx=ctx, log=log, rules=rules),
                lambda log: JobHome(tenure=tenure, ctx=ctx, log=log),
            ],
        )

    def _create_log(self, tenure: Tenure) -> EntryLog:
        from rhubarbferry.coordination.log import SealedLog

        return SealedLog(
            store=self._ctx.store,
            partition=tenure.partition,
            epoch=tenure.epoch,
            writer_id=self._ctx.member_id,
            clock=self._ctx.clock,
        )
