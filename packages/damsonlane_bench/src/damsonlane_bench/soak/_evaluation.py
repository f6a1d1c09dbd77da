"""Evaluation of a soak run against all guarantees."""

from collections.abc import Sequence

# Imported for their side effect: each module registers its checks.
from damsonlane_bench.soak import _checks as _checks
from damsonlane_bench.soak import _crashing_callers as _crashing_callers
from damsonlane_bench.soak import _organisation_check as _organisation_check
from damsonlane_bench.soak import _rate_limit_check as _rate_limit_check
from damsonlane_bench.soak import _rejection_check as _rejection_check
from damsonlane_bench.soak import _resuming_callers as _resuming_callers
from damsonlane_bench.soak import _stalled_readers as _stalled_readers
from damsonlane_bench.soak._guarantees import GUARANTEES, Violation
from damsonlane_bench.soak._observations import Observations, TargetRun


def find_violations(observations: Observations, runs: Sequence[TargetRun]) -> tuple[Violation, ...]:
    """Return all violations of all guarantees."""
    return tuple(
        Violation(guarantee=name, detail=detail)
        for name, check in GUARANTEES.items()
        for detail in check(observations, runs)
    )
