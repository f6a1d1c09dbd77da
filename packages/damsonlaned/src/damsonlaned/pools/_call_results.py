"""Delivers the results of calls to pool targets, and queues pieces without a result again."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

from damsonlane.pools import PieceQueue, WaitingPiece
from damsonlaned.attempts import PieceCalls
from damsonlaned.dialects import ComputedPiece
from damsonlaned.gateway._order_receivers import OrderReceivers
from damsonlaned.gateway._piece_answers import PieceAnswers
from damsonlaned.gateway._pool_calls import BatchCall
from damsonlaned.gateway._pool_metrics import PoolMetrics
from damsonlaned.quarantine import PieceQuarantine

#: Calls in which a piece may run before it counts as failed.
MAX_ATTEMPTS: Final = 3


class CallResults:
    """Decides for each piece of a call whether it is answered, runs again or has failed.

    Args:
        queue: the pieces that wait.
        piece_calls: the calls under way, by piece.
        receivers: the entries that ordered pieces.
        answers: answers them.
        quarantine: tells which pieces may make targets exit.
        metrics: counts pieces for which a target lacked memory.
        free: frees results at the targets that computed them.
    """

    def __init__(
        self,
        queue: PieceQueue,
        piece_calls: PieceCalls,
        receivers: OrderReceivers,
        answers: PieceAnswers,
        quarantine: PieceQuarantine,
        metrics: PoolMetrics,
        free: Callable[[Sequence[str]], None],
    ) -> None:
        self._queue: Final = queue
        self._piece_calls: Final = piece_calls
        self._receivers: Final = receivers
        self._answers: Final = answers
        self._quarantine: Final = quarantine
        self._metrics: Final = metrics
        self._free: Final = free

    def deliver(
        self,
        call: BatchCall,
        computed: Sequence[ComputedPiece],
        pieces: Sequence[WaitingPiece],
        now: float,
    ) -> dict[str, int]:
        """Deliver the results of a call; return their sizes by handle.

        Args:
            call: the call.
            computed: the outcome of each of its pieces.
            pieces: those that no other call has answered; results of others are freed.
            now: time by the loop's clock.
        """
        sizes: dict[str, int] = {}
        failed: list[WaitingPiece] = []
        out_of_memory: list[WaitingPiece] = []
        for piece, result in zip(call.batch, computed, strict=True):
            if result.handle:
                sizes[result.handle] = piece.order.result_bytes
            if piece not in pieces:
                self._free((result.handle,) if result.handle else ())
            elif result.handle:
                self._end_piece(piece)
                self._answers.answer(piece, handle=result.handle)
            elif result.fault in ("late", "lost-input"):
                self._end_piece(piece)
                self._answers.answer(piece, fault=result.fault)
            elif result.fault == "no-room":
                out_of_memory.append(piece)
            else:
                failed.append(piece)
        self._quarantine.record_computed(
            piece.order for piece, result in zip(call.batch, computed, strict=True) if result.handle
        )
        self._record_out_of_memory(call, out_of_memory, sum(sizes.values()), now)
        self.requeue(failed, has_run=True)
        self.requeue(out_of_memory, has_run=False)
        return sizes

    def _end_piece(self, piece: WaitingPiece) -> None:
        """End what else was to compute a piece that is answered."""
        self._queue.cancel(*piece.identity)
        self._piece_calls.record_answer(piece)

    def _record_out_of_memory(
        self, call: BatchCall, pieces: Sequence[WaitingPiece], computed_bytes: int, now: float
    ) -> None:
        """Record pieces for which a target lacked result memory, beside the results it computed."""
        self._metrics.record_out_of_memory(len(pieces))
        if pieces:
            missing = call.free_bytes - computed_bytes
            call.target.result_memory.record_rejection(missing, pieces[0].order.result_bytes, now)

    def requeue(self, pieces: Sequence[WaitingPiece], *, has_run: bool) -> None:
        """Queue pieces again; fail those out of attempts, of suspects or without a sender.

        Pieces of a silent call may wait already, or run in another call.
        """
        for piece in pieces:
            if self._queue.has(piece) or self._piece_calls.is_under_way(piece):
                continue
            attempts = piece.attempts + (1 if has_run else 0)
            if self.may_repeat(piece, attempts):
                self._queue.add(replace(piece, attempts=attempts))
            else:
                self._answers.answer(piece, fault="failed")

    def may_repeat(self, piece: WaitingPiece, attempts: int) -> bool:
        """Return whether a piece may be sent again after some calls in which it may have run."""
        is_suspect = attempts > piece.attempts and self._quarantine.is_suspect(piece.order)
        is_attached = self._receivers.is_attached(piece.sender)
        return attempts < MAX_ATTEMPTS and is_attached and not is_suspect
