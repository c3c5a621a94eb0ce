"""``frontend`` and ``scheduler``: the daemons, registered as commands for their help texts."""

from __future__ import annotations

from pathlib import Path

from rhubarbferry.management.daemons import run_daemon


def frontend(*, config: Path) -> int:
    """Run a frontend, which holds the connections of callers, operators and runners.

    :param config: settings file of the process.
    """
    return run_daemon("frontend", ["--config", str(config)])


def scheduler(*, config: Path) -> int:
    """Run a scheduler, which owns partitions and makes their decisions.

    :param config: settings file of the process.
    """
    return run_daemon("scheduler", ["--config", str(config)])
