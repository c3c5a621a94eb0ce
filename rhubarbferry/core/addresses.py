"""Parse ports and addresses of the form ``ip:port`` that other programs have written."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65535
# A longer text has leading zeros or is out of range.
MAX_PORT_DIGITS = len(str(MAX_PORT))


def parse_port(text: str) -> int:
    """Return a port in decimal digits.

    :raises ValueError: if the text is not a port from 1 to ``MAX_PORT``.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS):
        raise ValueError(f"not a port: {text!r:.100}")
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"a port out of range: {port}")
    return port


def check_host_address(address: str) -> None:
    """Check that an address may be that of one host: ``1.2.3.4:80`` or ``[2001:db8::1]:80``.

    :raises ValueError: if it is not, or if it is a multicast, reserved or unspecified address or
        one that is valid within a scope only.
    """
    host, _, port = address.rpartition(":")
    parse_port(port)
    ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if host.startswith("[") != (ip.version == 6) or host.startswith("[") != host.endswith("]"):
        raise ValueError(f"brackets are for IPv6: {address!r:.100}")
    if ip.version == 6 and ip.scope_id is not None:
        raise ValueError(f"an address of a scope: {address!r:.100}")
    if ip.is_multicast or ip.is_unspecified or (ip.version == 4 and ip.is_reserved):
        raise ValueError(f"not an address of a host: {address!r:.100}")
