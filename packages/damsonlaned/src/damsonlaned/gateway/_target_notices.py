"""What targets say of themselves in the heads of their answers to this box."""

import logging
import random
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.backoff import BackoffBook, TargetStart, find_spread_seconds
from damsonlane.targets import TargetRecord
from damsonlaned.dialects import AnswerSigns
from damsonlaned.gateway._rate_limits import RateLimits

_LOG: Final = logging.getLogger(__name__)


class TargetNotices:
    """Takes what any answer of a target says of it, and holds it for all that goes there.

    Args:
        clock: returns the box's time, in seconds.
        count_boxes: returns how many boxes send to the targets.
        on_leaving: called when a target says for the first time that it leaves.
        limits: rate limits that targets name.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        count_boxes: Callable[[], int],
        on_leaving: Callable[[], None],
        limits: RateLimits,
    ) -> None:
        self._clock: Final = clock
        self._count_boxes: Final = count_boxes
        self._on_leaving: Final = on_leaving
        self._book: Final = BackoffBook()
        self._limits: Final = limits
        self._randomness: Final = random.Random()

    def take(self, named: TargetStart, signs: AnswerSigns, *, is_work: bool = True) -> None:
        """Take the head of an answer, whatever it was asked for.

        Args:
            named: the target.
            signs: what the head says.
            is_work: whether it answers work that was sent there just now.  Only such an
                answer, and no refusal, ends a rate limit by not naming it: a target may say
                less in the others.
        """
        fields = {"target": named.target, "start": named.start}
        if signs.backoff_seconds > 0:
            seconds = signs.backoff_seconds
            spread = find_spread_seconds(seconds, self._count_boxes(), self._randomness)
            self._book.note(named, seconds, self._clock(), spread)
            times = {"seconds": seconds, "spread": round(spread, 3)}
            _LOG.info("back-off asked", extra={**fields, **times})
        if signs.is_leaving and self._book.note_leaving(named):
            _LOG.info("target leaves", extra=fields)
            self._on_leaving()
        self._limits.take(named, signs, may_end=is_work and not signs.has_not_run)

    def is_leaving(self, record: TargetRecord) -> bool:
        """Tell whether a target said to this box that it leaves."""
        return not self._book.is_empty() and self._book.is_leaving(TargetStart.of(record))

    def list_backing_off(self) -> set[TargetStart]:
        """Return the targets that want nothing from this box for now."""
        return set() if self._book.is_empty() else self._book.list_backing_off(self._clock())

    def seconds_left(self, named: TargetStart) -> float:
        """Return for how long a target wants nothing from this box; 0 if it may get something."""
        return 0.0 if self._book.is_empty() else self._book.seconds_left(named, self._clock())

    def follow(self, records: Sequence[TargetRecord]) -> None:
        """Forget what was said by starts of targets that control lists no more."""
        known = [TargetStart.of(record) for record in records]
        self._book.forget_others(known, self._clock())
        self._limits.follow(known)
