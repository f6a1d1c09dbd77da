"""Lends connections that this box does not need."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Final

from damsonlane.connections._loan import Loan
from damsonlane.connections._orders import LoanItem

#: Most borrowers whose last number is kept.
MAX_NUMBERS: Final = 1_000


class Lender:
    """Keeps what this box has lent of its connections to targets.

    A loan ends by time.  The lender counts from when it answers and the borrower from when it
    asked, so a connection is never used by both.

    Args:
        loan_seconds: length of a loan, in seconds.
    """

    def __init__(self, loan_seconds: float) -> None:
        self._loan_seconds: Final = loan_seconds
        #: Loans by target and by borrower.
        self._loans: Final[dict[str, dict[str, Loan]]] = {}
        #: Number of the last order of each borrower, the latest one last.
        self._numbers: Final[dict[str, int]] = {}

    def count_lent(self, target: str, now: float) -> int:
        """Return the connections to a target that are lent."""
        loans = self._loans.get(target)
        return sum(loan.count(now) for loan in loans.values()) if loans else 0

    def count_all(self, now: float) -> int:
        """Return the connections to all targets that are lent."""
        return sum(self.count_lent(target, now) for target in self._loans)

    def lend(
        self,
        borrower: str,
        number: int,
        items: Sequence[LoanItem],
        available: Mapping[str, int],
        now: float,
    ) -> tuple[LoanItem, ...]:
        """Answer the order of a borrower.

        Args:
            borrower: identity of its process.
            number: number of the order, which increases; an earlier one that arrives late is void.
            items: what the borrower uses at most from now on, and what it wants.
            available: connections to each target that this box can lend to all borrowers together.
            now: the monotonic clock, in seconds.

        Returns:
            What is granted for the length of a loan, as what is held; nothing for a void order.
        """
        self._drop_expired(now)
        if number <= self._numbers.pop(borrower, 0):
            return ()
        self._numbers[borrower] = number
        if len(self._numbers) > MAX_NUMBERS:
            del self._numbers[next(iter(self._numbers))]
        return tuple(self._lend_one(borrower, item, available, now) for item in items)

    def _lend_one(
        self, borrower: str, item: LoanItem, available: Mapping[str, int], now: float
    ) -> LoanItem:
        loans = self._loans.setdefault(item.target, {})
        loan = replace(loans.get(borrower, Loan()).with_at_most(item.held, now), wanted=item.wanted)
        others = sum(known.count(now) for name, known in loans.items() if name != borrower)
        total = available.get(item.target, 0)
        wants = {**{name: known.wanted for name, known in loans.items()}, borrower: item.wanted}
        count = max(0, min(divide_evenly(wants, total)[borrower], total - others))
        loans[borrower] = loan.with_grant(count, now + self._loan_seconds)
        return LoanItem(target=item.target, held=count)

    def _drop_expired(self, now: float) -> None:
        for target, loans in tuple(self._loans.items()):
            kept = {borrower: loan for borrower, loan in loans.items() if loan.count(now)}
            if kept:
                self._loans[target] = kept
            else:
                del self._loans[target]


def divide_evenly(wants: Mapping[str, int], total: int) -> dict[str, int]:
    """Divide whole things so that nobody gets more while another one wants more than it gets.

    Args:
        wants: what each one wants, by name.
        total: number of the things.

    Returns:
        What each one gets, by name.
    """
    parts: dict[str, int] = {}
    left = max(0, total)
    for index, (name, wanted) in enumerate(sorted(wants.items(), key=lambda want: want[1])):
        parts[name] = min(wanted, left // (len(wants) - index))
        left -= parts[name]
    return parts
