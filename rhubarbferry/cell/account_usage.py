"""Metrics and log lines about the quotas and shares of client accounts, as the owner keeps them."""

from __future__ import annotations

from attrs import define, field
from prometheus_client import Counter, Gauge

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.messages import Account, Sizes

ACCOUNT_USED = Gauge(
    "rhubarbferry_account_used", "What the tasks of an account use", ["account", "resource"]
)
ACCOUNT_QUOTA = Gauge(
    "rhubarbferry_account_quota",
    "The most that the tasks of an account may use; 0 is unlimited",
    ["account", "resource"],
)
ACCOUNT_BLOCKED_STEPS = Gauge(
    "rhubarbferry_account_blocked_steps", "Steps that wait for the quota of an account", ["account"]
)
USAGE_MISMATCHES = Counter(
    "rhubarbferry_account_usage_mismatches_total",
    "Checks in which the counted usage of an account differed from its runs",
)
ACCOUNT_SHARE_IN_USE = Gauge(
    "rhubarbferry_account_share_in_use",
    "The largest fraction of all hosts' capacity in any resource that an account uses",
    ["account"],
)
ACCOUNT_SHARE_OWED = Gauge(
    "rhubarbferry_account_share_owed",
    "The fraction of all hosts' capacity that an account is owed while the hosts are full",
    ["account"],
)
METRICS = (
    ACCOUNT_USED,
    ACCOUNT_QUOTA,
    ACCOUNT_BLOCKED_STEPS,
    ACCOUNT_SHARE_IN_USE,
    ACCOUNT_SHARE_OWED,
)
# Minimum time between two lines that say that an account is held back for its share.
HELD_BACK_LOG_INTERVAL_S = 5.0


@define(kw_only=True, eq=False)
class AccountUsageReport:
    """Reports the usage of all accounts during one term of ownership."""

    log: EventLog
    dispatcher: Dispatcher
    _reported: set[str] = field(factory=set)
    _invalid_weights: frozenset[str] = frozenset()
    _held_back_logged_at: dict[str, float] = field(factory=dict)

    def log_blocked_steps(self) -> None:
        """Log the steps that have been blocked for the first time since the last call."""
        quotas = self.dispatcher.quotas
        for step in self.dispatcher.blocks.take_newly_blocked():
            account = quotas.accounts[step.job.account_name]
            used = quotas.used(account.name)
            oversized = quotas.exceeds_quota(step)
            self.log.emit(
                "job.blocked",
                job=step.job.id,
                step=f"{step.id.occurrence}.{step.id.step}",
                account=account.name,
                tasks=len(step.waiting_tasks()),
                task_millicores=step.req.sizes.millicores,
                task_memory_mb=step.req.sizes.memory_mb,
                used_millicores=used.millicores,
                used_memory_mb=used.memory_mb,
                quota_millicores=account.quota.millicores,
                quota_memory_mb=account.quota.memory_mb,
                outcome="larger than the quota" if oversized else "its account is at its quota",
            )

    def update(self, now: float) -> None:
        """Update the metrics, and check the counted usage against the runs of all hosts."""
        self._log_invalid_weights()
        self._log_held_back(now)
        quotas = self.dispatcher.quotas
        blocked = self.dispatcher.waiting.blocked_counts()
        for name, account in quotas.accounts.items():
            self._set_gauges(account, quotas.used(name), blocked.get(name, 0))
        hosts = self.dispatcher.tracker.hosts.values()
        differing = quotas.check_usage(run for host in hosts for run in host.runs.values())
        for name, used in differing.items():
            USAGE_MISMATCHES.inc()
            self.log.emit(
                "account.usage_mismatch",
                account=name,
                used_millicores=used.millicores,
                used_memory_mb=used.memory_mb,
                outcome="kept",
            )

    def _log_invalid_weights(self) -> None:
        invalid = self.dispatcher.shares.invalid
        if invalid is self._invalid_weights:
            return
        for name in sorted(invalid - self._invalid_weights):
            weight = self.dispatcher.quotas.accounts[name].weight
            self.log.emit(
                "account.invalid_weight",
                account=name,
                weight=str(weight),
                outcome="counts as the smallest weight",
            )
        self._invalid_weights = invalid

    def _log_held_back(self, now: float) -> None:
        """Log the accounts above their share whose steps have found no room lately."""
        shares = self.dispatcher.shares
        for name, tries in shares.take_held_back().items():
            last = self._held_back_logged_at.get(name, float("-inf"))
            if now - last < HELD_BACK_LOG_INTERVAL_S:
                continue
            self._held_back_logged_at[name] = now
            self.log.emit(
                "account.held_back",
                account=name,
                share_in_use=round(shares.in_use(name), 4),
                share_owed=round(shares.owed.get(name, 0.0), 4),
                tries=tries,
                outcome="above its share, and its steps found no room",
            )

    def _set_gauges(self, account: Account, used: Sizes, blocked: int) -> None:
        self._reported.add(account.name)
        for gauge, sizes in ((ACCOUNT_USED, used), (ACCOUNT_QUOTA, account.quota)):
            gauge.labels(account.name, "millicores").set(sizes.millicores)
            gauge.labels(account.name, "memory_mb").set(sizes.memory_mb)
            gauge.labels(account.name, "accelerators").set(sizes.accelerators)
        ACCOUNT_BLOCKED_STEPS.labels(account.name).set(blocked)
        shares = self.dispatcher.shares
        if shares.enabled:
            ACCOUNT_SHARE_IN_USE.labels(account.name).set(shares.in_use(account.name))
            ACCOUNT_SHARE_OWED.labels(account.name).set(shares.owed[account.name])

    def clear(self) -> None:
        """Remove the metrics; another process is the owner."""
        if self._reported:
            for metric in METRICS:
                metric.clear()
            self._reported.clear()
