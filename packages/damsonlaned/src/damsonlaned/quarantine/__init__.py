"""Quarantine of requests that crash targets, and of what they share, at an entry of either kind.

Reports exits of targets with the requests that were interrupted there to control, and decides by
the list of control whether a request may be sent to targets.
"""

from damsonlaned.quarantine._client import QuarantineClient
from damsonlaned.quarantine._known import KnownQuarantine
from damsonlaned.quarantine._piece_quarantine import PieceQuarantine
from damsonlaned.quarantine._probe import SECOND_PROBE_SECONDS, LostTarget, refuses_connections
from damsonlaned.quarantine._quarantine import (
    Quarantine,
    QuarantineReport,
    describe_quarantined,
    find_retry_seconds,
)
from damsonlaned.quarantine._request_quarantine import RequestQuarantine

__all__ = [
    "SECOND_PROBE_SECONDS",
    "KnownQuarantine",
    "LostTarget",
    "PieceQuarantine",
    "Quarantine",
    "QuarantineClient",
    "QuarantineReport",
    "RequestQuarantine",
    "describe_quarantined",
    "find_retry_seconds",
    "refuses_connections",
]
