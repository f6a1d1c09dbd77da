"""Result of a soak run."""

from dataclasses import dataclass

from damsonlane_bench.soak._guarantees import Violation
from damsonlane_bench.soak._plan import Plan


@dataclass(frozen=True, kw_only=True)
class SoakResult:
    """Result of a run."""

    #: Plan of the run.
    plan: Plan
    #: Guarantees that were violated.
    violations: tuple[Violation, ...]
    #: Number of responses that callers received, by status; 0 if no response arrived.
    statuses: dict[int, int]
    #: Number of targets that exited on crash requests, those that share a part among them.
    crash_count: int
    #: Number of responses that reported slowness, and that reported an implausible load.
    slow_reports: int = 0
    implausible_reports: int = 0
    #: Number of streams that began and that callers stopped reading, and of those cut off.
    stalled_reads: int = 0
    cut_reads: int = 0
    #: Number of requests that were passed on to another entry, and of targets that failed since
    #: they rejected too much.
    relayed: int = 0
    falls: int = 0
    #: Tries of callers to resume a stream that went on, and that were refused.
    resumed: int = 0
    refused_tries: int = 0
