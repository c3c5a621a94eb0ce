"""Services of the IDL."""

from __future__ import annotations

from rhubarbferry.rpc.codec import service_of
from rhubarbferry.rpc.gen import Guard, Peer, Scheduler, Worker

SCHEDULER = service_of(Scheduler)
GUARD = service_of(Guard)
WORKER = service_of(Worker)
PEER = service_of(Peer)
