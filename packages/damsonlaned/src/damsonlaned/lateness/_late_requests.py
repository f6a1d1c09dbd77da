"""The policy of one entry for late requests, with its log lines and metrics."""

import asyncio
import logging
from collections.abc import Mapping
from typing import Final

from damsonlane.lateness import AnswerDurations
from damsonlane.settings import LatePolicy
from damsonlaned.metrics import Metrics

_LOG: Final = logging.getLogger(__name__)


class LateRequests:
    """Forecasts the ends of answers, and counts requests that are served late.

    With the policy ``refuse`` it learns, forecasts and records nothing.

    Args:
        policy: what becomes of requests that miss their latency objective.
        metrics: metrics of the process.
    """

    def __init__(self, policy: LatePolicy, metrics: Metrics) -> None:
        #: Whether requests that miss their latency objective are served.
        self.are_served: Final = policy == "serve"
        self._metrics: Final = metrics
        self._durations: Final = AnswerDurations()

    def record_duration(self, route: str, tokens: int, seconds: float) -> None:
        """Record the duration of a complete answer.

        Args:
            route: name of the route.
            tokens: output tokens that the request allowed; 0 if unknown.
            seconds: time from the first event to the end of a stream, or from sending the request
                to the end of another answer.
        """
        if self.are_served:
            self._durations.record(route, tokens, seconds, _now())

    def find_duration(self, route: str, tokens: int) -> float | None:
        """Return the forecast duration of an answer in seconds; None while nothing is learned."""
        return self._durations.find_seconds(route, tokens, _now()) if self.are_served else None

    def record_served(self, route: str, fields: Mapping[str, object], seconds: float) -> None:
        """Record a request that was served late.

        Args:
            route: name of the route.
            fields: log fields of the request.
            seconds: time by which it missed its latency objective.
        """
        if self.are_served:
            self._metrics.served_late.inc({"route": route})
            _LOG.info("served late", extra={**fields, "late_seconds": round(seconds, 3)})

    def record_refused(
        self, route: str, fields: Mapping[str, object], left_seconds: float, reason: str
    ) -> None:
        """Record a request that was refused since it can't end before its deadline.

        Args:
            route: name of the route.
            fields: log fields of the request.
            left_seconds: time until its deadline.
            reason: what would take longer.
        """
        if self.are_served:
            self._metrics.cannot_end.inc({"route": route})
            extra = {**fields, "left_seconds": round(left_seconds, 3), "reason": reason}
            _LOG.info("refused, since it can't end in time", extra=extra)


def _now() -> float:
    return asyncio.get_running_loop().time()
