"""Counts of completed requests in time buckets."""

from typing import Final

from damsonlane.records import dataclass

#: Length of a fine bucket, in seconds.
FINE_BUCKET_SECONDS: Final = 60
#: Length of a coarse bucket, in seconds.
COARSE_BUCKET_SECONDS: Final = 3600
#: Age at which fine buckets are deleted, in seconds.
FINE_RETENTION_SECONDS: Final = 6 * 3600
#: Age at which coarse buckets are deleted, in seconds.
COARSE_RETENTION_SECONDS: Final = 31 * 86_400


@dataclass(frozen=True, kw_only=True)
class CompletionCount:
    """The requests of a pipeline that completed within one time bucket."""

    #: Organisation.
    organisation: str
    #: Its pipeline.
    pipeline: str
    #: Start of the bucket, in seconds since 1970.
    start: int
    #: Length of the bucket, in seconds.
    length: int
    #: Requests answered completely and in time.
    attained: int
    #: All requests, including failed ones.
    total: int

    def combined_with(self, other: "CompletionCount") -> "CompletionCount":
        """Return the sum of this count and another one of the same bucket."""
        return CompletionCount(
            organisation=self.organisation,
            pipeline=self.pipeline,
            start=self.start,
            length=self.length,
            attained=self.attained + other.attained,
            total=self.total + other.total,
        )

    def in_bucket_of(self, length: int) -> "CompletionCount":
        """Return the count assigned to the longer bucket that contains this one.

        Args:
            length: length of the longer bucket, in seconds.
        """
        return CompletionCount(
            organisation=self.organisation,
            pipeline=self.pipeline,
            start=self.start - self.start % length,
            length=length,
            attained=self.attained,
            total=self.total,
        )
