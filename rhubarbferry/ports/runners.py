"""Reports that a scheduler requests directly from backend servers (runners)."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen


class RunnerUnreachable(Exception):
    """The runner gave no valid response; the state of its slots remains unchanged."""


@frozen(kw_only=True, slots=True)
class RunnerReport:
    """The state that a runner reports.

    :param runner_id: id of the runner.
    :param slots: number of requests that the runner can run concurrently.
    :param running: ids of the requests in progress.
    :param finished: ids of recently finished requests.
    :param leaving: whether the runner is leaving and accepts no new requests.
    """

    runner_id: str
    slots: int
    running: frozenset[str]
    finished: frozenset[str] = frozenset()
    leaving: bool = False


class RunnerReports(Protocol):
    """Client that requests reports from runners."""

    async def report(self, *, runner_id: str, address: str) -> RunnerReport:
        """Request the report of one runner.

        :raises RunnerUnreachable: when the runner doesn't respond or another runner responds.
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
