"""What can go wrong with a call to another process."""

from __future__ import annotations


class RpcError(Exception):
    """Base of the errors of a call."""


class PeerUnreachable(RpcError):
    """The call was never sent: it had no effect. Look up the owner again, then retry."""


class PeerRefused(PeerUnreachable):
    """Nothing listens at the address: the process there has ended, or has not begun."""


class CallUnclear(RpcError):
    """Sent, but no reply will come: it may have had effect. Ask before repeating."""


class CallTimeout(CallUnclear):
    """No reply within the time the caller gave. Ask before repeating."""


class PeerSilent(CallUnclear):
    """The connection went silent and was closed. Ask on a new connection before repeating."""


class CallRejected(RpcError):
    """The peer could not read or serve the call; the message is the peer's own words."""


class FrameTooLarge(RpcError):
    """A frame is over the limit. Send smaller batches."""
