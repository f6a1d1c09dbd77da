"""Detection of heartbeats that change how long a target warms up."""

from typing import Final

from damsonlane.targets import TargetRecord

#: Seconds by which a heartbeat must postpone the end of the warm-up to count as a change: the
#: latency of heartbeats varies by some tenths of a second, and so does the end they report.
TOLERANCE_SECONDS: Final = 0.25


class WarmupChanges:
    """Remembers until when each target warms up, as it last reported.

    Every heartbeat of a target that is warming up reports another remaining time.  Entries need
    only those that report the start, an extension, or the end of a warm-up.
    """

    def __init__(self) -> None:
        self._cold_until: dict[str, float] = {}

    def is_change(self, record: TargetRecord, known: TargetRecord, now: float) -> bool:
        """Return whether a heartbeat changes the warm-up of its target.

        Args:
            record: the record in the heartbeat.
            known: the record in the registry.
            now: the time by the monotonic clock.
        """
        if record.cold_seconds <= 0:
            return known.cold_seconds > 0
        cold_until = self._cold_until.get(record.target, 0.0) if known.cold_seconds > 0 else 0.0
        return now + record.cold_seconds > cold_until + TOLERANCE_SECONDS

    def record(self, record: TargetRecord, now: float) -> None:
        """Record a heartbeat that was stored in the registry."""
        if record.cold_seconds > 0:
            self._cold_until[record.target] = now + record.cold_seconds
        else:
            self._cold_until.pop(record.target, None)
