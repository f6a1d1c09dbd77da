"""The queue of a pool: which pieces run next, which are too late, and how long others wait."""

from dataclasses import dataclass
from typing import Final

from damsonlane.pools._batch import fill_batch
from damsonlane.pools._pieces import PieceOrder
from damsonlane.pools._taken import TakenWork
from damsonlane.pools._urgency import rate_urgency, reckon_due
from damsonlane.pools._waiting import Offer, WaitingPiece

#: Largest share of a pool that is reckoned to go to more urgent pieces: they come
#: in waves of a few seconds, so a less urgent one is never told to wait for ever.
MOST_TAKEN_SHARE: Final = 0.7


@dataclass(frozen=True, kw_only=True)
class Selection:
    """What the queue gives out for one call."""

    #: Pieces to run, most urgent first.
    batch: tuple[WaitingPiece, ...]
    #: Pieces whose time has run out, or will before their turn; no longer in the queue.
    late: tuple[WaitingPiece, ...]


class PieceQueue:
    """Waiting pieces of one pool."""

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, int], WaitingPiece] = {}
        self._taken: Final = TakenWork()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, piece: WaitingPiece) -> None:
        """Add a piece; one that waits already stays as it is."""
        self._waiting.setdefault(piece.identity, piece)

    def withdraw(self, sender: str, number: int) -> None:
        """Drop a piece that nobody wants any more."""
        self._waiting.pop((sender, number), None)

    def withdraw_all(self, sender: str) -> None:
        """Drop all pieces of a sender that is gone."""
        for identity in [key for key in self._waiting if key[0] == sender]:
            del self._waiting[identity]

    def take_all(self) -> tuple[WaitingPiece, ...]:
        """Take out all pieces."""
        pieces = tuple(self._waiting.values())
        self._waiting.clear()
        return pieces

    def forecast(self, now: float, offer: Offer, like: PieceOrder) -> float:
        """Return the seconds until a piece like another one would begin if it came now.

        Only pieces that go before it count: not the late ones, nor those that
        are less urgent.
        """
        soonest = offer.soonest(now)
        due = reckon_due(now + like.aim_left_seconds, like.rank)
        ahead = sum(rate_urgency(piece, soonest) <= (0, due) for piece in self._waiting.values())
        return ahead / offer.pieces_per_second * self._stretch(like.rank, now, offer)

    def select(self, now: float, offer: Offer) -> Selection:
        """Take out the pieces for one call, and those that are too late."""
        late = self.take_late(now, offer)
        batch = fill_batch(self._order(now, offer), now, offer)
        self._remove(batch)
        for piece in batch:
            self._taken.note(piece.order.rank, now)
        return Selection(batch=tuple(batch), late=late)

    def take_late(self, now: float, offer: Offer) -> tuple[WaitingPiece, ...]:
        """Take out the pieces whose time has run out, or will before their turn."""
        expired = self.take_expired(now, offer)
        hopeless = self._find_hopeless(self._order(now, offer), now, offer)
        self._remove(hopeless)
        return (*expired, *hopeless)

    def take_expired(self, now: float, offer: Offer) -> tuple[WaitingPiece, ...]:
        """Take out the pieces that nobody waits for any longer than a call takes."""
        soonest = offer.soonest(now)
        expired = [piece for piece in self._waiting.values() if piece.due_at < soonest]
        self._remove(expired)
        return tuple(expired)

    def _order(self, now: float, offer: Offer) -> list[WaitingPiece]:
        """Return the waiting pieces, most urgent first."""
        soonest = offer.soonest(now)
        return sorted(self._waiting.values(), key=lambda piece: rate_urgency(piece, soonest))

    def _find_hopeless(
        self, ordered: list[WaitingPiece], now: float, offer: Offer
    ) -> list[WaitingPiece]:
        """Return the pieces whose request would miss its aim in this queue.

        Those of requests that are not begun are told so while their callers can
        still come back.  A begun one is given up as well, since its results take
        the room of answers that are in time, but not once its caller has waited
        for long.  While there are fewer pieces than the targets take at once,
        nothing is hopeless, unless no target works.
        """
        at_once = offer.pieces_at_once if offer.targets else 0
        hopeless: list[WaitingPiece] = []
        for place, piece in enumerate(ordered):
            ahead = place - len(hopeless)
            if ahead < at_once or not (piece.is_first or now < piece.give_up_until):
                continue
            rounds = ahead // offer.pieces_at_once * self._stretch(piece.order.rank, now, offer)
            begins_at = now + rounds * offer.full_seconds
            if begins_at + offer.full_seconds > piece.aim_at:
                hopeless.append(piece)
        return hopeless

    def _stretch(self, rank: int, now: float, offer: Offer) -> float:
        """Return how many times longer pieces of a rank wait, since more urgent ones still come.

        What came lately is reckoned to go on: its share of the pool is not there for others.
        """
        share = self._taken.rate_before(rank, now) / offer.pieces_per_second
        return 1.0 / (1.0 - min(MOST_TAKEN_SHARE, share))

    def _remove(self, pieces: list[WaitingPiece]) -> None:
        for piece in pieces:
            del self._waiting[piece.identity]
