"""Keeping requests that end targets from them, at an entry of either kind.

What enters are targets that ended, with the requests that broke off there, and the list that
control holds; what leaves is whether a request may go to targets.
"""

from damsonlaned.quarantine._client import QuarantineClient
from damsonlaned.quarantine._known import KnownQuarantine
from damsonlaned.quarantine._probe import LOOK_AGAIN_SECONDS, LostTarget, refuses_connections
from damsonlaned.quarantine._quarantine import Quarantine, Report, find_retry_seconds

__all__ = [
    "LOOK_AGAIN_SECONDS",
    "KnownQuarantine",
    "LostTarget",
    "Quarantine",
    "QuarantineClient",
    "Report",
    "find_retry_seconds",
    "refuses_connections",
]
