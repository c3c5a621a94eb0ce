"""Decoding of client accounts from the configuration, and of API keys from requests."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from loguru import logger

from rhubarbferry.cell.accounts import AccountTable, key_digest
from rhubarbferry.dispatch.messages import Account, Sizes
from rhubarbferry.platform.documents import DECODE_ERRORS, InvalidDocument, read_number

API_KEY_SCHEME = "Bearer"
# Bounds the work of hashing a value that can't be a key.
MAX_KEY_BYTES = 1024


def parse_api_key(authorization: Sequence[bytes]) -> str:
    """Return the API key of a request; empty if there is none or it can't be read.

    :param authorization: values of all its ``Authorization`` headers. Several are rejected, since
        it would depend on their order which account is charged.
    """
    if len(authorization) != 1 or len(authorization[0]) > MAX_KEY_BYTES:
        return ""
    try:
        scheme, _, key = authorization[0].decode("ascii").strip().partition(" ")
    except UnicodeDecodeError:
        return ""
    return key.strip() if scheme.lower() == API_KEY_SCHEME.lower() else ""


def decode_accounts(entries: Any) -> AccountTable:
    """Decode the accounts of a configuration; log and skip each invalid one.

    A key of two accounts identifies neither of them, and of two accounts of one name the first one
    counts.

    :param entries: the accounts, ``None`` if the configuration has none.
    """
    if entries is None:
        return AccountTable()
    if not isinstance(entries, list):
        logger.warning("the accounts of the configuration are no list; no API key is valid")
        entries = []
    settings: dict[str, Account] = {}
    names: dict[str, str] = {}
    ambiguous: set[str] = set()
    for entry in entries:
        try:
            account = _decode_account(entry)
            digests = {key_digest(key) for key in _decode_keys(entry)}
            if account.name in settings:
                raise ValueError("another account has this name")
        except DECODE_ERRORS as exc:
            name = entry.get("name") if isinstance(entry, Mapping) else None
            logger.warning("skipping the invalid account {!r}: {}", name, exc)
            continue
        settings[account.name] = account
        for digest in digests:
            other = names.setdefault(digest, account.name)
            if other != account.name:
                logger.warning("accounts {} and {} have a key in common", other, account.name)
                ambiguous.add(digest)
    for digest in ambiguous:
        del names[digest]
    return AccountTable(enabled=True, settings=settings, names=names)


def _decode_account(entry: Any) -> Account:
    name = entry["name"]
    if not isinstance(name, str) or not name:
        raise ValueError("name: a text is needed")
    weight = _decode_number(entry, "weight", 1)
    if weight <= 0:
        raise ValueError("weight: a number above 0 is needed")
    cap = entry.get("cap") or {}
    return Account(
        name=name,
        weight=float(weight),
        quota=Sizes(
            millicores=int(_decode_number(cap, "cpu", 0)),
            memory_mb=int(_decode_number(cap, "memMb", 0)),
            accelerators=int(_decode_number(cap, "gpu", 0)),
        ),
    )


def _decode_number(row: Any, field: str, default: int) -> float:
    try:
        value = read_number(row.get(field, default))
    except InvalidDocument as exc:
        raise InvalidDocument(f"{field}: {exc}") from exc
    if value < 0:
        raise InvalidDocument(f"{field}: a number of 0 or more is needed")
    return value


def _decode_keys(entry: Any) -> list[str]:
    keys = entry.get("apiKeys") or []
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        # The message must not contain a key.
        raise ValueError("apiKeys: a list of texts is needed")
    return keys
