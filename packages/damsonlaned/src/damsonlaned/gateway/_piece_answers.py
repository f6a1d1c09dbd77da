"""Answers to the entries that ordered pieces from the owner of a pool."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.pools import PieceFault, PieceResult, WaitingPiece
from damsonlaned.gateway._order_receivers import OrderReceivers
from damsonlaned.gateway._pool_metrics import PoolMetrics
from damsonlaned.gateway._wait_forecasts import WaitForecasts


class PieceAnswers:
    """Answers orders and counts the answers by outcome.

    Args:
        receivers: deliver the answers to entries.
        waits: estimates the queueing time that each answer carries.
        metrics: counts pieces by outcome.
        free: frees results whose entry disconnected.
    """

    def __init__(
        self,
        receivers: OrderReceivers,
        waits: WaitForecasts,
        metrics: PoolMetrics,
        free: Callable[[Sequence[str]], None],
    ) -> None:
        self._receivers: Final = receivers
        self._waits: Final = waits
        self._metrics: Final = metrics
        self._free: Final = free

    def answer(
        self, piece: WaitingPiece, *, handle: str = "", fault: PieceFault | None = None
    ) -> None:
        """Answer the order of a piece; free its result if the entry disconnected."""
        self._metrics.record_outcome(fault)
        if self._receivers.is_attached(piece.sender):
            now = asyncio.get_running_loop().time()
            result = PieceResult(
                number=piece.order.number,
                handle=handle,
                fault=fault,
                wait_seconds=round(self._waits.seconds(piece.order, now), 3),
            )
            self._receivers.deliver(piece.sender, result)
        elif handle:
            self._free((handle,))

    def return_to_senders(self, pieces: Sequence[WaitingPiece]) -> None:
        """Return unstarted pieces to their entries, which order them from the new owner."""
        self._metrics.record_returned(len(pieces))
        for piece in pieces:
            if self._receivers.is_attached(piece.sender):
                result = PieceResult(number=piece.order.number, is_returned=True)
                self._receivers.deliver(piece.sender, result)
