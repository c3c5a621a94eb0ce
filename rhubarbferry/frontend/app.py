"""The HTTP routes of the frontend."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import frozen
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from rhubarbferry.frontend.forward import SERVICES_PATH, Forwarder
from rhubarbferry.frontend.jobs import JobEndpoints
from rhubarbferry.frontend.problems import Outcome, Problem
from rhubarbferry.frontend.runners import STATUS_PATH


@frozen(kw_only=True, slots=True)
class Readiness:
    """Whether this process accepts requests, and the reason if it does not."""

    ready: bool
    reason: str = ""


class Dispatch:
    """Send service requests straight to the forwarder and all others to the Starlette routes.

    Nearly all requests are for services. Bypassing the router saves them its middleware and its
    sequential path matching.
    """

    def __init__(self, *, forwarder: Forwarder, routes: Starlette) -> None:
        self._forwarder = forwarder
        self._routes = routes

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI call."""
        if scope["type"] == "http" and _is_service_path(scope["path"]):
            await self._forwarder(scope, receive, send)
        else:
            await self._routes(scope, receive, send)


def _is_service_path(path: str) -> bool:
    return path.startswith(SERVICES_PATH) and path[len(SERVICES_PATH) :][:1] not in ("", "/")


def build_app(
    *, forwarder: Forwarder, jobs: JobEndpoints, readiness: Callable[[], Readiness]
) -> Dispatch:
    """Return the ASGI application.

    :param readiness: called by ``/readyz``.
    """

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def status(request: Request) -> Response:
        return JSONResponse(forwarder.status())

    async def readyz(request: Request) -> Response:
        state = readiness()
        if state.ready:
            return PlainTextResponse("ready\n")
        return PlainTextResponse(f"not ready: {state.reason}\n", status_code=503)

    async def metrics(request: Request) -> Response:
        # Imported on first use, because most test processes never serve metrics.
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)

    async def no_route(request: Request, exc: Exception) -> Response:
        status = exc.status_code if isinstance(exc, HTTPException) else 404
        problem = Problem(
            status=status,
            type="no-such-path",
            outcome=Outcome.NOT_RUN,
            detail=f"there is no {request.method} {request.url.path}"[:300],
            remedy="See docs/reference/http.md for the paths and methods.",
            field="path",
        )
        headers = dict(problem.headers())
        return Response(problem.body(), status_code=status, headers=headers)

    routes = Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/metrics", metrics),
            Route(STATUS_PATH, status),
            *jobs.routes(),
        ],
        exception_handlers={HTTPException: no_route},
    )
    return Dispatch(forwarder=forwarder, routes=routes)
