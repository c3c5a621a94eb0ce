"""A TCP relay that cuts, silences and delays connections, to inject faults between processes.

In a test, ``relay = Relay(); link = await relay.open("127.0.0.1:9000")`` creates a link; clients
connect to ``link.address`` instead of the target, and ``link.set(Mode.SILENT)`` changes the mode.

As a process, ``python -m rhubarbferry.test.relay --to ip:port [--to ip:port ...]`` prints
``{"address": control, "links": [{"id": 0, "listen": ..., "to": ...}]}``. The control port accepts
one JSON line per command, ``{"link": 0, "mode": "cut", "scope": "all", "delay_s": 0,
"bytes_per_s": 0}``, and answers each with one JSON line.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
from enum import StrEnum

import cattrs
from attrs import define, field, frozen

from rhubarbferry.rpc.framing import split_address

CHUNK_BYTES = 64 * 1024
# A link of limited bandwidth forwards chunks of at most this transmission time.
PACING_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 5.0


class Mode(StrEnum):
    """How a link treats connections.

    ``CUT_TO`` and ``CUT_FROM`` drop the bytes of one direction (to and from the target). ``CUT``
    drops the bytes of both directions and rejects new connections. ``SILENT`` drops the bytes of
    both directions and accepts new connections without connecting to the target. ``RESET`` resets
    all connections at once.
    """

    PASS = "pass"
    CUT_TO = "cut-to"
    CUT_FROM = "cut-from"
    CUT = "cut"
    SILENT = "silent"
    RESET = "reset"


class Scope(StrEnum):
    """The connections to which a change applies; the others keep their mode."""

    ALL = "all"
    EXISTING = "existing"
    NEW = "new"


@frozen(kw_only=True)
class Rule:
    """How the bytes of a connection are treated.

    :param delay_s: delay of each chunk in seconds.
    :param bytes_per_s: bandwidth of the link in each direction; 0 for no limit.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    bytes_per_s: float = 0.0

    def chunk_bytes(self) -> int:
        """Return the maximum size of a forwarded chunk."""
        if not self.bytes_per_s:
            return CHUNK_BYTES
        return max(1, min(CHUNK_BYTES, int(self.bytes_per_s * PACING_INTERVAL_S)))


@frozen(kw_only=True)
class Command:
    """A command on the control port."""

    link: int
    mode: Mode = Mode.PASS
    scope: Scope = Scope.ALL
    delay_s: float = 0.0
    bytes_per_s: float = 0.0


@define(kw_only=True, eq=False)
class _Pair:
    """The two sides of a relayed connection; ``target`` is ``None`` on silent ones."""

    rule: Rule
    client: asyncio.StreamWriter
    target: asyncio.StreamWriter | None = None
    dropped: bool = field(default=False)

    def reset(self) -> None:
        for writer in (self.client, self.target):
            if writer is not None:
                writer.transport.abort()


