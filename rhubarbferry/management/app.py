"""The commands for operators, and what they have in common."""

from __future__ import annotations

import sys

from cyclopts import App
from loguru import logger

from rhubarbferry.conf.problems import SettingsError
from rhubarbferry.coordination.configuration import ConfigError, ConfigUnclear, NotInForce
from rhubarbferry.management.exits import Exit
from rhubarbferry.ports.store import StoreError
from rhubarbferry.rpc import RpcError

COMMANDS = "rhubarbferry.management.commands"

app = App(
    name="rhubarbferry",
    help="Schedule unlike workloads on one cell of hosts.",
    version_flags=["--version"],
)
report = App(name="report", help="Reports for operators.")
LAZY = {
    "frontend": ("daemons:frontend", "Run a frontend."),
    "scheduler": ("daemons:scheduler", "Run a scheduler."),
    "check-settings": ("check_settings:check_settings", "Check the settings of a process."),
    "check": ("check:check", "Check a configuration of the cell."),
    "apply": ("apply:apply", "Put a configuration in force in the whole cell."),
    "diff": ("diff:diff", "Compare a file with the configuration in force."),
    "get": ("get:get", "Print the accepted configuration."),
    "status": ("status:status", "Show members, partitions and epochs."),
    "bench": ("bench:bench", "Drive the decision core with generated work."),
    "release": ("release:release", "Release a region's runners from guards that are dead."),
    "explain": ("explain:explain", "Say what a job waits for."),
}
for _name, (_target, _help) in LAZY.items():
    app.command(f"{COMMANDS}.{_target}", name=_name, help=_help)
app.command(report)
report.command(f"{COMMANDS}.report:slo", name="slo", help="Burn of the service-level objectives.")
report.command(
    f"{COMMANDS}.losses:report_losses", name="losses", help="Why jobs were late or not served."
)


def run_command(argv: list[str]) -> int:
    """Run one command; say on standard error what went wrong and what to do about it."""
    logger.remove()
    try:
        code = app(argv, result_action="return_value")
    except SettingsError as exc:
        return _fail(exc, Exit.REFUSED)
    except (NotInForce, ConfigUnclear) as exc:
        return _fail(exc, Exit.NOT_YET)
    except ConfigError as exc:
        return _fail(exc, Exit.REFUSED)
    except StoreError as exc:
        return _fail(exc, Exit.UNREACHABLE)
    except (RpcError, OSError) as exc:
        return _fail(exc, Exit.UNREACHABLE)
    return int(code or Exit.OK)


def _fail(exc: Exception, code: Exit) -> int:
    print(f"{type(exc).__name__}: {exc}", file=sys.stderr)
    return code
