"""Telling entries what became of the pieces that they ordered from the owner of a pool."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from damsonlane.pools import PieceFault, PieceResult, WaitingPiece
from damsonlaned.gateway._order_receivers import OrderReceivers
from damsonlaned.gateway._pool_metrics import PoolMetrics
from damsonlaned.gateway._wait_forecasts import WaitForecasts


class PieceAnswers:
    """Answers orders and counts how.

    Args:
        receivers: the entries.
        waits: forecasts that each answer carries.
        metrics: counts what becomes of pieces.
        free: gives up results that no entry takes any more.
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
        """Tell an entry what became of a piece; give its result up if the entry is gone."""
        self._metrics.note_answer(fault)
        if self._receivers.knows(piece.sender):
            now = asyncio.get_running_loop().time()
            result = PieceResult(
                number=piece.order.number,
                handle=handle,
                fault=fault,
                wait_seconds=round(self._waits.seconds(piece.order, now), 3),
            )
            self._receivers.give(piece.sender, result)
        elif handle:
            self._free((handle,))

    def give_back(self, pieces: Sequence[WaitingPiece]) -> None:
        """Return pieces that were not begun, so that their entries order them elsewhere."""
        self._metrics.note_returned(len(pieces))
        for piece in pieces:
            if self._receivers.knows(piece.sender):
                result = PieceResult(number=piece.order.number, is_returned=True)
                self._receivers.give(piece.sender, result)
