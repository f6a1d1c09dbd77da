"""What broke off when a target ended."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class BrokenRun:
    """A request that a target had when its answer broke off."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Seconds from its sending until it broke off.
    seconds: float
