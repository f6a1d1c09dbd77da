"""Limits for targets that are warming up, divided among the boxes that send to them.

When the targets of a data centre come back together, every entry sees them idle; without a limit
all entries would send there at once and overload them.  The owner of a service places nearly all
work, so it gets the larger share.  Entries use the smaller one while an owner does not answer.
"""

from typing import Final

from damsonlane.records import dataclass

#: Share of the limit that the owner of a service uses.  It is less than half, since two owners may
#: place work until a new list of entries has reached all boxes.
OWNER_SHARE: Final = 0.4
#: Share of the limit that all entries use together for targets that they choose themselves.
ENTRIES_SHARE: Final = 0.2


@dataclass(frozen=True, kw_only=True)
class WarmupLimit:
    """Requests that a target that is warming up may get in a second from all boxes together."""

    #: Requests a second that it can serve.
    rate: float
    #: Multiple of that rate that may reach it.
    ratio: float
    #: Requests in a second that may reach it in addition.
    slack: float

    def max_requests(self) -> float:
        """Return the most requests that may reach it in any second."""
        return self.rate * self.ratio + self.slack

    def owner_limit(self) -> int:
        """Return the requests a second that the owner of its service may place there."""
        return max(1, int(min(max(1.0, self.rate), OWNER_SHARE * self.max_requests())))

    def entries_limit(self) -> int:
        """Return the requests a second that all entries together may send there by own choice."""
        return int(ENTRIES_SHARE * self.max_requests())


@dataclass(frozen=True, kw_only=True)
class WarmupAllowance:
    """What a target that is warming up may get beyond the rate that it can serve."""

    #: Multiple of that rate.
    ratio: float = 1.5
    #: Requests in a second in addition.
    slack: float = 5.0

    def limit_for(self, rate: float) -> WarmupLimit:
        """Return the limit for targets that can serve a rate, in requests a second."""
        return WarmupLimit(rate=rate, ratio=self.ratio, slack=self.slack)
