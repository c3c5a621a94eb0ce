"""Play seeds by hand, each in its own process: ``python -m tests.cell.soak --seeds 1-50``."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from tempfile import mkdtemp

from .cell import SoakCell
from .cell_process import FAULTS
from .plan import make_plan
from .trace import trace_task

DEFAULT_LENGTH_S = 20.0
# A run with fewer shows nothing. Even with faults all the time, far more tasks are done.
MIN_DONE_PER_S = 0.5


async def play(seed: int, *, length_s: float, fault: str, dir: Path, prints_plan: bool) -> bool:
    """Play one seed; print what it has found, and return whether it held."""
    plan = make_plan(seed, length_s=length_s)
    if prints_plan:
        print(plan)
    began = time.monotonic()
    cell = SoakCell(dir=dir, plan=plan, fault=fault)
    findings = await cell.run()
    (dir / "faults.log").write_text("\n".join([str(plan), *cell.log]) + "\n")
    row = {
        "seed": seed,
        "fault": fault,
        "length_s": length_s,
        "took_s": round(time.monotonic() - began, 1),
        "accepted": cell.accepted,
        "runs": len(findings.runs),
        "done": findings.done(),
        "fences": len({run.fence for run in findings.runs}),
        "host_restarts": len(cell.kills) - len(cell.hosts),
        "violations": len(findings.violations),
        "dir": str(dir),
    }
    print(json.dumps(row), flush=True)
    for subject, text in findings.violations:
        print(f"seed {seed}: {subject} {text}", flush=True)
        (dir / f"{subject}.trace").write_text(trace_task(dir, subject, cell) + "\n")
    return not findings.violations and findings.done() >= MIN_DONE_PER_S * length_s


async def play_in_processes(seeds: list[int], args: argparse.Namespace) -> bool:
    """Play seeds beside each other; return whether all held."""
    limit = asyncio.Semaphore(args.jobs)
    options = ["--length", str(args.length), "--fault", args.fault, "--dir", args.dir]

    async def play_one(seed: int) -> bool:
        async with limit:
            child = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "tests.cell.soak", "--seeds", str(seed), *options
            )
            try:
                return await child.wait() == 0
            finally:
                if child.returncode is None:
                    child.terminate()

    return all(await asyncio.gather(*map(play_one, seeds)))


def main() -> int:
    """Play the seeds of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", required=True, help="1-50, or 2,4,6, or 7 to replay one")
    parser.add_argument("--jobs", type=int, default=1, help="seeds beside each other")
    parser.add_argument("--length", type=float, default=DEFAULT_LENGTH_S, help="in seconds")
    parser.add_argument("--fault", default="", choices=["", *FAULTS], help="put into the program")
    parser.add_argument("--dir", default="", help="for logs and records; a new one by default")
    parser.add_argument("--plan", action="store_true", help="print the plan of a single seed")
    args = parser.parse_args()
    # All processes that a seed has started end with it.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    seeds = []
    for part in args.seeds.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    args.dir = args.dir or mkdtemp(prefix="soak-")
    if len(seeds) > 1:
        return 0 if asyncio.run(play_in_processes(seeds, args)) else 1
    dir = Path(args.dir) / f"{args.fault or 'program'}-{seeds[0]}"
    held = asyncio.run(
        play(seeds[0], length_s=args.length, fault=args.fault, dir=dir, prints_plan=args.plan)
    )
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
