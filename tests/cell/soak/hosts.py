"""Hosts, each in its own process, that record what they run.

``python -m tests.cell.soak.hosts`` reads one JSON line per host to start and forks a process for
it, so that a host is back within milliseconds. Each host prints one line once it listens.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, TextIO

from attrs import define, field
from starlette.requests import Request
from starlette.responses import Response

from rhubarbferry.test.platform_store import PlatformStoreStandIn
from rhubarbferry.test.platform_worker import PlatformWorkerStandIn, TaskRun
from rhubarbferry.test.serving import serving

ADVANCE_INTERVAL_S = 0.01
DEFAULT_WORK_S = 1.0
WORK_SPEC = "work "


@define(kw_only=True, eq=False)
class RecordingHost(PlatformWorkerStandIn):
    """Host that writes one JSON line for each event, with the time of CLOCK_MONOTONIC.

    :param sink: receives the lines.
    """

    sink: TextIO
    _up_at: float = field(factory=time.monotonic)
    _reported_lapse: float = 0.0

    def record(self, event: str, *, at: float | None = None, **fields: Any) -> None:
        """Write one line."""
        at = time.monotonic() if at is None else at
        line = {"at": round(at, 4), "event": event, "host": self.id, "born": self._born, **fields}
        self.sink.write(json.dumps(line) + "\n")
        self.sink.flush()

    async def advance_until_cancelled(self) -> None:
        """End runs in time, whether or not the host is called; exit with the parent process."""
        parent = os.getppid()
        while os.getppid() == parent:
            self._advance()
            await asyncio.sleep(ADVANCE_INTERVAL_S)
        os._exit(0)

    def _clock_ms(self) -> int:
        # The clock starts anew with each life, which makes the deadlines of earlier orders far.
        return int((time.monotonic() - self._up_at) * 1000) + 1000

    def _advance(self) -> None:
        if 0 < self._lease_until < self._clock_ms() and self._reported_lapse != self._lease_until:
            self._reported_lapse = self._lease_until
            self.record("lapse", at=self._lease_end())
        super()._advance()

    def _lease_end(self) -> float:
        return self._up_at + (self._lease_until - 1000) / 1000

    def _work_s(self, body: dict[str, Any]) -> float:
        spec = str(body.get("spec", ""))
        return float(spec.removeprefix(WORK_SPEC)) if spec.startswith(WORK_SPEC) else DEFAULT_WORK_S

    def _end(self, run: TaskRun, how: str) -> None:
        now = time.monotonic()
        # The end is due before this process notices it.
        at = {"lapsed": self._lease_end(), "done": run.ends_at}.get(how, now)
        super()._end(run, how)
        self.record(
            "end",
            at=min(now, at),
            task=run.task,
            attempt=run.attempt,
            how=how,
            number=self._ended_count,
        )

    async def _admit(self, request: Request) -> tuple[dict[str, Any], Response | None]:
        body, rejection = await super()._admit(request)
        call = request.url.path.rpartition("/")[2]
        if rejection is None:
            ack = body.get("ackIndex", 0)
            self.record("call", call=call, fence=body.get("fence", 0), ack=ack)
        elif call != "hold":
            fields = {key: body.get(key) for key in ("task", "attempt", "fence")}
            self.record("refused", call=call, status=rejection.status_code, **fields)
        return body, rejection

    async def _start(self, request: Request) -> Response:
        count = len(self.history)
        response = await super()._start(request)
        body = await request.json()
        fields = {key: body.get(key) for key in ("task", "attempt", "fence", "ticket")}
        if len(self.history) > count and self.history[-1].task == body["task"]:
            self.record("start", at=self.history[-1].began_at, **fields)
        elif response.status_code != 200:
            self.record("not started", answer=bytes(response.body).decode(), **fields)
        return response


async def serve_host(host: RecordingHost, *, ip: str, port: int) -> None:
    """Run one host until it is killed."""
    async with serving(host.app(), ip=ip, port=port):
        host.record("up")
        # One call for the whole line, since all hosts write to the same pipe.
        line = json.dumps({"id": host.id, "pid": os.getpid(), "born": host._born}) + "\n"
        os.write(sys.stdout.fileno(), line.encode())
        await host.advance_until_cancelled()


def run_host(order: dict[str, Any]) -> None:
    """Run the host of an order in this process."""
    with Path(order["records"]).open("a") as sink:
        host = RecordingHost(
            id=order["id"],
            service=order["service"],
            store=PlatformStoreStandIn(),
            checks_tickets=True,
            sink=sink,
        )
        asyncio.run(serve_host(host, ip=order["ip"], port=order["port"]))


def main() -> None:
    """Fork a process for each line of the standard input."""
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)
    for line in sys.stdin:
        order = json.loads(line)
        if os.fork() == 0:
            signal.signal(signal.SIGCHLD, signal.SIG_DFL)
            os.close(sys.stdin.fileno())
            run_host(order)
            os._exit(0)


if __name__ == "__main__":
    main()
