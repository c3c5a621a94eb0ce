"""``check-settings``: validate the settings of a process."""

from __future__ import annotations

from pathlib import Path

from returns.result import Failure

from rhubarbferry.conf import Problem, load_settings
from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import Format, print_rows


def check_settings(file: Path, *, format: Format = "table") -> int:
    """Validate a settings file; print each problem with its remedy.

    :param file: settings file of a frontend or scheduler, or the file that the platform writes for
        a process (``.toml``).
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
    from rhubarbferry.platform.settings import SettingsFileError, load_settings_file

    try:
        load_settings_file(file)
    except SettingsFileError as exc:
        field, _, message = str(exc).partition(": ")
        hint = "The platform writes this file; ask the platform's operators to correct it."
        problem = Problem(section="", key=field, message=message, hint=hint)
        print_rows((problem,), kind=Problem, format=format)
        return Exit.REFUSED
    print_rows((), kind=Problem, format=format)
    return Exit.OK
