"""Tests for the start of a process."""

from __future__ import annotations

import asyncio
import os
import sys

import pytest

from rhubarbferry.platform.http_server import listen
from rhubarbferry.test.serving import address_of

SETTINGS = """\
nodeName = "one"
ip = "127.0.0.1"
zone = "zone"
region = "region"
portRange = [0, 0]
[listen]
front = "{front}"
readiness = "127.0.0.1:0"
[platform]
addr = "127.0.0.1:1"
"""


def test_listen_fails_for_an_address_in_use():
    """Guards against a second process that binds a port in use and fails only when it listens."""
    first = listen("127.0.0.1:0")
    with pytest.raises(OSError):
        listen(address_of(first))
    first.close()


async def test_a_process_whose_address_is_in_use_logs_it_and_exits(tmp_path):
    """Guards against a traceback instead of a log line about the address."""
    used_socket = listen("127.0.0.1:0")
    settings = tmp_path / "node.toml"
    settings.write_text(SETTINGS.format(front=address_of(used_socket)))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rhubarbferry.platform",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, "RHUBARBFERRY_SETTINGS": str(settings)},
    )
    output, _ = await asyncio.wait_for(child.communicate(), 20)
    used_socket.close()
    assert child.returncode == 2
    assert b"process.not_started" in output
    assert b"Traceback" not in output


COUNT_SCANNED_OBJECTS = """
import asyncio, gc

def report(main):
    main.close()
    print("scanned", len(gc.get_objects()))

asyncio.run = report
from rhubarbferry.platform.__main__ import main
main()
"""
MAX_SCANNED_OBJECTS = 2_000


async def test_imported_objects_are_not_scanned_by_the_garbage_collector(tmp_path):
    """Guards against half a second without an answer on a host with a tenth of a core."""
    settings = tmp_path / "node.toml"
    settings.write_text(SETTINGS.format(front="127.0.0.1:0"))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        COUNT_SCANNED_OBJECTS,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "RHUBARBFERRY_SETTINGS": str(settings)},
    )
    output, _ = await asyncio.wait_for(child.communicate(), 20)
    (scanned,) = [line.split()[1] for line in output.splitlines() if line.startswith(b"scanned")]
    assert int(scanned) < MAX_SCANNED_OBJECTS
