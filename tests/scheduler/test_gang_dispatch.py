from __future__ import annotations

from random import Random

from attrs import define, field

from rhubarbferry.core.cell import Size
from rhubarbferry.core.jobs import Job, JobKind, JobSpec
from rhubarbferry.core.worker_ledger import End
from rhubarbferry.scheduler.gang_dispatch import GangDispatcher

TASKS = 3


def gang() -> Job:
    spec = JobSpec(
        account="assay",
        kind=JobKind.GANG,
        tasks=TASKS,
        size=Size(millicores=1),
        priority=1,
        idempotent=True,
        preemptible=False,
        run_ms=1,
    )
    return Job(id="north.0.a", spec=spec, accepted_at=0.0, since=0.0, max_attempts=3)


def start(job: Job, tasks: int) -> None:
    for _ in range(tasks):
        index = job.claim(partition="worker/north/r1", epoch=1, home_epoch=1)
        job.started(index, worker="w1", now=0.0)


@define(kw_only=True, eq=False)
class FakeHome:
    job: Job
    stopped: int = 0
    waiting: list[Job] = field(factory=list)

    def placeable_gangs(self) -> list[Job]:
        return [self.job] if self.job.waiting() == TASKS else []

    def stop_running(self, job: Job) -> None:
        self.stopped += 1


class Dispatcher(GangDispatcher):
    """Starts the first ``starts`` tasks of each gang to be placed."""

    starts = TASKS

    async def _place(self, job: Job) -> None:
        start(job, self.starts)
        self._record_start(job, whole=self.starts == TASKS)


async def test_a_gang_that_starts_after_a_failed_attempt_is_not_stopped() -> None:
    """A gang starts only in part because a worker fails, and is then stopped.

    The next attempt starts all of its tasks. If the gang still counted as broken, they would be
    stopped and replaced one by one without end.
    """
    home = FakeHome(job=gang())
    dispatcher = Dispatcher(tenure=None, ctx=None, home=home, rng=Random(1))
    dispatcher.starts = 1
    await dispatcher.run_round()
    await dispatcher.run_round()
    assert home.stopped == 1
    for index in list(home.job.live):
        home.job.ended(index, End.STOPPED, now=0.0)
    dispatcher.starts = TASKS
    await dispatcher.run_round()
    await dispatcher.run_round()
    assert home.job.formed
    assert home.job.counts.running == TASKS
    assert home.stopped == 1
