"""Whether targets got more than the rate limits that they named, added up over all entries."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane_bench.soak._guarantees import promise
from damsonlane_bench.soak._observations import Arrival, Naming, RunJournal, TargetRun

#: Seconds over which requests are counted, how often a rate fits into them, and how many more.
WINDOW_SECONDS: Final = 4.0
TIMES: Final = 1.5
MORE: Final = 5.0
#: Seconds after the first word of a target from which its limit holds for all.
KNOWN_SECONDS: Final = 3.0
#: Seconds after an entry was told from which its requests count.
TOLD_SECONDS: Final = 0.5


@dataclass(frozen=True, kw_only=True)
class _Told:
    """When an entry was told of a limit, and when something happened to it."""

    #: Heads by which it was told, in order.
    at: Sequence[float]
    #: Faults that began or ended there, in order.
    disturbed: Sequence[float]

    def knew(self, at: float) -> bool:
        """Tell whether the entry had been told half a second before, with no fault since."""
        index = bisect_right(self.at, at - TOLD_SECONDS)
        if index == 0:
            return False
        since = self.at[index - 1]
        return bisect_left(self.disturbed, since) == bisect_left(self.disturbed, at)


@promise("a target gets no more than it names from all entries together")
def _look_for_excess(journal: RunJournal, runs: Sequence[TargetRun]) -> Iterator[str]:
    for target in {naming.target for naming in journal.namings}:
        namings = [naming for naming in journal.namings if naming.target == target]
        namings.sort(key=lambda naming: naming.at)
        arrivals = [arrival for arrival in journal.arrivals if arrival.target == target]
        counted = [arrival.at for arrival in arrivals if _is_counted(arrival, namings, journal)]
        stops = _list_stops(target, journal)
        worst = _find_worst(sorted(counted), namings, stops)
        if worst:
            yield f"{target}: {worst}"


def _is_counted(arrival: Arrival, namings: Sequence[Naming], journal: RunJournal) -> bool:
    """Tell whether a request came from an entry that had been told.

    Calls to pools do not name who sent them: there any entry may have been told, and any fault
    of an entry may have ended what it knew.
    """
    told = _Told(
        at=[
            naming.at
            for naming in namings
            if naming.entry == arrival.entry and naming.rate is not None
        ],
        disturbed=sorted(
            disturbance.at
            for disturbance in journal.disturbances
            if disturbance.process == arrival.entry or not arrival.entry
        ),
    )
    return told.knew(arrival.at)


def _list_stops(target: str, journal: RunJournal) -> Sequence[float]:
    """Return when faults began or ended at targets of the same service.

    What was sent to one that is frozen comes to it all at once when it goes on.
    """
    service = target.rpartition("-")[0]
    return sorted(
        disturbance.at
        for disturbance in journal.disturbances
        if disturbance.process.rpartition("-")[0] == service
    )


def _find_worst(counted: Sequence[float], namings: Sequence[Naming], stops: Sequence[float]) -> str:
    """Return the worst of the four seconds in which too much came; empty where there are none."""
    worst = ""
    most = 0.0
    for begin in counted:
        rate = _find_rate(namings, begin)
        is_stopped = bisect_left(stops, begin) != bisect_left(stops, begin + WINDOW_SECONDS)
        if rate is None or is_stopped:
            continue
        count = bisect_left(counted, begin + WINDOW_SECONDS) - bisect_left(counted, begin)
        allowed = TIMES * rate * WINDOW_SECONDS + MORE
        if count - allowed > most:
            most = count - allowed
            worst = f"{count} in four seconds with a limit of {rate} a second, {allowed:g} allowed"
    return worst


def _find_rate(namings: Sequence[Naming], begin: float) -> float | None:
    """Return the highest rate that held in four seconds; None where at some time none did.

    What was said last before them still held when they began.
    """
    times = [naming.at for naming in namings]
    limited = [naming for naming in namings if naming.rate is not None]
    if not limited or begin < limited[0].at + KNOWN_SECONDS:
        return None
    first = max(0, bisect_right(times, begin) - 1)
    said = [naming.rate for naming in namings[first : bisect_right(times, begin + WINDOW_SECONDS)]]
    rates = [rate for rate in said if rate is not None]
    return max(rates) if rates and len(rates) == len(said) else None
