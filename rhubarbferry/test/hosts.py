"""Stand-in for the platform's host list, for tests and demos.

Run ``python -m rhubarbferry.test.hosts --port N``. ``GET /hosts`` answers in the HTTP service
discovery format of Prometheus, ``PUT /hosts`` replaces the list, ``POST /faults`` sets faults and
``GET /counters`` returns the number of reads.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import Any

import cattrs
from attrs import asdict, define, frozen
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from rhubarbferry.ports.hosts import Host
from rhubarbferry.test.serving import serve_process

MALFORMED_BODY = b'{"targets": ["no list'


@frozen(kw_only=True)
class HostFaults:
    """Faults to inject; they stay active until they are replaced.

    :param down: answer reads with 503.
    :param slow_s: delay of each answer in seconds.
    :param garbage: answer with a malformed body.
    :param stale: keep answering with the list as it was when the fault was set.
    """

    down: bool = False
    slow_s: float = 0.0
    garbage: bool = False
    stale: bool = False


@define(kw_only=True)
class HostsStandIn:
    """The host list with its faults and counters."""

    groups: list[dict[str, Any]]
    served_groups: list[dict[str, Any]]
    faults: HostFaults = HostFaults()
    reads: int = 0

    @classmethod
    def of(cls, *hosts: Host) -> HostsStandIn:
        """Return a stand-in that lists these hosts."""
        groups = [host_to_target_group(host) for host in hosts]
        return cls(groups=groups, served_groups=groups)

    def put(self, groups: list[dict[str, Any]]) -> None:
        """Replace the list; readers see the change unless the ``stale`` fault is set."""
        self.groups = groups
        if not self.faults.stale:
            self.served_groups = groups

    def set_faults(self, faults: HostFaults) -> None:
        """Replace the faults."""
        self.faults = faults
        if not faults.stale:
            self.served_groups = self.groups

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/hosts", self._serve_list, methods=["GET"]),
                Route("/hosts", self._replace_list, methods=["PUT"]),
                Route("/faults", self._replace_faults, methods=["POST"]),
                Route("/counters", self._serve_counters, methods=["GET"]),
            ]
        )

    async def _serve_list(self, req: Request) -> Response:
        self.reads += 1
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            return Response(status_code=503)
        if self.faults.garbage:
            return Response(MALFORMED_BODY, media_type="application/json")
        return JSONResponse(self.served_groups)

    async def _replace_list(self, req: Request) -> Response:
        groups = await req.json()
        if not isinstance(groups, list):
            return Response("the body must be a list of target groups", status_code=400)
        self.put(groups)
        return JSONResponse({"hosts": len(groups)})

    async def _replace_faults(self, req: Request) -> Response:
        converter = cattrs.Converter(forbid_extra_keys=True)
        try:
            self.set_faults(converter.structure(await req.json(), HostFaults))
        except Exception as exc:
            return Response(f"unknown faults: {exc!r}", status_code=400)
        return JSONResponse(asdict(self.faults))

    async def _serve_counters(self, req: Request) -> Response:
        return JSONResponse({"reads": self.reads})


def host_to_target_group(host: Host) -> dict[str, Any]:
    """Return the target group that represents a host."""
    labels = {
        "id": host.id,
        "kind": host.kind.value,
        "region": host.region,
        "failure_domain": host.failure_domain,
        "rack": host.rack,
        "service": host.service,
        "state": "leaving" if host.leaving else "live",
    }
    return {"targets": [host.address], "labels": labels}


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description="The platform's host list, for tests.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--hosts", default="[]", help="initial list as JSON")
    args = parser.parse_args()
    groups = json.loads(args.hosts)
    stand_in = HostsStandIn(groups=groups, served_groups=groups)
    asyncio.run(serve_process(stand_in.app(), ip=args.host, port=args.port))


if __name__ == "__main__":
    main()
