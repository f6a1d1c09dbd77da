"""The targets that named rate limits, as control tells all boxes.

A box that has not heard a target itself would send it requests without a permit until its first
answer, and a fleet of hundreds would send hundreds.  So the beginning and the end of a limit are
replicated; the rate in force between is known to the owner of the service.
"""

from dataclasses import dataclass
from typing import Final, Literal

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit._report import RateWord
from damsonlane.ratelimit._table import RateLimitBook

#: Times the listed rate by which a rate must differ to be told anew: who asks the owner for
#: permits need not know it exactly, and one that takes over hears it with the first order.
TOLD_CHANGE: Final = 1.5
#: Limits that are kept at most, the newest ones.
MOST_LIMITS: Final = 4_096


@dataclass(frozen=True, kw_only=True)
class NoteRateLimits:
    """Targets named limits, or named none any more."""

    kind: Literal["note-rate-limits"] = "note-rate-limits"
    #: What they said.
    words: tuple[RateWord, ...]


@dataclass(frozen=True, kw_only=True)
class RateLimitsNoted:
    """The reply."""

    kind: Literal["rate-limits-noted"] = "rate-limits-noted"
    #: Whether the command changed anything.
    is_changed: bool


@dataclass(frozen=True, kw_only=True)
class RateLimitList:
    """All limits at a revision; what boxes are told, and what a snapshot holds."""

    #: Number of changes that led there; a lower one is older.
    revision: int = 0
    #: The limits that hold.
    words: tuple[RateWord, ...] = ()


class RateLimitRegistry:
    """Applies what is noted of limits."""

    def __init__(self, snapshot: RateLimitList | None = None) -> None:
        start = snapshot or RateLimitList()
        self.revision = start.revision
        self._words = {word.named: word for word in start.words}

    def list_all(self) -> RateLimitList:
        """Return all limits."""
        return RateLimitList(revision=self.revision, words=tuple(self._words.values()))

    def apply(self, command: NoteRateLimits) -> RateLimitsNoted:
        """Apply one command."""
        before = dict(self._words)
        for word in command.words:
            self._words.pop(word.named, None)
            if word.rate is not None:
                self._words[word.named] = RateWord(named=word.named, rate=word.rate)
        for named in list(self._words)[:-MOST_LIMITS]:
            del self._words[named]
        return RateLimitsNoted(is_changed=self._note_change(before))

    def forget(self, target: str, start: int = -1) -> None:
        """Forget the limits of a target, but for one start of it."""
        before = dict(self._words)
        for named in before:
            if named.target == target and named.start != start:
                del self._words[named]
        self._note_change(before)

    def _note_change(self, before: dict[TargetStart, RateWord]) -> bool:
        is_changed = before != self._words
        self.revision += is_changed
        return is_changed


def list_changes(before: RateLimitList, after: RateLimitList) -> tuple[RateWord, ...]:
    """Return what one list says otherwise than an older one: heard by some box just now."""
    old = {word.named: word.rate for word in before.words}
    new = {word.named: word.rate for word in after.words}
    return tuple(
        RateWord(named=named, rate=new.get(named))
        for named in old.keys() | new.keys()
        if old.get(named) != new.get(named)
    )


def list_untold(book: RateLimitBook, told: RateLimitList, now: float) -> tuple[RateWord, ...]:
    """Return what a box has heard that all boxes should be told.

    Args:
        book: what it has heard.
        told: what all are told so far.
        now: the time by the box's clock.
    """
    rates = {word.named: word.rate for word in told.words}
    heard = {word.named: word for word in book.list_words(now)}
    begun = [word for word in heard.values() if _differs(rates.get(word.named), word.rate)]
    ended = [named for named in rates if named not in heard and book.knows(named)]
    return (*begun, *(RateWord(named=named, rate=None) for named in ended))


def _differs(told: float | None, heard: float | None) -> bool:
    """Tell whether a rate differs from the one that all were told."""
    if told is None or heard is None:
        return told != heard
    low, high = sorted((told, heard))
    return high > TOLD_CHANGE * low
