"""Pieces that wait for a target of their pool, and which of them run next."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from damsonlane.pools._pieces import PieceOrder

#: Seconds by which one step of rank puts a piece back behind another.  Two steps
#: are more than the spread of aims (1.6 to 3.6 s), so under load the least urgent
#: requests are refused first; 0.4 s served less on all days of high load (policy.md).
SECONDS_PER_RANK: Final = 1.5
#: Full calls that a piece must still have time for, so that it waits for a
#: target beside its inputs rather than have them sent to another data centre.
CALLS_TO_WAIT: Final = 3.0
#: Longest wait for such a target, in seconds.  Inputs take room at their makers
#: meanwhile, which binds the pool before this one when traffic is high.
HOME_WAIT_SECONDS: Final = 0.2


@dataclass(frozen=True, kw_only=True)
class WaitingPiece:
    """A piece in the queue."""

    #: The order.
    order: PieceOrder
    #: Who ordered it; results go back there.
    sender: str
    #: When nobody waits for it any more, by the monotonic clock.
    due_at: float
    #: When its result must be there to keep its request in aim.
    aim_at: float
    #: How often it was sent to a target already.
    attempts: int = 0

    @property
    def identity(self) -> tuple[str, int]:
        """Sender and number of the order."""
        return (self.sender, self.order.number)

    @property
    def is_first(self) -> bool:
        """Whether nothing has been done for its request yet."""
        return not self.order.inputs and self.attempts == 0


@dataclass(frozen=True, kw_only=True)
class Offer:
    """A target that could take a call, and the pool it belongs to."""

    #: Its data centre.
    data_centre: str
    #: Bytes free for results there.
    room: int
    #: Seconds until a target is free in each data centre that has one that works.
    free_in: Mapping[str, float]
    #: Targets of the pool that work.
    targets: int
    #: Most pieces in one call.
    batch: int
    #: Time of a call besides its pieces, in seconds.
    call_seconds: float
    #: Time of one piece, in seconds.
    piece_seconds: float

    @property
    def full_seconds(self) -> float:
        """Time of a call with as many pieces as it may have."""
        return self.call_seconds + self.batch * self.piece_seconds


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

    def forecast(self, offer: Offer) -> float:
        """Return the seconds until a piece that comes now would begin, by the pieces waiting."""
        return len(self._waiting) / offer.batch * offer.full_seconds / max(1, offer.targets)

    def select(self, now: float, offer: Offer) -> Selection:
        """Take out the pieces for one call, and those that are too late."""
        soonest = now + offer.call_seconds + offer.piece_seconds
        late = [piece for piece in self._waiting.values() if piece.due_at < soonest]
        self._remove(late)
        ordered = sorted(self._waiting.values(), key=lambda piece: _urgency(piece, soonest))
        hopeless = self._find_hopeless(ordered, now, offer)
        self._remove(hopeless)
        batch = _fill(ordered, hopeless, now, offer)
        self._remove(batch)
        return Selection(batch=tuple(batch), late=(*late, *hopeless))

    def _find_hopeless(
        self, ordered: list[WaitingPiece], now: float, offer: Offer
    ) -> list[WaitingPiece]:
        """Return the pieces whose request is not begun and would miss its aim in this queue.

        They are told so while their callers can still come back.  While there
        are fewer pieces than the targets take at once, nothing is hopeless: a
        late answer is better than none.
        """
        at_once = offer.batch * max(1, offer.targets)
        hopeless: list[WaitingPiece] = []
        for place, piece in enumerate(ordered):
            ahead = place - len(hopeless)
            if ahead < at_once or not piece.is_first:
                continue
            begins_at = now + (ahead // at_once) * offer.full_seconds
            if begins_at + offer.full_seconds > piece.aim_at:
                hopeless.append(piece)
        return hopeless

    def _remove(self, pieces: list[WaitingPiece]) -> None:
        for piece in pieces:
            del self._waiting[piece.identity]


def _fill(
    ordered: list[WaitingPiece], passed_over: list[WaitingPiece], now: float, offer: Offer
) -> list[WaitingPiece]:
    """Return the pieces of one call, within its size and the room for its results."""
    left_out = {piece.identity for piece in passed_over}
    batch: list[WaitingPiece] = []
    room = offer.room
    for piece in ordered:
        if len(batch) == offer.batch:
            break
        if piece.identity in left_out or not _may_run_at(piece, now, offer):
            continue
        if piece.order.result_bytes <= room:
            room -= piece.order.result_bytes
            batch.append(piece)
    return batch


def _may_run_at(piece: WaitingPiece, now: float, offer: Offer) -> bool:
    """Tell whether a piece may run away from its inputs: only where waiting would cost more."""
    home = piece.order.home
    if home in ("", offer.data_centre) or home not in offer.free_in:
        return True
    if offer.free_in[home] > HOME_WAIT_SECONDS:
        return True
    return piece.aim_at < now + CALLS_TO_WAIT * offer.full_seconds


def _urgency(piece: WaitingPiece, soonest: float) -> tuple[int, float]:
    """Return the class of a piece, 0 first, and when it is due by its request's aim and rank.

    What can still be in aim goes before what can't: a late answer is worth a
    fraction, and finishing it first would make the next ones late as well.
    Among the late ones, those that are begun go first, since their earlier
    stages are paid for.
    """
    due = piece.aim_at + piece.order.rank * SECONDS_PER_RANK
    if piece.aim_at >= soonest:
        return (0, due)
    return (2, due) if piece.is_first else (1, due)
