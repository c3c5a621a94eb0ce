"""``check``: validate a configuration of the cell."""

from __future__ import annotations

from pathlib import Path

from returns.result import Failure

from rhubarbferry.conf import Problem
from rhubarbferry.conf.cell import parse_cell
from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import Format, print_rows


def check(file: Path, *, format: Format = "table") -> int:
    """Validate templates, client accounts and services; print each problem with its remedy.

    :param file: file with the configuration of the cell.
    """
    match parse_cell(file.read_text(encoding="utf-8"), 1):
        case Failure(problems):
            print_rows(problems, kind=Problem, format=format)
            return Exit.REFUSED
    print_rows((), kind=Problem, format=format)
    return Exit.OK
