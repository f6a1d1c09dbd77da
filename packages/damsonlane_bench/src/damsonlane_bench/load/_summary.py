"""Statistics of one run of the load generator."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from damsonlane_bench.load._sender import Outcome

_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_LATENCY_MICROSECONDS = 120 * _MICROSECONDS_PER_SECOND


@dataclass(frozen=True, kw_only=True)
class ClassSummary:
    """Statistics of one class of requests."""

    #: Name of the class.
    name: str
    #: Number of requests sent.
    sent: int
    #: Share answered within the deadline.
    attainment: float
    #: Share refused with the guarantee that they have not run.
    not_run: float
    #: Share answered late, with unknown outcome, or without a valid response.
    other: float
    #: Percentiles of the latency of those answered within the deadline, in seconds.
    median: float
    p99: float
    p999: float


def summarize(outcomes: Sequence[Outcome]) -> tuple[ClassSummary, ...]:
    """Return statistics for each class, and for all requests under the name ``all``."""
    names = sorted({outcome.arrival.request_class.name for outcome in outcomes})
    groups = [
        (name, [o for o in outcomes if o.arrival.request_class.name == name]) for name in names
    ]
    return tuple(_summarize(name, group) for name, group in [*groups, ("all", list(outcomes))])


def _summarize(name: str, outcomes: Sequence[Outcome]) -> ClassSummary:
    kinds = Counter(outcome.kind for outcome in outcomes)
    histogram = HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, 3)
    for outcome in outcomes:
        if outcome.kind == "answered":
            histogram.record_value(max(1, int(outcome.seconds * _MICROSECONDS_PER_SECOND)))
    sent = len(outcomes)

    def percentile(share: float) -> float:
        return float(histogram.get_value_at_percentile(share)) / _MICROSECONDS_PER_SECOND

    return ClassSummary(
        name=name,
        sent=sent,
        attainment=kinds["answered"] / sent,
        not_run=kinds["not-run"] / sent,
        other=(kinds["late"] + kinds["unknown"] + kinds["broken"]) / sent,
        median=percentile(50),
        p99=percentile(99),
        p999=percentile(99.9),
    )
