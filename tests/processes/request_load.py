"""Request load for a cell of processes, and its evaluation from the runners' records."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from typing import Any

import aiohttp
from attrs import Factory, define, frozen

from rhubarbferry.test.processes import ProcessCell

CONCURRENT_CALLERS = 12
WORK_MS = 15
KEYED_SHARE = 0.4
DUPLICATE_SHARE = 0.3
REQUEST_TIMEOUT_S = 20
SLOWEST_COUNT = 5
ACCOUNTS = ("kryogonia", "golden-comb")


@frozen(kw_only=True)
class SentRequest:
    """A request with its result; ``lost`` if the caller received no complete answer."""

    frontend: str
    path: str
    key: str
    outcome: str
    status: int
    request_id: str
    retry_after: str
    is_correct: bool
    duration_s: float
    lost: bool = False


@define(kw_only=True)
class Load:
    """A closed loop of callers that send requests to some frontends.

    :param timeout_s: deadline of each request.
    :param work_ms: duration of each request on a runner.
    :param callers: number of concurrent callers.
    """

    cell: ProcessCell
    frontends: list[str]
    rng: random.Random
    timeout_s: float = REQUEST_TIMEOUT_S
    work_ms: int = WORK_MS
    callers: int = CONCURRENT_CALLERS
    sent: list[SentRequest] = Factory(list)
    stopping: bool = False
    _number: int = 0

    async def run(self) -> None:
        """Send requests until :attr:`stopping` is set, then wait for the outstanding answers."""
        await asyncio.gather(*(self._caller() for _ in range(self.callers)))

    async def _caller(self) -> None:
        while not self.stopping:
            self._number += 1
            path = f"/order/{self._number}"
            if self.rng.random() >= KEYED_SHARE:
                await self._send(self.rng.choice(self.frontends), path, "")
                continue
            key = f"key-{self._number}"
            duplicated = self.rng.random() < DUPLICATE_SHARE
            frontends = self.rng.sample(self.frontends, k=min(2, len(self.frontends)))
            chosen = frontends if duplicated else frontends[:1]
            await asyncio.gather(*(self._send(name, path, key) for name in chosen))

    async def _send(self, frontend: str, path: str, key: str) -> None:
        headers = {
            "Client-Account": self.rng.choice(ACCOUNTS) if not key else ACCOUNTS[0],
            "Work-Ms": str(self.work_ms),
            "Request-Timeout": str(self.timeout_s),
            "Idempotent": "false" if key else "true",
        }
        if key:
            headers["Idempotency-Key"] = key
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            answer = await self.cell.request(frontend, path, headers=headers, body=path.encode())
        except (aiohttp.ClientError, TimeoutError):
            self._record(frontend, path, key, "lost", 0, "", "", False, loop.time() - started_at)
            await asyncio.sleep(0.05)
            return
        is_correct = answer.outcome != "done" or _is_for(answer.body, path)
        duration_s = loop.time() - started_at
        self._record(
            frontend,
            path,
            key,
            answer.outcome,
            answer.status,
            answer.request_id,
            answer.retry_after,
            is_correct,
            duration_s,
        )
        if answer.outcome != "done":
            await asyncio.sleep(0.05)

    def _record(self, *values: Any) -> None:
        frontend, path, key, outcome, status, request_id, retry_after, is_correct, duration_s = (
            values
        )
        self.sent.append(
            SentRequest(
                frontend=frontend,
                path=path,
                key=key,
                outcome=outcome,
                status=status,
                request_id=request_id,
                retry_after=retry_after,
                is_correct=is_correct,
                duration_s=duration_s,
                lost=outcome == "lost",
            )
        )


def _is_for(body: bytes, path: str) -> bool:
    head = json.loads(body.splitlines()[0])
    return bool(head["path"].endswith(path))


@frozen(kw_only=True)
class Evaluation:
    """Broken guarantees according to the runners' records; each list must be empty."""

    run_twice: list[str]
    wrong_answers: list[str]
    false_not_run: list[str]
    over_slots: list[str]
    server_errors: list[str]
    lost: int
    done: int
    outcomes: dict[str, int]
    rejected: int
    slowest: list[SentRequest]

    @property
    def longest_s(self) -> float:
        """Return the longest time that a caller waited for its answer."""
        return self.slowest[0].duration_s if self.slowest else 0.0

    def summary(self) -> str:
        """Return the details to print for a failed case."""
        slowest = [f"{s.duration_s:.1f} s {s.outcome} {s.key or s.path}" for s in self.slowest]
        return f"{self.outcomes}, {self.rejected} rejected by runners, slowest {slowest}"


async def evaluate(load: Load) -> Evaluation:
    """Compare the outcomes that callers received with the runners' records."""
    records = await load.cell.records("runner")
    executed: Counter[str] = Counter()
    request_ids: set[str] = set()
    for record in records:
        for execution in record["executions"]:
            if execution["complete"]:
                executed[execution["key"]] += 1
            request_ids.add(execution["request_id"])
    keys = {sent.key for sent in load.sent if sent.key}
    slots = load.cell.shape.slots
    outcomes = Counter(sent.outcome for sent in load.sent)
    return Evaluation(
        run_twice=sorted(key for key in keys if executed[key] > 1),
        wrong_answers=[sent.path for sent in load.sent if not sent.lost and not sent.is_correct],
        false_not_run=[
            sent.path
            for sent in load.sent
            if sent.outcome == "not-run" and sent.request_id in request_ids
        ],
        over_slots=[
            record["id"] for record in records if record["counts"]["concurrent_max"] > slots
        ],
        server_errors=[sent.path for sent in load.sent if sent.status == 500],
        lost=outcomes["lost"],
        done=outcomes["done"],
        outcomes=dict(outcomes),
        rejected=sum(record["counts"]["refused"] for record in records),
        slowest=sorted(load.sent, key=lambda sent: -sent.duration_s)[:SLOWEST_COUNT],
    )
