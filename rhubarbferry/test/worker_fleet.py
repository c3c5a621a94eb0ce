"""Many worker stand-ins in one process, so that a full-size cell fits on one host.

Run ``python -m rhubarbferry.test.worker_fleet --count N --prefix NAME``. Each worker listens on
its own port and has its own address, as in a real cell.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
from typing import Any

from attrs import asdict

from rhubarbferry.core.cell import Size
from rhubarbferry.ports.clock import Clock, SystemClock
from rhubarbferry.test.worker import Run, WorkerEngine, WorkerStandIn

GIB = 2**30


class WorkerFleet:
    """Worker stand-ins that share one event loop.

    The workers have 2 and 3 accelerators in turn.

    :param count: number of workers.
    :param prefix: prefix of the worker IDs.
    """

    def __init__(
        self, *, count: int, prefix: str, millicores: int, memory_bytes: int, clock: Clock
    ) -> None:
        self._clock = clock
        self.workers = [
            WorkerStandIn(
                engine=WorkerEngine(
                    id=f"{prefix}-{number}",
                    capacity=Size(
                        millicores=millicores,
                        memory_bytes=memory_bytes,
                        accelerators=2 + number % 2,
                    ),
                    clock=clock,
                ),
                clock=clock,
            )
            for number in range(count)
        ]

    async def start(self, host: str) -> list[dict[str, str]]:
        """Start all servers; return the ID and address of each worker."""
        for worker in self.workers:
            await worker.start(host, 0)
        return [{"id": w.engine.id, "address": w.address} for w in self.workers]

    async def close(self) -> None:
        """Stop all workers."""
        for worker in self.workers:
            await worker.close()

    def summary(self) -> dict[str, Any]:
        """Return totals over all workers and a short form of each run, for evaluation by tests."""
        runs: list[Run] = []
        over_capacity = []
        for worker in self.workers:
            worker.engine.tick()
            record = worker.engine.record
            runs += record.runs
            if not record.max_used.fits(worker.engine.capacity):
                over_capacity.append(worker.engine.id)
        running = sum(run.ended_at is None for run in runs)
        return {
            "started": len(runs),
            "running": running,
            "over_capacity": over_capacity,
            "runs": [[run.task_id, run.started_at, run.ended_at] for run in runs],
        }


async def _control(fleet: WorkerFleet, host: str) -> Any:
    from aiohttp import web

    async def record(_: web.Request) -> web.Response:
        return web.json_response(fleet.summary())

    async def counts(_: web.Request) -> web.Response:
        summary = fleet.summary()
        del summary["runs"]
        return web.json_response(summary)

    async def faults(request: web.Request) -> web.Response:
        changes = await request.json()
        for worker in fleet.workers:
            worker.set_faults(changes)
        return web.json_response(asdict(fleet.workers[0].engine.faults))

    app = web.Application()
    app.add_routes(
        [
            web.get("/record", record),
            web.get("/counts", counts),
            web.post("/faults", faults),
        ]
    )
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, 0).start()
    return runner


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="many worker stand-ins in one process")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--count", type=int, default=8)
    parser.add_argument("--prefix", default="worker")
    parser.add_argument("--millicores", type=int, default=64_000)
    parser.add_argument("--memory-bytes", type=int, default=128 * GIB)
    return parser.parse_args()


async def _main(args: argparse.Namespace) -> None:
    fleet = WorkerFleet(
        count=args.count,
        prefix=args.prefix,
        millicores=args.millicores,
        memory_bytes=args.memory_bytes,
        clock=SystemClock(),
    )
    workers = await fleet.start(args.host)
    control = await _control(fleet, args.host)
    host, port = control.addresses[0][:2]
    address = f"{host}:{port}"
    print(json.dumps({"address": address, "control": address, "workers": workers}), flush=True)
    stopped = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stopped.set)
    await stopped.wait()
    await control.cleanup()
    await fleet.close()


if __name__ == "__main__":
    asyncio.run(_main(_arguments()))
