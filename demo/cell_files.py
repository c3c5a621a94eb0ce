"""Read the output files that the processes of the demo wrote at their start."""

from __future__ import annotations

import json
from pathlib import Path

from attrs import frozen

REGIONS = ("attiki", "makedonia", "kriti")


@frozen(kw_only=True)
class DemoProcess:
    """A process of the demo.

    :param startup_info: the JSON line that it printed once it listened.
    """

    name: str
    pid: int
    startup_info: dict[str, str]

    @property
    def address(self) -> str:
        """Return the ``ip:port`` of its main server."""
        return self.startup_info["address"]


def read_processes(dir: Path, prefix: str) -> list[DemoProcess]:
    """Return the processes whose names start with ``prefix``, sorted by name."""
    return [_read_process(path) for path in sorted(dir.glob(f"{prefix}*.out"))]


def _read_process(path: Path) -> DemoProcess:
    first = path.read_text().splitlines()[0]
    pid = int(path.with_suffix(".pid").read_text())
    return DemoProcess(name=path.stem, pid=pid, startup_info=json.loads(first))
