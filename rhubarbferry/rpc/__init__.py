"""RPC between processes: Thrift messages in frames over TCP, with heartbeats."""

from rhubarbferry.rpc.connection import Connection, Timing
from rhubarbferry.rpc.errors import (
    CallRejected,
    CallTimeout,
    CallUnclear,
    FrameTooLarge,
    PeerSilent,
    PeerUnreachable,
    RpcError,
)
from rhubarbferry.rpc.pool import Pool
from rhubarbferry.rpc.server import Handler, Server

__all__ = [
    "CallRejected",
    "CallTimeout",
    "CallUnclear",
    "Connection",
    "FrameTooLarge",
    "Handler",
    "PeerSilent",
    "PeerUnreachable",
    "Pool",
    "RpcError",
    "Server",
    "Timing",
]
