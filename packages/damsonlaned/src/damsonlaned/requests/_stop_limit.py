"""The end of an entry that stops, as a limit of the requests that it serves."""

import asyncio
import contextlib
import math
from collections.abc import Iterator
from typing import Final

from damsonlane.lateness import AnswerDurations
from damsonlaned.gateway._call import Call

#: Share of answers that are shorter than their forecast.  A request that is refused goes to another
#: entry, while one that is cut has run in vain, so it is high.
FORECAST_QUANTILE: Final = 0.9


class StopLimit:
    """Ends requests with an answer before their entry ends, and finds those that can't complete."""

    def __init__(self) -> None:
        self._durations: Final = AnswerDurations(FORECAST_QUANTILE, math.inf)
        self._timeouts: Final[set[asyncio.Timeout]] = set()
        self._ends_at = math.inf

    def begin(self, ends_at: float) -> None:
        """Limit all requests, those that are served and those that come.

        Args:
            ends_at: time by which they have their answers, by the loop's clock.
        """
        self._ends_at = ends_at
        for timeout in self._timeouts:
            self._shorten(timeout)

    def has_begun(self) -> bool:
        """Return whether the entry stops."""
        return self._ends_at < math.inf

    def has_ended(self) -> bool:
        """Return whether requests are ended since the entry stops."""
        return asyncio.get_running_loop().time() >= self._ends_at

    @contextlib.contextmanager
    def apply(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Shorten the time-out of a request if the entry stops before."""
        self._timeouts.add(timeout)
        self._shorten(timeout)
        try:
            yield
        finally:
            self._timeouts.discard(timeout)

    def record_duration(self, call: Call, seconds: float) -> None:
        """Record the seconds from sending a request to the end of its answer."""
        tokens = call.request.max_output_tokens
        self._durations.record(call.route.name, tokens, seconds, _now())

    def find_overrun(self, call: Call, stage_seconds: float) -> str | None:
        """Return why a request can't complete before the entry ends; None if it can.

        Args:
            call: the request.
            stage_seconds: the estimated time until it is sent, in seconds.
        """
        if not self.has_begun():
            return None
        tokens = call.request.max_output_tokens
        seconds = self._durations.find_seconds(call.route.name, tokens, _now())
        if seconds is None:
            seconds = call.route.aim_seconds
        if _now() + stage_seconds + seconds <= self._ends_at:
            return None
        return f"this entry stops, and the answer may take {stage_seconds + seconds:.2f} s"

    def _shorten(self, timeout: asyncio.Timeout) -> None:
        when = timeout.when()
        if not timeout.expired() and (when is None or when > self._ends_at):
            timeout.reschedule(self._ends_at)


def _now() -> float:
    return asyncio.get_running_loop().time()
