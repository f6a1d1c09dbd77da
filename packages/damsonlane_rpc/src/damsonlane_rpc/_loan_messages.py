"""Messages between boxes that lend each other connections to targets."""

from typing import Final

from damsonlane.connections import LoanItem
from damsonlane.records import dataclass
from damsonlane_rpc._methods import unary_method


@dataclass(frozen=True, kw_only=True)
class LoanRequest:
    """Asks a box for connections to targets that it does not need."""

    #: Identity of the process that asks.
    borrower: str
    #: Number of the request, which increases.
    number: int
    #: What the borrower uses at most from now on, and what it wants.
    items: tuple[LoanItem, ...]


@dataclass(frozen=True, kw_only=True)
class LoanReply:
    """What is granted, counted from when the request was sent."""

    items: tuple[LoanItem, ...] = ()


BORROW: Final = unary_method("/damsonlane.Connections/Borrow", LoanRequest, LoanReply)
