"""Limits of connections that the settings of a process give."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.cell.settings import CellSettings, ConnectionSettings
from rhubarbferry.platform.listeners import Listeners, create_listeners
from rhubarbferry.platform.settings import SettingsFileError, load_own_settings

MIB = 1024 * 1024
CELL = CellSettings(member="m", region="r", failure_domain="d")


def listeners(**settings) -> Listeners:
    cfg = evolve(CELL, **settings)
    return create_listeners(cfg=cfg, routes=lambda: None, report=lambda *_, **__: None)


@pytest.mark.parametrize(
    ("descriptors", "memory_mb", "clients", "peers", "held_bytes"),
    [
        (4100, 300, 512, 512, 300 * MIB // 8),
        (8192, 200, 1024, 1024, 25 * MIB),
        (400, 128, 50, 50, 16 * MIB),
        (0, 0, 512, 512, 64 * MIB),
        (4, 1, 1, 1, MIB // 8),
    ],
)
def test_limits_are_derived_from_descriptors_and_memory(
    descriptors, memory_mb, clients, peers, held_bytes
):
    found = listeners(max_descriptors=descriptors, memory_bytes=memory_mb * MIB)
    assert (found.clients.max_connections, found.peers.max_connections) == (clients, peers)
    assert found.clients.budget.max_bytes == held_bytes
    assert found.clients.budget is found.health.budget is found.metrics.budget
    assert found.clients.budget is found.peers.budget


def test_settings_go_before_derived_limits():
    settings = ConnectionSettings(max_clients=7, held_bytes=8000, write_timeout_s=9.0)
    found = listeners(connections=settings, max_descriptors=4100, memory_bytes=300 * MIB)
    assert found.clients.max_connections == 7
    assert found.clients.budget.max_bytes == 8000
    assert found.clients.write_timeout_s == found.peers.write_timeout_s == 9.0


@pytest.mark.parametrize(
    ("text", "settings"),
    [
        ("", ConnectionSettings()),
        ("[connections]\n", ConnectionSettings(max_clients=0, held_bytes=0, write_timeout_s=15.0)),
        (
            "[connections]\nmax_clients = 5\nheld_bytes = 6\nwrite_timeout_s = 0.5\n",
            ConnectionSettings(max_clients=5, held_bytes=6, write_timeout_s=0.5),
        ),
    ],
)
def test_the_section_is_read(tmp_path, text, settings):
    path = tmp_path / "cell.ini"
    path.write_text(text)
    assert load_own_settings(path).connections == settings


@pytest.mark.parametrize(
    "text",
    [
        "[connection]\nmax_clients = 1\n",
        "[connections]\nmax_client = 1\n",
        "[connections]\nmax_clients = -1\n",
        "[connections]\nmax_clients = many\n",
        "[connections]\nheld_bytes = 1.5\n",
        "[connections]\nheld_bytes = -1\n",
        "[connections]\nwrite_timeout_s = 0\n",
        "[connections]\nwrite_timeout_s = nan\n",
        "[connections]\nwrite_timeout_s = inf\n",
    ],
)
def test_invalid_settings_are_reported(tmp_path, text):
    path = tmp_path / "cell.ini"
    path.write_text(text)
    with pytest.raises(SettingsFileError):
        load_own_settings(path)
