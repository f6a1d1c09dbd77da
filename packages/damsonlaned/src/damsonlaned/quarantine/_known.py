"""The newest list of quarantined requests that control sent to this process."""

import logging
from collections.abc import Callable
from typing import Final

from damsonlane.quarantine import QuarantineList

_LOG: Final = logging.getLogger(__name__)


class KnownQuarantine:
    """The quarantined requests, as last received from control.

    An older list never replaces a newer one.
    """

    def __init__(self) -> None:
        #: The newest list; revision -1 until one was received.
        self.newest = QuarantineList(revision=-1)
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after each change of the list."""
        self._listeners.append(listener)

    def put(self, newer: QuarantineList) -> None:
        """Replace the list, unless the given one is not newer."""
        if newer.revision <= self.newest.revision:
            return
        before, self.newest = self.newest, newer
        if before.held != newer.held:
            quarantined = ["+".join(request.names) for request in newer.held]
            exits = {request.fingerprint: list(request.targets) for request in newer.held}
            fields = {"held": quarantined, "exits": exits, "revision": newer.revision}
            _LOG.warning("list of quarantined requests changed", extra=fields)
        for listener in self._listeners:
            listener()
