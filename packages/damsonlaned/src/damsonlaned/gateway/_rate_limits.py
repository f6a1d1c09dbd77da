"""Rate limits that targets named, and this box's part in keeping them."""

import logging
from collections.abc import Callable, Collection, Sequence
from typing import Final

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit import (
    Permit,
    PermitIssuer,
    PermitOrder,
    RateLimitBook,
    RateLimitList,
    RateWord,
    list_changes,
)
from damsonlaned.dialects import AnswerSigns

_LOG: Final = logging.getLogger(__name__)

#: Told what a target said, if it is news.
TakeWord = Callable[[RateWord], None]


class RateLimits:
    """What targets named, from whichever box heard it last, and the permits issued here.

    Args:
        clock: returns the box's time, in seconds.
        find_service: returns the service of a target; an empty string where none is known.
    """

    def __init__(
        self, clock: Callable[[], float], find_service: Callable[[TargetStart], str]
    ) -> None:
        self._clock: Final = clock
        self._find_service: Final = find_service
        self._book: Final = RateLimitBook()
        self._issuer: Final = PermitIssuer(self._book)
        self._listed = RateLimitList(revision=-1)
        self._heard_listeners: list[TakeWord] = []
        self._news_listeners: list[TakeWord] = []
        #: Returns the part of the rates of a service's targets that this box issues.
        self.find_share: Callable[[str], float] = lambda _: 1.0

    def on_heard(self, listener: TakeWord) -> None:
        """Call a function with each new word that a target says to this box."""
        self._heard_listeners.append(listener)

    def on_news(self, listener: TakeWord) -> None:
        """Call a function with each new word that a target says to this box or to another."""
        self._news_listeners.append(listener)

    # What targets and other boxes say.

    def take(self, named: TargetStart, signs: AnswerSigns, *, may_end: bool) -> None:
        """Take the head of an answer.

        Args:
            named: the target.
            signs: what the head says.
            may_end: whether an answer of this kind ends a limit that it does not name.
        """
        if signs.rate_limit is None and not (may_end and self.is_limited(named)):
            return
        word = RateWord(named=named, rate=signs.rate_limit)
        if self._note(word):
            for listener in (*self._heard_listeners, *self._news_listeners):
                listener(word)

    def learn(self, words: Sequence[RateWord]) -> None:
        """Take what another box heard."""
        for word in words:
            if self._note(word):
                for listener in self._news_listeners:
                    listener(word)

    def put(self, newer: RateLimitList) -> None:
        """Take the list of control: what is new there was heard by another box just now."""
        if newer.revision <= self.revision:
            return
        before, self._listed = self._listed, newer
        for word in list_changes(before, newer):
            self._note(word)

    @property
    def revision(self) -> int:
        """Revision of the list of control that is held; -1 for none."""
        return self._listed.revision

    def follow(self, known: Collection[TargetStart]) -> None:
        """Forget starts of targets that control lists no more, as targets or as limited."""
        kept = {*known, *(word.named for word in self._listed.words)}
        self._book.forget_others(kept, self._clock())
        self._issuer.forget_others(kept)

    # What is known.

    def is_limited(self, named: TargetStart) -> bool:
        """Tell whether a target named a limit that binds."""
        return self._book.is_limited(named)

    def find_rate(self, named: TargetStart) -> float | None:
        """Return the requests a second that a target takes; None where it names no limit."""
        return None if self._book.is_empty() else self._book.find_rate(named)

    def list_words(self) -> tuple[RateWord, ...]:
        """Return the limits that hold, as another box is told of them."""
        return () if self._book.is_empty() else self._book.list_words(self._clock())

    # Permits of this box.

    def is_owned(self, service: str) -> bool:
        """Tell whether this box issues the permits of a service for all others."""
        return self.find_share(service) >= 1.0

    def wait_seconds(self, service: str, named: TargetStart) -> float:
        """Return the seconds until this box may have one more request sent to a target."""
        if not self.is_limited(named):
            return 0.0
        return self._issuer.wait_seconds(named, self.find_share(service), self._clock())

    def take_permit(self, service: str, named: TargetStart) -> bool:
        """Count a request to a target; tell whether it may be sent."""
        if not self.is_limited(named):
            return True
        return self._issuer.take(named, self.find_share(service), self._clock())

    def gap_seconds(self, service: str, named: TargetStart) -> float:
        """Return the seconds from one request of this box to the next; 0 without a limit."""
        if not self.is_limited(named):
            return 0.0
        return self._issuer.gap_seconds(named, self.find_share(service))

    def issue(self, service: str, orders: Sequence[PermitOrder]) -> tuple[Permit, ...]:
        """Answer the orders of a box."""
        share = self.find_share(service)
        now = self._clock()
        return tuple(self._issuer.issue(service, order, share, now) for order in orders)

    def _note(self, word: RateWord) -> bool:
        is_news = self._book.note(word, self._clock())
        if is_news:
            # From now on a place comes free, whether or not somebody wants it yet.
            self.wait_seconds(self._find_service(word.named), word.named)
            fields = {"target": word.named.target, "start": word.named.start}
            times = {"rate": word.rate, "age": round(word.age, 3)}
            _LOG.info("rate limit named", extra={**fields, **times})
        return is_news


class ServiceLimits:
    """The limits of one service's targets, for the box that sends all of their calls.

    Args:
        limits: those of all services.
        service: name of the service.
    """

    def __init__(self, limits: RateLimits, service: str) -> None:
        self._limits: Final = limits
        self._service: Final = service

    def wait_seconds(self, named: TargetStart) -> float:
        """Return the seconds until a target may get one more call."""
        return self._limits.wait_seconds(self._service, named)

    def take_permit(self, named: TargetStart) -> bool:
        """Count a call to a target; tell whether it may be sent."""
        return self._limits.take_permit(self._service, named)

    def gap_seconds(self, named: TargetStart) -> float:
        """Return the least seconds from one call to the next; 0 without a limit."""
        return self._limits.gap_seconds(self._service, named)
