"""Encode and decode Thrift messages as frames.

The format is that of TBinaryProtocol over TFramedTransport: each message has a length prefix.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from types import ModuleType
from typing import Any

from attrs import frozen
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TApplicationException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from rhubarbferry.rpc.gen.required import REQUIRED

LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 4 * 1024 * 1024


@frozen(kw_only=True, slots=True)
class Method:
    """Method of a service with its generated argument and result classes."""

    name: str
    args: type
    result: type


@frozen(kw_only=True, slots=True)
class Service:
    """Service of the IDL with its methods by name."""

    name: str
    methods: Mapping[str, Method]


def load_service(module: ModuleType) -> Service:
    """Return the service of a module that the Thrift compiler generated."""
    names = [name for name in vars(module.Iface) if not name.startswith("_")]
    methods = {
        name: Method(
            name=name,
            args=getattr(module, f"{name}_args"),
            result=getattr(module, f"{name}_result"),
        )
        for name in names
    }
    return Service(name=module.__name__.rsplit(".", 1)[-1], methods=methods)


@frozen(kw_only=True, slots=True)
class Call:
    """Received call; ``req`` is the request struct."""

    method: str
    seqid: int
    req: Any


@frozen(kw_only=True, slots=True)
class Reply:
    """Received reply; ``error`` is set when the peer could not serve the call."""

    seqid: int
    value: Any
    error: str | None = None


class MalformedFrame(Exception):
    """The bytes are no message of this service. Check that both processes run the same version."""


def _encode_frame(name: str, message_type: int, seqid: int, body: Any) -> bytes:
    transport = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(transport)
    protocol.writeMessageBegin(name, message_type, seqid)
    body.write(protocol)
    protocol.writeMessageEnd()
    payload = transport.getvalue()
    return LENGTH.pack(len(payload)) + payload


def encode_call(method: Method, seqid: int, req: Any) -> bytes:
    """Return the frame of a call."""
    return _encode_frame(method.name, TMessageType.CALL, seqid, method.args(req))


def encode_reply(method: Method, seqid: int, value: Any) -> bytes:
    """Return the frame of a reply."""
    return _encode_frame(method.name, TMessageType.REPLY, seqid, method.result(value))


def encode_error(name: str, seqid: int, text: str) -> bytes:
    """Return the frame that reports that a call could not be served."""
    exc = TApplicationException(TApplicationException.INTERNAL_ERROR, text)
    return _encode_frame(name, TMessageType.EXCEPTION, seqid, exc)


def check_required_fields(struct: Any) -> None:
    """Check that a struct has all its required fields.

    A peer that runs another version or is faulty may omit one.

    :raises MalformedFrame: when a field is missing; the message names it.
    """
    for name in REQUIRED.get(type(struct).__name__, ()):
        if getattr(struct, name) is None:
            raise MalformedFrame(f"{type(struct).__name__} lacks the required field {name}")


def decode_call(service: Service, payload: bytes) -> Call:
    """Decode a call.

    :raises MalformedFrame: when the payload is no call of this service.
    """
    protocol = TBinaryProtocolAccelerated(TMemoryBuffer(payload))
    try:
        name, message_type, seqid = protocol.readMessageBegin()
        method = service.methods.get(name)
        if method is None or message_type != TMessageType.CALL:
            raise MalformedFrame(f"not a call of {service.name}: {name!r}")
        args = method.args()
        args.read(protocol)
        req = args.req
        if req is None:
            raise MalformedFrame(f"call of {name!r} has no request")
        check_required_fields(req)
    except MalformedFrame:
        raise
    except Exception as exc:
        raise MalformedFrame(f"cannot decode a call of {service.name}: {exc}") from exc
    return Call(method=name, seqid=seqid, req=req)


def decode_reply(service: Service, payload: bytes) -> Reply:
    """Decode a reply.

    :raises MalformedFrame: when the payload is no reply of this service.
    """
    protocol = TBinaryProtocolAccelerated(TMemoryBuffer(payload))
    try:
        name, message_type, seqid = protocol.readMessageBegin()
        if message_type == TMessageType.EXCEPTION:
            exc = TApplicationException()
            exc.read(protocol)
            return Reply(seqid=seqid, value=None, error=str(exc))
        result = service.methods[name].result()
        result.read(protocol)
        check_required_fields(result.success)
    except Exception as exc:
        raise MalformedFrame(f"cannot decode a reply of {service.name}: {exc}") from exc
    return Reply(seqid=seqid, value=result.success)
