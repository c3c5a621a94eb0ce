"""``status``: members, partitions, epochs, and the revision in force in each process."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from attrs import frozen

from rhubarbferry.coordination.mirror import CellState
from rhubarbferry.management.cell_access import (
    DEFAULT_STORE,
    SettingsFile,
    StoreUrl,
    open_store,
    read_cell,
)
from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import Format, print_rows
from rhubarbferry.ports.ownership import Member, Role
from rhubarbferry.rpc import Pool, RpcError
from rhubarbferry.rpc.gen.ttypes import StatusRequest
from rhubarbferry.rpc.services import GUARD, SCHEDULER

CALL_TIMEOUT_S = 2.0
NO_ANSWER = "no answer"


@frozen(kw_only=True)
class MemberRow:
    """One member and the configuration revision that it reports to be in force."""

    member: str
    role: str
    region: str
    failure_domain: str
    address: str
    revision: str
    draining: bool


@frozen(kw_only=True)
class PartitionRow:
    """One partition: its owner in the ownership table, and the phase that the owner reports."""

    partition: str
    owner: str
    epoch: int
    phase: str
    waiting: str


def status(
    *,
    format: Format = "table",
    store: StoreUrl = DEFAULT_STORE,
    config: SettingsFile = None,
) -> int:
    """Show members and partitions; exit with 1 if a partition is not being served."""
    return asyncio.run(_status(format, store, config))


async def _status(format: Format, url: str, config: Path | None) -> int:
    async with open_store(url=url, config=config) as store:
        state = await read_cell(store)
    replies = await _request_all_statuses(state)
    members = [_member_row(member, replies) for member in state.members.values()]
    partitions = _partition_rows(state, replies)
    print_rows(members, kind=MemberRow, format=format)
    if format == "table":
        print()
    print_rows(partitions, kind=PartitionRow, format=format)
    served = all(row.phase == "serving" for row in partitions)
    return Exit.OK if served else Exit.FAILED


async def _request_all_statuses(state: CellState) -> dict[str, Any]:
    pools = {Role.FRONTEND: Pool(service=GUARD), Role.SCHEDULER: Pool(service=SCHEDULER)}
    members = list(state.members.values())
    replies = await asyncio.gather(
        *(_request_status(pools[member.role], member) for member in members)
    )
    for pool in pools.values():
        await pool.close()
    return {member.id: reply for member, reply in zip(members, replies, strict=True)}


async def _request_status(pool: Pool, member: Member) -> Any:
    req = StatusRequest(sender="operator")
    try:
        return await pool.call(member.address, "status", req, timeout_s=CALL_TIMEOUT_S)
    except RpcError:
        return None


def _member_row(member: Member, replies: dict[str, Any]) -> MemberRow:
    reply = replies[member.id]
    return MemberRow(
        member=member.id,
        role=member.role.value,
        region=member.region,
        failure_domain=member.failure_domain,
        address=member.http_address or member.address,
        revision=NO_ANSWER if reply is None else str(reply.config_revision),
        draining=member.draining,
    )


def _partition_rows(state: CellState, replies: dict[str, Any]) -> list[PartitionRow]:
    rows = []
    for partition, entry in sorted(state.table.entries.items()):
        reply = replies.get(entry.member_id)
        reported = {p.partition: p for p in reply.partitions} if reply is not None else {}
        partition_status = reported.get(str(partition))
        rows.append(
            PartitionRow(
                partition=str(partition),
                owner=entry.member_id,
                epoch=entry.epoch,
                phase=partition_status.phase if partition_status is not None else NO_ANSWER,
                waiting=str(partition_status.depth) if partition_status is not None else "",
            )
        )
    return rows
