"""When a request with a quarantined shared cause is sent to a target after all.

Targets that were lost for another reason while they had requests with something popular look like
exits under it.  Without a trial nothing could show that it is innocent.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Final

from damsonlane.membership import rank_boxes
from damsonlane.quarantine._registry import MAX_FAILED_TRIALS, QuarantinedRequest
from damsonlane.records import dataclass

#: Seconds from the last exit to the first trial; they double with each trial that failed.
TRIAL_SECONDS: Final = 10.0


@dataclass(frozen=True, kw_only=True)
class _Listed:
    """A quarantined cause as this entry has followed it."""

    #: Number of its exits.
    ends: int
    #: When that number was first seen, by the monotonic clock, in seconds.
    since: float
    #: Window of the last trial, and the request that it was for.
    window: int = -1
    request: str = ""

    def with_trial(self, window: int, request: str) -> "_Listed":
        """Return it with a trial that begins."""
        return replace(self, window=window, request=request)


class CauseTrials:
    """Decides at one entry which requests with a quarantined shared cause are tried.

    In each window of `TRIAL_SECONDS` one entry, chosen by rendezvous hashing, may try one request.
    Nothing is sent for it: a target that serves the request releases the cause, and its exit is one
    more exit under it, which all entries see.

    Args:
        entry: address of this entry.
    """

    def __init__(self, entry: str) -> None:
        self._entry: Final = entry
        self._listed: dict[tuple[str, ...], _Listed] = {}

    def follow(self, held: Iterable[QuarantinedRequest], now: float) -> None:
        """Follow a change of the list.

        Args:
            held: what is quarantined.
            now: time by the monotonic clock, in seconds.
        """
        before, self._listed = self._listed, {}
        for found in held:
            known = before.get(found.names)
            if known is None or found.ends != known.ends:
                known = _Listed(ends=found.ends, since=now)
            self._listed[found.names] = known

    def find_seconds_left(self, found: QuarantinedRequest, now: float) -> float | None:
        """Return the seconds until the next trial may begin; None if none will."""
        known = self._listed.get(found.names)
        if known is None or not found.trials_left:
            return None
        failed = max(0, MAX_FAILED_TRIALS - found.trials_left)
        return max(0.0, known.since + TRIAL_SECONDS * (1 << failed) - now)

    def try_begin(
        self,
        found: QuarantinedRequest,
        request: str,
        now: float,
        wall_seconds: float,
        entries: Sequence[str] | None = None,
    ) -> bool:
        """Return whether a request may be sent, and count it as the trial of this window.

        An entry may send it once; the owner of a pool computes all its pieces.

        Args:
            found: what is quarantined of it.
            request: fingerprint of the request.
            now: time by the monotonic clock, in seconds.
            wall_seconds: seconds since 1970.
            entries: addresses of the entries that share the trials; None at the owner of a pool,
                which gets pieces of requests that are tried only.
        """
        if self.find_seconds_left(found, now) != 0.0:
            return False
        known = self._listed[found.names]
        window = int(wall_seconds // TRIAL_SECONDS)
        if known.window == window:
            return entries is None and known.request == request
        if entries and self._choose(found, window, entries) != self._entry:
            return False
        self._listed[found.names] = known.with_trial(window, request)
        return True

    @staticmethod
    def _choose(found: QuarantinedRequest, window: int, entries: Sequence[str]) -> str:
        return rank_boxes(f"{found.fingerprint}/{window}", dict.fromkeys(entries, 1.0))[0]
