"""Select the region of a request by expected wait."""

from __future__ import annotations

import math
import random

from attrs import frozen

from rhubarbferry.conf.settings import RequestSettings
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.core.routing import SpillRules, choose_fallback, choose_spill
from rhubarbferry.frontend import metrics
from rhubarbferry.frontend.waits import ExpectedWaits, WaitClass
from rhubarbferry.ports.ownership import OwnershipView


@frozen(kw_only=True)
class Spill:
    """Select another region for requests that are expected to start sooner there.

    :param waits: expected waits by region, polled for the request classes that wait here.
    """

    waits: ExpectedWaits
    ownership: OwnershipView
    rules: SpillRules
    rng: random.Random

    def select(self, home: PartitionId, cls: WaitClass) -> PartitionId:
        """Return the partition for a new request whose own region runs the service."""
        wait_s = self.waits.wait_s(home, cls)
        if self.ownership.owner(home) is None:
            wait_s = math.inf
        if self.rules.margin_s <= 0 or wait_s is None or wait_s <= self.rules.margin_s:
            return home
        self.waits.add_demand(home.name, cls)
        chosen = choose_spill(
            home=home,
            home_wait_s=wait_s,
            waits=self.waits.in_other_regions(home, cls),
            rules=self.rules,
            draw=self.rng.random(),
        )
        if chosen is None:
            return home
        metrics.SPILLED.labels(chosen.region, "sooner").inc()
        return chosen

    def fallback(self, home: PartitionId, cls: WaitClass, remaining_s: float) -> PartitionId | None:
        """Return a partition in another region for a request that its own region refused."""
        if self.rules.margin_s <= 0:
            return None
        self.waits.add_demand(home.name, cls)
        chosen = choose_fallback(
            home=home,
            waits=self.waits.in_other_regions(home, cls),
            rules=self.rules,
            remaining_s=remaining_s,
        )
        if chosen is not None:
            metrics.SPILLED.labels(chosen.region, "refused").inc()
        return chosen


def spill_rules(cfg: RequestSettings) -> SpillRules:
    """Return the spill rules from the settings."""
    return SpillRules(round_trip_s=2 * cfg.region_latency_s, margin_s=cfg.spill_margin_s)
