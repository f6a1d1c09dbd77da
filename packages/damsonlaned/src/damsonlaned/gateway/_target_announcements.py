"""Back-off, draining and rate limits that targets announce in their responses to this box."""

import logging
import random
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.backoff import BackoffTable, TargetIncarnation, draw_jitter_seconds
from damsonlane.rejections import RejectionWindows
from damsonlane.targets import TargetRecord
from damsonlaned.dialects import ResponseSignals
from damsonlaned.gateway._rate_limits import RateLimits

_LOG: Final = logging.getLogger(__name__)


class TargetAnnouncements:
    """Records what targets announce, for every kind of request that this box sends to them.

    Args:
        clock: returns the monotonic time, in seconds.
        count_boxes: returns how many boxes send to the targets.
        on_draining: called when a target first announces that it shuts down.
        limits: rate limits that targets announced.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        count_boxes: Callable[[], int],
        on_draining: Callable[[], None],
        limits: RateLimits,
    ) -> None:
        self._clock: Final = clock
        self._count_boxes: Final = count_boxes
        self._on_draining: Final = on_draining
        self._table: Final = BackoffTable()
        self._limits: Final = limits
        self._randomness: Final = random.Random()
        #: What this box may have in flight at targets that fail if they reject too much.
        self.rejections: Final = RejectionWindows(self._randomness)

    def record(
        self, incarnation: TargetIncarnation, signals: ResponseSignals, *, is_work: bool = True
    ) -> None:
        """Record the signals in the head of any response.

        Args:
            incarnation: the target.
            signals: the signals.
            is_work: whether it is the response to a request that was just sent there.  Only
                such a response, unless it is a rejection, ends a limit by not announcing it;
                targets may omit the limit from others.
        """
        fields = {"target": incarnation.target, "start": incarnation.start}
        if signals.backoff_seconds > 0:
            seconds = signals.backoff_seconds
            spread = draw_jitter_seconds(seconds, self._count_boxes(), self._randomness)
            self._table.record(incarnation, seconds, self._clock(), spread)
            times = {"seconds": seconds, "spread": round(spread, 3)}
            _LOG.info("target requested back-off", extra={**fields, **times})
        if signals.is_draining and self._table.record_draining(incarnation):
            _LOG.info("target is draining", extra=fields)
            self._on_draining()
        may_end = is_work and not signals.has_not_run
        limit = signals.rejection_limit
        if (limit is not None or may_end) and self.rejections.record_limit(incarnation, limit):
            _LOG.info("limit of rejections changed", extra={**fields, "per_second": limit})
        self._limits.process_signals(incarnation, signals, may_end=may_end)

    def is_draining(self, record: TargetRecord) -> bool:
        """Return whether a target announced to this box that it shuts down."""
        return not self._table.is_empty() and self._table.is_draining(TargetIncarnation.of(record))

    def list_backing_off(self) -> set[TargetIncarnation]:
        """Return the targets that requested back-off from this box."""
        return set() if self._table.is_empty() else self._table.list_backing_off(self._clock())

    def backoff_seconds_left(self, incarnation: TargetIncarnation) -> float:
        """Return the seconds until the back-off of a target ends; 0 if it requested none."""
        return (
            0.0 if self._table.is_empty() else self._table.seconds_left(incarnation, self._clock())
        )

    def follow(self, records: Sequence[TargetRecord]) -> None:
        """Drop the announcements of incarnations that control no longer lists."""
        known = [TargetIncarnation.of(record) for record in records]
        self._table.prune(known, self._clock())
        self._limits.forget_unlisted(known)
        self.rejections.prune(known)
