"""Stage pools: pieces of work, their scheduling, and the result memory of targets."""

from damsonlane.pools._division import DivisionPolicy, OwnedWork
from damsonlane.pools._order_copies import OrderCopies
from damsonlane.pools._pieces import PieceFault, PieceOrder, PieceResult
from damsonlane.pools._plan import ReadyStage, StageProgress
from damsonlane.pools._priorities import ROUTE_PRIORITY_LEVELS
from damsonlane.pools._queue import CallPlan, PieceQueue, Selection
from damsonlane.pools._result_memory import ResultMemory
from damsonlane.pools._throughput import ThroughputEstimate
from damsonlane.pools._waiting import CallCapacity, WaitingPiece

__all__ = [
    "ROUTE_PRIORITY_LEVELS",
    "CallCapacity",
    "CallPlan",
    "DivisionPolicy",
    "OrderCopies",
    "OwnedWork",
    "PieceFault",
    "PieceOrder",
    "PieceQueue",
    "PieceResult",
    "ResultMemory",
    "Selection",
    "StageProgress",
    "ReadyStage",
    "WaitingPiece",
    "ThroughputEstimate",
]
