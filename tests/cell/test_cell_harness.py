"""The harness that stops the processes of a cell after a test."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import os
import signal
import sys
import time

from .cell_harness import LOOPBACK_BLOCK_SIZE, LOOPBACK_BLOCKS, MemberProcess, member_address

EXIT_TIMEOUT_S = 5.0


def wait_until_gone(pid: int) -> None:
    """Wait until a process has exited and been waited for, while the event loop stands still."""
    end = time.monotonic() + EXIT_TIMEOUT_S
    with contextlib.suppress(ProcessLookupError):
        while True:
            os.kill(pid, 0)
            assert time.monotonic() < end
            time.sleep(0.01)


async def test_a_process_that_has_just_exited_may_be_signalled(tmp_path):
    """Guards against an error at the end of a test whose process exits before it is stopped."""
    child = await asyncio.create_subprocess_exec(sys.executable, "-c", "pass")
    wait_until_gone(child.pid)
    assert child.returncode is None
    member = MemberProcess(name="one", child=child, output=tmp_path / "log", front="", health="")
    member.signal(signal.SIGKILL)
    assert await child.wait() == 0


def test_members_of_two_test_processes_have_different_addresses():
    """Guards against a member that can't start since another test process has taken its port."""
    pids = (1, 2, 3, LOOPBACK_BLOCKS - 1, LOOPBACK_BLOCKS)
    indexes = (0, 1, LOOPBACK_BLOCK_SIZE - 3)
    found = [member_address(index, pid=pid) for pid in pids for index in indexes]
    assert len(set(found)) == len(found)
    network = ipaddress.ip_network("127.0.0.0/8")
    for address in map(ipaddress.ip_address, found):
        assert address in network
        assert address not in (network.network_address, network.broadcast_address)