class Link:
    """A listener that relays connections to one target.

    :param target: ``ip:port``.
    :ivar address: ``ip:port`` to which clients connect instead of the target.
    :ivar accepted: number of accepted connections.
    """

    def __init__(self, *, target: str) -> None:
        self.target = target
        self.address = ""
        self.accepted = 0
        self._rule = Rule()
        self._busy_until: dict[Mode, float] = {}
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self, *, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen; port 0 selects a free port."""
        self._server = await asyncio.start_server(self._accept, ip, port)
        host, bound = self._server.sockets[0].getsockname()
        self.address = f"{host}:{bound}"

    def set(
        self,
        mode: Mode,
        *,
        scope: Scope = Scope.ALL,
        delay_s: float = 0.0,
        bytes_per_s: float = 0.0,
    ) -> None:
        """Change how connections are treated.

        Dropped bytes are missing from the stream, and TCP never delivers the bytes after a gap. A
        connection that lost bytes is therefore reset when its mode returns to ``PASS``.
        """
        rule = Rule(mode=mode, delay_s=delay_s, bytes_per_s=bytes_per_s)
        if scope is not Scope.EXISTING:
            self._rule = rule
        if scope is Scope.NEW:
            return
        for pair in list(self._pairs):
            pair.rule = rule
            is_broken = mode is Mode.PASS and (pair.dropped or pair.target is None)
            if mode is Mode.RESET or is_broken:
                pair.reset()

    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._pairs)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for pair in list(self._pairs):
            pair.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.accepted += 1
        pair = _Pair(rule=self._rule, client=writer)
        try:
            await self._relay(pair, reader)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._pairs.discard(pair)
            self._tasks.discard(task)
            pair.reset()

    async def _relay(self, pair: _Pair, reader: asyncio.StreamReader) -> None:
        if pair.rule.mode in (Mode.RESET, Mode.CUT):
            return
        self._pairs.add(pair)
        if pair.rule.mode is Mode.SILENT:
            await self._copy(pair, reader, None, Mode.CUT_TO)
            return
        ip, port = split_address(self.target)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            target_reader, pair.target = await asyncio.open_connection(ip, port)
        copies = (
            asyncio.create_task(self._copy(pair, reader, pair.target, Mode.CUT_TO)),
            asyncio.create_task(self._copy(pair, target_reader, pair.client, Mode.CUT_FROM)),
        )
        try:
            await asyncio.gather(*copies)
        finally:
            for copy in copies:
                copy.cancel()

    async def _copy(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter | None,
        cut: Mode,
    ) -> None:
        while data := await reader.read(pair.rule.chunk_bytes()):
            if pair.rule.delay_s:
                await asyncio.sleep(pair.rule.delay_s)
            if pair.rule.bytes_per_s:
                await self._wait_transmission(cut, len(data) / pair.rule.bytes_per_s)
            if writer is None or pair.rule.mode in (cut, Mode.CUT, Mode.SILENT):
                pair.dropped = True
                continue
            writer.write(data)
            await writer.drain()
        if writer is not None and pair.rule.mode is Mode.PASS and writer.can_write_eof():
            writer.write_eof()

    async def _wait_transmission(self, direction: Mode, duration_s: float) -> None:
        """Wait for the transmission time of a chunk, queued behind the link's earlier chunks."""
        now = asyncio.get_running_loop().time()
        begin = max(now, self._busy_until.get(direction, now))
        self._busy_until[direction] = begin + duration_s
        await asyncio.sleep(begin + duration_s - now)


class Relay:
    """A set of links."""

    def __init__(self) -> None:
        self.links: list[Link] = []

    async def open(self, target: str, *, ip: str = "127.0.0.1", port: int = 0) -> Link:
        """Open a link to ``target``."""
        link = Link(target=target)
        await link.open(ip=ip, port=port)
        self.links.append(link)
        return link

    async def close(self) -> None:
        """Close all links."""
        for link in self.links:
            await link.close()

    async def control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Execute the commands of one control connection."""
        converter = cattrs.Converter(forbid_extra_keys=True)
        try:
            while line := await reader.readline():
                writer.write(json.dumps(self._execute(converter, line)).encode() + b"\n")
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def _execute(self, converter: cattrs.Converter, line: bytes) -> dict[str, object]:
        try:
            command = converter.structure(json.loads(line), Command)
            link = self.links[command.link]
        except Exception as exc:
            return {"ok": False, "error": repr(exc)}
        link.set(
            command.mode,
            scope=command.scope,
            delay_s=command.delay_s,
            bytes_per_s=command.bytes_per_s,
        )
        return {"ok": True, "connections": link.connections(), "accepted": link.accepted}


async def _serve(targets: list[str], ip: str, port: int) -> None:
    relay = Relay()
    for target in targets:
        await relay.open(target, ip=ip)
    control = await asyncio.start_server(relay.control, ip, port)
    host, bound = control.sockets[0].getsockname()
    links = [
        {"id": number, "listen": link.address, "to": link.target}
        for number, link in enumerate(relay.links)
    ]
    print(json.dumps({"address": f"{host}:{bound}", "links": links}), flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    control.close()
    await relay.close()


def main() -> None:
    """Relay until SIGTERM."""
    parser = argparse.ArgumentParser(description="A TCP relay that cuts, silences and delays.")
    parser.add_argument("--to", action="append", required=True, help="ip:port; may be repeated")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0, help="control port")
    args = parser.parse_args()
    asyncio.run(_serve(args.to, args.ip, args.port))


if __name__ == "__main__":
    main()
