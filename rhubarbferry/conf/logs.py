"""Logging setup: one line for each state change, as text or JSON, on standard error."""

from __future__ import annotations

import sys

from loguru import logger

from rhubarbferry.conf.settings import LogSettings

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[member]} {message}"


def set_up_logs(cfg: LogSettings, *, member: str) -> None:
    """Log lines of ``cfg.level`` and above to standard error.

    :param member: id of this process, added to each line.
    """
    logger.remove()
    logger.configure(extra={"member": member})
    logger.add(
        sys.stderr,
        level=cfg.level,
        format=TEXT_FORMAT,
        serialize=cfg.format == "json",
        backtrace=False,
        diagnose=False,
    )
