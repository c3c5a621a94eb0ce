"""Addresses that a process listens on."""

from __future__ import annotations

import asyncio
import os
import sys

import pytest

from rhubarbferry.platform.serving import listen
from rhubarbferry.test.serving import address_of


def test_an_address_that_another_process_has_is_refused_at_once():
    """Guards against two processes that bind one port and fail only as they listen."""
    first = listen("127.0.0.1:0")
    with pytest.raises(OSError):
        listen(address_of(first))
    first.close()


async def test_a_process_whose_address_is_taken_says_so_and_ends(tmp_path):
    """Guards against a traceback in place of a line that names the address."""
    taken = listen("127.0.0.1:0")
    settings = tmp_path / "node.toml"
    settings.write_text(f"""\
nodeName = "one"
ip = "127.0.0.1"
zone = "zone"
region = "region"
portRange = [0, 0]
[listen]
front = "{address_of(taken)}"
readiness = "127.0.0.1:0"
[platform]
addr = "127.0.0.1:1"
""")
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rhubarbferry.platform",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, "RHUBARBFERRY_SETTINGS": str(settings)},
    )
    output, _ = await asyncio.wait_for(child.communicate(), 20)
    taken.close()
    assert child.returncode == 2
    assert b"process.not_started" in output
    assert b"Traceback" not in output
