"""Command line of rhubarbferry."""

from __future__ import annotations

import sys

DAEMONS = ("frontend", "scheduler")


def main() -> None:
    """Run the command named by the arguments and exit with its code."""
    # Daemons run for months on small hosts. They start without importing the command line library,
    # which would take more memory than their own state.
    if len(sys.argv) > 1 and sys.argv[1] in DAEMONS and "--help" not in sys.argv:
        from rhubarbferry.management.daemons import run_daemon

        sys.exit(run_daemon(sys.argv[1], sys.argv[2:]))
    from rhubarbferry.management.app import run_command

    sys.exit(run_command(sys.argv[1:]))
