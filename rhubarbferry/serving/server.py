"""A uvicorn server that leaves the signals to its process."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import uvicorn


class HttpServer(uvicorn.Server):
    """A server without signal handlers of its own.

    Those of uvicorn would end the process by the signal that stopped it, before its work is
    handed over.
    """

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals alone."""
        yield
