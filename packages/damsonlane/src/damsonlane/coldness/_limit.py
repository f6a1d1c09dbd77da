"""What the targets of a service bear while they are cold, divided among who sends to them.

Answers a data centre whose targets come back together while the whole fleet wants them: each
entry sees them idle, so without a bound all of them send there at once and the targets fall
over.  The owner of a service's targets places nearly all work, so it gets the larger part; what
entries choose by themselves, while an owner is silent, gets the smaller one.
"""

from dataclasses import dataclass
from typing import Final

#: Share of the bound that the owner of a service uses.  Two owners may place work for a
#: moment while a list of entries travels, so it is less than half.
OWNER_SHARE: Final = 0.4
#: Share of the bound that all entries use together for what they choose by themselves.
ENTRIES_SHARE: Final = 0.2


@dataclass(frozen=True, kw_only=True)
class ColdBound:
    """Requests that one cold target may get in a second, from all boxes together."""

    #: Requests a second that it bears.
    rate: float
    #: Times that rate which may reach it.
    ratio: float
    #: Requests that may reach it besides.
    slack: float

    def most(self) -> float:
        """Return the requests that may reach it in any second."""
        return self.rate * self.ratio + self.slack

    def owner_limit(self) -> int:
        """Return the requests a second that the owner of its service may place there."""
        return max(1, int(min(max(1.0, self.rate), OWNER_SHARE * self.most())))

    def entries_limit(self) -> int:
        """Return the requests a second that all entries may send there by themselves."""
        return int(ENTRIES_SHARE * self.most())


@dataclass(frozen=True, kw_only=True)
class ColdAllowance:
    """What may reach a cold target beyond the rate that it bears."""

    #: Times that rate.
    ratio: float = 1.5
    #: Requests in a second besides.
    slack: float = 5.0

    def bound(self, rate: float) -> ColdBound:
        """Return the bound for targets that bear a rate, in requests a second."""
        return ColdBound(rate=rate, ratio=self.ratio, slack=self.slack)
