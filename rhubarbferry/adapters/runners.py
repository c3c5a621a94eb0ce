"""Read the state of runners over HTTP, from ``GET /rhubarbferry/status``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rhubarbferry.ports.runners import RunnerReport, RunnerUnreachable

if TYPE_CHECKING:
    import aiohttp

STATUS_PATH = "/rhubarbferry/status"
MAX_REPORT_BYTES = 1024 * 1024


class HttpRunnerReports:
    """Read runner reports over HTTP/1.1.

    The HTTP library is imported with the first request.

    :param timeout_s: timeout of one request in seconds.
    """

    def __init__(self, *, timeout_s: float = 0.5) -> None:
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def report(self, *, runner_id: str, address: str) -> RunnerReport:
        """Return the report of one runner; implements ``RunnerReports.report``."""
        import aiohttp

        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._timeout_s)
            self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self._session.get(f"http://{address}{STATUS_PATH}") as resp:
                resp.raise_for_status()
                body = await resp.json(content_type=None)
            report = parse_report(body)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            raise RunnerUnreachable(
                f"no report from runner {runner_id} at {address}: {exc}"
            ) from exc
        if report.runner_id != runner_id:
            # The address now belongs to another runner, whose report must not free this runner's
            # slots.
            raise RunnerUnreachable(f"runner {report.runner_id} now has the address {address}")
        return report

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


def parse_report(body: Any) -> RunnerReport:
    """Parse the JSON of a report.

    :raises ValueError: when a field is missing or invalid.
    """
    try:
        return RunnerReport(
            runner_id=str(body["id"]),
            slots=int(body["slots"]),
            running=frozenset(map(str, body["running"])),
            finished=frozenset(map(str, body.get("finished_recent", ()))),
            leaving=bool(body.get("leaving", False)),
        )
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"invalid runner report: {exc}") from exc
