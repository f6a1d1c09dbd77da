"""Borrows connections that this box needs beyond its own part."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from damsonlane.connections._loan import Loan
from damsonlane.connections._orders import LoanItem, LoanOrder

#: Share of a loan's length after which it is renewed, so that two renewals may be lost.
RENEWAL_SHARE: Final = 0.3
#: Most boxes that are asked at once for more.
MAX_ASKED: Final = 12
#: Boxes that are asked beyond those that could lend what is missing if they had no requests.
SPARE_LENDERS: Final = 2
#: Seconds for which a box that lent nothing is not asked again.
REFUSED_SECONDS: Final = 0.5


class Borrower:
    """Keeps what this box has borrowed, and decides whom to ask for what.

    Args:
        loan_seconds: length of a loan, in seconds.
    """

    def __init__(self, loan_seconds: float) -> None:
        self._loan_seconds: Final = loan_seconds
        #: Loans by lender and by target.
        self._loans: Final[dict[str, dict[str, Loan]]] = {}
        #: When each lender was asked last, and until when it is not asked.
        self._asked_at: Final[dict[str, float]] = {}
        self._refused_until: Final[dict[str, float]] = {}
        #: Lenders whose answers are awaited.
        self._pending: Final[set[str]] = set()

    def count_borrowed(self, target: str, now: float) -> int:
        """Return the connections to a target that are borrowed."""
        return sum(loans[target].count(now) for loans in self._loans.values() if target in loans)

    def list_targets(self) -> set[str]:
        """Return the targets to which connections were borrowed."""
        return {target for loans in self._loans.values() for target in loans}

    def is_idle(self) -> bool:
        """Return whether nothing is borrowed or ordered."""
        return not self._loans and not self._pending

    def plan(
        self,
        needs: Mapping[str, int],
        lenders: Sequence[str],
        rank: Callable[[str], Sequence[str]],
        find_spare: Callable[[str], int],
        now: float,
    ) -> list[LoanOrder]:
        """Return the orders to send now; each is answered or recorded as lost.

        What is no longer needed counts as returned as soon as its order is planned.

        Args:
            needs: connections to each target that are needed beyond the own part.
            lenders: internal addresses of the other boxes.
            rank: returns these addresses in the order in which they are asked for a target.
            find_spare: returns the connections to a target that a box without requests can lend.
            now: the monotonic clock, in seconds.
        """
        self._drop_expired(now)
        missing = {
            target: needed - held
            for target, needed in needs.items()
            if needed > (held := self.count_borrowed(target, now))
        }
        asked = self._list_due(now)
        if missing:
            worst = max(missing, key=lambda target: missing[target])
            number = math.ceil(missing[worst] / max(1, find_spare(worst))) + SPARE_LENDERS
            further = self._list_free(rank(worst), lenders, now)
            asked += further[: min(number, MAX_ASKED - len(asked))]
        kept = self._find_kept(needs, asked, now)
        orders = [self._make_order(lender, kept, missing, len(asked), now) for lender in asked]
        sent = [order for order in orders if order.items]
        self._pending.update(order.lender for order in sent)
        self._asked_at.update((order.lender, now) for order in sent)
        return sent

    def record_answer(
        self, order: LoanOrder, granted: Sequence[LoanItem], asked_at: float, now: float
    ) -> None:
        """Record the answer to an order.

        Args:
            order: the order.
            granted: what the lender granted.
            asked_at: when the order was sent, by the monotonic clock.
            now: the monotonic clock, in seconds.
        """
        self._pending.discard(order.lender)
        loans = self._loans.setdefault(order.lender, {})
        until = asked_at + self._loan_seconds
        for item in granted:
            if item.held and until > now:
                loans[item.target] = loans.get(item.target, Loan()).with_grant(item.held, until)
        if not any(item.held for item in granted):
            self._refused_until[order.lender] = now + REFUSED_SECONDS
        self._drop_expired(now)

    def record_lost(self, order: LoanOrder, now: float) -> None:
        """Record that an order was not answered in time."""
        self._pending.discard(order.lender)
        self._refused_until[order.lender] = now + REFUSED_SECONDS

    def _list_due(self, now: float) -> list[str]:
        """Return the lenders whose loans are to be renewed or returned."""
        before = now - RENEWAL_SHARE * self._loan_seconds
        return [
            lender
            for lender in self._loans
            if lender not in self._pending and self._asked_at.get(lender, -math.inf) <= before
        ]

    def _list_free(self, ranked: Sequence[str], lenders: Sequence[str], now: float) -> list[str]:
        """Return the boxes that may be asked and have lent nothing yet, in a given order."""
        free = {
            lender
            for lender in lenders
            if lender not in self._pending
            and lender not in self._loans
            and self._refused_until.get(lender, -math.inf) <= now
        }
        return [lender for lender in ranked if lender in free]

    def _find_kept(
        self, needs: Mapping[str, int], asked: Sequence[str], now: float
    ) -> dict[str, int]:
        """Return what is needed of the loans of some lenders, beside those of all others."""
        kept = dict(needs)
        for lender, loans in self._loans.items():
            if lender not in asked:
                for target, loan in loans.items():
                    kept[target] = max(0, kept.get(target, 0) - loan.count(now))
        return kept

    def _make_order(
        self,
        lender: str,
        kept: dict[str, int],
        missing: Mapping[str, int],
        asked: int,
        now: float,
    ) -> LoanOrder:
        """Return the order for a lender.

        Args:
            lender: its address.
            kept: what is still needed of the lenders that have no order yet; it is reduced.
            missing: what is needed beyond all loans.
            asked: number of lenders among which that is divided.
            now: the monotonic clock, in seconds.
        """
        loans = self._loans.get(lender, {})
        items: list[LoanItem] = []
        for target in sorted({*loans, *missing}):
            loan = loans.get(target, Loan())
            held = min(loan.count(now), kept.get(target, 0))
            kept[target] = kept.get(target, 0) - held
            if target in loans:
                loans[target] = loan.with_at_most(held, now)
            wanted = held + math.ceil(missing.get(target, 0) / asked)
            if wanted or loan.count(now):
                items.append(LoanItem(target=target, held=held, wanted=wanted))
        return LoanOrder(lender=lender, items=tuple(items))

    def _drop_expired(self, now: float) -> None:
        for lender, loans in tuple(self._loans.items()):
            kept = {target: loan for target, loan in loans.items() if loan.count(now)}
            if kept:
                self._loans[lender] = kept
            else:
                del self._loans[lender]
        for lender in [name for name, until in self._refused_until.items() if until <= now]:
            del self._refused_until[lender]
        for lender in self._asked_at.keys() - self._loans.keys() - self._pending:
            del self._asked_at[lender]
