"""The entries that order from the owner of a pool, and how it answers them."""

from collections.abc import Sequence
from typing import Protocol

from damsonlane.pools import PieceResult, WaitingPiece


class OrderReceiver(Protocol):
    """Takes back to an entry what became of its orders."""

    def take(self, results: Sequence[PieceResult]) -> None:
        """Take results."""

    def take_read(self, numbers: Sequence[int]) -> None:
        """Take the numbers of orders whose inputs were read."""


class OrderReceivers:
    """Receivers of all senders whose orders an owner takes."""

    def __init__(self) -> None:
        self._receivers: dict[str, OrderReceiver] = {}

    def attach(self, sender: str, receiver: OrderReceiver) -> None:
        """Answer a sender by a receiver from now on."""
        self._receivers[sender] = receiver

    def detach(self, sender: str) -> None:
        """Forget a sender that is gone."""
        self._receivers.pop(sender, None)

    def knows(self, sender: str) -> bool:
        """Tell whether a sender can be answered."""
        return sender in self._receivers

    def give(self, sender: str, result: PieceResult) -> None:
        """Give a result to a sender that is known."""
        self._receivers[sender].take((result,))

    def tell_read(self, pieces: Sequence[WaitingPiece]) -> None:
        """Tell the senders whose inputs were read, so that they give them up."""
        by_sender: dict[str, list[int]] = {}
        for piece in pieces:
            if piece.order.inputs:
                by_sender.setdefault(piece.sender, []).append(piece.order.number)
        for sender, numbers in by_sender.items():
            if sender in self._receivers:
                self._receivers[sender].take_read(numbers)
