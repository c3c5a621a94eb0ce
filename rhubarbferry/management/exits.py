"""Exit codes of the commands."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """Meaning of the exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    NOT_YET = 5
