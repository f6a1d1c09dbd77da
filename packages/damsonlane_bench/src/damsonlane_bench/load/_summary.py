"""Figures of one run of the load tool."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from damsonlane_bench.load._sender import Outcome

_MICROSECONDS = 1_000_000
_LONGEST = 120 * _MICROSECONDS


@dataclass(frozen=True, kw_only=True)
class ClassSummary:
    """Figures of one class of requests."""

    #: The class.
    name: str
    #: Requests sent.
    sent: int
    #: Share answered whole and in time.
    attainment: float
    #: Share refused truthfully as not run.
    not_run: float
    #: Share whose outcome is unknown, late or broken.
    other: float
    #: Percentiles of the answered ones' times, in seconds.
    median: float
    p99: float
    p999: float


def summarize(outcomes: Sequence[Outcome]) -> tuple[ClassSummary, ...]:
    """Return figures by class, and over all under the name ``all``."""
    names = sorted({outcome.arrival.request_class.name for outcome in outcomes})
    groups = [
        (name, [o for o in outcomes if o.arrival.request_class.name == name]) for name in names
    ]
    return tuple(_summarize(name, group) for name, group in [*groups, ("all", list(outcomes))])


def _summarize(name: str, outcomes: Sequence[Outcome]) -> ClassSummary:
    kinds = Counter(outcome.kind for outcome in outcomes)
    histogram = HdrHistogram(1, _LONGEST, 3)
    for outcome in outcomes:
        if outcome.kind == "answered":
            histogram.record_value(max(1, int(outcome.seconds * _MICROSECONDS)))
    sent = len(outcomes)

    def percentile(share: float) -> float:
        return float(histogram.get_value_at_percentile(share)) / _MICROSECONDS

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
