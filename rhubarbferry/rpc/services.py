"""Services of the IDL."""

from __future__ import annotations

from rhubarbferry.rpc.codec import load_service
from rhubarbferry.rpc.gen import Guard, Peer, Scheduler, Worker

SCHEDULER = load_service(Scheduler)
GUARD = load_service(Guard)
WORKER = load_service(Worker)
PEER = load_service(Peer)
