"""Pieces that wait for a target of their pool, and which of them run next."""

from dataclasses import dataclass
from typing import Final

from damsonlane.pools._pieces import PieceOrder

#: Seconds by which one step of rank puts a piece back behind another.  With
#: routes of ranks 0 to 2 this is less than the spread of aims (1.6 to 3.6 s), so
#: a less urgent piece still gets its turn; a first figure, not yet measured.
SECONDS_PER_RANK: Final = 0.4


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


@dataclass(frozen=True, kw_only=True)
class Selection:
    """What the queue gives out for one call."""

    #: Pieces to run, most urgent first.
    batch: tuple[WaitingPiece, ...]
    #: Pieces whose time has run out; they are no longer in the queue.
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

    def select(
        self, now: float, *, limit: int, room: int, call_seconds: float, piece_seconds: float
    ) -> Selection:
        """Take out the pieces for one call, and those that are too late.

        Args:
            now: the monotonic clock.
            limit: most pieces in the call.
            room: bytes free for results at the target.
            call_seconds: time of a call besides its pieces.
            piece_seconds: time of one piece.
        """
        soonest = now + call_seconds + piece_seconds
        late = tuple(piece for piece in self._waiting.values() if piece.due_at < soonest)
        for piece in late:
            del self._waiting[piece.identity]
        batch: list[WaitingPiece] = []
        for piece in sorted(self._waiting.values(), key=lambda item: _urgency(item, soonest)):
            if len(batch) == limit:
                break
            if piece.order.result_bytes <= room:
                room -= piece.order.result_bytes
                batch.append(piece)
        for piece in batch:
            del self._waiting[piece.identity]
        return Selection(batch=tuple(batch), late=late)


def _urgency(piece: WaitingPiece, soonest: float) -> tuple[bool, float]:
    """Pieces that can still keep their request in aim come first, then by time and rank."""
    return (piece.aim_at < soonest, piece.aim_at + piece.order.rank * SECONDS_PER_RANK)
