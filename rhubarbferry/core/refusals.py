"""Reasons for which a runner partition refuses a request; frontends use them as well."""

from __future__ import annotations

from enum import StrEnum


class RefusalReason(StrEnum):
    """Why a request is not queued."""

    UNKNOWN_ACCOUNT = "unknown account"
    ACCOUNT_QUEUE_FULL = "too many requests of the account wait"
    QUEUE_FULL = "too many requests wait"
    RATE = "the account's rate is used up"
    NO_SHARE_OF_LIMIT = "the account's concurrency limit leaves none for this region"
    TOO_LATE = "it could not start before its deadline"
    DISPLACED = "more urgent requests came"
