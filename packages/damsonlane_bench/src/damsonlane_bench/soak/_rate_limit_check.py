"""Check that the requests of all entries together stay within the rate limits of targets."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane_bench.soak._guarantees import guarantee
from damsonlane_bench.soak._observations import (
    Arrival,
    Observations,
    RateLimitAnnouncement,
    TargetRun,
)

#: Length of the window in which requests are counted, in seconds.
WINDOW_SECONDS: Final = 4.0
#: A window may hold `RATE_FACTOR` times what the rate limit allows, and `EXTRA_REQUESTS` more.
RATE_FACTOR: Final = 1.5
EXTRA_REQUESTS: Final = 5.0
#: Seconds after a target's first announcement from which its rate limit is checked.
PROPAGATION_SECONDS: Final = 3.0
#: Seconds after an entry received an announcement from which its requests count.
IN_FLIGHT_SECONDS: Final = 0.5


@dataclass(frozen=True, kw_only=True)
class _EntryKnowledge:
    """Times at which an entry received announcements, and may have lost them by a fault."""

    #: Times of responses that announced a rate limit to the entry, sorted.
    at: Sequence[float]
    #: Begins and ends of faults at the entry, sorted.
    fault_times: Sequence[float]

    def knew_limit(self, at: float) -> bool:
        """Return whether the entry had received an announcement, with no fault since.

        An announcement counts once `IN_FLIGHT_SECONDS` have passed.
        """
        index = bisect_right(self.at, at - IN_FLIGHT_SECONDS)
        if index == 0:
            return False
        since = self.at[index - 1]
        return bisect_left(self.fault_times, since) == bisect_left(self.fault_times, at)


@guarantee("all entries together stay within the rate limit of a target")
def _check_rate_limits(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    for target in {announcement.target for announcement in observations.rate_limits}:
        announcements = [
            announcement
            for announcement in observations.rate_limits
            if announcement.target == target
        ]
        announcements.sort(key=lambda announcement: announcement.at)
        arrivals = [arrival for arrival in observations.arrivals if arrival.target == target]
        counted = [
            arrival.at for arrival in arrivals if _is_counted(arrival, announcements, observations)
        ]
        fault_times = _list_service_fault_times(target, observations)
        worst = _find_worst_window(sorted(counted), announcements, fault_times)
        if worst:
            yield f"{target}: {worst}"


def _is_counted(
    arrival: Arrival, announcements: Sequence[RateLimitAnnouncement], observations: Observations
) -> bool:
    """Return whether a request came from an entry that had received an announcement.

    Calls to pools do not say which entry sent them: any entry may have received the announcement,
    and a fault at any process may have made its sender lose it.
    """
    knowledge = _EntryKnowledge(
        at=[
            announcement.at
            for announcement in announcements
            if announcement.entry == arrival.entry and announcement.rate is not None
        ],
        fault_times=sorted(
            event.at
            for event in observations.fault_events
            if event.process == arrival.entry or not arrival.entry
        ),
    )
    return knowledge.knew_limit(arrival.at)


def _list_service_fault_times(target: str, observations: Observations) -> Sequence[float]:
    """Return when faults began or ended at targets of the same service, sorted.

    Requests that were sent to a suspended target all arrive at once when it resumes.
    """
    service = target.rpartition("-")[0]
    return sorted(
        event.at
        for event in observations.fault_events
        if event.process.rpartition("-")[0] == service
    )


def _find_worst_window(
    counted: Sequence[float],
    announcements: Sequence[RateLimitAnnouncement],
    fault_times: Sequence[float],
) -> str:
    """Return a description of the window that exceeds its limit most; empty if none does."""
    worst = ""
    most = 0.0
    for begin in counted:
        rate = _find_rate(announcements, begin)
        has_fault = bisect_left(fault_times, begin) != bisect_left(
            fault_times, begin + WINDOW_SECONDS
        )
        if rate is None or has_fault:
            continue
        count = bisect_left(counted, begin + WINDOW_SECONDS) - bisect_left(counted, begin)
        allowed = RATE_FACTOR * rate * WINDOW_SECONDS + EXTRA_REQUESTS
        if count - allowed > most:
            most = count - allowed
            worst = (
                f"{count} requests in 4 s at a rate limit of {rate} per second, {allowed:g} allowed"
            )
    return worst


def _find_rate(announcements: Sequence[RateLimitAnnouncement], begin: float) -> float | None:
    """Return the highest rate limit in force in a window; None if at some time there was none.

    The last announcement before the window is in force when the window begins.
    """
    times = [announcement.at for announcement in announcements]
    limiting = [announcement for announcement in announcements if announcement.rate is not None]
    if not limiting or begin < limiting[0].at + PROPAGATION_SECONDS:
        return None
    first = max(0, bisect_right(times, begin) - 1)
    in_force = [
        announcement.rate
        for announcement in announcements[first : bisect_right(times, begin + WINDOW_SECONDS)]
    ]
    rates = [rate for rate in in_force if rate is not None]
    return max(rates) if rates and len(rates) == len(in_force) else None
