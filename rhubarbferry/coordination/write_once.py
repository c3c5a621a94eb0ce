"""Create a key and determine whether the value was stored, even if replies are lost."""

from __future__ import annotations

from attrs import frozen

from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import KeyValue, Store, StoreError, StoreUnavailable, StoreUnclear

INITIAL_BACKOFF_S = 0.02
MAX_ATTEMPTS = 8


@frozen(kw_only=True, slots=True)
class Created:
    """The value is stored."""


@frozen(kw_only=True, slots=True)
class Conflict:
    """The key holds another value; this value was not stored and never will be."""

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
    """Create a key with a value that no other write uses.

    The create can safely be repeated after a lost reply, because it takes effect at most once. A
    "key exists" result is then ambiguous, though: it may be caused by a delayed copy of the same
    request. So the key is read back and its value compared.

    :param resolve_timeout_s: how long to keep trying after a lost reply.
    :param maybe_sent: whether an earlier call with this value may have taken effect.
    :raises StoreUnclear: when the value may be stored, now or later.
    :raises StoreError: any other error: the value is not stored and never will be.
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
        raise StoreUnclear(
            f"it is unknown whether {key} was written; resolve this before further writes"
        )
    raise StoreUnavailable(f"{key} exists but can't be read; try again later")


async def _read(store: Store, key: str) -> KeyValue | None:
    try:
        return await store.get(key)
    except StoreError:
        return None
