"""Which promises a run broke, by what callers, targets and the operator saw."""

from collections.abc import Sequence

# Each module registers the promises that it looks for.
from damsonlane_bench.soak import _checks as _checks
from damsonlane_bench.soak import _rate_limit_check as _rate_limit_check
from damsonlane_bench.soak._guarantees import PROMISES, Breach
from damsonlane_bench.soak._observations import RunJournal, TargetRun


def judge(journal: RunJournal, runs: Sequence[TargetRun]) -> tuple[Breach, ...]:
    """Return every promise that was broken."""
    return tuple(
        Breach(promise=name, seen=seen)
        for name, look in PROMISES.items()
        for seen in look(journal, runs)
    )
