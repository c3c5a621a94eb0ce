"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import json
import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def write(self, event: str, **fields: object) -> None:
        """Write one event."""
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()
