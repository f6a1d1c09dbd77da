"""Check of a soak run: targets that fail if they reject too much seldom do."""

from collections.abc import Iterator, Sequence
from typing import Final

from damsonlane_bench.soak._guarantees import guarantee
from damsonlane_bench.soak._observations import Observations, TargetRun

#: Failures that are allowed each time that targets announce a limit of rejections: some, and a
#: share of the targets.
ALLOWED_FALLS: Final = 2
ALLOWED_SHARE: Final = 0.1


@guarantee("targets that bear few rejections seldom fail by them")
def check_falls(observations: Observations, runs: Sequence[TargetRun]) -> Iterator[str]:
    """Yield a description if targets failed more often than allowed."""
    allowed = sum(
        ALLOWED_FALLS + ALLOWED_SHARE * targets for targets in observations.rejection_limits
    )
    if observations.falls > allowed:
        count = len(observations.rejection_limits)
        yield f"{observations.falls} failures while limits were announced {count} times"
