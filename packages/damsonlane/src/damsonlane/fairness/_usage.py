"""Totals of the work of each organisation, for reports and metrics."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

#: Organisations that are counted by name; the work of further ones is counted together, so that
#: the number of labels and the length of log lines are bounded.
MAX_NAMES: Final = 32
#: Name under which further organisations are counted.
OTHERS: Final = "others"


@dataclass(frozen=True, kw_only=True)
class UsageTotals:
    """Work of one organisation in an interval."""

    #: Work that was started, in seconds of a target or in prompt tokens.
    work: float = 0.0
    #: Pieces or prompts that were started.
    started: int = 0
    #: Pieces that were refused.
    refused: int = 0
    #: Pieces or prompts that were beyond the share of their organisation when they were started
    #: or refused.
    excess: int = 0
    #: Sum of the seconds that the started ones waited.
    wait_seconds: float = 0.0
    #: Part of the capacity that it was last entitled to; None while all demands fit.
    share: float | None = None


def add_totals(earlier: UsageTotals, later: UsageTotals) -> UsageTotals:
    """Return the totals of two consecutive intervals."""
    return UsageTotals(
        work=earlier.work + later.work,
        started=earlier.started + later.started,
        refused=earlier.refused + later.refused,
        excess=earlier.excess + later.excess,
        wait_seconds=earlier.wait_seconds + later.wait_seconds,
        share=earlier.share if later.share is None else later.share,
    )


@dataclass(kw_only=True)
class _Counts:
    work: float = 0.0
    started: int = 0
    refused: int = 0
    excess: int = 0
    wait_seconds: float = 0.0


class OrganisationUsage:
    """Counts the work of organisations since it was last taken."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def record_started(
        self, name: str, work: float, wait_seconds: float, *, is_excess: bool = False
    ) -> None:
        """Count a piece or prompt that was started."""
        counts = self._find(name)
        counts.work += work
        counts.started += 1
        counts.excess += is_excess
        counts.wait_seconds += wait_seconds

    def record_wait(self, name: str, seconds: float) -> None:
        """Add a wait that became known after the start."""
        self._find(name).wait_seconds += seconds

    def record_refused(self, name: str, *, is_excess: bool = False) -> None:
        """Count a piece that was refused."""
        counts = self._find(name)
        counts.refused += 1
        counts.excess += is_excess

    def take(self) -> Mapping[str, UsageTotals]:
        """Return the totals by organisation since the last call of this method."""
        taken = {
            name: UsageTotals(
                work=counts.work,
                started=counts.started,
                refused=counts.refused,
                excess=counts.excess,
                wait_seconds=counts.wait_seconds,
            )
            for name, counts in self._counts.items()
        }
        self._counts.clear()
        return taken

    def _find(self, name: str) -> _Counts:
        if name not in self._counts and len(self._counts) >= MAX_NAMES:
            name = OTHERS
        return self._counts.setdefault(name, _Counts())
