"""Time buckets of completed requests: part of the replicated state."""

from collections.abc import Iterable
from typing import Final

from damsonlane.burn._counts import (
    COARSE_BUCKET_SECONDS,
    COARSE_RETENTION_SECONDS,
    FINE_BUCKET_SECONDS,
    FINE_RETENTION_SECONDS,
    CompletionCount,
)
from damsonlane.records import dataclass

_RETENTION_SECONDS: Final = {
    FINE_BUCKET_SECONDS: FINE_RETENTION_SECONDS,
    COARSE_BUCKET_SECONDS: COARSE_RETENTION_SECONDS,
}


@dataclass(frozen=True, kw_only=True)
class _Bucket:
    organisation: str
    pipeline: str
    start: int
    length: int


class BurnBuckets:
    """Completed requests by pipeline, in fine buckets for hours and coarse ones for a month."""

    def __init__(self, counts: Iterable[CompletionCount] = ()) -> None:
        self._counts = {_bucket(count): count for count in counts}
        self._newest = max((count.start for count in self._counts.values()), default=0)

    def counts(self) -> tuple[CompletionCount, ...]:
        """Return all counts, sorted by pipeline and time."""
        return tuple(
            sorted(
                self._counts.values(),
                key=lambda count: (count.organisation, count.pipeline, count.length, count.start),
            )
        )

    def record(self, counts: Iterable[CompletionCount]) -> None:
        """Add fine counts, also to their coarse buckets."""
        for count in counts:
            for counted in (count, count.in_bucket_of(COARSE_BUCKET_SECONDS)):
                bucket = _bucket(counted)
                known = self._counts.get(bucket)
                self._counts[bucket] = known.combined_with(counted) if known else counted
            if count.start > self._newest:
                self._newest = count.start
                self._drop_expired()

    def _drop_expired(self) -> None:
        expired = [
            bucket
            for bucket in self._counts
            if bucket.start
            < self._newest - _RETENTION_SECONDS.get(bucket.length, FINE_RETENTION_SECONDS)
        ]
        for bucket in expired:
            del self._counts[bucket]


def _bucket(count: CompletionCount) -> _Bucket:
    return _Bucket(
        organisation=count.organisation,
        pipeline=count.pipeline,
        start=count.start,
        length=count.length,
    )
