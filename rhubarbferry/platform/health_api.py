"""What the balancer and the operators ask a process: whether it is ready, and its metrics."""

from __future__ import annotations

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route


def build_app(*, ready: Callable[[], str]) -> Starlette:
    """Return the application.

    :param ready: returns why the process takes no connections, or an empty string.
    """

    async def readyz(request: Request) -> Response:
        reason = ready()
        if not reason:
            return PlainTextResponse("ready\n")
        return PlainTextResponse(f"not ready: {reason}\n", status_code=503)

    async def metrics(request: Request) -> Response:
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)

    return Starlette(routes=[Route("/api/readyz", readyz), Route("/metrics", metrics)])
