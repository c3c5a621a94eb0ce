from __future__ import annotations

from contextlib import asynccontextmanager

import pytest

from rhubarbferry.coordination.keys import OWNERSHIP_KEY
from rhubarbferry.coordination.records import TableRecord, decode, encode
from rhubarbferry.core.guards import GuardSet
from rhubarbferry.core.ownership import Table
from rhubarbferry.management.app import run_command
from rhubarbferry.management.commands import release as command
from rhubarbferry.management.exits import Exit
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.ownership import Guard
from rhubarbferry.test.memory_store import MemoryStore

GUARDS = tuple(Guard(id=f"f{number}", address=f"127.0.0.1:{number}") for number in (1, 2, 3))


@pytest.fixture
async def store(monkeypatch):
    memory_store = MemoryStore(clock=SystemClock())

    @asynccontextmanager
    async def open_store(*, url, config):
        yield memory_store

    monkeypatch.setattr(command, "open_store", open_store)
    table = Table(guards={"nan": GuardSet(version=4, guards=GUARDS)})
    await memory_store.create(
        OWNERSHIP_KEY, encode(TableRecord(table=table, writer_id="s", write_id="w"))
    )
    return memory_store


async def guard_set(store: MemoryStore) -> GuardSet:
    kv = await store.get(OWNERSHIP_KEY)
    return decode(OWNERSHIP_KEY, kv.value, TableRecord).table.guards["nan"]


@pytest.mark.parametrize(
    ("region", "force", "code", "expected"),
    [
        ("nan", False, Exit.REFUSED, "f1, f2, f3"),
        ("nan", True, Exit.OK, "guard set 5"),
        ("kriti", True, Exit.REFUSED, "there are: nan"),
    ],
    ids=["without force", "with force", "unknown region"],
)
async def test_guards_are_released_only_with_force(
    store, capsys, region, force, code, expected
) -> None:
    """All frontends of a region fail at once.

    If the guards were released while a scheduler there still runs cut off from the store, two
    owners could grant the same slots. Without ``--force`` the command only prints the conditions.
    """
    assert await command._release(region, force, "", None) == code
    output = capsys.readouterr()
    assert expected in output.out + output.err
    found = await guard_set(store)
    assert (found.version, bool(found.guards)) == ((5, False) if code is Exit.OK else (4, True))


def test_the_release_command_is_registered(capsys) -> None:
    with pytest.raises(SystemExit):
        run_command(["release"])
    assert "region" in capsys.readouterr().err.lower() + capsys.readouterr().out.lower()
