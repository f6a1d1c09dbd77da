"""Counts of endings, in buckets of time."""

from dataclasses import dataclass
from typing import Final

#: Length of a fine bucket, in seconds.
FINE_SECONDS: Final = 60
#: Length of a coarse bucket, in seconds.
COARSE_SECONDS: Final = 3600
#: Age at which fine buckets are deleted, in seconds.
FINE_KEPT: Final = 6 * 3600
#: Age at which coarse buckets are deleted, in seconds.
COARSE_KEPT: Final = 31 * 86_400


@dataclass(frozen=True, kw_only=True)
class EndingCount:
    """How many requests of a pipeline ended within one bucket."""

    #: Organisation.
    organisation: str
    #: Its pipeline.
    pipeline: str
    #: Start of the bucket, in seconds since 1970.
    start: int
    #: Length of the bucket, in seconds.
    length: int
    #: Requests answered whole and in time.
    attained: int
    #: All requests.
    total: int

    def with_more(self, other: "EndingCount") -> "EndingCount":
        """Return the count with another of the same bucket added."""
        return EndingCount(
            organisation=self.organisation,
            pipeline=self.pipeline,
            start=self.start,
            length=self.length,
            attained=self.attained + other.attained,
            total=self.total + other.total,
        )

    def in_bucket_of(self, length: int) -> "EndingCount":
        """Return the count as part of the longer bucket that it falls into."""
        return EndingCount(
            organisation=self.organisation,
            pipeline=self.pipeline,
            start=self.start - self.start % length,
            length=length,
            attained=self.attained,
            total=self.total,
        )
