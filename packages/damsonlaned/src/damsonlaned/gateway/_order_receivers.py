"""The entries that order from the owner of a pool, with the receivers of their results."""

from collections.abc import Sequence
from typing import Protocol

from damsonlane.pools import PieceResult, WaitingPiece


class OrderReceiver(Protocol):
    """Receives the outcomes of one entry's orders."""

    def receive(self, results: Sequence[PieceResult]) -> None:
        """Receive results."""

    def receive_reads(self, numbers: Sequence[int]) -> None:
        """Receive the numbers of orders whose inputs were read."""


class OrderReceivers:
    """The receivers of all senders that are connected to an owner."""

    def __init__(self) -> None:
        self._receivers: dict[str, OrderReceiver] = {}

    def attach(self, sender: str, receiver: OrderReceiver) -> None:
        """Register the receiver of a sender."""
        self._receivers[sender] = receiver

    def detach(self, sender: str) -> None:
        """Unregister a sender that disconnected."""
        self._receivers.pop(sender, None)

    def is_attached(self, sender: str) -> bool:
        """Return whether a sender is registered."""
        return sender in self._receivers

    def deliver(self, sender: str, result: PieceResult) -> None:
        """Deliver a result to a registered sender."""
        self._receivers[sender].receive((result,))

    def notify_read(self, pieces: Sequence[WaitingPiece]) -> None:
        """Notify senders that inputs were read, so that they can free them."""
        by_sender: dict[str, list[int]] = {}
        for piece in pieces:
            if piece.order.inputs:
                by_sender.setdefault(piece.sender, []).append(piece.order.number)
        for sender, numbers in by_sender.items():
            if sender in self._receivers:
                self._receivers[sender].receive_reads(numbers)
