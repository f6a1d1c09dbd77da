"""What the owner of a service's targets has done since it was last asked."""

from typing import Final

from damsonlane.records import dataclass
from damsonlaned.clock import read_clock


@dataclass(frozen=True, kw_only=True)
class OwnerActivity:
    """Work of one owner in an interval."""

    #: Pieces that were ordered, or prompts that were placed.
    orders: int = 0
    #: Calls sent to targets.
    calls: int = 0
    #: Searches for pieces to send.
    searches: int = 0
    #: Seconds that these took.
    search_seconds: float = 0.0


class ActivityMeter:
    """Counts the work of one owner."""

    def __init__(self) -> None:
        self._orders = 0
        self._calls = 0
        self._searches = 0
        self._search_seconds = 0.0
        self._search_began_at = 0.0

    def record_orders(self, count: int) -> None:
        """Count pieces that were ordered, or prompts that were placed."""
        self._orders += count

    def record_call(self) -> None:
        """Count a call to a target."""
        self._calls += 1

    def __enter__(self) -> None:
        """Begin a search for pieces to send."""
        self._search_began_at = read_clock()

    def __exit__(self, *_: object) -> None:
        """End the search."""
        self._searches += 1
        self._search_seconds += read_clock() - self._search_began_at

    def take(self) -> OwnerActivity:
        """Return the work since the last call of this method."""
        taken: Final = OwnerActivity(
            orders=self._orders,
            calls=self._calls,
            searches=self._searches,
            search_seconds=self._search_seconds,
        )
        self._orders = self._calls = self._searches = 0
        self._search_seconds = 0.0
        return taken
