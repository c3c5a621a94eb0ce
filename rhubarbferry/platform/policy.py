"""Client for the platform's policy service."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from rhubarbferry.dispatch.messages import Approval, StepId
from rhubarbferry.platform.documents import DECODE_ERRORS, read_list, read_number, read_text
from rhubarbferry.platform.http_client import JsonClient, NoAnswer, NotSent
from rhubarbferry.platform.task_names import step_name
from rhubarbferry.ports.workers import Approvals, PolicyBusy, WorkerSilent


class PlatformPolicy:
    """Client for the platform's policy service.

    :param address: ``ip:port`` of the service; may be changed between calls.
    :param extra_timeout_s: returns the seconds to add to each timeout, to allow for delays of this
        process's event loop.
    """

    def __init__(self, *, address: str, extra_timeout_s: Callable[[], float] = lambda: 0.0) -> None:
        self.address = address
        self._http = JsonClient(extra_timeout_s=extra_timeout_s)

    async def request_approvals(
        self, step: StepId, hosts: tuple[str, ...], *, timeout_s: float
    ) -> Approvals:
        """Request approval to run ``step`` on each of ``hosts``; return the approvals granted."""
        body = {"stepId": step_name(step), "workers": list(hosts)}
        try:
            url = f"http://{self.address}/api/advise"
            response = await self._http.call("POST", url, timeout_s=timeout_s, body=body)
        except (NotSent, NoAnswer) as exc:
            raise WorkerSilent(str(exc)) from exc
        if response.status == 429:
            raise PolicyBusy("the policy service has too many questions waiting")
        if response.status != 200 or not isinstance(response.body, dict):
            raise WorkerSilent(f"status {response.status}: {response.body}")
        try:
            return _decode_approvals(response.body)
        except DECODE_ERRORS as exc:
            raise WorkerSilent(f"invalid answer of the policy service: {exc!r:.300}") from exc

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()


def _decode_approvals(body: Mapping[str, Any]) -> Approvals:
    return Approvals(
        approvals=tuple(
            Approval(host=read_text(row[0]), ticket=read_text(row[1]))
            for row in read_list(body.get("approved", []))
        ),
        valid_s=read_number(body.get("validMs", 0)) / 1000,
    )
