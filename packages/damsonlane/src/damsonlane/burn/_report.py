"""Burn rate: how fast failures use up an error budget."""

from collections.abc import Sequence
from typing import Final

from damsonlane.burn._counts import (
    COARSE_BUCKET_SECONDS,
    FINE_BUCKET_SECONDS,
    FINE_RETENTION_SECONDS,
    CompletionCount,
)
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class Window:
    """A time span over which the burn rate is measured."""

    #: Name of the window.
    name: str
    #: Start, in seconds since 1970.
    start: float
    #: End, in seconds since 1970; not included.
    end: float


@dataclass(frozen=True, kw_only=True)
class Burn:
    """Burn rate of one pipeline over one window."""

    #: Organisation.
    organisation: str
    #: Its pipeline.
    pipeline: str
    #: Name of the window.
    window: str
    #: Completed requests.
    total: int
    #: Share of requests answered completely and in time.
    attainment: float
    #: Burn rate: share of failures divided by the share that the objective allows; at 1 the error
    #: budget is used up exactly.
    rate: float


_SPANS: Final = {
    "5m": 300,
    "1h": 3600,
    "6h": FINE_RETENTION_SECONDS,
    "3d": 3 * 86_400,
    "30d": 30 * 86_400,
}


def list_windows(now: float) -> tuple[Window, ...]:
    """Return the standard windows, which end now.

    Args:
        now: the time, in seconds since 1970.
    """
    return tuple(Window(name=name, start=now - span, end=now) for name, span in _SPANS.items())


def measure_burn(
    counts: Sequence[CompletionCount], window: Window, objective: float
) -> tuple[Burn, ...]:
    """Return the burn rate of each pipeline that had requests in a window.

    Args:
        counts: counts of one or more pipelines.
        window: the time span; fine buckets are used if they cover it.
        objective: share of requests that must be answered completely and in time.
    """
    is_short = window.end - window.start <= FINE_RETENTION_SECONDS
    length = FINE_BUCKET_SECONDS if is_short else COARSE_BUCKET_SECONDS
    chosen = [
        count
        for count in counts
        if count.length == length and window.start - length < count.start < window.end
    ]
    names = sorted({(count.organisation, count.pipeline) for count in chosen})
    return tuple(
        _measure(organisation, pipeline, chosen, window, objective)
        for organisation, pipeline in names
    )


def _measure(
    organisation: str,
    pipeline: str,
    counts: Sequence[CompletionCount],
    window: Window,
    objective: float,
) -> Burn:
    own = [
        count
        for count in counts
        if (count.organisation, count.pipeline) == (organisation, pipeline)
    ]
    total = sum(count.total for count in own)
    attainment = sum(count.attained for count in own) / total
    return Burn(
        organisation=organisation,
        pipeline=pipeline,
        window=window.name,
        total=total,
        attainment=attainment,
        rate=(1.0 - attainment) / (1.0 - objective),
    )
