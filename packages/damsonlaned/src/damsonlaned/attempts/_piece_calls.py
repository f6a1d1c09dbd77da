"""Calls that compute pieces; a piece of a silent one may run in another call as well."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from damsonlane.pools import WaitingPiece

#: Sender and number of an order.
PieceIdentity = tuple[str, int]


class PieceCalls:
    """Counts the calls that may return the result of each piece; the first result counts."""

    def __init__(self) -> None:
        self._under_way: Final[Counter[PieceIdentity]] = Counter()
        #: Pieces that were answered while another call was under way.
        self._answered: Final[set[PieceIdentity]] = set()
        self._held: Final[list[_HeldCall]] = []

    def begin(self, pieces: Iterable[WaitingPiece]) -> None:
        """Record that a call with some pieces is sent."""
        self._under_way.update(piece.identity for piece in pieces)

    def end(self, pieces: Sequence[WaitingPiece]) -> tuple[WaitingPiece, ...]:
        """Record that a call has ended; return its pieces that no other call has answered."""
        self._held[:] = [call for call in self._held if call.pieces is not pieces]
        awaited = []
        for piece in pieces:
            identity = piece.identity
            if identity not in self._answered:
                awaited.append(piece)
            self._under_way[identity] -= 1
            if not self._under_way[identity]:
                del self._under_way[identity]
                self._answered.discard(identity)
        return tuple(awaited)

    def is_under_way(self, piece: WaitingPiece) -> bool:
        """Return whether a call may still return the result of a piece."""
        return piece.identity in self._under_way

    def record_answer(self, piece: WaitingPiece) -> None:
        """Record that the order of a piece was answered; silent calls for nothing else end."""
        if self.is_under_way(piece):
            self._answered.add(piece.identity)
            self.drop((piece.identity,))

    def hold(self, pieces: Sequence[WaitingPiece], give_up: Callable[[], None]) -> None:
        """Hold a silent call while somebody waits for one of its pieces.

        Args:
            pieces: its pieces.
            give_up: ends it.
        """
        self._held.append(_HeldCall(pieces, give_up))

    def drop(self, identities: Iterable[PieceIdentity]) -> None:
        """Record pieces that nobody awaits from silent calls any more."""
        for identity in identities:
            for call in self._held:
                call.drop(identity)
        self._held[:] = [call for call in self._held if call.is_awaited()]


class _HeldCall:
    """A silent call, and the pieces that are awaited from it."""

    def __init__(self, pieces: Sequence[WaitingPiece], give_up: Callable[[], None]) -> None:
        #: Its pieces.
        self.pieces: Final = pieces
        self._awaited: Final = {piece.identity for piece in pieces}
        self._give_up: Final = give_up

    def is_awaited(self) -> bool:
        """Return whether a piece of it is awaited."""
        return bool(self._awaited)

    def drop(self, identity: PieceIdentity) -> None:
        """Give up a piece, and the call with its last one."""
        if identity in self._awaited:
            self._awaited.remove(identity)
            if not self._awaited:
                self._give_up()
