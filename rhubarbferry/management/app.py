"""Register the commands and map their errors to exit codes."""

from __future__ import annotations

import sys

from cyclopts import App
from loguru import logger

from rhubarbferry.conf.problems import SettingsError
from rhubarbferry.coordination.configuration import ConfigError, ConfigUnclear, NotInForce
from rhubarbferry.management.exits import Exit
from rhubarbferry.ports.store import StoreError
from rhubarbferry.rpc import RpcError

COMMANDS_PACKAGE = "rhubarbferry.management.commands"

app = App(
    name="rhubarbferry",
    help="Schedule mixed workloads on the hosts of one cell.",
    version_flags=["--version"],
)
report = App(name="report", help="Reports for operators.")
LAZY_COMMANDS = {
    "frontend": ("daemons:frontend", "Run a frontend."),
    "scheduler": ("daemons:scheduler", "Run a scheduler."),
    "check-settings": ("check_settings:check_settings", "Validate the settings of a process."),
    "check": ("check:check", "Validate a configuration of the cell."),
    "apply": ("apply:apply", "Put a configuration in force in the whole cell."),
    "diff": ("diff:diff", "Compare a file with the configuration in force."),
    "get": ("get:get", "Print the accepted configuration."),
    "status": ("status:status", "Show members, partitions and epochs."),
    "bench": ("bench:bench", "Run the decision core on generated work."),
    "release": ("release:release", "Release a region's runners from guards that have ended."),
    "explain": ("explain:explain", "Print what a job waits for."),
}
for _name, (_target, _help) in LAZY_COMMANDS.items():
    app.command(f"{COMMANDS_PACKAGE}.{_target}", name=_name, help=_help)
app.command(report)
report.command(
    f"{COMMANDS_PACKAGE}.report:slo", name="slo", help="Burn of the service-level objectives."
)
report.command(
    f"{COMMANDS_PACKAGE}.losses:report_losses",
    name="losses",
    help="Why jobs were late or not served.",
)


def run_command(argv: list[str]) -> int:
    """Run one command and return its exit code.

    Errors are printed to standard error, with the remedy where one is known.
    """
    logger.remove()
    try:
        code = app(argv, result_action="return_value")
    except SettingsError as exc:
        return _report_error(exc, Exit.REFUSED)
    except (NotInForce, ConfigUnclear) as exc:
        return _report_error(exc, Exit.NOT_YET)
    except ConfigError as exc:
        return _report_error(exc, Exit.REFUSED)
    except StoreError as exc:
        return _report_error(exc, Exit.UNREACHABLE)
    except (RpcError, OSError) as exc:
        return _report_error(exc, Exit.UNREACHABLE)
    return int(code or Exit.OK)


def _report_error(exc: Exception, code: Exit) -> int:
    print(f"{type(exc).__name__}: {exc}", file=sys.stderr)
    return code
