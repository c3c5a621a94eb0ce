"""Apply changes of the cell's configuration, and track the active revision in each process."""

from __future__ import annotations

import difflib

from attrs import frozen
from loguru import logger
from prometheus_client import Counter, Gauge
from returns.result import Failure, Success

from rhubarbferry.conf.cell import parse_cell
from rhubarbferry.conf.problems import Problem
from rhubarbferry.coordination.change_notifier import ChangeNotifier
from rhubarbferry.coordination.keys import CELL_PREFIX, CONFIG_KEY, MEMBERS_PREFIX
from rhubarbferry.coordination.mirror import decode_state
from rhubarbferry.coordination.records import RecordCorrupt, decode, encode
from rhubarbferry.core.cell import Cell
from rhubarbferry.core.configuration import (
    NO_CONFIG,
    ConfigRecord,
    highest_in_force,
    lagging,
    newer,
)
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import KeyValue, Store, StoreError, StoreUnclear

ACTIVE_REVISION = Gauge(
    "rhubarbferry_config_revision", "Revision of the configuration in force in this process"
)
REJECTIONS = Counter(
    "rhubarbferry_config_refused_total", "Configurations rejected by this process", ["reason"]
)
MAX_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.2


class ConfigError(Exception):
    """Base class for errors raised when the configuration is changed."""


class ConfigInvalid(ConfigError):
    """The text has problems; nothing was changed. Correct them and apply again."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ConfigRace(ConfigError):
    """Another change was applied first; nothing was changed. Review it, then apply again."""


class ConfigBehind(ConfigError):
    """The store lags behind the revision in force; nothing was changed. Retry in a few seconds."""


class ConfigUnclear(ConfigError):
    """It is unknown whether the change was stored. Read the stored configuration and compare."""


class NotInForce(ConfigError):
    """The change is accepted and permanent, but some members have not activated it yet.

    :ivar members: ids of these members.
    """

    def __init__(self, revision: int, members: tuple[str, ...]) -> None:
        names = ", ".join(members)
        super().__init__(f"revision {revision} is accepted, not yet in force in: {names}")
        self.members = members


@frozen(kw_only=True, slots=True)
class StoredConfig:
    """The configuration in the store; ``mod_revision`` is 0 when there is none."""

    record: ConfigRecord
    mod_revision: int


@frozen(kw_only=True, slots=True)
class AppliedChange:
    """An accepted change, with a diff against the revision that it replaced."""

    revision: int
    diff: str


class ActiveConfig:
    """The configuration in force in one process; implements ``ports.ownership.ConfigurationView``.

    :ivar record: the active revision; it never decreases.
    :ivar changes: notified after each change.
    """

    def __init__(self) -> None:
        self.record = NO_CONFIG
        self.changes = ChangeNotifier()
        self._cell = Cell()
        self._rejected_record: ConfigRecord | None = None

    def current(self) -> Cell:
        """Return the active configuration."""
        return self._cell

    def update(self, record: ConfigRecord | None) -> None:
        """Activate a configuration read from the store or from a peer, unless it is older."""
        if (
            newer(self.record, record) is self.record
            or record is None
            or record == self._rejected_record
        ):
            return
        match parse_cell(record.text, record.revision):
            case Success(cell):
                self._cell = cell
                self.record = record
                ACTIVE_REVISION.set(record.revision)
                logger.info("configuration {} by {} is in force", record.revision, record.author)
                self.changes.notify()
            case Failure(problems):
                # Only a newer version of this program writes a configuration that this version
                # can't parse. The old revision stays active, and this member keeps reporting it,
                # so that the operator can see which members have not activated the new one.
                self._rejected_record = record
                REJECTIONS.labels("unreadable").inc()
                logger.error("configuration {} can't be parsed: {}", record.revision, problems[0])


def diff(old: str, new: str) -> str:
    """Return a unified diff of two configurations, empty when they are equal."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "new", lineterm="", n=2
    )
    return "\n".join(lines)


async def read(store: Store) -> StoredConfig:
    """Return the configuration in the store.

    :raises RecordCorrupt: when the record can't be decoded.
    """
    return _decode_stored(await store.get(CONFIG_KEY))


