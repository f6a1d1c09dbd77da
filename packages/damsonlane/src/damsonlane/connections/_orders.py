"""What one box asks another one to lend."""

from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class LoanItem:
    """Connections to one target."""

    #: Name of the target.
    target: str
    #: Connections of the lender that the borrower may use: in an order those that it uses at most
    #: from now on, in an answer those that are granted.
    held: int = 0
    #: Connections that the borrower wants to have of the lender.
    wanted: int = 0


@dataclass(frozen=True, kw_only=True)
class LoanOrder:
    """What one lender is asked for."""

    #: Internal address of the lender.
    lender: str
    #: The targets.
    items: tuple[LoanItem, ...]
