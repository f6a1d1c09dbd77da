"""Pieces of stages as one box orders them from another."""

from dataclasses import dataclass
from typing import Literal

#: Why a piece was not made: its time ran out, one of its inputs is lost, or
#: no target managed it.
PieceFault = Literal["late", "lost-input", "failed"]


@dataclass(frozen=True, kw_only=True)
class PieceOrder:
    """One piece of one stage of one request."""

    #: Chosen by the sender; the result carries it back.
    number: int
    #: Id of the request.
    request: str
    #: Index of the stage in the route.
    stage: int
    #: Index of the piece in the stage.
    piece: int
    #: Key of the request's own material, for a stage that needs no other's results.
    material_key: str
    #: Handles of the results that it needs.
    inputs: tuple[str, ...]
    #: Seconds after which nobody waits for the result any more.
    left_seconds: float
    #: Seconds within which the result keeps the request in aim; may be negative.
    aim_left_seconds: float
    #: Seconds within which the request may still be given up; after that its
    #: caller has waited so long that a late answer is better than none.
    give_up_left_seconds: float
    #: Urgency; 0 comes first.
    rank: int
    #: Approximate size of the result.
    result_bytes: int
    #: Whether its caller came back too late to be in aim: it gives way to others of its rank.
    is_late_return: bool = False
    #: Whether the answer to its request has begun, or results of other stages are held.
    is_begun: bool = False
    #: Fingerprint of the request, the same whenever its caller sends it.
    fingerprint: str = ""
    #: Data centre in which it should run, since its inputs or the user of its
    #: result are there; empty when little would have to travel.
    home: str = ""


@dataclass(frozen=True, kw_only=True)
class PieceResult:
    """What became of a piece."""

    #: The number of its order.
    number: int
    #: Handle of the result at its maker, or an empty string.
    handle: str = ""
    #: Why there is none, or None.
    fault: PieceFault | None = None
    #: Seconds that a piece which came now would wait for its turn.
    wait_seconds: float = 0.0
    #: Whether nothing became of it because the pool has another owner now, which
    #: should be asked instead.
    is_returned: bool = False
