"""The record of a case: what was sent, answered and run, in the order of time."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each event, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def say(self, event: str, **fields: Any) -> None:
        """Write one event."""
        text = " ".join(f"{name}={_text(value)}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()


def _text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)
