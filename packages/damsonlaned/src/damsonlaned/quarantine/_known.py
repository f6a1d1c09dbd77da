"""The list of control as this process holds it; it only ever moves forward."""

import logging
from collections.abc import Callable
from typing import Final

from damsonlane.quarantine import QuarantineList

_LOG: Final = logging.getLogger(__name__)


class KnownQuarantine:
    """Which requests are kept from targets, as control last said."""

    def __init__(self) -> None:
        #: The newest list; revision -1 until one was heard.
        self.newest = QuarantineList(revision=-1)
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the list."""
        self._listeners.append(listener)

    def put(self, newer: QuarantineList) -> None:
        """Take a list over, unless it is older than what is held."""
        if newer.revision <= self.newest.revision:
            return
        before, self.newest = self.newest, newer
        if before.held != newer.held:
            held = [request.fingerprint for request in newer.held]
            fields = {"held": held, "revision": newer.revision}
            _LOG.warning("requests kept from targets", extra=fields)
        for listener in self._listeners:
            listener()
