"""Client accounts of the configuration in force, and the keys that identify them."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from attrs import Factory, frozen

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.dispatch.job import JobStatus
from rhubarbferry.dispatch.messages import Account

# Hexadecimal digits of a key's digest that logs contain; the digest itself can't be reversed.
LOGGED_DIGEST_DIGITS = 8


def key_digest(key: str) -> str:
    """Return the digest of an API key, under which the key is stored and looked up."""
    return hashlib.sha256(key.encode()).hexdigest()


def logged_digest(key: str) -> str:
    """Return the part of a key's digest by which logs identify the key."""
    return key_digest(key)[:LOGGED_DIGEST_DIGITS]


@frozen(kw_only=True, slots=True)
class AccountTable:
    """Accounts of one configuration.

    :param enabled: whether the configuration has accounts at all; without them no call needs a key.
    :param settings: accounts by name.
    :param names: name of the account of each key, by the digest of the key.
    """

    enabled: bool = False
    settings: Mapping[str, Account] = Factory(dict)
    names: Mapping[str, str] = Factory(dict)

    def find(self, key: str) -> str | None:
        """Return the name of the account that a key identifies, or ``None`` for an unknown key."""
        return self.names.get(key_digest(key))


def log_account_changes(
    log: EventLog, old: AccountTable, new: AccountTable, *, version: int, revision: int
) -> None:
    """Log each account that a new configuration has added, changed or removed.

    :param version: version of the new configuration.
    :param revision: store revision of the new configuration.
    """
    old_digests = _digests_by_account(old)
    new_digests = _digests_by_account(new)
    for name in sorted(old.settings.keys() | new.settings.keys()):
        settings = new.settings.get(name)
        added = new_digests.get(name, set()) - old_digests.get(name, set())
        removed = old_digests.get(name, set()) - new_digests.get(name, set())
        if settings == old.settings.get(name) and not added and not removed:
            continue
        log.emit(
            "account.changed",
            account=name,
            version=version,
            revision=revision,
            weight=settings.weight if settings is not None else None,
            quota_millicores=settings.quota.millicores if settings is not None else None,
            quota_memory_mb=settings.quota.memory_mb if settings is not None else None,
            keys_added=sorted(digest[:LOGGED_DIGEST_DIGITS] for digest in added),
            keys_removed=sorted(digest[:LOGGED_DIGEST_DIGITS] for digest in removed),
            outcome="removed" if settings is None else "in force",
        )


def _digests_by_account(table: AccountTable) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for digest, name in table.names.items():
        found.setdefault(name, set()).add(digest)
    return found


def may_access(account: str | None, job: JobStatus) -> bool:
    """Return whether a caller may see and cancel a job.

    :param account: account of the caller, empty for none; ``None`` if the configuration has no
        accounts.
    """
    return account is None or not job.account or job.account == account
