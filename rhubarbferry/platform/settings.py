"""The settings file that the platform writes for a process."""

from __future__ import annotations

import configparser
import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
from attrs import Factory, frozen

from rhubarbferry.cell.settings import AdmissionSettings, Bounds, CellSettings, ConnectionSettings

SETTINGS_VARIABLE = "RHUBARBFERRY_SETTINGS"
# Calls between the processes of a cell use the first port that the platform allocates to a process.
PEER_PORT_INDEX = 0
# Must match `metrics` in deploy/system.toml, which supports only a fixed port.
METRICS_PORT = 9464


class SettingsFileError(Exception):
    """The settings file is not usable; the message names the field and the remedy."""


@frozen(kw_only=True, slots=True)
class Addresses:
    """Addresses that the process listens on or calls, each as ``ip:port``.

    :param clients: listens for requests of clients.
    :param health: listens for the readiness checks of the load balancer.
    :param peers: listens for calls from other processes of the cell.
    :param metrics: also serves the metrics, on a fixed port.
    :param store: the platform's key-value service, called by the process.
    :param policy: the policy service, called by the process; empty when there is none.
    """

    clients: str
    health: str
    peers: str
    metrics: str
    store: str
    policy: str


@frozen(kw_only=True, slots=True)
class SettingsFile:
    """The decoded settings file of one process: the cell's settings and the addresses."""

    cell: CellSettings
    addresses: Addresses


def load_settings_file(path: Path) -> SettingsFile:
    """Read and validate a settings file; ignore unknown fields.

    :raises SettingsFileError: when the file is not usable.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsFileError(f"{path}: {exc.strerror}; check {SETTINGS_VARIABLE}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsFileError(f"{path}: not valid TOML ({exc}); rewrite the file") from exc
    return decode_settings(data)


def decode_settings(data: Mapping[str, Any]) -> SettingsFile:
    """Decode the fields of a settings file.

    :raises SettingsFileError: when a required field is missing or a field has the wrong type.
    """
    reader = _FieldReader(data=data)
    ports = reader.value("portRange", list)
    if not ports or not isinstance(ports[0], int):
        raise SettingsFileError("portRange: no ports; list the first and the last available port")
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
        # The platform's term for a failure domain is "zone".
        failure_domain=reader.value("zone", str),
        # `cpuShare` is a share of a core that is `cores` times as fast as the reference core.
        cores=reader.number("limits.cpuShare") * reader.number("limits.cores"),
        link_mbps=reader.number("limits.linkMbps"),
        max_descriptors=int(reader.number("limits.maxFds")),
        memory_bytes=int(reader.number("limits.memoryMb") * 1024 * 1024),
        bounds=bounds,
    )
    return SettingsFile(
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


@frozen(kw_only=True, slots=True)
class OwnSettings:
    """The INI file with this system's own settings."""

    admission: AdmissionSettings = Factory(AdmissionSettings)
    connections: ConnectionSettings = Factory(ConnectionSettings)


def load_own_settings(path: Path) -> OwnSettings:
    """Read the INI file with this system's own settings.

    :raises SettingsFileError: when the file can't be read, or has an unknown section, key or value.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        reason = " ".join(str(exc).split())
        raise SettingsFileError(f"{path}: {reason}; name a readable INI file") from exc
    unknown = [name for name in parser.sections() if name not in attrs.fields_dict(OwnSettings)]
    if unknown:
        raise SettingsFileError(f"{path}: unknown section [{unknown[0]}]; remove it")
    return OwnSettings(
        admission=_load_admission(path, _section(path, parser, "admission", AdmissionSettings)),
        connections=_load_connections(
            path, _section(path, parser, "connections", ConnectionSettings)
        ),
    )


def _section(
    path: Path, parser: configparser.ConfigParser, name: str, settings: type
) -> configparser.SectionProxy:
    """Return a section, empty if it is missing.

    :raises SettingsFileError: when it has a key that is no field of ``settings``.
    """
    if name not in parser:
        parser.add_section(name)
    section = parser[name]
    for key in section:
        if key not in attrs.fields_dict(settings):
            raise SettingsFileError(f"{path}: unknown key {key!r}; remove it")
    return section


def _load_admission(path: Path, section: configparser.SectionProxy) -> AdmissionSettings:
    defaults = AdmissionSettings()
    try:
        refuse = section.getboolean("refuse_when_full", defaults.refuse_when_full)
        max_age_s = section.getfloat("max_summary_age_s", defaults.max_summary_age_s)
    except ValueError as exc:
        raise SettingsFileError(f"{path}: {exc}; write yes or no, or a number of seconds") from exc
    if not 0 < max_age_s < float("inf"):
        raise SettingsFileError(f"{path}: max_summary_age_s: write a number of seconds above 0")
    return AdmissionSettings(refuse_when_full=refuse, max_summary_age_s=max_age_s)


def _load_connections(path: Path, section: configparser.SectionProxy) -> ConnectionSettings:
    defaults = ConnectionSettings()
    try:
        return ConnectionSettings(
            max_clients=section.getint("max_clients", defaults.max_clients),
            held_bytes=section.getint("held_bytes", defaults.held_bytes),
            write_timeout_s=section.getfloat("write_timeout_s", defaults.write_timeout_s),
        )
    except ValueError as exc:
        raise SettingsFileError(
            f"{path}: [connections]: {exc}; write 0 or a whole number, or seconds above 0"
        ) from exc


_MISSING = object()


@frozen(kw_only=True, slots=True)
class _FieldReader:
    """Look up fields by dotted path and check their types."""

    data: Mapping[str, Any]

    def value(
        self, path: str, expected_type: type | tuple[type, ...], default: Any = _MISSING
    ) -> Any:
        """Return a field; raise ``SettingsFileError`` when it is missing without a default."""
        found: Any = self.data
        for part in path.split("."):
            found = found.get(part, _MISSING) if isinstance(found, Mapping) else _MISSING
        if found is _MISSING:
            if default is _MISSING:
                raise SettingsFileError(f"{path}: missing; the platform must set it")
            return default
        finite = not isinstance(found, float) or math.isfinite(found)
        if not isinstance(found, expected_type) or isinstance(found, bool) or not finite:
            raise SettingsFileError(
                f"{path}: {found!r} is of the wrong type; expected {expected_type}"
            )
        return found

    def number(self, path: str) -> float:
        """Return a number, or 0 when the field is missing."""
        return float(self.value(path, (int, float), 0.0))

    def seconds(self, path: str, default_ms: float) -> float:
        """Return a field given in milliseconds as seconds."""
        return self.value(path, (int, float), default_ms) / 1000
