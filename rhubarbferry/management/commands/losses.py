"""``report losses``: why jobs were late or not served, from the lines of the processes."""

from __future__ import annotations

import sys
from itertools import chain
from pathlib import Path

from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import Format, print_rows
from rhubarbferry.reports.losses import LossRow, lines_left_out, losses, parse_lines


def report_losses(*files: Path, total: bool = False, format: Format = "table") -> int:
    """Count the jobs that were late or not served, by window of 2 s and by cause.

    :param files: what the processes of one cell wrote, in any order; ``-`` for standard input.
    :param total: add the windows and queues up.
    :param format: a table or JSON.
    """
    lines = parse_lines(chain.from_iterable(_texts(file) for file in files or (Path("-"),)))
    if not lines:
        print("no line of a process in these files", file=sys.stderr)
        return Exit.FAILED
    left_out = lines_left_out(lines)
    if left_out:
        print(f"{left_out} lines were left out by the processes; sums are low", file=sys.stderr)
    print_rows(losses(lines, total=total), kind=LossRow, format=format)
    return Exit.OK


def _texts(file: Path) -> list[str]:
    if str(file) == "-":
        return sys.stdin.read().splitlines()
    return file.read_text(encoding="utf-8", errors="replace").splitlines()
