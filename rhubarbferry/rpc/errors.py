"""Errors of calls to other processes."""

from __future__ import annotations


class RpcError(Exception):
    """Base class of the errors of a call."""


class PeerUnreachable(RpcError):
    """The call was not sent and had no effect. Look up the owner again, then retry."""


class PeerRefused(PeerUnreachable):
    """No process listens at the address: it has ended or has not started yet."""


class CallUnclear(RpcError):
    """The call was sent without a reply and may have had an effect. Check before repeating it."""


class CallTimeout(CallUnclear):
    """No reply within the caller's timeout. Check for an effect before repeating the call."""


class PeerSilent(CallUnclear):
    """The connection received nothing for too long and was closed.

    Check for an effect over a new connection before repeating the call.
    """


class CallRejected(RpcError):
    """The peer could not decode or serve the call; the message is the one that the peer sent."""


class FrameTooLarge(RpcError):
    """A frame exceeds the size limit. Send smaller batches."""
