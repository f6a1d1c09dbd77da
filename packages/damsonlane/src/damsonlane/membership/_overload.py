"""Decides when a box is too busy to own shared resources."""

from typing import Final

#: Load from which an owner is overloaded.  Services are divided from 0.4 on, and the load of a wave
#: doubles within a second or two, so less would hand over what a division relieves.
OVERLOAD: Final = 0.75
#: Seconds for which the load must stay above it: a division takes effect within 2 s.
OVERLOAD_SECONDS: Final = 3.0
#: Load below which a box may own resources again.
RECOVERED_LOAD: Final = 0.35
#: Seconds for which the load must stay below it.  Each change of owner disrupts requests.
RECOVERY_SECONDS: Final = 120.0


class OverloadDetector:
    """Detects by its load that a box should hand over what it owns, and when it may own again."""

    def __init__(self) -> None:
        #: Whether the box should own nothing while another box can.
        self.is_overloaded = False
        self._since: float | None = None

    def reset(self) -> bool:
        """Forget what was recorded; return whether `is_overloaded` changed."""
        was_overloaded = self.is_overloaded
        self.is_overloaded = False
        self._since = None
        return was_overloaded

    def update(self, now: float, load: float, *, is_owner: bool) -> bool:
        """Record the load; return whether `is_overloaded` changed.

        Args:
            now: the monotonic clock, in seconds.
            load: share of the processor time that the box may use which is in use.
            is_owner: whether the box owns anything.
        """
        if self.is_overloaded:
            is_due = load < RECOVERED_LOAD
            seconds = RECOVERY_SECONDS
        else:
            is_due = is_owner and load >= OVERLOAD
            seconds = OVERLOAD_SECONDS
        if not is_due:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        if now - self._since < seconds:
            return False
        self.is_overloaded = not self.is_overloaded
        self._since = None
        return True
