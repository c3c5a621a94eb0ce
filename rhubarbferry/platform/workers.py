"""Client for the platform's task interface of hosts: leases, starts, stops and speeds."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from rhubarbferry.dispatch.messages import (
    EndedTask,
    EndKind,
    HostEntry,
    HostReport,
    OrderResult,
    PaceOrder,
    Refusal,
    Refused,
    RunningTask,
    Started,
    StartOrder,
    StopOrder,
    Unanswered,
)
from rhubarbferry.platform.documents import (
    DECODE_ERRORS,
    read_integer,
    read_list,
    read_number,
    read_size,
    read_text,
)
from rhubarbferry.platform.http_client import JsonClient, NoAnswer, NotSent, Response, TransferLimit
from rhubarbferry.platform.order_connections import OrderConnections
from rhubarbferry.platform.task_names import parse_task, task_name
from rhubarbferry.ports.workers import FenceStale, TaskLeaseRequest, WorkerGone, WorkerSilent

# Allows for a round trip between regions, one retransmitted packet and a busy host. A call that
# takes longer is treated as unanswered.
ORDER_TIMEOUT_S = 0.4
# A host report lists up to 500 ended tasks, which takes longer than ORDER_TIMEOUT_S on a slow link.
REPORT_TRANSFER_LIMIT = TransferLimit(idle_s=0.3, total_s=1.5)
EXPECTED_HOST_HEADER = "Rhubarbferry-Expect-Instance"

END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.GANG_BROKEN,
    # The task timed out waiting for the other members of its gang.
    "alone": EndKind.GANG_TIMEOUT,
}
REFUSAL_REASONS = {
    "fence": Refusal.STALE_FENCE,
    "old": Refusal.OLD_ATTEMPT,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}


class PlatformWorkers:
    """Client for the task interface of hosts.

    :param extra_timeout_s: returns the seconds to add to each timeout, to allow for delays of this
        process's event loop.
    :param max_descriptors: descriptors that the process may use; 0 if unknown.
    """

    def __init__(
        self, *, extra_timeout_s: Callable[[], float] = lambda: 0.0, max_descriptors: int = 0
    ) -> None:
        self._orders = OrderConnections(
            max_descriptors=max_descriptors,
            create_client=lambda limit: JsonClient(
                extra_timeout_s=extra_timeout_s, max_connections=limit
            ),
            monotonic=time.monotonic,
        )
        # Requests for reports wait for seconds each. They have their own connections, so that they
        # never delay an order.
        self._report_client = JsonClient(extra_timeout_s=extra_timeout_s)

    async def extend_leases(self, host: HostEntry, req: TaskLeaseRequest) -> HostReport:
        """Extend the task leases of a host; return its running and ended tasks."""
        body: dict[str, Any] = {
            "fence": req.fence,
            "ackIndex": req.acknowledged_to,
            "waitMs": int(req.wait_s * 1000),
        }
        if req.deadline_s is not None:
            body["deadlineMs"] = int(req.deadline_s * 1000)
        self._orders.add_host(host.address)
        timeout_s = req.wait_s + req.response_margin_s
        response = await self._call(
            self._report_client,
            host,
            "hold",
            body,
            timeout_s=timeout_s,
            transfer=REPORT_TRANSFER_LIMIT,
        )
        if response.status != 200 or not isinstance(response.body, dict):
            raise _error_for(response)
        return _decode_report(response.body, host)

    async def start(
        self,
        host: HostEntry,
        order: StartOrder,
        *,
        fence: int,
        on_written: Callable[[], None] | None = None,
    ) -> OrderResult:
        """Start a task."""
        body: dict[str, Any] = {
            "task": task_name(order.task),
            "attempt": order.attempt,
            "spec": order.payload,
            "deadlineMs": int(order.deadline_s * 1000),
            "fence": fence,
        }
        if order.checkpoint:
            body["checkpointAt"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        try:
            response = await self._send(
                self._orders.client,
                host,
                "run-start",
                body,
                timeout_s=order.timeout_s,
                on_connected=on_written,
            )
        except NotSent:
            # No data was sent, so the host can't have started the task.
            return Refused(reason=Refusal.NOT_SENT)
        except NoAnswer as exc:
            return Unanswered(detail=str(exc))
        return _decode_start_result(response)

    async def stop(self, host: HostEntry, order: StopOrder, *, fence: int) -> float:
        """Stop a task; return the time on the host's clock."""
        body = {"task": task_name(order.task), "attempt": order.attempt, "fence": fence}
        response = await self._call(
            self._orders.client, host, "run-stop", body, timeout_s=ORDER_TIMEOUT_S
        )
        if response.status != 200 or not isinstance(response.body, dict):
            raise _error_for(response)
        try:
            return read_number(response.body["clockMs"]) / 1000
        except DECODE_ERRORS as exc:
            raise WorkerSilent(f"invalid answer to a stop order: {exc!r:.300}") from exc

    async def pace(self, host: HostEntry, order: PaceOrder, *, fence: int) -> None:
        """Limit a task to a percentage of its full speed."""
        body = {
            "task": task_name(order.task),
            "attempt": order.attempt,
            "percent": order.percent,
            "fence": fence,
        }
        response = await self._call(
            self._orders.client, host, "pace", body, timeout_s=ORDER_TIMEOUT_S
        )
        if response.status != 200:
            raise _error_for(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._orders.close()
        await self._report_client.close()

    async def _call(
        self,
        client: JsonClient,
        host: HostEntry,
        path: str,
        body: Any,
        *,
        timeout_s: float,
        transfer: TransferLimit | None = None,
    ) -> Response:
        try:
            return await self._send(
                client, host, path, body, timeout_s=timeout_s, transfer=transfer
            )
        except (NotSent, NoAnswer) as exc:
            raise WorkerSilent(str(exc)) from exc

    async def _send(
        self,
        client: JsonClient,
        host: HostEntry,
        path: str,
        body: Any,
        *,
        timeout_s: float,
        transfer: TransferLimit | None = None,
        on_connected: Callable[[], None] | None = None,
    ) -> Response:
        return await client.call(
            "POST",
            f"http://{host.address}/api/{path}",
            timeout_s=timeout_s,
            transfer=transfer,
            on_connected=on_connected,
            body=body,
            headers={EXPECTED_HOST_HEADER: host.id},
        )


def _decode_start_result(response: Response) -> OrderResult:
    body = response.body if isinstance(response.body, dict) else {}
    match response.status:
        case 200:
            try:
                return Started(clock_s=read_number(body["clockMs"]) / 1000)
            except DECODE_ERRORS as exc:
                return Unanswered(detail=f"a success that can't be read: {exc!r:.300}")
        case 409:
            reason = REFUSAL_REASONS.get(str(body.get("reason")))
            if reason is None:
                logger.warning("a host refused a start order for an unknown reason: {}", body)
                reason = Refusal.INVALID
            return Refused(reason=reason)
        case 421:
            return Refused(reason=Refusal.OTHER_HOST)
        case 429 | 503:
            return Refused(reason=Refusal.UNHEALTHY)
        case 400:
            logger.error("a host could not decode a start order: {}", response.body)
            return Refused(reason=Refusal.INVALID)
    return Unanswered(detail=f"status {response.status}")


def _error_for(response: Response) -> Exception:
    body = response.body if isinstance(response.body, dict) else {}
    if response.status == 421:
        return WorkerGone("another host uses its address")
    if response.status == 409 and body.get("reason") == "fence":
        return FenceStale("the host has seen a higher fence number")
    return WorkerSilent(f"status {response.status}: {response.body}")


def _tail_latency_ms(row: list[Any]) -> float:
    # For a long-running task, which serves requests, the field is the tail latency of the last half
    # second in milliseconds. For any other task it is the CPU usage, which pacing ignores.
    return read_number(row[4]) if len(row) > 4 else 0.0


def _decode_report(body: dict[str, Any], host: HostEntry) -> HostReport:
    try:
        return HostReport(
            clock_s=read_number(body["clockMs"]) / 1000,
            incarnation=read_size(body.get("born", host.incarnation)),
            running=tuple(
                RunningTask(
                    task=parse_task(read_text(row[0])),
                    attempt=read_integer(row[1]),
                    checkpoint=read_text(row[2] or ""),
                    percent=read_number(row[3]),
                    tail_latency_s=_tail_latency_ms(row) / 1000,
                )
                for row in read_list(body.get("active", []))
            ),
            ended=tuple(
                EndedTask(
                    number=read_integer(row[0]),
                    task=parse_task(read_text(row[1])),
                    attempt=read_integer(row[2]),
                    how=END_KINDS[read_text(row[3])],
                    checkpoint=read_text(row[4] or ""),
                )
                for row in read_list(body.get("finished", []))
            ),
        )
    except DECODE_ERRORS as exc:
        raise WorkerSilent(f"invalid host report: {exc!r:.300}") from exc
