"""What callers, targets and the operator saw that breaks a promise."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final

from damsonlane_bench.registered._target import EVENTS
from damsonlane_bench.soak._guarantees import promise
from damsonlane_bench.soak._observations import Arrival, RunJournal, TargetRun

#: Seconds without a fault after which all boxes know what one of them knew before.
SETTLED_SECONDS: Final = 3.0
#: Targets that may end under a request before it is known.
ENDS_TO_KNOW: Final = 3
#: Further targets that may end under it, counted once all boxes are settled.
ENDS_BEYOND: Final = 3
#: Seconds after the word of a target within which what was on its way may still come.
ON_THE_WAY_SECONDS: Final = 0.5
#: The same for targets that say they leave.
LEAVING_ON_THE_WAY_SECONDS: Final = 2.0
#: Requests that may still come later.
MOST_AFTER_WORD: Final = 2
#: The same for calls to pools, which do not tell which of two entries sent them: each of them
#: may have heard the word, and the second one by its first call.
MOST_AFTER_WORD_OF_POOLS: Final = 2 * MOST_AFTER_WORD + 1
#: Route whose requests run once at most.
ONCE: Final = "refund"
#: Route of event streams.
STREAM: Final = "chat"

#: The whole body of a stream.
WHOLE_STREAM: Final = "".join(
    f"id: {number}\ndata: token {number}\n\n" for number in range(1, EVENTS + 1)
)


@promise("runs once at most")
def _look_for_doubles(journal: RunJournal, runs: Sequence[TargetRun]) -> Iterator[str]:
    counts = Counter(run.request for run in runs)
    for request, count in counts.items():
        if request.startswith(ONCE) and count > 1:
            yield f"{request} ran {count} times"


@promise("a refusal that says not run is true")
def _look_for_false_refusals(journal: RunJournal, runs: Sequence[TargetRun]) -> Iterator[str]:
    ran = {run.request for run in runs}
    for answer in journal.answers:
        if answer.route == ONCE and answer.status == 503 and answer.request in ran:
            yield f"{answer.request} was refused and ran"


@promise("an answer is whole and of its request")
def _look_for_broken_answers(journal: RunJournal, runs: Sequence[TargetRun]) -> Iterator[str]:
    ran = {run.request for run in runs}
    for answer in journal.answers:
        if answer.status != 200:
            continue
        if answer.request not in ran:
            yield f"{answer.request} was answered and never ran"
        if answer.route == STREAM and not WHOLE_STREAM.startswith(answer.body):
            yield f"{answer.request} lacks an event or has one twice: {answer.body!r:.200}"
        if answer.route == STREAM and answer.is_whole and answer.body != WHOLE_STREAM:
            yield f"{answer.request} ended as whole before its last event"


@promise("what was acknowledged is never older")
def _look_for_older(journal: RunJournal, runs: Sequence[TargetRun]) -> Iterator[str]:
    for read in journal.read_back:
        if read.answered < read.acknowledged:
            yield f"version {read.answered} was read after {read.acknowledged} was acknowledged"


@promise("a request that ends targets is kept from them")
def _look_for_ends(journal: RunJournal, runs: Sequence[TargetRun]) -> Iterator[str]:
    deadly = sorted(run.at for run in runs if run.is_deadly)
    if len(deadly) <= ENDS_TO_KNOW:
        return
    known_at = deadly[ENDS_TO_KNOW - 1] + SETTLED_SECONDS
    disturbed = sorted(disturbance.at for disturbance in journal.disturbances)
    late = [at for at in deadly if at > known_at and _is_settled(at, disturbed)]
    if len(late) > ENDS_BEYOND:
        yield f"{len(late)} more targets ended under one request, {len(deadly)} in all"


def _is_settled(at: float, disturbed: Sequence[float]) -> bool:
    """Tell whether no fault began or ended for a while before a moment."""
    index = bisect_left(disturbed, at)
    return index == 0 or at - disturbed[index - 1] > SETTLED_SECONDS


@promise("a target that asks for rest, or leaves, gets nothing from that box")
def _look_for_disregard(journal: RunJournal, runs: Sequence[TargetRun]) -> Iterator[str]:
    pairs: dict[tuple[str, str], list[Arrival]] = {}
    for arrival in journal.arrivals:
        pairs.setdefault((arrival.entry, arrival.target), []).append(arrival)
    for (entry, target), arrivals in pairs.items():
        disturbed = sorted(
            disturbance.at
            for disturbance in journal.disturbances
            if disturbance.process == entry or not entry
        )
        most = MOST_AFTER_WORD if entry else MOST_AFTER_WORD_OF_POOLS
        counts = [_count_disregards(word, arrivals, disturbed) for word in arrivals]
        if max(counts) > most:
            yield f"{entry or 'owners of a pool'}: {max(counts)} to {target} after its word"


def _count_disregards(
    word: Arrival, arrivals: Sequence[Arrival], disturbed: Sequence[float]
) -> int:
    """Return the requests that came after a word of a target, though their sender had heard it."""
    return sum(
        _disregards(later, word, disturbed) and not _may_be_of_another(later, word, arrivals)
        for later in arrivals
    )


def _may_be_of_another(later: Arrival, word: Arrival, arrivals: Sequence[Arrival]) -> bool:
    """Tell whether a call to a pool may come from an entry that has waited its time.

    Calls do not name who sent them.  Where another call was told the same shortly before, its
    sender is free again while the sender of this one is not.
    """
    if later.entry:
        return False
    return any(
        other.rest > 0
        and word.at - word.rest < other.at < word.at < other.at + other.rest <= later.at
        for other in arrivals
    )


def _disregards(later: Arrival, word: Arrival, disturbed: Sequence[float]) -> bool:
    """Tell whether a request came though its sender had heard that the target wants none.

    A fault in between may have ended the sender, and what it knew.
    """
    begins, ends = word.at + ON_THE_WAY_SECONDS, word.at + word.rest
    if word.is_leaving:
        begins, ends = word.at + LEAVING_ON_THE_WAY_SECONDS, float("inf")
    if not begins < later.at < ends:
        return False
    return bisect_left(disturbed, word.at) == bisect_left(disturbed, later.at)


@promise("processes end only when they are ended")
def _look_for_own_ends(journal: RunJournal, runs: Sequence[TargetRun]) -> Iterator[str]:
    yield from journal.own_ends
