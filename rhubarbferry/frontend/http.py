"""The HTTP/1.1 connections of callers."""

from __future__ import annotations

from rhubarbferry.frontend.problems import Outcome, Problem
from rhubarbferry.serving.connections import BAD_REQUEST, BoundedHttpProtocol, bad_request_head


class HttpProtocol(BoundedHttpProtocol):
    """Answer what is no HTTP request with problem+json."""

    def bad_request(self, *, begun: bool) -> bytes:
        """Return the whole answer to what is no HTTP request."""
        problem = Problem(
            status=400,
            type="not-http",
            outcome=Outcome.UNKNOWN if begun else Outcome.NOT_RUN,
            detail=f"request: {BAD_REQUEST}",
            remedy="Check Content-Length, the chunks, and the form and size of the headers.",
            field="body" if begun else "headers",
        )
        body = problem.body()
        return bad_request_head(len(body), problem.headers()) + body
