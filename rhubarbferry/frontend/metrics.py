"""Prometheus metrics of the frontend."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "rhubarbferry_requests_total",
    "Requests to services, by outcome and status",
    ["account", "outcome", "status"],
)
IN_PROGRESS = Gauge("rhubarbferry_requests_in_progress", "Requests to services in progress")
REFUSED_BUSY = Counter(
    "rhubarbferry_requests_refused_busy_total", "Requests refused because too many were in progress"
)
LATENCY = Histogram(
    "rhubarbferry_request_seconds",
    "Time from the headers of a request to its answer",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60),
)
START_WAIT = Histogram(
    "rhubarbferry_request_start_seconds",
    "Time from the headers of a request until it is sent to a runner",
    ["account"],
    buckets=(0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 8.9, 30),
)
GRANT_WAIT = Histogram(
    "rhubarbferry_request_grant_wait_seconds",
    "Time from a grant request to its reply",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60),
)
GRANTS_UNUSED = Counter("rhubarbferry_grants_unused_total", "Grants released unused", ["reason"])
RETRIES = Counter("rhubarbferry_retries_total", "Requests sent to another runner", ["account"])
RETRIES_REFUSED = Counter(
    "rhubarbferry_retries_refused_total", "Retries the account's budget did not cover", ["account"]
)
RELEASES_LOST = Counter(
    "rhubarbferry_releases_lost_total", "Releases that no owner accepted in time"
)
MISMATCHED_ANSWERS = Counter(
    "rhubarbferry_foreign_answers_total", "Answers with another request's id, dropped"
)
TRUNCATED_ANSWERS = Counter(
    "rhubarbferry_truncated_answers_total", "Answers of runners that ended early"
)
SILENT_RUNNER_CONNECTIONS = Counter(
    "rhubarbferry_silent_runner_connections_total", "Connections to runners that stopped responding"
)
PROBES_FAILED = Counter("rhubarbferry_runner_probes_failed_total", "Probes without an answer")
CALLERS_DISCONNECTED = Counter(
    "rhubarbferry_callers_gone_total", "Callers that disconnected before their answer"
)
RECORDS_LOST = Counter(
    "rhubarbferry_outcomes_unrecorded_total", "Outcomes of keys that could not be recorded"
)
SPILLED = Counter(
    "rhubarbferry_requests_spilled_total",
    "Requests sent to another region although their own runs the service",
    ["region", "reason"],
)
WAIT_POLLS = Counter(
    "rhubarbferry_waits_asked_total", "Polls of the expected wait of a region", ["region"]
)
REGION_BYTES = Counter(
    "rhubarbferry_region_bytes_total", "Payload bytes to and from other regions",
    ["direction", "region"],
)  # fmt: skip
