"""Limits of requests and connections."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt

KIB = 1024
MIB = 1024 * KIB
# The event loop accepts this many connections before their limits are checked. Descriptors have to
# suffice for them.
ACCEPTS_AT_ONCE = 32


@frozen(kw_only=True, slots=True)
class RequestLimits:
    """Limits of one request and of the time without one.

    :param head_bytes: largest head of a request in bytes: the request line and the headers with
        their line ends. The same number of bytes is accepted as empty lines before the request
        line, and as extensions and trailers of a chunked body.
    :param headers: largest number of headers.
    :param body_bytes: most bytes of a body that are read after its response has been sent. The
        application limits the body itself.
    :param buffered_body_bytes: most bytes of a body that the process buffers until the request is
        complete, or until the application has passed them on.
    :param head_timeout_s: seconds from the first byte of a head to its last one.
    :param idle_timeout_s: seconds without a request, and without a byte of an incomplete body.
    """

    head_bytes: int = field(default=64 * KIB, validator=gt(0))
    headers: int = field(default=200, validator=gt(0))
    body_bytes: int = field(default=256 * KIB, validator=ge(0))
    buffered_body_bytes: int = field(default=256 * KIB, validator=ge(0))
    head_timeout_s: float = field(default=10.0, validator=gt(0))
    idle_timeout_s: float = field(default=75.0, validator=gt(0))
