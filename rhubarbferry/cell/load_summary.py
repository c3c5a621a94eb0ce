"""Summaries of the load of a full cell, as the owner sends them to the other processes."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from prometheus_client import Counter

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.dispatch.admission import LoadSummary
from rhubarbferry.dispatch.load import AccountLoad, QueueLoad, ServiceLoad
from rhubarbferry.dispatch.messages import Sizes
from rhubarbferry.ports.clock import Clock
from rhubarbferry.rpc.gen.ttypes import AccountLoad as WireAccountLoad
from rhubarbferry.rpc.gen.ttypes import KnownLoad
from rhubarbferry.rpc.gen.ttypes import LoadSummary as WireLoadSummary
from rhubarbferry.rpc.gen.ttypes import QueueLoad as WireQueueLoad
from rhubarbferry.rpc.gen.ttypes import ServiceLoad as WireServiceLoad

LOAD_SUMMARIES = Counter(
    "rhubarbferry_load_summaries_total", "Summaries of the load received, by outcome", ["outcome"]
)
# Version of the format and meaning of summaries.
FORMAT = 1
# Limit of an encoded number. The work of jobs may exceed what a 64-bit field holds.
MAX_WIRE_INTEGER = 2**62


class LoadSummaryError(Exception):
    """A received summary is of another format or has invalid values."""


def encode_summary(summary: LoadSummary, *, now: float) -> WireLoadSummary:
    """Encode a summary of this process; its age takes the place of its time."""
    return WireLoadSummary(
        format=FORMAT,
        fence=summary.fence,
        number=summary.number,
        config_revision=summary.config_revision,
        age_ms=int((now - summary.taken_at) * 1000),
        services=[
            WireServiceLoad(
                service_name=service.service,
                millicores=_bounded(service.capacity.millicores),
                memory_mb=_bounded(service.capacity.memory_mb),
                accelerators=_bounded(service.capacity.accelerators),
                accounts=[_encode_account(load) for load in service.accounts],
            )
            for service in summary.services
        ],
    )


def _bounded(value: float) -> int:
    return int(min(value, MAX_WIRE_INTEGER))


def _encode_account(load: AccountLoad) -> WireAccountLoad:
    return WireAccountLoad(
        account=load.account,
        used_millicores=_bounded(load.used_cores * 1000),
        owed_millicores=_bounded(load.owed_cores * 1000),
        usable_millicores=_bounded(load.usable_cores * 1000),
        ahead=[
            WireQueueLoad(
                priority=item.priority,
                in_time_ms=_bounded(item.in_time * 1000),
                late_ms=_bounded(item.late * 1000),
            )
            for item in load.ahead
        ],
    )


def decode_summary(wire: WireLoadSummary, *, sent_at: float) -> LoadSummary:
    """Decode a summary that another process has sent.

    :param sent_at: local monotonic time at which the call was sent whose reply it is part of. The
        summary is at least as recent as this minus its age.
    :raises LoadSummaryError: for another format, a missing or negative value, or a time in the
        future.
    """
    if wire.format != FORMAT:
        raise LoadSummaryError(f"format {wire.format} is unknown")
    if not isinstance(wire.age_ms, int) or wire.age_ms < 0:
        raise LoadSummaryError(f"its age is {wire.age_ms} ms")
    return LoadSummary(
        fence=_number(wire.fence),
        number=_number(wire.number),
        config_revision=_number(wire.config_revision),
        taken_at=sent_at - wire.age_ms / 1000,
        services=tuple(
            ServiceLoad(
                service=service.service_name or "",
                capacity=Sizes(
                    millicores=_number(service.millicores),
                    memory_mb=_number(service.memory_mb),
                    accelerators=_number(service.accelerators),
                ),
                accounts=tuple(_decode_account(load) for load in service.accounts or ()),
            )
            for service in wire.services or ()
        ),
    )


def _decode_account(load: WireAccountLoad) -> AccountLoad:
    return AccountLoad(
        account=load.account or "",
        used_cores=_number(load.used_millicores) / 1000,
        owed_cores=_number(load.owed_millicores) / 1000,
        usable_cores=_number(load.usable_millicores) / 1000,
        ahead=tuple(
            QueueLoad(
                priority=_number(item.priority),
                in_time=_number(item.in_time_ms) / 1000,
                late=_number(item.late_ms) / 1000,
            )
            for item in load.ahead or ()
        ),
    )


def _number(value: int | None) -> int:
    if value is None or value < 0:
        raise LoadSummaryError(f"a value is {value}")
    return value


@define(kw_only=True, eq=False)
class LoadView:
    """The newest summary that this process has received.

    :param enabled: returns whether this process uses summaries.
    """

    clock: Clock
    log: EventLog
    enabled: Callable[[], bool]
    latest: LoadSummary | None = field(default=None, init=False)
    _logged_reason: str = field(default="", init=False)

    def known(self) -> KnownLoad | None:
        """Return which summary this process has, ``None`` if it uses none."""
        if not self.enabled():
            return None
        if self.latest is None:
            return KnownLoad(fence=0, number=0)
        return KnownLoad(fence=self.latest.fence, number=self.latest.number)

    def receive(self, wire: WireLoadSummary | None, *, sent_at: float) -> None:
        """Keep a received summary if it is valid and newer; log each new reason to ignore one."""
        if wire is None:
            return
        try:
            summary = decode_summary(wire, sent_at=sent_at)
        except LoadSummaryError as exc:
            LOAD_SUMMARIES.labels("ignored").inc()
            if str(exc) != self._logged_reason:
                self._logged_reason = str(exc)
                self.log.emit("load.summary_ignored", reason=str(exc))
            return
        latest = self.latest
        if latest is None or (summary.fence, summary.number) > (latest.fence, latest.number):
            self.latest = summary
            LOAD_SUMMARIES.labels("taken").inc()
