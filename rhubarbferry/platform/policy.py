"""Questions to the platform's policy service."""

from __future__ import annotations

from collections.abc import Callable

from rhubarbferry.dispatch.messages import Approval, StepId
from rhubarbferry.platform.http import JsonClient, NoAnswer, NotSent
from rhubarbferry.platform.names import step_name
from rhubarbferry.ports.workers import Approvals, PolicyBusy, WorkerSilent


class PlatformPolicy:
    """The policy service.

    :param address: ``ip:port``; may be changed between calls.
    :param extra_s: returns by how many seconds to extend time limits, as this process is behind.
    """

    def __init__(self, *, address: str, extra_s: Callable[[], float] = lambda: 0.0) -> None:
        self.address = address
        self._http = JsonClient(extra_s=extra_s)

    async def ask(self, step: StepId, hosts: tuple[str, ...], *, timeout_s: float) -> Approvals:
        """Return the approvals among ``hosts``."""
        body = {"stepId": step_name(step), "workers": list(hosts)}
        try:
            url = f"http://{self.address}/api/advise"
            answer = await self._http.call("POST", url, timeout_s=timeout_s, body=body)
        except (NotSent, NoAnswer) as exc:
            raise WorkerSilent(str(exc)) from exc
        if answer.status == 429:
            raise PolicyBusy("the policy service has too many questions waiting")
        if answer.status != 200 or not isinstance(answer.body, dict):
            raise WorkerSilent(f"status {answer.status}: {answer.body}")
        return Approvals(
            approvals=tuple(
                Approval(host=str(row[0]), ticket=str(row[1]))
                for row in answer.body.get("approved", [])
            ),
            valid_s=float(answer.body.get("validMs", 0)) / 1000,
        )

    async def close(self) -> None:
        """Give up connections."""
        await self._http.close()
