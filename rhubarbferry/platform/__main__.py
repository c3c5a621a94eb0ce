"""Run one process of a cell: ``python3 -m rhubarbferry.platform [OWN-SETTINGS.ini]``."""

import os
import signal
import sys
from pathlib import Path

# A process sends only plain HTTP requests within the platform, but the HTTP client library loads
# the trusted certificates twice on import, which takes 0.06 s of CPU time each. That delays each
# start, and no scheduling decisions are made while all processes are starting.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

# By default SIGHUP and SIGTERM terminate a process, and the imports below take a third of a second.
# Signals received in that time are recorded instead; a recorded SIGTERM stops the process later.
_early_signals: list[int] = []
for _signal in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_signal, lambda number, _frame: _early_signals.append(number))


def main() -> int:
    """Read the settings and run the process until it receives SIGTERM."""
    import asyncio

    from rhubarbferry.cell.logs import configure_logging
    from rhubarbferry.core.garbage import keep_imported_objects
    from rhubarbferry.platform.process import Process, Signals, read_settings
    from rhubarbferry.platform.settings import SettingsFileError

    log = configure_logging(member="starting")
    own_settings = Path(sys.argv[1]) if len(sys.argv) > 1 else None
    try:
        settings = read_settings(own_settings)
    except SettingsFileError as exc:
        log.emit("process.not_started", reason=str(exc))
        return 2
    log.member = settings.cell.member

    async def run() -> None:
        signals = Signals()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, signals.stop.set)
        loop.add_signal_handler(signal.SIGHUP, signals.reload.set)
        if signal.SIGTERM in _early_signals:
            signals.stop.set()
        log.emit("process.started", addresses=str(settings.addresses))
        process = Process(settings=settings, log=log, signals=signals, own_settings=own_settings)
        await process.run()

    keep_imported_objects()
    try:
        asyncio.run(run())
    except OSError as exc:
        log.emit("process.not_started", reason=f"{exc}; free the address or change it")
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