async def apply(
    store: Store, *, text: str, based_on: int, author: str, clock: Clock, write_id: str
) -> AppliedChange:
    """Validate a new configuration and store it.

    :param based_on: the revision that the author has edited; 0 for the first.
    :param write_id: unique for this change, to identify it when the reply to the write is lost.
    :raises ConfigInvalid: when the text has problems.
    :raises ConfigRace: when the store holds another revision than ``based_on``.
    :raises ConfigBehind: when a member uses a later revision than the store holds.
    :raises ConfigUnclear: when it can't be determined whether the change was stored.
    :raises StoreError: when the store was not reached; nothing was changed.
    """
    match parse_cell(text, based_on + 1):
        case Failure(problems):
            raise ConfigInvalid(problems)
    listing = await store.list(CELL_PREFIX)
    state = decode_state(listing.items)
    config = next((kv for kv in listing.items if kv.key == CONFIG_KEY), None)
    current = _decode_stored(config)
    _check_base_revision(current, based_on)
    if highest_in_force(state.members.values()) > current.record.revision:
        raise ConfigBehind(
            "members have a later revision in force than the store holds; try again later"
        )
    record = ConfigRecord(
        revision=based_on + 1,
        text=text,
        author=author,
        applied_at=clock.wall(),
        write_id=write_id,
    )
    await _write(store, record, current.mod_revision, clock)
    return AppliedChange(revision=record.revision, diff=diff(current.record.text, text))


async def restore(store: Store, *, in_force: ConfigRecord, based_on: int) -> bool:
    """Write the active configuration back to a store that has lost it.

    :param in_force: the configuration to write.
    :param based_on: the store revision at which the older record was last written; 0 when there is
        no record.
    :returns: whether it was written; ``False`` when another write came first.
    """
    REJECTIONS.labels("older").inc()
    logger.warning("the store lost configuration {}; writing it back", in_force.revision)
    try:
        if based_on == 0:
            return await store.create(CONFIG_KEY, encode(in_force)) is not None
        return await store.put_if(CONFIG_KEY, encode(in_force), mod_revision=based_on) is not None
    except StoreUnclear:
        # The next read of the store shows whether the write took effect; repeating it is harmless.
        return False


async def wait_in_force(store: Store, *, revision: int, timeout_s: float, clock: Clock) -> None:
    """Wait until each live member reports ``revision`` or a later one.

    :raises NotInForce: when this takes longer than ``timeout_s``; lists the remaining members.
    """
    until = clock.monotonic() + timeout_s
    pending: tuple[str, ...] = ("unknown, the store can't be read",)
    while True:
        try:
            listing = await store.list(MEMBERS_PREFIX)
            pending = lagging(decode_state(listing.items).members.values(), revision)
        except StoreError as exc:
            logger.debug("the members can't be read: {}", exc)
        if not pending:
            return
        if clock.monotonic() >= until:
            raise NotInForce(revision, pending)
        await clock.sleep(RETRY_INTERVAL_S)


def _decode_stored(kv: KeyValue | None) -> StoredConfig:
    if kv is None:
        return StoredConfig(record=NO_CONFIG, mod_revision=0)
    return StoredConfig(
        record=decode(CONFIG_KEY, kv.value, ConfigRecord), mod_revision=kv.mod_revision
    )


def _check_base_revision(current: StoredConfig, based_on: int) -> None:
    if current.record.revision != based_on:
        raise ConfigRace(
            f"revision {current.record.revision} by {current.record.author!r} is in the store, "
            f"this change is based on {based_on}"
        )


async def _write(store: Store, record: ConfigRecord, based_on: int, clock: Clock) -> None:
    value = encode(record)
    outcome_unknown = False
    for _ in range(MAX_ATTEMPTS):
        try:
            if based_on == 0:
                revision = await store.create(CONFIG_KEY, value)
            else:
                revision = await store.put_if(CONFIG_KEY, value, mod_revision=based_on)
            if revision is None:
                await _check_stored(store, record, outcome_unknown=outcome_unknown)
            return
        except StoreUnclear:
            # The same compare-and-swap can't take effect twice. If the first attempt succeeded,
            # the second one is rejected, and the record read back is the one written here.
            outcome_unknown = True
        except StoreError:
            if not outcome_unknown:
                raise
        await clock.sleep(RETRY_INTERVAL_S)
    raise ConfigUnclear(f"it is unknown whether revision {record.revision} was stored")


async def _check_stored(store: Store, record: ConfigRecord, *, outcome_unknown: bool) -> None:
    try:
        stored = await read(store)
    except (StoreError, RecordCorrupt) as exc:
        raise StoreUnclear(f"the stored configuration can't be read: {exc}") from exc
    if outcome_unknown and stored.record.revision > record.revision:
        # A later change is stored. It may be based on this one, which its author could read before
        # this call determined the outcome. Reporting "not made" could then be wrong, and the
        # operator would make the same change twice.
        raise ConfigUnclear(
            f"{stored.record.author!r} has since stored revision {stored.record.revision}; "
            f"it is unknown whether revision {record.revision} was this change"
        )
    if stored.record.write_id != record.write_id:
        raise ConfigRace(
            f"{stored.record.author!r} stored revision {stored.record.revision} first; "
            "this change was not made"
        )
