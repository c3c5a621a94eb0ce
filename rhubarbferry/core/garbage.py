"""Settings of Python's garbage collector for a long-running process."""

from __future__ import annotations

import gc

GC_THRESHOLDS = (50_000, 20, 50)


def keep_imported_objects() -> None:
    """Exclude all present objects from garbage collection, and collect less often.

    Imported objects live as long as the process. Scanning them takes tens of milliseconds of a
    fast core, and on a small share of a core the process answers nothing for half a second
    meanwhile.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
