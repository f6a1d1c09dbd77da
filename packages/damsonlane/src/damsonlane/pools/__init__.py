"""Stage pools: pieces of work, their scheduling, and the result memory of targets."""

from damsonlane.pools._pieces import PieceFault, PieceOrder, PieceResult
from damsonlane.pools._plan import StagePlan, StageStart
from damsonlane.pools._priorities import RANKS_OF_ROUTES
from damsonlane.pools._queue import PieceQueue, Selection
from damsonlane.pools._room import ResultRoom
from damsonlane.pools._throughput import YieldedWork
from damsonlane.pools._waiting import Offer, WaitingPiece

__all__ = [
    "RANKS_OF_ROUTES",
    "Offer",
    "PieceFault",
    "PieceOrder",
    "PieceQueue",
    "PieceResult",
    "ResultRoom",
    "Selection",
    "StagePlan",
    "StageStart",
    "WaitingPiece",
    "YieldedWork",
]
