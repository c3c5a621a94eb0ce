"""The settings file that the platform writes for a process."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from attrs import frozen

from rhubarbferry.cell.settings import Bounds, CellSettings

SETTINGS_VARIABLE = "RHUBARBFERRY_SETTINGS"
# The peers' calls use the first of the ports that the platform leaves to this system.
PEER_PORT_INDEX = 0
# As `metrics` in deploy/system.toml names it, where only a fixed port can stand.
METRICS_PORT = 9464


class SettingsFileError(Exception):
    """The settings file can't be used; the message names the field and the remedy."""


@frozen(kw_only=True, slots=True)
class Addresses:
    """Where the process listens and whom it calls, each ``ip:port``.

    :param clients: where clients' connections arrive.
    :param health: where the balancer asks whether this process takes connections.
    :param peers: where other processes of the cell call.
    :param metrics: where the metrics are served besides, on a port that does not change.
    :param store: the platform's key-value service.
    :param policy: the policy service; empty where there is none.
    """

    clients: str
    health: str
    peers: str
    metrics: str
    store: str
    policy: str


@frozen(kw_only=True, slots=True)
class ProcessFile:
    """The settings of one process: the cell's part in its own words, and the addresses."""

    cell: CellSettings
    addresses: Addresses


def load(path: Path) -> ProcessFile:
    """Read and check a settings file; fields that are not known are left alone.

    :raises SettingsFileError: when it can't be used.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsFileError(f"{path}: {exc.strerror}; check {SETTINGS_VARIABLE}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsFileError(f"{path}: no TOML ({exc}); write it anew") from exc
    return decode(data)


def decode(data: Mapping[str, Any]) -> ProcessFile:
    """Translate the fields of a settings file."""
    reader = _Reader(data=data)
    ports = reader.value("portRange", list)
    if not ports or not isinstance(ports[0], int):
        raise SettingsFileError("portRange: no ports; name the first and the last free one")
    ip = reader.value("ip", str)
    bounds = Bounds(
        grace_s=float(reader.value("bounds.graceS", (int, float), 6)),
        task_lease_s=reader.seconds("bounds.holdMaxMs", 6000),
        status_s=float(reader.value("bounds.status_s", (int, float), 120)),
        history_s=float(reader.value("platform.historyS", (int, float), 20)),
    )
    cell = CellSettings(
        member=reader.value("nodeName", str),
        region=reader.value("region", str),
        # The platform's zone is what this project calls a failure domain.
        failure_domain=reader.value("zone", str),
        # The share is one of a core that is `cores` times as fast as the reference.
        cores=reader.number("limits.cpuShare") * reader.number("limits.cores"),
        link_mbps=reader.number("limits.linkMbps"),
        bounds=bounds,
    )
    return ProcessFile(
        cell=cell,
        addresses=Addresses(
            clients=reader.value("listen.front", str),
            health=reader.value("listen.readiness", str),
            peers=f"{ip}:{ports[PEER_PORT_INDEX]}",
            metrics=f"{ip}:{METRICS_PORT}",
            store=reader.value("platform.addr", str),
            policy=reader.value("advisor", str, ""),
        ),
    )


_MISSING = object()


@frozen(kw_only=True, slots=True)
class _Reader:
    """Look fields up by dotted path and check their type."""

    data: Mapping[str, Any]

    def value(self, path: str, kind: type | tuple[type, ...], default: Any = _MISSING) -> Any:
        found: Any = self.data
        for part in path.split("."):
            found = found.get(part, _MISSING) if isinstance(found, Mapping) else _MISSING
        if found is _MISSING:
            if default is _MISSING:
                raise SettingsFileError(f"{path}: missing; the platform must set it")
            return default
        if not isinstance(found, kind) or isinstance(found, bool):
            raise SettingsFileError(f"{path}: {found!r} is of the wrong type; expected {kind}")
        return found

    def number(self, path: str) -> float:
        """Return a number, 0 where it is missing."""
        return float(self.value(path, (int, float), 0.0))

    def seconds(self, path: str, default_ms: float) -> float:
        return self.value(path, (int, float), default_ms) / 1000
