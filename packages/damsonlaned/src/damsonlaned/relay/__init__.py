"""Passes requests on to another entry while this one does not reach their targets."""

from damsonlaned.relay._client import RelayClient, RelayFailure
from damsonlaned.relay._messages import RelayedRequest, decode_body, read_head
from damsonlaned.relay._reach_monitor import ReachMonitor
from damsonlaned.relay._request_relay import Relay, RequestRelay
from damsonlaned.relay._service import RelayService
from damsonlaned.relay._writer import RelayWriter

__all__ = [
    "ReachMonitor",
    "Relay",
    "RelayClient",
    "RelayFailure",
    "RelayService",
    "RelayWriter",
    "RelayedRequest",
    "RequestRelay",
    "decode_body",
    "read_head",
]
