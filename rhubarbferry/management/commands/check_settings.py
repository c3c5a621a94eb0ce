"""``check-settings``: look through the settings of a process."""

from __future__ import annotations

from pathlib import Path

from returns.result import Failure

from rhubarbferry.conf import Problem, load_settings
from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import Format, print_rows


def check_settings(file: Path, *, format: Format = "table") -> int:
    """Check a settings file; print every problem with its remedy.

    :param file: settings of a frontend or scheduler, or the platform's file of a process
        (``.toml``).
    """
    if file.suffix == ".toml":
        return _check_platform_file(file, format)
    match load_settings(file):
        case Failure(problems):
            print_rows(problems, kind=Problem, format=format)
            return Exit.REFUSED
    print_rows((), kind=Problem, format=format)
    return Exit.OK


def _check_platform_file(file: Path, format: Format) -> int:
    from rhubarbferry.platform.settings import SettingsFileError, load

    try:
        load(file)
    except SettingsFileError as exc:
        field, _, message = str(exc).partition(": ")
        hint = "The platform writes this file; ask its operators for the field."
        problem = Problem(section="", key=field, message=message, hint=hint)
        print_rows((problem,), kind=Problem, format=format)
        return Exit.REFUSED
    print_rows((), kind=Problem, format=format)
    return Exit.OK
