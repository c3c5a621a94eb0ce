"""Run a process of a cell whose paths to the hosts lead through relays, optionally with a fault.

``SOAK_ROUTES`` names a directory with a JSON file for each process: relay address by host address.
``SOAK_FAULT`` names a fault that is put into the program, to prove that the test finds it.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path

from attrs import evolve

from rhubarbferry.cell.lease import CLOCK_MARGIN_S, LEASE_TTL_S, LeaseKeeper
from rhubarbferry.cell.roster import Roster
from rhubarbferry.cell.term_context import Tenure
from rhubarbferry.dispatch.takeover import Takeover
from rhubarbferry.platform.workers import PlatformWorkers

ROUTES_VARIABLE = "SOAK_ROUTES"
FAULT_VARIABLE = "SOAK_FAULT"
EXTRA_ACTION_S = 3.0


def use_routes(routes: dict[str, str]) -> None:
    """Send all calls to hosts through relays."""
    send = PlatformWorkers._send

    async def send_by_relay(self, client, host, path, body, **fields):
        host = evolve(host, address=routes.get(host.address, host.address))
        return await send(self, client, host, path, body, **fields)

    PlatformWorkers._send = send_by_relay  # type: ignore[method-assign]


def ignore_roster() -> None:
    """Resume inherited jobs at once."""
    Takeover.may_resume = lambda self, job: True  # type: ignore[method-assign]


def share_fence() -> None:
    """Call each incarnation of a host with the number of the owner."""
    set_stored = Roster._set_stored

    def set_stored_and_share(self, entries, revision):
        set_stored(self, entries, revision)
        self.fences = dict.fromkeys(self.entries, self.tenure.fence)

    Roster._set_stored = set_stored_and_share  # type: ignore[method-assign]


def expire_at_once() -> None:
    """Count the earlier owner's leases as expired at the takeover."""
    expire = Takeover.expire
    Takeover.expire = lambda self, now: expire(self, float("inf"))  # type: ignore[method-assign]


def act_after_lease() -> None:
    """Let an owner act for some seconds after its lease has ended."""

    def valid_lease(self):
        ended_at = self._extended_at + LEASE_TTL_S - CLOCK_MARGIN_S
        return self.lease if self.clock.monotonic() < ended_at + EXTRA_ACTION_S else None

    def holds(self):
        ended_at = self.keeper._extended_at + LEASE_TTL_S - CLOCK_MARGIN_S
        return not self.ended and self.keeper.clock.monotonic() < ended_at + EXTRA_ACTION_S

    LeaseKeeper.valid_lease = valid_lease  # type: ignore[method-assign]
    Tenure.holds = holds  # type: ignore[method-assign]
    Tenure.check = lambda self: None  # type: ignore[method-assign]


FAULTS: dict[str, Callable[[], None]] = {
    "no-roster": ignore_roster,
    "no-incarnation-fence": share_fence,
    "no-lease-wait": expire_at_once,
    "late-owner": act_after_lease,
}


if __name__ == "__main__":
    # Its import records signals instead of ending the process, which only this process may do.
    from rhubarbferry.platform.__main__ import main

    name = Path(os.environ["RHUBARBFERRY_SETTINGS"]).stem
    use_routes(json.loads((Path(os.environ[ROUTES_VARIABLE]) / f"{name}.json").read_text()))
    if os.environ.get(FAULT_VARIABLE):
        FAULTS[os.environ[FAULT_VARIABLE]]()
    raise SystemExit(main())
