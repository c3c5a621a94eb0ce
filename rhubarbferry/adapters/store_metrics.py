"""Metrics of the calls that a process makes to the store."""

from __future__ import annotations

from prometheus_client import Counter

CALLS = Counter("rhubarbferry_store_calls_total", "Calls sent to the store", ["kind"])
ERRORS = Counter(
    "rhubarbferry_store_errors_total", "Calls to the store that failed", ["kind", "error"]
)
BYTES_OUT = Counter("rhubarbferry_store_sent_bytes_total", "Bytes of bodies sent to the store")
BYTES_IN = Counter("rhubarbferry_store_received_bytes_total", "Bytes of bodies from the store")
