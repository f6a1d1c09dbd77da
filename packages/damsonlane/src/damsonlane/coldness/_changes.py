"""Which heartbeats say something new of how long a target stays cold."""

from typing import Final

from damsonlane.targets import TargetRecord

#: Seconds by which a heartbeat must lengthen what was noted to be news: heartbeats travel for
#: some tenths of a second, so the end that each of them tells moves a little.
TOLERANCE_SECONDS: Final = 0.25


class ColdNews:
    """Remembers until when each target was said to be cold.

    Each heartbeat of a cold target tells another time that is left; only one that says that it
    turned cold, is cold for longer, or is warm again has to reach the entries.
    """

    def __init__(self) -> None:
        self._noted_until: dict[str, float] = {}

    def is_news(self, record: TargetRecord, known: TargetRecord, now: float) -> bool:
        """Tell whether a heartbeat must be noted for what it says of coldness.

        Args:
            record: what the heartbeat says.
            known: what the registry holds of the target.
            now: the time by the monotonic clock.
        """
        if record.cold_seconds <= 0:
            return known.cold_seconds > 0
        noted = self._noted_until.get(record.target, 0.0) if known.cold_seconds > 0 else 0.0
        return now + record.cold_seconds > noted + TOLERANCE_SECONDS

    def note(self, record: TargetRecord, now: float) -> None:
        """Note a heartbeat that was noted in the registry."""
        if record.cold_seconds > 0:
            self._noted_until[record.target] = now + record.cold_seconds
        else:
            self._noted_until.pop(record.target, None)
