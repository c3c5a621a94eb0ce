"""Admission checks for jobs, and explanations of why tasks wait."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import Factory, frozen

from rhubarbferry.core.cell import NO_LIMIT, Cell, Size
from rhubarbferry.core.fairshare import FairShare
from rhubarbferry.core.jobs import Job, JobKind, JobPhase, JobSpec

MAX_PAYLOAD_CHARS = 16 * 1024

DIMENSIONS = (
    ("processors", lambda size: size.millicores),
    ("memory", lambda size: size.memory_bytes),
    ("accelerators", lambda size: size.accelerators),
)


@frozen(kw_only=True, slots=True)
class Extent:
    """Capacity of one worker partition as last reported by its owner.

    :param largest_worker: largest capacity of any worker, per dimension.
    :param largest_free: largest free size of any worker, per dimension.
    """

    partition: str
    region: str
    total: Size = Factory(Size)
    free: Size = Factory(Size)
    largest_worker: Size = Factory(Size)
    largest_free: Size = Factory(Size)


def refusal(
    spec: JobSpec, *, cell: Cell, extents: Sequence[Extent] | None, max_tasks: int
) -> str | None:
    """Return the reason to refuse a job, or ``None`` to accept it.

    :param extents: all worker partitions, or ``None`` while some of them are unknown. In that
        case no job is refused for its size, because an unknown partition may have a worker that
        is large enough.
    """
    return (
        _spec_error(spec, cell, max_tasks)
        or _quota_error(spec, cell)
        or (None if extents is None else _size_error(spec, extents))
    )


def _spec_error(spec: JobSpec, cell: Cell, max_tasks: int) -> str | None:
    if spec.account not in cell.accounts:
        return f"no client account {spec.account!r}; ask the operators to add it"
    if not 1 <= spec.tasks <= max_tasks:
        return f"{spec.tasks} tasks; a job has 1 to {max_tasks}"
    for name, value_of in DIMENSIONS:
        if value_of(spec.size) < 0:
            return f"negative {name}"
    if spec.size.millicores == 0 and spec.size.memory_bytes == 0:
        return "a task needs processors or memory"
    if spec.run_ms < 0:
        return "negative run time"
    if len(spec.payload or "") > MAX_PAYLOAD_CHARS:
        return f"the payload is over {MAX_PAYLOAD_CHARS} characters; pass a reference to it"
    if spec.region and spec.region not in cell.regions:
        return f"no region {spec.region!r}; there are {', '.join(cell.regions)}"
    return None


def _quota_error(spec: JobSpec, cell: Cell) -> str | None:
    quota = cell.accounts[spec.account].limits.quota
    # All tasks of a gang run at the same time; tasks of other jobs can run one after another.
    at_once = spec.tasks if spec.kind is JobKind.GANG else 1
    for name, value_of in DIMENSIONS:
        if value_of(quota) != NO_LIMIT and at_once * value_of(spec.size) > value_of(quota):
            what = "the gang needs" if at_once > 1 else "one task needs"
            return f"{what} more {name} than the account's quota"
    return None


def _size_error(spec: JobSpec, extents: Sequence[Extent]) -> str | None:
    in_region = [e for e in extents if not spec.region or e.region == spec.region]
    where = f"in region {spec.region}" if spec.region else "in the cell"
    if not in_region:
        return f"there are no workers {where}"
    if not any(spec.size.fits(extent.largest_worker) for extent in in_region):
        return f"no worker {where} is large enough: {_exceeded_dimensions(spec.size, in_region)}"
    if spec.kind is JobKind.GANG:
        return _gang_size_error(spec, in_region)
    return None


def _exceeded_dimensions(size: Size, extents: Sequence[Extent]) -> str:
    short = [
        f"{value_of(size)} {_unit(name)} asked, {most} at most"
        for name, value_of in DIMENSIONS
        if value_of(size) > (most := max(value_of(extent.largest_worker) for extent in extents))
    ]
    return "; ".join(short) or "no rack has all of the sizes together"


def _gang_size_error(spec: JobSpec, extents: Sequence[Extent]) -> str | None:
    by_region: dict[str, Size] = {}
    for extent in extents:
        by_region[extent.region] = by_region.get(extent.region, Size()) + extent.total
    need = Size(
        millicores=spec.tasks * spec.size.millicores,
        memory_bytes=spec.tasks * spec.size.memory_bytes,
        accelerators=spec.tasks * spec.size.accelerators,
    )
    if any(need.fits(total) for total in by_region.values()):
        return None
    return "no region could hold all tasks of the gang at once, even if it were empty"


def _unit(name: str) -> str:
    return {"processors": "millicores", "memory": "bytes of memory"}.get(name, name)


def explain(
    job: Job, *, extents: Sequence[Extent], share: FairShare, now: float
) -> tuple[str, ...]:
    """Return messages that explain what the waiting tasks of a job wait for."""
    if job.phase() not in (JobPhase.WAITING, JobPhase.RUNNING):
        return (job.reason,) if job.reason else ()
    if not job.waiting():
        return ()
    return tuple(_waiting_reasons(job, extents, share, now))


def _waiting_reasons(
    job: Job, extents: Sequence[Extent], share: FairShare, now: float
) -> list[str]:
    spec = job.spec
    lines = [f"{job.waiting()} of {spec.tasks} tasks wait"]
    if job.paused_until > now:
        lines.append(f"after a failure the next attempt waits {job.paused_until - now:.1f} s")
    if not share.within_quota(spec.account, spec.size):
        lines.append(
            f"quota: account {spec.account} holds {_format_size(share.used(spec.account))}"
        )
    in_region = [e for e in extents if not spec.region or e.region == spec.region]
    if not in_region:
        lines.append("no worker partition of the job's region is known")
        return lines
    if not any(spec.size.fits(extent.largest_free) for extent in in_region):
        lines.append(_missing_capacity(spec, in_region))
    elif spec.kind is JobKind.GANG:
        lines.append("gang: there is no room for all of its tasks at once")
    else:
        standing = share.standing(spec.account, now)
        lines.append(f"order: account {spec.account} stands at {standing:.3f} of its share")
    return lines


def _missing_capacity(spec: JobSpec, extents: Sequence[Extent]) -> str:
    short = [
        name
        for name, value_of in DIMENSIONS
        if value_of(spec.size) > max(value_of(extent.largest_free) for extent in extents)
    ]
    if short:
        return f"room: no worker has enough free {' and '.join(short)} now"
    return "room: no single worker has all of the sizes free together now"


def _format_size(size: Size) -> str:
    return (
        f"{size.millicores} millicores, {size.memory_bytes} bytes of memory, "
        f"{size.accelerators} accelerators"
    )
