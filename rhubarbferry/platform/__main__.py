"""Run one process of a cell: ``python3 -m rhubarbferry.platform``."""

import os
import signal

# All calls of a process are plain HTTP within the platform, but the HTTP client's library loads the
# trusted certificates twice as it is imported, 0.06 s of processor time each: a start takes longer
# by that, and while all processes start nobody decides.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

# SIGHUP and SIGTERM end a process that has not said otherwise, and the imports below take a third
# of a second. A signal in that time is remembered instead.
_early: list[int] = []
for _signal in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_signal, lambda number, _frame: _early.append(number))


def main() -> int:
    """Read the settings, then run until SIGTERM."""
    import asyncio

    from rhubarbferry.cell.logs import set_up
    from rhubarbferry.platform.process import Process, Signals, read_settings
    from rhubarbferry.platform.settings import SettingsFileError

    log = set_up(member="starting")
    try:
        file = read_settings()
    except SettingsFileError as exc:
        log.emit("process.not_started", reason=str(exc))
        return 2
    log.member = file.cell.member

    async def run() -> None:
        signals = Signals()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, signals.stop.set)
        loop.add_signal_handler(signal.SIGHUP, signals.reload.set)
        if signal.SIGTERM in _early:
            signals.stop.set()
        log.emit("process.started", addresses=str(file.addresses))
        await Process(file=file, log=log, signals=signals).run()

    try:
        asyncio.run(run())
    except OSError as exc:
        log.emit("process.not_started", reason=f"{exc}; free the address or change it")
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
