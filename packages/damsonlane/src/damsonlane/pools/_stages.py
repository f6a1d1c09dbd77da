"""The waiting pieces of a pool, grouped by stage and request."""

from collections.abc import Sequence

from damsonlane.pools._schedule import WaitingStage
from damsonlane.pools._waiting import WaitingPiece


class WaitingStages:
    """Waiting pieces by stage, in the order in which the stages arrived.

    The groups are kept rather than computed, since the queue is searched for every call.
    """

    def __init__(self) -> None:
        self._pieces: dict[tuple[str, int], WaitingPiece] = {}
        self._groups: dict[tuple[str, str, int], dict[tuple[str, int], WaitingPiece]] = {}
        self._stages: dict[tuple[str, str, int], WaitingStage] = {}
        self._listed: Sequence[WaitingStage] | None = None

    def __len__(self) -> int:
        """Return the number of pieces."""
        return len(self._pieces)

    def __contains__(self, identity: tuple[str, int]) -> bool:
        """Return whether a piece is present, by its sender and number."""
        return identity in self._pieces

    def add(self, piece: WaitingPiece) -> None:
        """Add a piece unless it is present already."""
        identity = piece.identity
        if identity in self._pieces:
            return
        self._pieces[identity] = piece
        self._groups.setdefault(piece.group, {})[identity] = piece
        self._forget(piece.group)

    def remove(self, identity: tuple[str, int]) -> None:
        """Remove a piece by its sender and number, if it is present."""
        piece = self._pieces.pop(identity, None)
        if piece is None:
            return
        group = self._groups[piece.group]
        del group[identity]
        if not group:
            del self._groups[piece.group]
        self._forget(piece.group)

    def list_all(self) -> Sequence[WaitingStage]:
        """Return all stages."""
        if self._listed is None:
            self._listed = [self._find_stage(group) for group in self._groups]
        return self._listed

    def _find_stage(self, group: tuple[str, str, int]) -> WaitingStage:
        stage = self._stages.get(group)
        if stage is None:
            stage = WaitingStage(pieces=tuple(self._groups[group].values()))
            self._stages[group] = stage
        return stage

    def _forget(self, group: tuple[str, str, int]) -> None:
        """Discard what was derived from the pieces of a group, since they changed."""
        self._stages.pop(group, None)
        self._listed = None
