"""Connection to another process, with correlated calls and a heartbeat."""

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

PING_METHOD = "ping"
MIN_SLEEP_S = 0.01
SEQID_LIMIT = 2**31 - 1


@frozen(kw_only=True, slots=True)
class Timing:
    """Timeouts and intervals of a connection, in seconds.

    :param connect_s: timeout for opening the connection.
    :param heartbeat_s: interval between pings.
    :param silence_s: the connection is closed when no frame has been received for this long.
    """

    connect_s: float = 1.0
    heartbeat_s: float = 1.0
    silence_s: float = 3.0


class Connection:
    """One TCP connection for calls; replies are matched to calls by sequence id.

    A middlebox can drop the state of a connection. It then carries no data any more, although new
    connections work, and the sockets report no error. Therefore a ping is sent every
    ``heartbeat_s``, and when no frame has been received for ``silence_s``, the connection is
    closed and its calls fail with :class:`PeerSilent`. The pool then opens a new connection.
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
        self._frame_writer = FrameWriter(writer)
        self._timing = timing
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        self._seqids = itertools.count(1)
        self._bytes_out = BYTES_OUT.labels(peer_region)
        self._last_received_at = asyncio.get_running_loop().time()
        self.closed = False
        self._tasks = [
            asyncio.create_task(self._read()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    @classmethod
    async def open(
        cls, *, service: Service, address: str, timing: Timing, peer_region: str = ""
    ) -> Connection:
        """Connect to ``address``.

        :raises PeerRefused: when no process listens there.
        :raises PeerUnreachable: when the attempt fails otherwise or times out.
        """
        host, port = split_address(address)
        try:
            async with asyncio.timeout(timing.connect_s):
                reader, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError as exc:
            raise PeerRefused(f"no process listens at {address}") from exc
        except (OSError, TimeoutError) as exc:
            raise PeerUnreachable(f"cannot connect to {address}: {exc or 'timeout'}") from exc
        return cls(
            service=service, reader=reader, writer=writer, timing=timing, peer_region=peer_region
        )

    async def call(self, method: str, req: Any, *, timeout_s: float) -> Any:
        """Send a request and return the reply struct.

        :raises PeerUnreachable: when the connection is closed; nothing was sent.
        :raises CallUnclear: when the request was sent but no reply received; see its subclasses.
        :raises CallRejected: when the peer could not serve the call.
        """
        if self.closed:
            raise PeerUnreachable("the connection is closed")
        seqid = next(self._seqids) % SEQID_LIMIT
        frame = encode_call(self._service.methods[method], seqid, req)
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[Reply] = loop.create_future()
        self._pending[seqid] = fut
        timeout_handle = loop.call_later(timeout_s, _time_out, fut)
        try:
            self._frame_writer.write(frame)
            self._bytes_out.inc(len(frame))
            reply = await fut
        except TimeoutError as exc:
            raise CallTimeout(f"no reply to {method} within {timeout_s:.3f} s") from exc
        except (ConnectionError, RuntimeError) as exc:
            raise CallUnclear(f"connection lost during {method}: {exc}") from exc
        finally:
            timeout_handle.cancel()
            self._pending.pop(seqid, None)
        if reply.error is not None:
            raise CallRejected(reply.error)
        return reply.value

    async def _read(self) -> None:
        error: RpcError = CallUnclear("the peer closed the connection")
        try:
            while (payload := await read_frame(self._reader)) is not None:
                self._last_received_at = asyncio.get_running_loop().time()
                self._complete(decode_reply(self._service, payload))
        except (OSError, EOFError, RpcError, MalformedFrame) as exc:
            error = CallUnclear(f"connection lost: {exc}")
        finally:
            self._close_with(error)

    def _complete(self, reply: Reply) -> None:
        fut = self._pending.get(reply.seqid)
        if fut is None or fut.done():
            # The caller has timed out. The reply must not be matched to another call.
            LATE_REPLIES.inc()
            return
        fut.set_result(reply)

    async def _send_heartbeats(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.closed:
            # The last reply arrives shortly after a ping. If the silence were checked only at each
            # ping, it would be detected up to one heartbeat interval late, and callers would wait
            # that much longer.
            remaining_s = self._last_received_at + self._timing.silence_s - loop.time()
            await asyncio.sleep(min(self._timing.heartbeat_s, max(remaining_s, MIN_SLEEP_S)))
            if loop.time() - self._last_received_at >= self._timing.silence_s:
                SILENT_CONNECTIONS.inc()
                self._close_with(PeerSilent(f"nothing received for {self._timing.silence_s} s"))
                return
            ping = encode_call(self._service.methods[PING_METHOD], 0, PingRequest())
            try:
                self._frame_writer.write(ping)
            except (ConnectionError, RuntimeError):
                return

    def _close_with(self, error: RpcError) -> None:
        self.closed = True
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(error)
        # abort() rather than close(): buffered bytes must not be sent later, when the caller has
        # been notified that the call is unclear and may already have acted on that.
        self._frame_writer.abort()

    async def close(self) -> None:
        """Close the connection; calls in progress fail as unclear."""
        self._close_with(CallUnclear("the connection was closed locally"))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _time_out(fut: asyncio.Future[Reply]) -> None:
    if not fut.done():
        fut.set_exception(TimeoutError())
