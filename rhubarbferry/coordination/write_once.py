"""Create a key and find out whether it stands, also when replies are lost."""

from __future__ import annotations

from attrs import frozen

from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import KeyValue, Store, StoreError, StoreUnavailable, StoreUnclear

INITIAL_BACKOFF_S = 0.02
MAX_ATTEMPTS = 8


@frozen(kw_only=True, slots=True)
class Created:
    """Our value stands."""


@frozen(kw_only=True, slots=True)
class Conflict:
    """Another value stands at the key, and ours never will."""

    kv: KeyValue


async def create_once(
    *,
    store: Store,
    clock: Clock,
    key: str,
    value: bytes,
    resolve_timeout_s: float,
    maybe_sent: bool = False,
) -> Created | Conflict:
    """Create a key with a value that no other write has.

    The same create may be sent again after a lost reply, since it can take effect only once;
    but "the key exists" then does not mean that another writer was first. A copy that is still
    on its way finds the key taken. So the key is read and compared before that is believed.

    :param resolve_timeout_s: how long to go on after a lost reply.
    :param maybe_sent: whether an earlier call with this value may have taken effect.
    :raises StoreUnclear: when the value may stand or come to stand.
    :raises StoreError: any other: it does not stand and never will.
    """
    until = clock.monotonic() + resolve_timeout_s
    backoff_s = INITIAL_BACKOFF_S
    outcome_unknown = maybe_sent
    for _ in range(MAX_ATTEMPTS):
        try:
            if await store.create(key, value) is not None:
                return Created()
        except StoreUnclear:
            outcome_unknown = True
        except StoreError:
            if not outcome_unknown:
                raise
        found = await _read(store, key)
        if found is not None:
            return Created() if found.value == value else Conflict(kv=found)
        if clock.monotonic() >= until:
            break
        await clock.sleep(backoff_s)
        backoff_s *= 2
    if outcome_unknown:
        raise StoreUnclear(f"it is not known whether {key} was written; settle it before going on")
    raise StoreUnavailable(f"{key} exists but can't be read; try again after a pause")


async def _read(store: Store, key: str) -> KeyValue | None:
    try:
        return await store.get(key)
    except StoreError:
        return None
