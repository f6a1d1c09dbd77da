"""Which promises a run broke, by what callers, targets and the operator saw."""

from collections.abc import Sequence

# Each module registers the promises that it looks for.
from damsonlane_bench.soak import _looks as _looks
from damsonlane_bench.soak import _rate_limits as _rate_limits
from damsonlane_bench.soak._journal import RunJournal, TargetRun
from damsonlane_bench.soak._promises import PROMISES, Breach


def judge(journal: RunJournal, runs: Sequence[TargetRun]) -> tuple[Breach, ...]:
    """Return every promise that was broken."""
    return tuple(
        Breach(promise=name, seen=seen)
        for name, look in PROMISES.items()
        for seen in look(journal, runs)
    )
