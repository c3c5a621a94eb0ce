"""Run the commands against a simulated store that is served in a thread."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from rhubarbferry.management.app import run_command
from rhubarbferry.management.daemons import run_daemon
from rhubarbferry.management.exits import Exit

CELL = """\
[cell]
regions = attiki

[account kryogonia]
share = {share}

[service orders]
slots = 8
"""
START_TIMEOUT_S = 10


@pytest.fixture
def store_url() -> Iterator[str]:
    """Serve a simulated store in a thread, since each command runs its own event loop."""
    from rhubarbferry.ports.clock import SystemClock
    from rhubarbferry.test.memory_store import MemoryStore
    from rhubarbferry.test.serving import serving
    from rhubarbferry.test.store import StoreGateway

    started = threading.Event()
    urls: list[str] = []
    stopping: list[tuple[asyncio.AbstractEventLoop, asyncio.Event]] = []

    async def serve() -> None:
        stop = asyncio.Event()
        gateway = StoreGateway(store=MemoryStore(clock=SystemClock()))
        async with serving(gateway.app()) as address:
            stopping.append((asyncio.get_running_loop(), stop))
            urls.append(f"http://{address}")
            started.set()
            await stop.wait()

    thread = threading.Thread(target=lambda: asyncio.run(serve()), daemon=True)
    thread.start()
    assert started.wait(START_TIMEOUT_S)
    yield urls[0]
    loop, stop = stopping[0]
    loop.call_soon_threadsafe(stop.set)
    thread.join(START_TIMEOUT_S)


@pytest.fixture
def cell_file(tmp_path: Path) -> Path:
    path = tmp_path / "cell.ini"
    path.write_text(CELL.format(share=1))
    return path


def test_apply_get_and_diff(
    store_url: str, cell_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    store_option = ["--store", store_url]
    assert run_command(["apply", str(cell_file), "--author", "ann", *store_option]) == Exit.OK
    assert "revision 1 accepted" in capsys.readouterr().out
    assert run_command(["get", "--format", "json", *store_option]) == Exit.OK
    record = json.loads(capsys.readouterr().out)
    assert (record["revision"], record["author"]) == (1, "ann")
    assert run_command(["diff", str(cell_file), *store_option]) == Exit.OK
    cell_file.write_text(CELL.format(share=2))
    assert run_command(["diff", str(cell_file), *store_option]) == Exit.FAILED
    assert "+share = 2" in capsys.readouterr().out


def test_a_concurrent_edit_is_refused_and_names_its_author(
    store_url: str, cell_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Two operators edit the same revision.

    If the second write were accepted, it would silently undo the first one.
    """
    store_option = ["--store", store_url]
    assert run_command(["apply", str(cell_file), "--author", "ann", *store_option]) == Exit.OK
    stale_edit = ["apply", str(cell_file), "--author", "ben", "--based-on", "0", *store_option]
    assert run_command(stale_edit) == Exit.REFUSED
    assert "ann" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("argv", "code", "expected"),
    [
        (["apply", "FILE"], Exit.UNREACHABLE, "store"),
        (["get"], Exit.UNREACHABLE, "store"),
        (["status"], Exit.UNREACHABLE, "store"),
    ],
)
def test_an_unreachable_store_is_reported(
    argv: list[str], code: Exit, expected: str, cell_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The store is down while an operator runs a command. The command must report this."""
    argv = [str(cell_file) if arg == "FILE" else arg for arg in argv]
    assert run_command([*argv, "--store", "http://127.0.0.1:1"]) == code
    assert expected in capsys.readouterr().err


def test_check_prints_every_problem(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "cell.ini"
    path.write_text("[cell]\nregions = a\nkey_partitions_per_region = 0\n[account x]\nshar = 1\n")
    assert run_command(["check", str(path), "--format", "json"]) == Exit.REFUSED
    problems = json.loads(capsys.readouterr().out)
    assert {problem["key"] for problem in problems} == {"key_partitions_per_region", "shar"}


@pytest.mark.parametrize(
    ("argv", "code"),
    [
        ([], Exit.USAGE),
        (["--config"], Exit.USAGE),
        (["--config", "nowhere.ini"], Exit.REFUSED),
    ],
)
@pytest.mark.parametrize("name", ["frontend", "scheduler"])
def test_a_daemon_reports_wrong_arguments(
    name: str, argv: list[str], code: Exit, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_daemon(name, argv) == code
    assert capsys.readouterr().err
