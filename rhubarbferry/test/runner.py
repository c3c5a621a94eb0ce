"""Backend server for tests and demos: executes requests, records them and injects faults.

Run ``python -m rhubarbferry.test.runner --port N --id ID --service S``. Tests use its record as
their oracle: it is independent of the daemons, and each entry is written before the answer is
sent.

Request headers control a single request: ``Work-Ms`` sets its duration, ``Answer-Bytes`` the
padding after the first line of the answer, and ``Answer-Chunked: true`` omits ``Content-Length``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from collections import deque
from collections.abc import Mapping
from typing import Any

import attrs
import xxhash
from aiohttp import web
from attrs import Factory, define, frozen

STATUS_PATH = "/rhubarbferry/status"
MAX_RECORDS = 1_000_000
MAX_RECENT_IDS = 4096
CHUNK_BYTES = 64 * 1024
MAX_DELAY_MS = 600_000
# Interval at which held requests check whether the ``hold`` fault was cleared.
HOLD_POLL_INTERVAL_S = 0.01


@define(kw_only=True)
class Execution:
    """One request as executed by this server.

    :param complete: whether the whole request body was received; if not, nothing was executed.
    :param started: start on the monotonic clock in seconds; ``started_wall`` is in Unix time.
    :param ended: end on the monotonic clock in seconds; 0 while the request runs.
    """

    request_id: str
    key: str
    account: str
    method: str
    path: str
    body_hash: str = ""
    body_bytes: int = 0
    complete: bool = False
    started: float = 0.0
    started_wall: float = 0.0
    ended: float = 0.0
    ended_wall: float = 0.0
    answered: bool = False


@frozen(kw_only=True)
class Faults:
    """Faults to inject; they stay active until they are replaced.

    :param delay_ms: additional duration of each request.
    :param hold: let no request finish while this is set.
    :param late_ms: delay between the end of the execution and the answer.
    :param truncate: send half of the announced bytes, then close the connection.
    :param fail: execute the request, then answer 500.
    :param drain: reject new requests before execution and report ``leaving`` in the status.
    :param refuse: reject new requests before execution without reporting it in the status.
    :param wrong_id: answer with a wrong request ID.
    :param hang_up: execute the request, then close the connection without an answer.
    :param no_status: accept status requests without ever answering them.
    """

    delay_ms: int = 0
    hold: bool = False
    late_ms: int = 0
    truncate: bool = False
    fail: bool = False
    drain: bool = False
    refuse: bool = False
    wrong_id: bool = False
    hang_up: bool = False
    no_status: bool = False


@define(kw_only=True)
class Counts:
    """Counters since the start of the server."""

    executions: int = 0
    refused: int = 0
    incomplete: int = 0
    statuses: int = 0
    connections_refused: int = 0
    concurrent_max: int = 0
    connections_max: int = 0


@define(kw_only=True)
class _State:
    faults: Faults = Factory(Faults)
    counts: Counts = Factory(Counts)
    running: dict[int, Execution] = Factory(dict)
    finished: deque[str] = Factory(lambda: deque(maxlen=MAX_RECENT_IDS))
    record: list[Execution] = Factory(list)


def answer_head(
    *, request_id: str, runner: str, method: str, path: str, body_hash: str, body_bytes: int
) -> bytes:
    """Return the first line of an answer, which identifies the request and the runner."""
    head = {
        "request_id": request_id,
        "runner": runner,
        "method": method,
        "path": path,
        "body_hash": body_hash,
        "body_bytes": body_bytes,
    }
    return json.dumps(head).encode() + b"\n"


class Runner:
    """HTTP server with a limited number of slots and connections.

    :param slots: maximum number of concurrent requests; further ones are rejected before
        execution.
    :param connections: maximum number of open connections; further ones are closed.
    """

    def __init__(
        self, *, id: str = "runner", service: str = "", slots: int = 8, connections: int = 64
    ) -> None:
        self.id = id
        self.service = service
        self.slots = slots
        self.connections = connections
        self.address = ""
        self.died = asyncio.Event()
        self._state = _State()
        self._admitted: set[Any] = set()
        self._silent: set[Any] = set()
        self._discarding: set[Any] = set()
        self._handler = web.Server(self._dispatch, tcp_keepalive=True)  # type: ignore[arg-type]
        self._server: asyncio.Server | None = None

    @property
    def record(self) -> list[Execution]:
        """Return all requests whose headers were received, in order of arrival."""
        return self._state.record

    @property
    def counts(self) -> Counts:
        """Return the counters since the start of the server."""
        return self._state.counts

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen; ``port`` 0 selects a free port. ``address`` is set afterwards."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._handler, host, port, backlog=256)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        await self._handler.shutdown(timeout=0.1)

    async def die(self) -> None:
        """Reset all connections at once and stop listening, as a killed process does."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for conn in self._handler.connections:
            if conn.transport is not None:
                conn.transport.abort()
        self.died.set()

    def set_faults(self, **changes: Any) -> None:
        """Replace the given faults; see :class:`Faults`."""
        self._state.faults = attrs.evolve(self._state.faults, **changes)

    def go_silent(self, *, execute: bool = True) -> int:
        """Make all current connections accept bytes without ever answering; new ones work
        normally.

        :param execute: whether requests on the silent connections are still executed.
        :returns: the number of silent connections.
        """
        conns = set(self._handler.connections)
        self._silent |= conns
        if not execute:
            self._discarding |= conns
        return len(conns)

    def status(self) -> dict[str, Any]:
        """Return the answer to ``GET /rhubarbferry/status``."""
        return {
            "id": self.id,
            "slots": self.slots,
            "running": [execution.request_id for execution in self._state.running.values()],
            "finished_recent": list(self._state.finished),
            "leaving": self._state.faults.drain,
        }

    async def _dispatch(self, req: web.BaseRequest) -> web.StreamResponse:
        if not self._admit(req):
            self.counts.connections_refused += 1
            _abort(req)
            return web.Response(status=503)
        match req.path:
            case "/rhubarbferry/status":
                return await self._serve_status()
            case "/faults" if req.method == "POST":
                return await self._serve_faults(req)
            case "/record" if req.method == "GET":
                return web.json_response(self.snapshot())
            case _:
                return await self._serve_request(req)

    def _admit(self, req: web.BaseRequest) -> bool:
        conns = set(self._handler.connections)
        self._admitted &= conns
        self._silent &= conns
        self._discarding &= conns
        if req.protocol in self._admitted:
            return True
        if len(self._admitted) >= self.connections:
            return False
        self._admitted.add(req.protocol)
        self.counts.connections_max = max(self.counts.connections_max, len(self._admitted))
        return True

    def snapshot(self) -> dict[str, Any]:
        """Return the record and the counters as JSON-compatible values."""
        return {
            "id": self.id,
            "service": self.service,
            "executions": [attrs.asdict(execution) for execution in self.record],
            "counts": attrs.asdict(self.counts),
        }

    async def _serve_status(self) -> web.StreamResponse:
        self.counts.statuses += 1
        if self._state.faults.no_status:
            await asyncio.Event().wait()
        return web.json_response(self.status(), headers={"Connection": "close"})

    async def _serve_faults(self, req: web.BaseRequest) -> web.StreamResponse:
        changes = json.loads(await req.read())
        silent = 0
        if changes.pop("silent", False):
            silent = self.go_silent(execute=changes.pop("execute", True))
        if changes.pop("die", False):
            asyncio.get_running_loop().call_soon(lambda: asyncio.ensure_future(self.die()))
        try:
            self.set_faults(**changes)
        except TypeError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response({"silent": silent, "faults": attrs.asdict(self._state.faults)})

    async def _serve_request(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.protocol in self._discarding:
            await asyncio.Event().wait()
        headers = {"Request-Id": self._response_id(req)}
        faults = self._state.faults
        if faults.drain or faults.refuse or len(self._state.running) >= self.slots:
            self.counts.refused += 1
            headers["Outcome"] = "not-run"
            return web.Response(status=503, headers=headers, text="refused before execution\n")
        execution = await self._execute(req)
        if not execution.complete:
            _abort(req)
            return web.Response(status=400)
        await asyncio.sleep(self._state.faults.late_ms / 1000)
        if req.protocol in self._silent:
            await asyncio.Event().wait()
        return await self._answer(req, execution, headers)

    def _response_id(self, req: web.BaseRequest) -> str:
        own = req.headers.get("Request-Id", "")
        return f"not-{own}" if self._state.faults.wrong_id else own

    async def _execute(self, req: web.BaseRequest) -> Execution:
        execution = Execution(
            request_id=req.headers.get("Request-Id", ""),
            key=req.headers.get("Idempotency-Key", ""),
            account=req.headers.get("Client-Account", ""),
            method=req.method,
            path=req.path_qs,
            started=time.monotonic(),
            started_wall=time.time(),
        )
        if len(self.record) >= MAX_RECORDS:
            raise RuntimeError("the record is full; restart the runner")
        self.record.append(execution)
        # The slot is occupied as soon as the headers arrive, as reading the body is part of the
        # work.
        self._state.running[id(execution)] = execution
        self.counts.concurrent_max = max(self.counts.concurrent_max, len(self._state.running))
        try:
            await self._process_request(req, execution)
        finally:
            del self._state.running[id(execution)]
            execution.ended = time.monotonic()
            execution.ended_wall = time.time()
            self._state.finished.append(execution.request_id)
        return execution

    async def _process_request(self, req: web.BaseRequest, execution: Execution) -> None:
        digest = xxhash.xxh3_64()
        try:
            async for chunk in req.content.iter_chunked(CHUNK_BYTES):
                digest.update(chunk)
                execution.body_bytes += len(chunk)
        except (OSError, web.HTTPException, web.RequestPayloadError):
            self.counts.incomplete += 1
            return
        execution.complete = True
        execution.body_hash = digest.hexdigest()
        self.counts.executions += 1
        work_ms = _number(req.headers, "Work-Ms") + self._state.faults.delay_ms
        # Shielded from cancellation: work that has begun continues after its caller disconnected.
        await asyncio.shield(self._simulate_work(min(work_ms, MAX_DELAY_MS) / 1000))

    async def _simulate_work(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        while self._state.faults.hold:  # noqa: ASYNC110 - a fault is a plain value
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)

    async def _answer(
        self, req: web.BaseRequest, execution: Execution, headers: dict[str, str]
    ) -> web.StreamResponse:
        faults = self._state.faults
        if faults.hang_up:
            _abort(req)
            return web.Response(status=500)
        head = answer_head(
            request_id=execution.request_id,
            runner=self.id,
            method=execution.method,
            path=execution.path,
            body_hash=execution.body_hash,
            body_bytes=execution.body_bytes,
        )
        length = len(head) + _number(req.headers, "Answer-Bytes")
        res = web.StreamResponse(status=500 if faults.fail else 200, headers=headers)
        res.content_type = "application/octet-stream"
        if req.headers.get("Answer-Chunked") == "true":
            res.enable_chunked_encoding()
        else:
            res.content_length = length
        await res.prepare(req)
        if req.method == "HEAD":
            execution.answered = True
            return res
        await _write_body(res, head, length, stop=length // 2 if faults.truncate else length)
        if faults.truncate:
            if req.transport is not None:
                req.transport.close()
            return res
        await res.write_eof()
        execution.answered = True
        return res


async def _write_body(res: web.StreamResponse, head: bytes, length: int, *, stop: int) -> None:
    sent = min(len(head), stop)
    await res.write(head[:sent])
    while sent < stop:
        size = min(CHUNK_BYTES, stop - sent)
        await res.write(b"x" * size)
        sent += size


def _number(headers: Mapping[str, str], name: str) -> int:
    try:
        return max(0, int(headers.get(name, "0")))
    except ValueError:
        return 0


def _abort(req: web.BaseRequest) -> None:
    if req.transport is not None:
        req.transport.abort()


async def _main(args: argparse.Namespace) -> None:
    runner = Runner(
        id=args.id, service=args.service, slots=args.slots, connections=args.connections
    )
    await runner.start(args.host, args.port)
    line = {"address": runner.address, "id": runner.id, "service": runner.service}
    print(json.dumps(line), flush=True)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, runner.died.set)
    await runner.died.wait()
    await runner.close()


def main(argv: list[str] | None = None) -> int:
    """Serve until SIGTERM or until the ``die`` command arrives."""
    parser = argparse.ArgumentParser(description="backend server for tests and demos")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--id", default="runner")
    parser.add_argument("--service", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    asyncio.run(_main(parser.parse_args(argv)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
