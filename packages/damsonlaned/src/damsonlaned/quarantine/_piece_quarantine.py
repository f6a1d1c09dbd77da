"""What the quarantine says about the pieces that one pool computes."""

from collections.abc import Collection, Iterable, Sequence
from typing import Final

from damsonlane.pools import PieceOrder, WaitingPiece
from damsonlane.quarantine import InterruptedRequest, RequestCauses
from damsonlaned.quarantine._quarantine import Quarantine


class PieceQuarantine:
    """Finds pieces that may make the targets of a pool exit.

    Args:
        quarantine: the quarantine of this entry.
        service: service of the pool.
    """

    def __init__(self, quarantine: Quarantine, service: str) -> None:
        self._quarantine: Final = quarantine
        self._service: Final = service

    def is_quarantined(self, order: PieceOrder) -> bool:
        """Return whether a piece may be sent to no target."""
        return self._quarantine.find_quarantined(self._list_names(order)) is not None

    def is_suspect(self, order: PieceOrder) -> bool:
        """Return whether targets exited while they ran the request of a piece, at any box."""
        return self._quarantine.is_suspect(self._list_names(order)) or self.is_quarantined(order)

    def isolate_suspects(
        self, batch: Sequence[WaitingPiece]
    ) -> tuple[tuple[WaitingPiece, ...], tuple[WaitingPiece, ...]]:
        """Return the part of a batch that may run together, and the other pieces.

        What is suspected of crashing targets runs in calls of its own.  What always shared its
        calls could not be distinguished from it, and would be quarantined as well.
        """
        if self._quarantine.is_list_empty() or not batch:
            return tuple(batch), ()
        first = self._list_suspects(batch[0].order)
        taken: list[WaitingPiece] = []
        others: list[WaitingPiece] = []
        for piece in batch:
            (taken if self._list_suspects(piece.order) == first else others).append(piece)
        return tuple(taken), tuple(others)

    def describe_runs(
        self, batch: Iterable[WaitingPiece], seconds: float
    ) -> tuple[InterruptedRequest, ...]:
        """Return the requests of a call that broke off.

        Args:
            batch: its pieces.
            seconds: time since the call began.
        """
        orders = {piece.order.fingerprint: piece.order for piece in batch}
        return tuple(
            InterruptedRequest(
                fingerprint=name, seconds=seconds, shared=self._list_shared(orders[name])
            )
            for name in sorted(orders)
            if name
        )

    async def wait_until_reported(self, runs: Iterable[InterruptedRequest]) -> None:
        """Wait for a limited time until control has the exits that this entry saw."""
        await self._quarantine.wait_until_reported([name for run in runs for name in run.names])

    def record_computed(self, orders: Iterable[PieceOrder]) -> None:
        """Record that targets computed pieces.

        That shows nothing of a whole request, whose other pieces and last step remain.
        """
        names = {name for order in orders for name in self._list_shared(order)}
        if names:
            self._quarantine.record_served(names)

    def _list_suspects(self, order: PieceOrder) -> frozenset[str]:
        return self._quarantine.list_suspects(self._list_names(order))

    def _list_names(self, order: PieceOrder) -> Collection[str]:
        return (order.fingerprint, *self._list_shared(order))

    def _list_shared(self, order: PieceOrder) -> tuple[str, ...]:
        if not order.shared_causes:
            return ()
        return RequestCauses(shared=order.shared_causes).list_shared(self._service, "")
