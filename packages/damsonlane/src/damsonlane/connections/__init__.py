"""Connections that a target takes from all boxes together: the part of each box, and loans."""

from damsonlane.connections._borrower import Borrower
from damsonlane.connections._division import (
    CONNECTION_SHARE,
    ConnectionPart,
    find_floor,
    find_part,
)
from damsonlane.connections._lender import Lender, divide_evenly
from damsonlane.connections._loan import Loan
from damsonlane.connections._need import ConnectionUse, find_kept, find_need
from damsonlane.connections._orders import LoanItem, LoanOrder

__all__ = [
    "CONNECTION_SHARE",
    "Borrower",
    "ConnectionPart",
    "ConnectionUse",
    "Lender",
    "Loan",
    "LoanItem",
    "LoanOrder",
    "divide_evenly",
    "find_floor",
    "find_kept",
    "find_need",
    "find_part",
]
