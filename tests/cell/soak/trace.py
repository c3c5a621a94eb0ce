"""Put together what the hosts and processes say about a task."""

from __future__ import annotations

import json
import time
from pathlib import Path

from .cell import SoakCell

# Events of processes that are part of each trace.
OWNER_EVENTS = ("term.", "owner.", "lease.lost", "host.", "roster.")


def trace_task(dir: Path, subject: str, cell: SoakCell) -> str:
    """Return all lines about a task, in the order of their time.

    :param subject: name of the task, or id of a host.
    """
    rows = [line.split(" ", 1) for line in cell.log]
    lines = [(float(at), f"faults {text}") for at, text in rows]
    hosts = set()
    for record in cell.records():
        if record.get("task") == subject:
            hosts.add(record["host"])
            lines.append((record["at"], f"record {json.dumps(record)}"))
    # Processes log the time of the wall clock.
    offset = time.time() - time.monotonic()
    job = subject.partition(".")[0]
    for path in dir.glob("*.log"):
        for text in path.read_text(errors="replace").splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                continue
            if not isinstance(line, dict) or "at" not in line:
                continue
            is_owner_event = str(line["event"]).startswith(OWNER_EVENTS)
            if line.get("job") == job or (
                is_owner_event and line.get("host", subject) in {*hosts, subject}
            ):
                lines.append((line["at"] - offset, text))
    return "\n".join(f"{at:.3f} {text}" for at, text in sorted(lines))
