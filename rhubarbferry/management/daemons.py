"""Start a daemon from its settings file."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from rhubarbferry.conf import Settings, SettingsError, require_settings
from rhubarbferry.conf.logs import set_up_logs
from rhubarbferry.core.garbage import keep_imported_objects
from rhubarbferry.management.exits import Exit

USAGE = "usage: rhubarbferry {name} --config FILE.ini"


def run_daemon(name: str, argv: list[str]) -> int:
    """Run the frontend or the scheduler until it stops; return its exit code.

    :param name: ``frontend`` or ``scheduler``.
    :param argv: arguments after the name.
    """
    if len(argv) != 2 or argv[0] != "--config":
        print(USAGE.format(name=name), file=sys.stderr)
        return Exit.USAGE
    try:
        cfg = require_settings(Path(argv[1]))
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return Exit.REFUSED
    set_up_logs(cfg.log, member=cfg.process.member)
    keep_imported_objects()
    return asyncio.run(_run(name, cfg))


async def _run(name: str, cfg: Settings) -> int:
    match name:
        case "frontend":
            from rhubarbferry.frontend.daemon import run
        case _:
            from rhubarbferry.scheduler.daemon import run
    return await run(cfg)
