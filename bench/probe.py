"""Read resource usage and counters of processes, and fit slopes to the readings."""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Sequence
from pathlib import Path

from attrs import Factory, define, frozen

from rhubarbferry.test.processes import Process, ProcessCell

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MIB = 1024.0
SAMPLE = re.compile(r"^([a-z_]+)(\{[^}]*\})? ([-+0-9.eE]+)$")
CHUNK_BYTES = 64 * 1024


@frozen(kw_only=True)
class Point:
    """One reading: an ``amount`` of work or state had the cost ``value``."""

    amount: float
    value: float


def slope(points: Sequence[Point]) -> float:
    """Return the least-squares slope of value over amount."""
    count = len(points)
    mean_amount = sum(p.amount for p in points) / count
    mean_value = sum(p.value for p in points) / count
    above = sum((p.amount - mean_amount) * (p.value - mean_value) for p in points)
    below = sum((p.amount - mean_amount) ** 2 for p in points)
    return above / below


def listed(points: Sequence[Point]) -> list[list[float]]:
    """Return the readings in the form used in reports."""
    return [[p.amount, round(p.value, 4)] for p in points]


def cpu_ms(process: Process) -> float:
    """Return the processor time that a process has used, in milliseconds."""
    text = Path(f"/proc/{process.child.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / TICKS_PER_S


def rss_mib(process: Process) -> float:
    """Return the resident memory of a process, in MiB."""
    text = Path(f"/proc/{process.child.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", text)
    assert found is not None
    return int(found.group(1)) / MIB


async def metric(cell: ProcessCell, process: Process, name: str, label: str = "") -> float:
    """Return the sum of a counter's samples whose labels contain ``label``."""
    async with cell.session.get(f"{process.http}/metrics") as answer:
        text = await answer.text()
    total = 0.0
    for line in text.splitlines():
        found = SAMPLE.match(line)
        if found and found.group(1) == name and label in (found.group(2) or ""):
            total += float(found.group(3))
    return total


@frozen(kw_only=True)
class StoreCounts:
    """Counters of the calls and bytes that the store has served.

    :param calls: number of calls by kind; a watch counts once, when it is opened.
    """

    calls: dict[str, int]
    reads: int
    writes: int
    bytes_in: int

    @property
    def total(self) -> int:
        """Return the number of calls of all kinds."""
        return sum(self.calls.values())


async def store_counts(cell: ProcessCell) -> StoreCounts:
    """Return the counters of the simulated store."""
    async with cell.session.get(f"{cell.processes['store'].http}/counters") as answer:
        found = await answer.json()
    return StoreCounts(
        calls=found["calls"],
        reads=found["reads"],
        writes=found["writes"],
        bytes_in=found["bytes_in"],
    )


@define(kw_only=True)
class CountingProxy:
    """TCP proxy in front of one server that counts the bytes it forwards.

    :param target: ``ip:port`` of the server.
    """

    target: str
    sent: int = 0
    received: int = 0
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = Factory(set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        back_reader, back_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._forward(reader, back_writer, outward=True),
            self._forward(back_reader, writer, outward=False),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, outward: bool
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if outward:
                    self.sent += len(chunk)
                else:
                    self.received += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
