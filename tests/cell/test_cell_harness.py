"""The harness that stops the processes of a cell after a test."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time

from .cell_harness import MemberProcess

EXIT_TIMEOUT_S = 5.0


async def test_a_process_that_has_just_exited_may_be_signalled(tmp_path):
    """Guards against an error at the end of a test whose process exits before it is stopped."""
    child = await asyncio.create_subprocess_exec(sys.executable, "-c", "pass")
    # The event loop must not run here, or it would be notified of the exit.
    end = time.monotonic() + EXIT_TIMEOUT_S
    while _exists(child.pid):
        assert time.monotonic() < end
        time.sleep(0.01)
    assert child.returncode is None
    member = MemberProcess(name="one", child=child, output=tmp_path / "log", front="", health="")
    member.signal(signal.SIGKILL)
    assert await child.wait() == 0


def _exists(pid: int) -> bool:
    """Return whether a process exists that has not been waited for."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True
