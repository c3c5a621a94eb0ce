"""Measure the resident memory of a daemon after each import of its dependencies."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from bench.probe import rss_mib
from rhubarbferry.test.processes import ProcessCell, Shape

IMPORTS = ("", "asyncio", "attrs", "loguru", "thrift.Thrift", "prometheus_client", "cattrs",
         "aiohttp", "starlette.applications", "uvicorn")  # fmt: skip
DAEMONS = ("rhubarbferry.scheduler.daemon", "rhubarbferry.frontend.daemon")
MANAGEMENT = "rhubarbferry.management.daemons"
RSS_SCRIPT = """\
import sys
for name in sys.argv[1].split(","):
    if name:
        __import__(name)
print(next(l.split()[1] for l in open("/proc/self/status") if l.startswith("VmRSS")))
"""


def _rss_mib(imports: str, env: dict[str, str]) -> float:
    done = subprocess.run(
        [sys.executable, "-c", RSS_SCRIPT, imports],
        env=env,
        check=True,
        capture_output=True,
        text=True,
    )
    return round(int(done.stdout) / 1024, 1)


def _import_steps(env: dict[str, str]) -> dict[str, float]:
    found = {}
    for at in range(1, len(IMPORTS) + 1):
        found["+" + (IMPORTS[at - 1] or "interpreter")] = _rss_mib(",".join(IMPORTS[:at]), env)
    for daemon in DAEMONS:
        found[daemon] = _rss_mib(f"{MANAGEMENT},{daemon}", env)
    return found


async def _idle_daemons(dir: Path, env: dict[str, str]) -> dict[str, float]:
    """Return the memory of serving, idle daemons."""
    dir.mkdir()  # noqa: ASYNC240
    kept = dict(os.environ)
    os.environ.clear()
    os.environ.update(env)
    try:
        async with ProcessCell(dir=dir, shape=Shape(runners=1, workers=1, schedulers=1)) as cell:
            await cell.wait_until_served("frontend-attiki-1")
            return {
                "frontend at rest": round(rss_mib(cell.processes["frontend-attiki-1"]), 1),
                "scheduler at rest": round(rss_mib(cell.processes["scheduler-attiki-1"]), 1),
            }
    finally:
        os.environ.clear()
        os.environ.update(kept)


async def measure(dir: Path) -> dict[str, object]:
    """Measure without and with cached bytecode."""
    plain = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPYCACHEPREFIX": str(dir / "no")}
    cached = {**os.environ, "PYTHONPYCACHEPREFIX": str(dir / "cache")}
    cached.pop("PYTHONDONTWRITEBYTECODE", None)
    _import_steps(cached)
    await _idle_daemons(dir / "first", cached)
    return {
        "compiled_each_start_mib": {
            **_import_steps(plain),
            **await _idle_daemons(dir / "plain", plain),
        },
        "cached_bytecode_mib": {
            **_import_steps(cached),
            **await _idle_daemons(dir / "cached", cached),
        },
    }
