from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys

import aiohttp
import pytest
from frontend_harness import TIMEOUT_S

ENTRY = "import sys; from rhubarbferry.management import main; sys.exit(main())"


def spawn(*args: str) -> subprocess.Popen:
    return subprocess.Popen([sys.executable, *args], stdout=subprocess.PIPE)


async def first_line(process: subprocess.Popen) -> dict:
    async with asyncio.timeout(TIMEOUT_S):
        return json.loads(await asyncio.to_thread(process.stdout.readline))


@pytest.mark.processes
async def test_a_frontend_starts_unconfigured_and_stops_on_sigterm(tmp_path) -> None:
    """A frontend is started in a cell without a configuration and stopped again.

    /readyz answers 503, requests are refused with Retry-After, and SIGTERM ends the process with
    exit code 0.
    """
    store = spawn("-m", "rhubarbferry.test.store", "--port", "0")
    frontend = None
    try:
        url = (await first_line(store))["address"]
        settings = tmp_path / "frontend.ini"
        settings.write_text(
            f"[process]\nmember = f\nregion = a\nfailure_domain = x\n[store]\nurl = http://{url}\n"
        )
        frontend = spawn("-c", ENTRY, "frontend", "--config", str(settings))
        address = (await first_line(frontend))["http_address"]
        async with aiohttp.ClientSession(f"http://{address}") as session:
            async with session.get("/healthz") as res:
                assert res.status == 200
            async with session.get("/readyz") as res:
                assert (res.status, await res.text()) == (503, "not ready: no configuration yet\n")
            headers = {"Client-Account": "acme"}
            async with session.get("/v1/services/s/w", headers=headers) as res:
                assert (res.status, res.headers["Outcome"]) == (503, "not-run")
                assert "Retry-After" in res.headers
        frontend.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(frontend.wait, TIMEOUT_S) == 0
    finally:
        for process in (frontend, store):
            if process is not None:
                process.kill()
                process.wait()
