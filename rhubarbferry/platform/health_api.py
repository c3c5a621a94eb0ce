"""HTTP endpoints for the load balancer and operators: readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route


def build_app(*, not_ready_reason: Callable[[], str]) -> Starlette:
    """Return the ASGI application.

    :param not_ready_reason: returns why the process must not receive connections, or an empty
        string when it is ready.
    """

    async def readyz(request: Request) -> Response:
        reason = not_ready_reason()
        if not reason:
            return PlainTextResponse("ready\n")
        return PlainTextResponse(f"not ready: {reason}\n", status_code=503)

    async def metrics(request: Request) -> Response:
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)

    return Starlette(routes=[Route("/api/readyz", readyz), Route("/metrics", metrics)])
