"""Quarantine of requests that crash targets, at an entry of either kind.

Reports exits of targets with the requests that were interrupted there to control, and decides by
the list of control whether a request may be sent to targets.
"""

from damsonlaned.quarantine._client import QuarantineClient
from damsonlaned.quarantine._known import KnownQuarantine
from damsonlaned.quarantine._probe import SECOND_PROBE_SECONDS, LostTarget, refuses_connections
from damsonlaned.quarantine._quarantine import Quarantine, QuarantineReport, find_retry_seconds

__all__ = [
    "SECOND_PROBE_SECONDS",
    "KnownQuarantine",
    "LostTarget",
    "Quarantine",
    "QuarantineClient",
    "QuarantineReport",
    "find_retry_seconds",
    "refuses_connections",
]
