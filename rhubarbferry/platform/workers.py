"""Orders to the hosts that run tasks, in the platform's form."""

from __future__ import annotations

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
from rhubarbferry.platform.http import Answer, JsonClient, NoAnswer, NotSent, TransferLimit
from rhubarbferry.platform.names import parse_task, task_name
from rhubarbferry.ports.workers import FenceStale, HoldRequest, WorkerGone, WorkerSilent

# A round trip between regions, one packet sent again, and time for a busy host. What takes longer
# is treated as unanswered.
ORDER_S = 0.4
# A report lists up to 500 ends, which take a slow link longer than an order's answer may.
REPORT_LIMIT = TransferLimit(idle_s=0.3, total_s=1.5)
# Open connections for orders to one host. They stay open between orders, and the owner has some to
# each host, so that at many hosts its descriptors would run out.
ORDER_CONNECTIONS = 8
EXPECT_HEADER = "Rhubarbferry-Expect-Instance"

ENDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.GANG_BROKEN,
    # It waited in vain for the other members of its gang.
    "alone": EndKind.GANG_TIMEOUT,
}
REFUSALS = {
    "fence": Refusal.STALE_FENCE,
    "old": Refusal.OLD_ATTEMPT,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}


class PlatformWorkers:
    """Calls to the task interface of hosts.

    :param extra_s: returns by how many seconds to extend time limits, as this process is behind.
    """

    def __init__(self, *, extra_s: Callable[[], float] = lambda: 0.0) -> None:
        self._http = JsonClient(extra_s=extra_s, connections=ORDER_CONNECTIONS)
        # Looks wait for seconds each; on their own connections they never hold up an order.
        self._looks = JsonClient(extra_s=extra_s)

    async def hold(self, host: HostEntry, req: HoldRequest) -> HostReport:
        """Extend task leases and return what runs and what has ended."""
        body: dict[str, Any] = {
            "fence": req.fence,
            "ackIndex": req.forget_to,
            "waitMs": int(req.wait_s * 1000),
        }
        if req.deadline_s is not None:
            body["deadlineMs"] = int(req.deadline_s * 1000)
        timeout_s = req.wait_s + req.patience_s
        answer = await self._call(
            self._looks, host, "hold", body, timeout_s=timeout_s, transfer=REPORT_LIMIT
        )
        if answer.status != 200 or not isinstance(answer.body, dict):
            raise _error(answer)
        return _report(answer.body, host)

    async def start(self, host: HostEntry, order: StartOrder, *, fence: int) -> OrderResult:
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
            answer = await self._send(
                self._http, host, "run-start", body, timeout_s=order.timeout_s
            )
        except NotSent:
            # No byte went out, so the host can't have started it.
            return Refused(reason=Refusal.NOT_SENT)
        except NoAnswer as exc:
            return Unanswered(detail=str(exc))
        return _start_result(answer)

    async def stop(self, host: HostEntry, order: StopOrder, *, fence: int) -> float:
        """Stop a task; return the host's clock."""
        body = {"task": task_name(order.task), "attempt": order.attempt, "fence": fence}
        answer = await self._call(self._http, host, "run-stop", body, timeout_s=ORDER_S)
        if answer.status != 200 or not isinstance(answer.body, dict):
            raise _error(answer)
        return float(answer.body["clockMs"]) / 1000

    async def pace(self, host: HostEntry, order: PaceOrder, *, fence: int) -> None:
        """Let a task work at a share of its speed."""
        body = {
            "task": task_name(order.task),
            "attempt": order.attempt,
            "percent": order.percent,
            "fence": fence,
        }
        answer = await self._call(self._http, host, "pace", body, timeout_s=ORDER_S)
        if answer.status != 200:
            raise _error(answer)

    async def close(self) -> None:
        """Give up connections."""
        await self._http.close()
        await self._looks.close()

    async def _call(
        self,
        http: JsonClient,
        host: HostEntry,
        path: str,
        body: Any,
        *,
        timeout_s: float,
        transfer: TransferLimit | None = None,
    ) -> Answer:
        try:
            return await self._send(http, host, path, body, timeout_s=timeout_s, transfer=transfer)
        except (NotSent, NoAnswer) as exc:
            raise WorkerSilent(str(exc)) from exc

    async def _send(
        self,
        http: JsonClient,
        host: HostEntry,
        path: str,
        body: Any,
        *,
        timeout_s: float,
        transfer: TransferLimit | None = None,
    ) -> Answer:
        return await http.call(
            "POST",
            f"http://{host.address}/api/{path}",
            timeout_s=timeout_s,
            transfer=transfer,
            body=body,
            headers={EXPECT_HEADER: host.id},
        )


def _start_result(answer: Answer) -> OrderResult:
    body = answer.body if isinstance(answer.body, dict) else {}
    match answer.status:
        case 200:
            if "clockMs" not in body:
                return Unanswered(detail="a success that can't be read")
            return Started(clock_s=float(body["clockMs"]) / 1000)
        case 409:
            reason = REFUSALS.get(str(body.get("reason")))
            if reason is None:
                logger.warning("a start was refused for an unknown reason: {}", body)
                reason = Refusal.INVALID
            return Refused(reason=reason)
        case 421:
            return Refused(reason=Refusal.OTHER_HOST)
        case 429 | 503:
            return Refused(reason=Refusal.UNHEALTHY)
        case 400:
            logger.error("a host could not read a start: {}", answer.body)
            return Refused(reason=Refusal.INVALID)
    return Unanswered(detail=f"status {answer.status}")


def _error(answer: Answer) -> Exception:
    body = answer.body if isinstance(answer.body, dict) else {}
    if answer.status == 421:
        return WorkerGone("another host answers at its address")
    if answer.status == 409 and body.get("reason") == "fence":
        return FenceStale("the host has seen a higher fence number")
    return WorkerSilent(f"status {answer.status}: {answer.body}")


def _last_half_second(row: list[Any]) -> float:
    # For a task that serves it is a tail latency in milliseconds. For any other it is the
    # processor in use, of which the dispatcher has no use.
    return float(row[4]) if len(row) > 4 else 0.0


def _report(body: dict[str, Any], host: HostEntry) -> HostReport:
    try:
        return HostReport(
            clock_s=float(body["clockMs"]) / 1000,
            incarnation=int(body.get("born", host.incarnation)),
            running=tuple(
                RunningTask(
                    task=parse_task(row[0]),
                    attempt=int(row[1]),
                    checkpoint=str(row[2] or ""),
                    percent=float(row[3]),
                    tail_s=_last_half_second(row) / 1000,
                )
                for row in body.get("active", [])
            ),
            ended=tuple(
                EndedTask(
                    number=int(row[0]),
                    task=parse_task(row[1]),
                    attempt=int(row[2]),
                    how=ENDS[row[3]],
                    checkpoint=str(row[4] or ""),
                )
                for row in body.get("finished", [])
            ),
        )
    except (KeyError, IndexError, TypeError, ValueError) as exc:
        raise WorkerSilent(f"a report that can't be read: {exc!r}") from exc
