"""How many requests of each organisation may be in flight at once."""

from dataclasses import dataclass
from typing import Final

from damsonlane.settings import Lane

#: Seconds for which an organisation's share is kept after it was last seen.
ACTIVE_SECONDS: Final = 5.0


@dataclass(frozen=True, kw_only=True)
class Entrant:
    """A request that asks to be let in, and under which settings."""

    #: The organisation.
    organisation: str
    #: Its lane; lanes never wait for each other.
    lane: Lane
    #: Its weight among the organisations.
    weight: float
    #: Most requests of the lane in flight at this entry.
    limit: int
    #: Most requests of the organisation in flight at this entry, over all lanes; 0 for no limit.
    own_limit: int = 0


@dataclass
class _Usage:
    """What one organisation uses of one lane; mutable."""

    in_flight: int = 0
    weight: float = 1.0
    seen_at: float = 0.0


class InFlightLimits:
    """Shares each lane among organisations by weight and lends what is unused.

    An organisation within its share always enters.  Beyond it, it enters
    while the lane as a whole has room, so an idle organisation's share is
    lent out and is back as soon as it is asked for.  A lane may thus hold up
    to twice its limit for a moment, never more.
    """

    def __init__(self) -> None:
        self._lanes: dict[Lane, dict[str, _Usage]] = {}

    def try_enter(self, entrant: Entrant, now: float) -> bool:
        """Let a request in, or not; whoever entered must `leave`."""
        if 0 < entrant.own_limit <= self._own(entrant.organisation):
            return False
        lane = self._lanes.setdefault(entrant.lane, {})
        usage = lane.setdefault(entrant.organisation, _Usage())
        usage.weight = entrant.weight
        usage.seen_at = now
        total = sum(other.in_flight for other in lane.values())
        if usage.in_flight >= self._share(lane, usage, entrant.limit, now):
            if total >= entrant.limit:
                return False
        elif total >= 2 * entrant.limit:
            return False
        usage.in_flight += 1
        return True

    def leave(self, entrant: Entrant) -> None:
        """Let a request out."""
        self._lanes[entrant.lane][entrant.organisation].in_flight -= 1

    def in_flight(self) -> int:
        """Return the requests inside, over all lanes."""
        return sum(usage.in_flight for lane in self._lanes.values() for usage in lane.values())

    def _own(self, organisation: str) -> int:
        return sum(
            lane[organisation].in_flight for lane in self._lanes.values() if organisation in lane
        )

    def _share(self, lane: dict[str, _Usage], usage: _Usage, limit: int, now: float) -> float:
        weights = sum(
            other.weight
            for other in lane.values()
            if other.in_flight > 0 or now - other.seen_at < ACTIVE_SECONDS
        )
        return limit * usage.weight / weights
