"""Service-level burn: how fast the allowance for failures is used up."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from damsonlane.burn._counts import COARSE_SECONDS, FINE_KEPT, FINE_SECONDS, EndingCount


@dataclass(frozen=True, kw_only=True)
class Window:
    """A span of time over which burn is shown."""

    #: Its name.
    name: str
    #: First second, since 1970.
    start: float
    #: Second after the last.
    end: float


@dataclass(frozen=True, kw_only=True)
class Burn:
    """Burn of one pipeline over one window."""

    #: Organisation.
    organisation: str
    #: Its pipeline.
    pipeline: str
    #: Name of the window.
    window: str
    #: Requests ended.
    total: int
    #: Share answered whole and in time.
    attainment: float
    #: Share of failures over the share that the objective allows; 1 uses it up exactly.
    rate: float


_SPANS: Final = {"5m": 300, "1h": 3600, "6h": FINE_KEPT, "3d": 3 * 86_400, "30d": 30 * 86_400}


def list_windows(now: float) -> tuple[Window, ...]:
    """Return the usual windows that end now."""
    return tuple(Window(name=name, start=now - span, end=now) for name, span in _SPANS.items())


def measure_burn(
    counts: Sequence[EndingCount], window: Window, objective: float
) -> tuple[Burn, ...]:
    """Return the burn of each pipeline that had requests in a window.

    Args:
        counts: counts of one or more pipelines.
        window: the span; a short one is read from fine buckets.
        objective: share of requests that should be attained.
    """
    is_short = window.end - window.start <= FINE_KEPT
    length = FINE_SECONDS if is_short else COARSE_SECONDS
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
    counts: Sequence[EndingCount],
    window: Window,
    objective: float,
) -> Burn:
    own = [c for c in counts if (c.organisation, c.pipeline) == (organisation, pipeline)]
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
