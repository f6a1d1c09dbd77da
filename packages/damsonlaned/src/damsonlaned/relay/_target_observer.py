"""Tells the monitor of reach what the connections to one target show."""

from typing import TYPE_CHECKING, Final

from damsonlane.reach import FailureKind

if TYPE_CHECKING:
    from damsonlaned.relay._reach_monitor import ReachMonitor


class TargetObserver:
    """Observes the connections to one target.

    Args:
        monitor: learns what they show.
        service: service of the target.
        target: its name.
    """

    def __init__(self, monitor: "ReachMonitor", service: str, target: str) -> None:
        self._monitor: Final = monitor
        self._service: Final = service
        self._target: Final = target

    def record_reached(self, *, is_new: bool) -> None:
        """Record that bytes arrived; ``is_new`` if they are the first ones on a connection."""
        self._monitor.record_reached(self._service, is_new=is_new)

    def record_failed(self, kind: FailureKind) -> None:
        """Record that the target was not reached."""
        self._monitor.record_failed(self._service, self._target, kind)

    def record_response(self, seconds: float) -> None:
        """Record after how many seconds the head of a response came."""
        self._monitor.record_response(self._service, seconds)

    def record_silent(self, sent_at: float) -> None:
        """Record a request without a response."""
        self._monitor.record_silent(self._service, self._target, sent_at)

    def record_extra_bytes(self) -> None:
        """Record bytes after a whole response."""
        self._monitor.record_extra_bytes(self._service, self._target)
