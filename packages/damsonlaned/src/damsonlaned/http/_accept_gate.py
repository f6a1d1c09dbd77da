"""Admission of new connections by the delay of the event loop."""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final, Protocol

_LOG: Final = logging.getLogger(__name__)

#: Average delay of the event loop beyond which new connections are closed unread, in seconds.
#: A request takes about ten turns of the loop, so it is served within a few tenths of a second.
MAX_DELAY_SECONDS: Final = 0.03
#: Time constant of the average, in seconds: one long turn of the loop is no crowd.
AVERAGE_SECONDS: Final = 0.1
#: Age from which a measured delay says nothing about now, in seconds.
STALE_SECONDS: Final = 0.25


class ConnectionGate(Protocol):
    """Decides whether new connections are served."""

    def admit(self) -> bool:
        """Return whether a new connection should be served; otherwise it is closed unread."""


class AcceptGate:
    """Closes new connections unread while the event loop is late.

    A box that reads more requests than it can serve spends its time on requests that it refuses
    later.  A caller whose connection is closed unread goes to another box at once.

    Args:
        on_closed: called for each connection that is to be closed.
    """

    def __init__(self, on_closed: Callable[[], None] = lambda: None) -> None:
        self._on_closed: Final = on_closed
        self._delay = 0.0
        self._measured_at = -math.inf
        self._is_measuring = False
        self._is_crowded = False
        self._closed_count = 0

    def admit(self) -> bool:
        """Return whether a new connection should be served."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if not self._is_measuring:
            self._is_measuring = True
            loop.call_soon(self._record, now)
        is_late = self._delay > MAX_DELAY_SECONDS and now - self._measured_at < STALE_SECONDS
        if is_late:
            self._closed_count += 1
            self._on_closed()
        self._log_change(is_late)
        return not is_late

    def _record(self, began_at: float) -> None:
        """Record the delay of a callback that was scheduled at a time."""
        self._is_measuring = False
        now = asyncio.get_running_loop().time()
        weight = 1.0 - math.exp(-(now - self._measured_at) / AVERAGE_SECONDS)
        self._delay += weight * (now - began_at - self._delay)
        self._measured_at = now

    def _log_change(self, is_late: bool) -> None:
        if is_late == self._is_crowded:
            return
        self._is_crowded = is_late
        if is_late:
            fields = {"delay_seconds": round(self._delay, 4)}
            _LOG.info("closing new connections unread: the event loop is late", extra=fields)
        else:
            _LOG.info("accepting new connections again", extra={"closed": self._closed_count})
            self._closed_count = 0
