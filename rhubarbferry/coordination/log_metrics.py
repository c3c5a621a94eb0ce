"""Metrics of all logs of this process."""

from __future__ import annotations

from prometheus_client import Counter

SEGMENTS = Counter("rhubarbferry_log_segments_total", "Segments written")
ENTRIES = Counter("rhubarbferry_log_entries_total", "Entries written")
BYTES = Counter("rhubarbferry_log_bytes_total", "Bytes of segments written")
FAILURES = Counter("rhubarbferry_log_failures_total", "Writes of segments that failed", ["error"])
COMPACTIONS = Counter("rhubarbferry_log_compactions_total", "Snapshots that came into force")
REPLAYED = Counter("rhubarbferry_log_replayed_entries_total", "Entries read when a log is opened")
