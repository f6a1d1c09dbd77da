"""Check that no organisation is served much less than the others."""

from collections.abc import Iterator, Sequence
from typing import Final

from damsonlane_bench.soak._guarantees import guarantee
from damsonlane_bench.soak._observations import Observations, TargetRun

#: Smallest ratio of the served share of an organisation to that of all organisations.
MIN_RATIO: Final = 0.25
#: Number of answered requests from which an organisation is compared: below, faults that happen to
#: hit its requests would count as unfairness.
MIN_REQUESTS: Final = 30


@guarantee("no organisation is served less than a quarter as often as all of them")
def _check_organisations(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    """Compare organisations by their answered requests; without an entry, none is served."""
    answered: dict[str, list[bool]] = {}
    for response in observations.responses:
        if response.organisation and response.status:
            answered.setdefault(response.organisation, []).append(response.status == 200)
    total = [is_served for served in answered.values() for is_served in served]
    for organisation, served in answered.items():
        share, usual = sum(served) / len(served), sum(total) / len(total)
        if len(served) >= MIN_REQUESTS and share < MIN_RATIO * usual:
            yield f"{organisation}: {share:.1%} of {len(served)} served, {usual:.1%} of all"
