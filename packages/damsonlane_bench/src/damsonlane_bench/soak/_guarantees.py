"""Registry of the guarantees that a soak run checks."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane_bench.soak._observations import Observations, TargetRun


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A guarantee that did not hold."""

    #: Name of the guarantee.
    guarantee: str
    #: What was observed.
    detail: str


#: Yields a description of each violation of one guarantee.
Check = Callable[[Observations, Sequence[TargetRun]], Iterator[str]]

#: Checks by the name of their guarantee.
GUARANTEES: Final[dict[str, Check]] = {}


def guarantee(name: str) -> Callable[[Check], Check]:
    """Register the decorated function as the check of a guarantee."""

    def register(check: Check) -> Check:
        GUARANTEES[name] = check
        return check

    return register
