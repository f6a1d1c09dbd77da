"""The burn book: part of the replicated state."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from damsonlane.burn._counts import (
    COARSE_KEPT,
    COARSE_SECONDS,
    FINE_KEPT,
    FINE_SECONDS,
    EndingCount,
)

_KEPT: Final = {FINE_SECONDS: FINE_KEPT, COARSE_SECONDS: COARSE_KEPT}


@dataclass(frozen=True, kw_only=True)
class _Bucket:
    organisation: str
    pipeline: str
    start: int
    length: int


class BurnBook:
    """Endings by pipeline, in fine buckets for hours and coarse ones for a month."""

    def __init__(self, counts: Iterable[EndingCount] = ()) -> None:
        self._counts = {_bucket(count): count for count in counts}
        self._newest = max((count.start for count in self._counts.values()), default=0)

    def counts(self) -> tuple[EndingCount, ...]:
        """Return all counts, sorted by pipeline and time."""
        return tuple(
            sorted(
                self._counts.values(),
                key=lambda count: (count.organisation, count.pipeline, count.length, count.start),
            )
        )

    def record(self, counts: Iterable[EndingCount]) -> None:
        """Add fine counts, to their coarse buckets as well."""
        for count in counts:
            for counted in (count, count.in_bucket_of(COARSE_SECONDS)):
                bucket = _bucket(counted)
                known = self._counts.get(bucket)
                self._counts[bucket] = known.with_more(counted) if known else counted
            if count.start > self._newest:
                self._newest = count.start
                self._forget()

    def _forget(self) -> None:
        old = [
            bucket
            for bucket in self._counts
            if bucket.start < self._newest - _KEPT.get(bucket.length, FINE_KEPT)
        ]
        for bucket in old:
            del self._counts[bucket]


def _bucket(count: EndingCount) -> _Bucket:
    return _Bucket(
        organisation=count.organisation,
        pipeline=count.pipeline,
        start=count.start,
        length=count.length,
    )
