"""The harness that stops the processes of a cell after a test."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time

from .cell_harness import MemberProcess

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
