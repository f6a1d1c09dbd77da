"""Which targets named a rate limit, as this box last heard."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit._report import RateWord

#: Rate from which on a limit binds nobody, in requests a second: no target is sent so many.
UNBOUND_RATE: Final = 1_000.0
#: Seconds for which the end of a limit is remembered, so that word of it that another box
#: sends late does not bring it back.
ENDED_SECONDS: Final = 60.0


@dataclass(frozen=True, kw_only=True)
class _Heard:
    """What was heard last of one start of a target."""

    #: Requests a second; None once it names no limit any more.
    rate: float | None
    #: When it said so, by the box's clock.
    at: float


class RateLimitBook:
    """The newest word of each target, from its own answers or from other boxes."""

    def __init__(self) -> None:
        self._heard: dict[TargetStart, _Heard] = {}

    def note(self, word: RateWord, now: float) -> bool:
        """Note what a target said, unless something newer is known; tell whether it is news.

        Args:
            word: what it said.
            now: the time by the box's clock.
        """
        at = now - word.age
        known = self._heard.get(word.named)
        if known is None and word.rate is None:
            return False
        if known is not None and at < known.at:
            return False
        self._heard[word.named] = _Heard(rate=word.rate, at=at)
        return known is None or known.rate != word.rate

    def find_rate(self, named: TargetStart) -> float | None:
        """Return the requests a second that a target takes; None where it names no limit."""
        heard = self._heard.get(named)
        return heard.rate if heard is not None else None

    def is_limited(self, named: TargetStart) -> bool:
        """Tell whether a target named a limit that binds."""
        rate = self.find_rate(named)
        return rate is not None and rate < UNBOUND_RATE

    def knows(self, named: TargetStart) -> bool:
        """Tell whether a target is known to have named a limit, or to have ended one."""
        return named in self._heard

    def is_empty(self) -> bool:
        """Tell whether no target named a limit lately."""
        return not self._heard

    def list_words(self, now: float) -> tuple[RateWord, ...]:
        """Return the limits that hold, as another box is told of them."""
        return tuple(
            RateWord(named=named, rate=heard.rate, age=max(0.0, now - heard.at))
            for named, heard in self._heard.items()
            if heard.rate is not None
        )

    def find_word(self, named: TargetStart, now: float) -> RateWord:
        """Return what is known of a target, as another box is told of it."""
        heard = self._heard.get(named)
        if heard is None:
            return RateWord(named=named, rate=None)
        return RateWord(named=named, rate=heard.rate, age=max(0.0, now - heard.at))

    def forget_others(self, known: Collection[TargetStart], now: float) -> None:
        """Forget starts that control lists no more, and limits that ended long ago."""
        for named, heard in list(self._heard.items()):
            is_old = heard.rate is None and now - heard.at > ENDED_SECONDS
            if named not in known or is_old:
                del self._heard[named]
