"""``report losses``: why jobs were late or not served, from the log lines of the processes."""

from __future__ import annotations

import sys
from itertools import chain
from pathlib import Path

from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import Format, print_rows
from rhubarbferry.reports.losses import LossRow, count_omitted_lines, find_losses, parse_lines


def report_losses(*files: Path, total: bool = False, format: Format = "table") -> int:
    """Count the jobs that were late or not served, by window of 2 s and by cause.

    :param files: logs of all processes of one cell, in any order; ``-`` for standard input.
    :param total: add up all windows and queues.
    :param format: a table or JSON.
    """
    lines = parse_lines(chain.from_iterable(_read_lines(file) for file in files or (Path("-"),)))
    if not lines:
        print("no log line of a process in these files", file=sys.stderr)
        return Exit.FAILED
    omitted = count_omitted_lines(lines)
    if omitted:
        print(f"the processes omitted {omitted} log lines; the sums are too low", file=sys.stderr)
    print_rows(find_losses(lines, total=total), kind=LossRow, format=format)
    return Exit.OK


def _read_lines(file: Path) -> list[str]:
    if str(file) == "-":
        return sys.stdin.read().splitlines()
    return file.read_text(encoding="utf-8", errors="replace").splitlines()
