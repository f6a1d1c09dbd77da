"""Admission of new connections by the delay of the event loop."""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final

from damsonlane.admission import ConcurrencyLimit
from damsonlaned.loop_load import LoopLoad

#: Log records keep the logger name that operators filter by.
_LOG: Final = logging.getLogger("damsonlaned.http._accept_gate")

#: Average delay of the event loop beyond which new connections are closed unread, in seconds.
#: A request takes about ten turns of the loop, so it is served within a few tenths of a second.
MAX_DELAY_SECONDS: Final = 0.03
#: Time constant of the average, in seconds: one long turn of the loop is no crowd.
AVERAGE_SECONDS: Final = 0.1
#: Time constant of the load by which connections are admitted, in seconds.
LOAD_AVERAGE_SECONDS: Final = 0.3
#: Load from which a late event loop limits the requests in progress.  A box that is late for a
#: moment with time to spare closes connections for that moment only.
FULL_LOAD: Final = 0.9
#: Seconds between two adjustments of the rate.
STEP_SECONDS: Final = 0.1
#: Load that is added while the event loop is late, since the measured one cannot exceed 1.
LATE_LOAD: Final = 1.0
#: Age from which a measured delay says nothing about now, in seconds.
STALE_SECONDS: Final = 0.25


class AcceptGate:
    """Closes new connections unread while the box has no processor time for them.

    A box that reads more requests than it can serve spends its time on requests that it refuses
    later, and its own time-outs expire.  A caller whose connection is closed unread goes to another
    box at once.  While the event loop is late, all are closed; after that, those beyond the
    requests in progress that the box has processor time for.

    Args:
        on_closed: called for each connection that is to be closed.
        count_in_flight: returns the number of requests in progress, and of connections that may
            bring another one at any moment.
        find_cores: returns the capacity of the box, in cores; 0 if unknown.
        has_others: returns whether callers have another box to go to.
    """

    def __init__(
        self,
        on_closed: Callable[[], None] = lambda: None,
        count_in_flight: Callable[[], int] = lambda: 0,
        find_cores: Callable[[], float] = lambda: 0.0,
        has_others: Callable[[], bool] = lambda: True,
    ) -> None:
        self._on_closed: Final = on_closed
        self._count_in_flight: Final = count_in_flight
        self._find_cores: Final = find_cores
        self._has_others: Final = has_others
        self._delay = 0.0
        self._measured_at = -math.inf
        self._is_measuring = False
        self._limit: Final = ConcurrencyLimit()
        self._load: Final = LoopLoad(LOAD_AVERAGE_SECONDS)
        self._sampled_at = -math.inf
        self._load_share = 0.0
        self._is_closing = False
        self._closed_count = 0

    def admit(self) -> bool:
        """Return whether a new connection should be served."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if not self._is_measuring:
            self._is_measuring = True
            loop.call_soon(self._record, now)
        is_late = self._delay > MAX_DELAY_SECONDS and now - self._measured_at < STALE_SECONDS
        if now - self._sampled_at >= STEP_SECONDS:
            self._sampled_at = now
            self._adjust(now, is_late=is_late)
        is_admitted = not is_late and (
            self._limit.most is None or self._limit.admits(self._count_in_flight(), now)
        )
        if not is_admitted:
            self._limit.record_closed(now)
            self._closed_count += 1
            self._on_closed()
        self._log_change(is_closing=is_late or self._limit.most is not None)
        return is_admitted

    def _record(self, began_at: float) -> None:
        """Record the delay of a callback that was scheduled at a time."""
        self._is_measuring = False
        now = asyncio.get_running_loop().time()
        weight = 1.0 - math.exp(-(now - self._measured_at) / AVERAGE_SECONDS)
        self._delay += weight * (now - began_at - self._delay)
        self._measured_at = now

    def _adjust(self, now: float, *, is_late: bool) -> None:
        """Adjust the limit of requests in progress to the load of the box."""
        self._load_share = self._load.sample(self._find_cores())
        if self._limit.most is not None:
            load = self._load_share + LATE_LOAD if is_late else self._load_share
            self._limit.adjust(load, self._count_in_flight(), now)
        elif is_late and self._load_share >= FULL_LOAD and self._has_others():
            self._limit.begin(self._count_in_flight(), now)

    def _log_change(self, *, is_closing: bool) -> None:
        if is_closing == self._is_closing:
            return
        self._is_closing = is_closing
        if is_closing:
            fields = {
                "delay_seconds": round(self._delay, 4),
                "load": round(self._load_share, 3),
                "in_flight": self._count_in_flight(),
            }
            _LOG.info("closing new connections unread: the event loop is late", extra=fields)
        else:
            _LOG.info("accepting new connections again", extra={"closed": self._closed_count})
            self._closed_count = 0
