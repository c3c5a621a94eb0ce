"""One connection to another process: correlated calls and a heartbeat."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

from attrs import frozen
from prometheus_client import Counter

from rhubarbferry.rpc.codec import MalformedFrame, Reply, Service, decode_reply, encode_call
from rhubarbferry.rpc.errors import (
    CallRejected,
    CallTimeout,
    CallUnclear,
    PeerRefused,
    PeerSilent,
    PeerUnreachable,
    RpcError,
)
from rhubarbferry.rpc.framing import FrameWriter, read_frame, split_address
from rhubarbferry.rpc.gen.ttypes import PingRequest

LATE_REPLIES = Counter(
    "rhubarbferry_rpc_late_replies_total", "Replies that no call was waiting for, dropped"
)
SILENT_CONNECTIONS = Counter(
    "rhubarbferry_rpc_silent_connections_total", "Connections closed since nothing came any more"
)
BYTES_OUT = Counter("rhubarbferry_rpc_sent_bytes_total", "Bytes of frames sent", ["peer_region"])

PING = "ping"
MIN_PAUSE_S = 0.01
SEQID_LIMIT = 2**31 - 1


@frozen(kw_only=True, slots=True)
class Timing:
    """Bounds of a connection, in seconds.

    :param connect_s: to open it.
    :param heartbeat_s: between two pings.
    :param silence_s: without any frame while a ping is open, until it counts as silent.
    """

    connect_s: float = 1.0
    heartbeat_s: float = 1.0
    silence_s: float = 3.0


class Connection:
    """Calls on one TCP connection; replies are matched to calls by sequence id.

    A connection can go silent for good while new ones work, when something between the ends
    has lost track of it. Nothing tells the sockets. So a ping goes out each ``heartbeat_s``,
    and when no frame has come for ``silence_s`` the connection is closed and its calls fail
    with :class:`PeerSilent`; the pool opens a new one.
    """

    def __init__(
        self,
        *,
        service: Service,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        timing: Timing,
        peer_region: str = "",
    ) -> None:
        self._service = service
        self._reader = reader
        self._out = FrameWriter(writer)
        self._timing = timing
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self._seqids = itertools.count(1)
        self._bytes_out = BYTES_OUT.labels(peer_region)
        self._heard = asyncio.get_running_loop().time()
        self.closed = False
        self._tasks = [
            asyncio.create_task(self._read()),
            asyncio.create_task(self._beat()),
        ]

    @classmethod
    async def open(
        cls, *, service: Service, address: str, timing: Timing, peer_region: str = ""
    ) -> Connection:
        """Connect to ``address``.

        :raises PeerRefused: when nothing listens there.
        :raises PeerUnreachable: when that fails otherwise or takes too long.
        """
        host, port = split_address(address)
        try:
            async with asyncio.timeout(timing.connect_s):
                reader, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError as exc:
            raise PeerRefused(f"nothing listens at {address}") from exc
        except (OSError, TimeoutError) as exc:
            raise PeerUnreachable(f"cannot connect to {address}: {exc or 'timeout'}") from exc
        return cls(
            service=service, reader=reader, writer=writer, timing=timing, peer_region=peer_region
        )

    async def call(self, method: str, req: Any, *, timeout_s: float) -> Any:
        """Send ``req`` and return the reply struct.

        :raises PeerUnreachable: the connection is closed; nothing was sent.
        :raises CallUnclear: sent, but no reply; see its subclasses.
        :raises CallRejected: the peer could not serve it.
        """
        if self.closed:
            raise PeerUnreachable("the connection is closed")
        seqid = next(self._seqids) % SEQID_LIMIT
        frame = encode_call(self._service.methods[method], seqid, req)
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[Reply] = loop.create_future()
        self._waiting[seqid] = fut
        expiry = loop.call_later(timeout_s, _expire, fut)
        try:
            self._out.write(frame)
            self._bytes_out.inc(len(frame))
            reply = await fut
        except TimeoutError as exc:
            raise CallTimeout(f"no reply to {method} within {timeout_s:.3f} s") from exc
        except (ConnectionError, RuntimeError) as exc:
            raise CallUnclear(f"connection lost during {method}: {exc}") from exc
        finally:
            expiry.cancel()
            self._waiting.pop(seqid, None)
        if reply.error is not None:
            raise CallRejected(reply.error)
        return reply.value

    async def _read(self) -> None:
        error: RpcError = CallUnclear("the peer closed the connection")
        try:
            while (payload := await read_frame(self._reader)) is not None:
                self._heard = asyncio.get_running_loop().time()
                self._settle(decode_reply(self._service, payload))
        except (OSError, EOFError, RpcError, MalformedFrame) as exc:
            error = CallUnclear(f"connection lost: {exc}")
        finally:
            self._fail(error)

    def _settle(self, reply: Reply) -> None:
        fut = self._waiting.get(reply.seqid)
        if fut is None or fut.done():
            # The caller has given up on this call; its reply must not reach another one.
            LATE_REPLIES.inc()
            return
        fut.set_result(reply)

    async def _beat(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.closed:
            # The last reply comes a little after a ping, so a look at each ping alone would miss
            # the end of the silence by nearly a whole interval; callers would wait that longer.
            due = self._heard + self._timing.silence_s - loop.time()
            await asyncio.sleep(min(self._timing.heartbeat_s, max(due, MIN_PAUSE_S)))
            if loop.time() - self._heard >= self._timing.silence_s:
                SILENT_CONNECTIONS.inc()
                self._fail(PeerSilent(f"nothing heard for {self._timing.silence_s} s"))
                return
            ping = encode_call(self._service.methods[PING], 0, PingRequest())
            try:
                self._out.write(ping)
            except (ConnectionError, RuntimeError):
                return

    def _fail(self, error: RpcError) -> None:
        self.closed = True
        for fut in self._waiting.values():
            if not fut.done():
                fut.set_exception(error)
        # abort(), not close(): bytes still buffered here must not leave later, when the caller
        # has been told that the call is unclear and may have acted on it.
        self._out.abort()

    async def close(self) -> None:
        """Close the connection; calls in progress fail as unclear."""
        self._fail(CallUnclear("the connection was closed here"))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _expire(fut: asyncio.Future[Reply]) -> None:
    if not fut.done():
        fut.set_exception(TimeoutError())
