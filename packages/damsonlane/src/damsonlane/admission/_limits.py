"""Limits of the requests in flight, shared among organisations."""

from dataclasses import dataclass
from typing import Final

from damsonlane.settings import Lane

#: Seconds after its last request for which an organisation still counts in the shares.
ACTIVE_SECONDS: Final = 5.0


@dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """A request for admission, with the settings that apply to it."""

    #: The organisation.
    organisation: str
    #: Its lane; each lane has a limit of its own.
    lane: Lane
    #: Weight of the organisation.
    weight: float
    #: Limit of requests of the lane in flight at this entry.
    limit: int
    #: Limit of requests of the organisation in flight at this entry, over all lanes; 0 for none.
    own_limit: int = 0


@dataclass
class _Usage:
    """Usage of one lane by one organisation; mutable."""

    in_flight: int = 0
    weight: float = 1.0
    seen_at: float = 0.0


class InFlightLimits:
    """Shares the limit of each lane among organisations by weight.

    An organisation below its share is always admitted.  Beyond its share it is admitted while the
    lane as a whole is below its limit.  Thus unused shares can be borrowed, but are available to
    their organisation at any time, and a lane may exceed its limit for a while, up to twice the
    limit.
    """

    def __init__(self) -> None:
        self._lanes: dict[Lane, dict[str, _Usage]] = {}

    def try_acquire(self, request: AdmissionRequest, now: float) -> bool:
        """Admit a request if the limits allow it; return whether it was admitted.

        Each admitted request must be followed by a call of `release`.
        """
        if 0 < request.own_limit <= self._count_own(request.organisation):
            return False
        lane = self._lanes.setdefault(request.lane, {})
        usage = lane.setdefault(request.organisation, _Usage())
        usage.weight = request.weight
        usage.seen_at = now
        total = sum(other.in_flight for other in lane.values())
        if usage.in_flight >= self._share(lane, usage, request.limit, now):
            if total >= request.limit:
                return False
        elif total >= 2 * request.limit:
            return False
        usage.in_flight += 1
        return True

    def release(self, request: AdmissionRequest) -> None:
        """Count an admitted request as completed."""
        self._lanes[request.lane][request.organisation].in_flight -= 1

    def in_flight(self) -> int:
        """Return the number of requests in flight over all lanes."""
        return sum(usage.in_flight for lane in self._lanes.values() for usage in lane.values())

    def _count_own(self, organisation: str) -> int:
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
