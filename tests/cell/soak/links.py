"""Relay of HTTP connections that also delivers late bytes to a target that has restarted."""

from __future__ import annotations

import asyncio

from attrs import Factory, define, field

from rhubarbferry.rpc.framing import split_address

CHUNK_BYTES = 64 * 1024
ORDERS = (b"POST /api/run-start", b"POST /api/run-stop")
POLL = b"POST /api/hold"
RECONNECT_INTERVAL_S = 0.02
# Bytes for a target that does not listen for this long are lost.
RECONNECT_TIMEOUT_S = 3.0
# A target has read the last bytes of a connection after this time, and has carried them out.
DELIVERY_TIME_S = 0.2


@define(kw_only=True)
class Rule:
    """How bytes are treated.

    :param delay_s: delay of each chunk in each direction.
    :param order_delay_s: delay of an order to start or stop a task and of all that follows on its
        connection, so that other calls overtake it.
    :param hold: keep the bytes to the target until the rule changes.
    :param hold_polls: keep the polls of the target until the rule changes.
    :param drop_to: drop the bytes to the target.
    :param drop_from: drop the bytes from the target.
    :param refuse: reset new connections.
    """

    delay_s: float = 0.0
    order_delay_s: float = 0.0
    hold: bool = False
    hold_polls: bool = False
    drop_to: bool = False
    drop_from: bool = False
    refuse: bool = False


@define(eq=False)
class _Pair:
    client: asyncio.StreamWriter
    target: asyncio.StreamWriter | None = None
    lossy: bool = False

    def reset(self) -> None:
        for writer in (self.client, self.target):
            if writer is not None:
                writer.transport.abort()


@define(kw_only=True, eq=False)
class SoakLink:
    """Listener that relays connections to one target.

    Bytes that were accepted from a client are delivered although the client has given up, and to
    the next process that listens at the target's address if the first one is gone. A call that
    receives no response may be executed seconds later in the same way.
    """

    target: str
    rule: Rule = Factory(Rule)
    address: str = ""
    _pairs: set[_Pair] = Factory(set)
    _tasks: set[asyncio.Task[None]] = Factory(set)
    _changed: asyncio.Event = Factory(asyncio.Event)
    _server: asyncio.Server = field(init=False)

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def set(self, rule: Rule) -> None:
        """Change how bytes are treated; reset connections that have lost some."""
        self.rule = rule
        self._changed.set()
        self._changed = asyncio.Event()
        if not (rule.drop_to or rule.drop_from):
            for pair in list(self._pairs):
                if pair.lossy:
                    pair.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in list(self._pairs):
            pair.reset()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        pair = _Pair(writer)
        self._pairs.add(pair)
        try:
            if not self.rule.refuse:
                await self._relay(pair, reader)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._pairs.discard(pair)
            self._tasks.discard(task)
            pair.reset()

    async def _relay(self, pair: _Pair, reader: asyncio.StreamReader) -> None:
        answers: asyncio.Task[None] | None = None
        try:
            while data := await reader.read(CHUNK_BYTES):
                was_delayed = await self._delay(data)
                if self.rule.drop_to:
                    pair.lossy = True
                    continue
                if answers is None or answers.done():
                    answers = await self._connect(pair, waits=was_delayed)
                assert pair.target is not None
                pair.target.write(data)
                await pair.target.drain()
            # The client may have given up a call that has only just been delivered.
            await asyncio.sleep(DELIVERY_TIME_S)
        finally:
            if answers is not None:
                answers.cancel()

    async def _delay(self, data: bytes) -> bool:
        """Delay bytes to the target; return whether the target may have restarted meanwhile."""
        rule = self.rule
        is_order = data.startswith(ORDERS)
        delay_s = rule.delay_s + (rule.order_delay_s if is_order else 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        was_held = False
        is_poll = data.startswith(POLL)
        while self.rule.hold or (is_poll and self.rule.hold_polls):
            was_held = True
            await self._changed.wait()
        return was_held or bool(delay_s)

    async def _connect(self, pair: _Pair, *, waits: bool) -> asyncio.Task[None]:
        ip, port = split_address(self.target)
        async with asyncio.timeout(RECONNECT_TIMEOUT_S):
            while True:
                try:
                    reader, pair.target = await asyncio.open_connection(ip, port)
                    return asyncio.create_task(self._copy_answers(pair, reader))
                except ConnectionRefusedError:
                    if not waits:
                        raise
                    await asyncio.sleep(RECONNECT_INTERVAL_S)

    async def _copy_answers(self, pair: _Pair, reader: asyncio.StreamReader) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.rule.delay_s)
                if self.rule.drop_from:
                    pair.lossy = True
                else:
                    pair.client.write(data)
        except OSError:
            pass
        if not (self.rule.hold or self.rule.hold_polls):
            # Requests that wait here are delivered to the target's next process. Otherwise the
            # client learns that this connection has ended.
            pair.client.transport.abort()
