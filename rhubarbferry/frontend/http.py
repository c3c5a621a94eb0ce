"""The HTTP/1.1 protocol for connections from callers."""

from __future__ import annotations

from rhubarbferry.frontend.problems import Outcome, Problem
from rhubarbferry.serving.connections import BAD_REQUEST, BoundedHttpProtocol, bad_request_head


class HttpProtocol(BoundedHttpProtocol):
    """Answer malformed HTTP requests with problem+json."""

    def bad_request(self, *, headers_complete: bool) -> bytes:
        """Return the raw answer to a malformed request.

        :param headers_complete: whether the headers were valid and the body is malformed.
        """
        problem = Problem(
            status=400,
            type="not-http",
            outcome=Outcome.UNKNOWN if headers_complete else Outcome.NOT_RUN,
            detail=f"request: {BAD_REQUEST}",
            remedy="Check Content-Length, the chunks, and the form and size of the headers.",
            field="body" if headers_complete else "headers",
        )
        body = problem.body()
        return bad_request_head(len(body), problem.headers()) + body
