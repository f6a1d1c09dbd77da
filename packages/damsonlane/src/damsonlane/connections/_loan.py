"""One loan of connections, as its lender and its borrower see it."""

from dataclasses import replace

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class _Grant:
    """A number of connections that a borrower may use until a time."""

    #: By the clock of the box that keeps the loan, in seconds.
    until: float
    #: Number of connections.
    count: int


@dataclass(frozen=True, kw_only=True)
class Loan:
    """What one borrower has of one lender's connections to one target."""

    #: Grants that may not have expired; they are of the same connections, so the largest counts.
    grants: tuple[_Grant, ...] = ()
    #: Connections that the borrower wanted last.
    wanted: int = 0

    def count(self, now: float) -> int:
        """Return the connections that the borrower may use."""
        return max((grant.count for grant in self.grants if grant.until > now), default=0)

    def with_at_most(self, held: int, now: float) -> "Loan":
        """Return the loan of a borrower that uses no more than some connections from now on."""
        grants = tuple(
            replace(grant, count=min(grant.count, held))
            for grant in self.grants
            if grant.until > now and held
        )
        return replace(self, grants=grants)

    def with_grant(self, count: int, until: float) -> "Loan":
        """Return the loan with one more grant."""
        return replace(self, grants=(*self.grants, _Grant(until=until, count=count)))
