"""Which of two waiting pieces goes first."""

from typing import Final

from damsonlane.pools._waiting import WaitingPiece

#: Seconds by which one step of rank puts a piece back behind another.  Two steps
#: are more than the spread of aims (1.6 to 3.6 s), so under load the least urgent
#: requests are refused first; 0.4 s served less on all days of high load (policy.md).
SECONDS_PER_RANK: Final = 1.5


def reckon_due(aim_at: float, rank: int) -> float:
    """Return when a piece is due among others, by its request's aim and rank."""
    return aim_at + rank * SECONDS_PER_RANK


def rate_urgency(piece: WaitingPiece, soonest: float) -> tuple[int, float]:
    """Return the class of a piece, 0 first, and when it is due by its request's aim and rank.

    What can still be in aim goes before what can't: a late answer is worth a
    fraction, and finishing it first would make the next ones late as well.
    Among the late ones, those that are begun go first, since their earlier
    stages are paid for.
    """
    due = reckon_due(piece.aim_at, piece.order.rank)
    if piece.aim_at >= soonest:
        return (0, due)
    return (2, due) if piece.is_first else (1, due)
