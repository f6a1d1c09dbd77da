"""Targets of pipelines that named rate limits."""

import logging
import threading
from collections.abc import Collection, Mapping
from typing import Final, Protocol

from damsonlane.backoff import TargetStart
from damsonlane.ratelimit import (
    Permit,
    PermitOrder,
    RateLimitBook,
    RateLimitList,
    RateWord,
    list_changes,
)
from damsonlane.routing import Standing
from damsonlane_rpc import PermitRequest
from damsonlaned.clock import read_clock

_LOG: Final = logging.getLogger(__name__)

#: Seconds for which limited targets get nothing where control does not answer.
UNANSWERED_SECONDS: Final = 0.5
#: Least time between two orders for a target where others take the request, in seconds.
LEAST_PAUSE_SECONDS: Final = 0.02


class PermitSource(Protocol):
    """Reaches whoever issues permits."""

    def ask(self, request: PermitRequest) -> tuple[Permit, ...] | None:
        """Return permits; None without an answer in time."""

    def tell(self, word: RateWord) -> None:
        """Tell what a target said, without waiting."""


class NoPermits:
    """Issues nothing: a box without control sends nothing to limited targets."""

    def ask(self, _: PermitRequest) -> None:
        """Return no permits."""

    def tell(self, _: RateWord) -> None:
        """Tell nobody."""


class LimitedTargets:
    """What targets named, and the permits that control issues; safe for many threads.

    Args:
        source: issues permits.
    """

    def __init__(self, source: PermitSource) -> None:
        self._source: Final = source
        self._book: Final = RateLimitBook()
        self._listed = RateLimitList(revision=-1)
        self._at_rate_until: dict[TargetStart, float] = {}
        self._lock: Final = threading.Lock()

    def note(
        self, service: str, target: str, address: str, rate: float | None, *, may_end: bool
    ) -> None:
        """Take what the head of an answer says.

        Args:
            service: the service of the target.
            target: its name.
            address: its address.
            rate: requests a second that it takes; None where it names no limit.
            may_end: whether an answer of this kind ends a limit that it does not name.
        """
        named = name_target(service, target, address)
        if rate is None and not may_end:
            return
        word = RateWord(named=named, rate=rate)
        if self._note(word):
            self._source.tell(word)

    def put(self, newer: RateLimitList) -> None:
        """Take the list of control: what is new there was heard by another box just now."""
        if newer.revision <= self._listed.revision:
            return
        before, self._listed = self._listed, newer
        for word in list_changes(before, newer):
            self._note(word)

    def list_limited(
        self, service: str, standings: Mapping[str, Standing]
    ) -> dict[str, TargetStart]:
        """Return those of some targets of a service that named a limit, by their names."""
        with self._lock:
            if self._book.is_empty():
                return {}
            starts = {
                name: name_target(service, name, standing.address)
                for name, standing in standings.items()
            }
            return {name: named for name, named in starts.items() if self._book.is_limited(named)}

    def list_at_rate(self, limited: Mapping[str, TargetStart]) -> set[str]:
        """Return the targets that had what they named when this box asked last."""
        now = read_clock()
        with self._lock:
            return {
                name for name, named in limited.items() if self._at_rate_until.get(named, 0) > now
            }

    def find_wait(self, limited: Collection[TargetStart]) -> float:
        """Return how long all of some targets have what they named, as far as is known."""
        now = read_clock()
        with self._lock:
            waits = [self._at_rate_until.get(named, now) - now for named in limited]
        return max(0.0, min(waits, default=0.0))

    def ask(self, service: str, targets: tuple[TargetStart, ...], *, is_last: bool) -> Permit:
        """Return the permit for one request.

        Args:
            service: the service.
            targets: those that could get the request, the best one first.
            is_last: whether the request is refused without a permit.
        """
        now = read_clock()
        with self._lock:
            words = tuple(self._book.find_word(named, now) for named in targets)
        order = PermitOrder(number=0, targets=targets, is_last=is_last)
        permits = self._source.ask(PermitRequest(service=service, orders=(order,), words=words))
        if not permits:
            permit = Permit(
                number=0, wait_seconds=UNANSWERED_SECONDS, return_seconds=UNANSWERED_SECONDS
            )
        else:
            permit = permits[0]
        for word in permit.words:
            self._note(word)
        if not permit.target:
            until = now + max(LEAST_PAUSE_SECONDS, permit.wait_seconds)
            with self._lock:
                self._at_rate_until.update(dict.fromkeys(targets, until))
        return permit

    def _note(self, word: RateWord) -> bool:
        with self._lock:
            is_news = self._book.note(word, read_clock())
        if is_news:
            _LOG.info("rate limit named", extra={"target": word.named.target, "rate": word.rate})
        return is_news


def name_target(service: str, target: str, address: str) -> TargetStart:
    """Return the name under which all boxes speak of a pipeline's target; it tells no start."""
    return TargetStart(target=f"{service}/{target}", address=address)
