"""Evidence from connections about whether a box reaches the targets of one service."""

from collections.abc import Collection
from typing import Final, Literal

#: How a target was not reached: no new connection, one that broke before any byte of a response,
#: or one on which no byte arrived for a while.
FailureKind = Literal["connect", "broken", "silent"]

#: Targets that must have failed one after another before the path to all of them is in doubt.
#: One alone has probably failed itself.
DOUBTFUL_TARGETS: Final = 2
#: Seconds for which a failure counts.
EVIDENCE_SECONDS: Final = 5.0

#: Multiple of the time of the slowest recent response from which a target counts as silent, and the
#: same while several targets are silent at once.
SILENCE_RATIO: Final = 2.0
SHARED_SILENCE_RATIO: Final = 1.25
#: Seconds between two requests without a response from which they do not count together.
MAX_GAP_SECONDS: Final = 0.25
#: Least silence that counts, in seconds.
MIN_SILENCE_SECONDS: Final = 0.5
#: Half-life of that time, in seconds.
SLOWEST_HALF_LIFE: Final = 30.0


class ReachEvidence:
    """Targets of one service that failed since one of them was last reached.

    New connections are tracked apart: they may fail while established ones live.
    """

    def __init__(self) -> None:
        self._failed: dict[str, tuple[float, FailureKind]] = {}
        self._not_connected: dict[str, float] = {}
        #: When a byte last arrived from a target, in seconds; 0 if none did.
        self.reached_at = 0.0
        #: By target, the time since which requests wait one after another without any byte, and
        #: the time up to which they did.
        self._unanswered: dict[str, tuple[float, float]] = {}
        self._slowest = 0.0
        self._slowest_at = 0.0

    def record_response(self, seconds: float, now: float) -> None:
        """Record after how many seconds the first byte of a response came."""
        if seconds >= self._find_slowest(now):
            self._slowest = seconds
            self._slowest_at = now

    def record_unanswered(self, target: str, sent_at: float, now: float) -> bool:
        """Record a request without a response; return whether its target counts as silent.

        Requests that were given up one after another count together, until a byte arrives from
        any target of the service.

        Args:
            target: its target.
            sent_at: when it was sent.
            now: the clock, in seconds.
        """
        if self.reached_at >= sent_at:
            return False
        since, until = self._unanswered.get(target, (sent_at, sent_at))
        first = min(sent_at, since) if sent_at <= until + MAX_GAP_SECONDS else sent_at
        self._unanswered[target] = (first, now)
        ratio = SILENCE_RATIO if len(self._unanswered) == 1 else SHARED_SILENCE_RATIO
        least = max(MIN_SILENCE_SECONDS, ratio * self._find_slowest(now))
        return now - first >= least

    def _find_slowest(self, now: float) -> float:
        """Return the time to the first byte of the slowest response, which decays."""
        return float(self._slowest * 0.5 ** ((now - self._slowest_at) / SLOWEST_HALF_LIFE))

    def record_reached(self, now: float, *, is_new: bool) -> None:
        """Record that a byte arrived from a target.

        Args:
            now: the clock, in seconds.
            is_new: whether it is the first one on its connection.
        """
        self.reached_at = now
        self._unanswered.clear()
        if self._failed:
            self._failed.clear()
        if is_new and self._not_connected:
            self._not_connected.clear()

    def record_failed(self, target: str, kind: FailureKind, now: float) -> None:
        """Record that a target was not reached."""
        self._failed[target] = (now, kind)
        if kind == "connect":
            self._not_connected[target] = now

    def list_kinds(self) -> frozenset[FailureKind]:
        """Return the kinds of the failures."""
        kinds = {kind for _, kind in self._failed.values()}
        if self._not_connected:
            kinds.add("connect")
        return frozenset(kinds)

    def has_lost_requests(self) -> bool:
        """Return whether a target accepted a connection, and not the request sent on it."""
        return any(kind != "connect" for _, kind in self._failed.values())

    def is_doubtful(self, targets: Collection[str], now: float) -> bool:
        """Return whether the failures may be due to the path to all targets.

        Args:
            targets: names of all targets of the service.
            now: the clock, in seconds.
        """
        least = min(DOUBTFUL_TARGETS, len(targets))
        return least > 0 and len(self.list_failed(targets, now)) >= least

    def list_failed(self, targets: Collection[str], now: float) -> list[str]:
        """Return the targets that failed, on any connection or on new ones, whichever are more."""
        since = now - EVIDENCE_SECONDS
        failed = [name for name, (at, _) in self._failed.items() if at >= since and name in targets]
        not_connected = [
            name for name, at in self._not_connected.items() if at >= since and name in targets
        ]
        return max(failed, not_connected, key=len)

    def list_silent(self, targets: Collection[str], now: float) -> list[str]:
        """Return the targets that took requests and sent nothing, while no other one did either.

        Args:
            targets: names of all targets of the service.
            now: the clock, in seconds.
        """
        since = now - EVIDENCE_SECONDS
        return [
            name
            for name, (at, kind) in self._failed.items()
            if kind == "silent" and at >= since and name in targets
        ]

    def clear(self) -> None:
        """Forget all failures."""
        self._unanswered.clear()
        self._failed.clear()
        self._not_connected.clear()
