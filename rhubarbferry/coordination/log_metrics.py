"""Metrics of all logs of this process."""

from __future__ import annotations

from prometheus_client import Counter

SEGMENTS = Counter("rhubarbferry_log_segments_total", "Segments written")
ENTRIES = Counter("rhubarbferry_log_entries_total", "Entries written")
BYTES = Counter("rhubarbferry_log_bytes_total", "Bytes of segments written")
FAILURES = Counter("rhubarbferry_log_failures_total", "Failed writes of segments", ["error"])
COMPACTIONS = Counter("rhubarbferry_log_compactions_total", "Snapshots that replaced log segments")
REPLAYED = Counter("rhubarbferry_log_replayed_entries_total", "Entries read while opening logs")
