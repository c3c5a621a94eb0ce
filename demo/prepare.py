"""Fill the host list and write the settings files of the daemons."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import aiohttp
from cell_files import REGIONS, DemoProcess, read_processes

RACK_SIZE = 2

SETTINGS = """\
[process]
member = {role}-{region}
region = {region}
failure_domain = {region}-1

[store]
url = http://{store}

[hosts]
url = http://{hosts}/hosts

[log]
level = INFO
"""


def host_entry(host: DemoProcess, kind: str) -> dict[str, Any]:
    _, region, number = host.name.split("-")
    rack = f"rack-{(int(number) - 1) // RACK_SIZE + 1}" if kind == "worker" else ""
    labels = {
        "id": host.name,
        "kind": kind,
        "region": region,
        "failure_domain": f"{region}-1",
        "rack": rack,
        "service": "orders" if kind == "runner" else "",
        "state": "live",
    }
    return {"targets": [host.address], "labels": labels}


async def fill_host_list(dir: Path) -> None:
    entries = [host_entry(host, "worker") for host in read_processes(dir, "worker")]
    entries += [host_entry(host, "runner") for host in read_processes(dir, "runner")]
    address = read_processes(dir, "hosts")[0].address
    async with (
        aiohttp.ClientSession() as session,
        session.put(f"http://{address}/hosts", json=entries) as answer,
    ):
        answer.raise_for_status()


def write_settings(dir: Path) -> None:
    store = read_processes(dir, "store")[0].address
    hosts = read_processes(dir, "hosts")[0].address
    for region in REGIONS:
        for role in ("scheduler", "frontend"):
            text = SETTINGS.format(role=role, region=region, store=store, hosts=hosts)
            (dir / f"{role}-{region}.ini").write_text(text)


def main() -> None:
    dir = Path(sys.argv[1])
    write_settings(dir)
    asyncio.run(fill_host_list(dir))


if __name__ == "__main__":
    main()
