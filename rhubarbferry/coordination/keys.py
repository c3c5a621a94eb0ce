"""Keys of a cell's records in the store, relative to the cell's key prefix.

These records share one prefix, which logs and snapshots do not use. One watch per process is
therefore enough, and writes to logs produce no watch events.
"""

from __future__ import annotations

CELL_PREFIX = "cell/"
MEMBERS_PREFIX = CELL_PREFIX + "members/"
OWNERSHIP_KEY = CELL_PREFIX + "ownership"
CONFIG_KEY = CELL_PREFIX + "config"


def member_key(member_id: str) -> str:
    """Return the key of a member's record."""
    return MEMBERS_PREFIX + member_id
