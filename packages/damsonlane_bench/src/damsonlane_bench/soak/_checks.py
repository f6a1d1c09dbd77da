"""Checks of the guarantees on responses, versions, quarantine, announcements and exits."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final

from damsonlane_bench.registered_target._events import render_stream, strip_versions
from damsonlane_bench.soak._guarantees import guarantee
from damsonlane_bench.soak._observations import Arrival, Observations, TargetRun

#: Seconds without a fault after which all boxes know what one of them knew before.
PROPAGATION_SECONDS: Final = 3.0
#: Number of targets that may exit on a request before it is quarantined.
EXITS_TO_QUARANTINE: Final = 3
#: Maximum number of further exits on it, counted once all boxes know that it is quarantined.
MAX_FURTHER_EXITS: Final = 3
#: Seconds after a target's announcement of back-off in which requests in flight may still arrive.
IN_FLIGHT_SECONDS: Final = 0.5
#: The same for the announcement that a target is draining.
DRAINING_IN_FLIGHT_SECONDS: Final = 2.0
#: Maximum number of requests that may arrive later still.
MAX_LATE_REQUESTS: Final = 2
#: The same for calls to pools, which do not say which of two entries sent them: both may have
#: received the announcement, the second one in the response to its first call.
MAX_LATE_POOL_CALLS: Final = 2 * MAX_LATE_REQUESTS + 1
#: Part of the ids of requests that share a part of their prompts that crashes engines.
SHARED_PART_NAME: Final = "sharedpart"
#: Routes whose requests run at most once.
AT_MOST_ONCE_ROUTES: Final = ("refund", "note")
#: Statuses that promise that a request has not run and never will.
PROMISE_STATUSES: Final = (408, 421, 429, 503)
#: Route whose responses are event streams.
STREAM_ROUTE: Final = "chat"

#: Body of a complete stream.
COMPLETE_STREAM: Final = render_stream()


@guarantee("a non-repeatable request runs at most once")
def _check_at_most_once(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    counts = Counter(run.request for run in runs)
    for request, count in counts.items():
        if request.startswith(AT_MOST_ONCE_ROUTES) and count > 1:
            yield f"{request} ran {count} times"


@guarantee("a refused request did not run")
def _check_refusals(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    ran = {run.request for run in runs}
    for response in observations.responses:
        if (
            response.route in AT_MOST_ONCE_ROUTES
            and response.status in PROMISE_STATUSES
            and response.request in ran
        ):
            yield f"{response.request} was refused but ran"


@guarantee("a response is complete and belongs to its request")
def _check_responses(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    ran = {run.request for run in runs}
    for response in observations.responses:
        if response.status != 200:
            continue
        if response.request not in ran:
            yield f"{response.request} was answered but never ran"
        body = strip_versions(response.body)
        if response.route == STREAM_ROUTE and not COMPLETE_STREAM.startswith(body):
            yield f"{response.request} has missing or duplicate events: {response.body!r:.200}"
        if response.route == STREAM_ROUTE and response.is_complete and body != COMPLETE_STREAM:
            yield f"{response.request} ended normally before its last event"


@guarantee("a read returns no older version than the acknowledged one")
def _check_version_reads(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    for read in observations.version_reads:
        if read.returned < read.acknowledged:
            yield f"version {read.returned} was read after {read.acknowledged} was acknowledged"


@guarantee("a request that crashes targets is quarantined")
def _check_quarantine(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    exit_times = sorted(
        run.at for run in runs if run.is_crash and SHARED_PART_NAME not in run.request
    )
    if len(exit_times) <= EXITS_TO_QUARANTINE:
        return
    known_at = exit_times[EXITS_TO_QUARANTINE - 1] + PROPAGATION_SECONDS
    fault_times = sorted(event.at for event in observations.fault_events)
    late = [at for at in exit_times if at > known_at and is_settled(at, fault_times)]
    if len(late) > MAX_FURTHER_EXITS:
        yield f"{len(late)} more targets exited on one request, {len(exit_times)} in all"


def is_settled(at: float, fault_times: Sequence[float]) -> bool:
    """Return whether no fault began or ended during the propagation time before a moment."""
    index = bisect_left(fault_times, at)
    return index == 0 or at - fault_times[index - 1] > PROPAGATION_SECONDS


@guarantee("an entry sends nothing to a target that announced back-off or draining")
def _check_announcements(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    pairs: dict[tuple[str, str], list[Arrival]] = {}
    for arrival in observations.arrivals:
        pairs.setdefault((arrival.entry, arrival.target), []).append(arrival)
    for (entry, target), arrivals in pairs.items():
        fault_times = sorted(
            event.at for event in observations.fault_events if event.process == entry or not entry
        )
        limit = MAX_LATE_REQUESTS if entry else MAX_LATE_POOL_CALLS
        counts = [_count_ignoring(announced, arrivals, fault_times) for announced in arrivals]
        if max(counts) > limit:
            yield f"{entry or 'owners of a pool'}: {max(counts)} to {target} after it announced"


def _count_ignoring(
    announced: Arrival, arrivals: Sequence[Arrival], fault_times: Sequence[float]
) -> int:
    """Return the number of requests whose sender ignored an announcement that it had received."""
    return sum(
        _ignores(later, announced, fault_times)
        and not _may_be_of_another(later, announced, arrivals)
        for later in arrivals
    )


def _may_be_of_another(later: Arrival, announced: Arrival, arrivals: Sequence[Arrival]) -> bool:
    """Return whether a call to a pool may come from an entry whose back-off has passed.

    Calls to pools do not say which entry sent them.  If another call received the same
    announcement shortly before, its sender may send again while the sender of this one may not.
    """
    if later.entry:
        return False
    return any(
        other.backoff_seconds > 0
        and announced.at - announced.backoff_seconds
        < other.at
        < announced.at
        < other.at + other.backoff_seconds
        <= later.at
        for other in arrivals
    )


def _ignores(later: Arrival, announced: Arrival, fault_times: Sequence[float]) -> bool:
    """Return whether a request came though its sender had received the announcement.

    A fault in between may have restarted the sender, which then has lost the announcement.
    """
    begins, ends = announced.at + IN_FLIGHT_SECONDS, announced.at + announced.backoff_seconds
    if announced.is_draining:
        begins, ends = announced.at + DRAINING_IN_FLIGHT_SECONDS, float("inf")
    if not begins < later.sent_at < ends:
        return False
    return bisect_left(fault_times, announced.at) == bisect_left(fault_times, later.sent_at)


@guarantee("control replicas and entries do not exit by themselves")
def _check_exits(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    yield from observations.unexpected_exits
