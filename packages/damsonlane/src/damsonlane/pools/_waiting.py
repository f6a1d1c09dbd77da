"""What waits in the queue of a pool, and what a target offers it."""

from collections.abc import Mapping
from dataclasses import dataclass

from damsonlane.pools._pieces import PieceOrder


@dataclass(frozen=True, kw_only=True)
class WaitingPiece:
    """A piece in the queue."""

    #: The order.
    order: PieceOrder
    #: Who ordered it; results go back there.
    sender: str
    #: When nobody waits for it any more, by the monotonic clock.
    due_at: float
    #: When its result must be there to keep its request in aim.
    aim_at: float
    #: Until when its request may be given up.
    give_up_until: float = float("inf")
    #: How often it was sent to a target already.
    attempts: int = 0

    @property
    def identity(self) -> tuple[str, int]:
        """Sender and number of the order."""
        return (self.sender, self.order.number)

    @property
    def is_first(self) -> bool:
        """Whether nothing has been done for its request yet."""
        return not (self.order.inputs or self.order.is_begun or self.attempts)

    @property
    def group(self) -> tuple[str, str, int]:
        """Sender, request and stage; the pieces of one group are needed together."""
        return (self.sender, self.order.request, self.order.stage)


@dataclass(frozen=True, kw_only=True)
class Offer:
    """A target that could take a call, and the pool it belongs to."""

    #: Its data centre.
    data_centre: str
    #: Bytes free for results there.
    room: int
    #: Seconds until a target is free in each data centre that has one that works.
    free_in: Mapping[str, float]
    #: Seconds until each target that works is free, or has less than its rate limit again.
    busy_seconds: tuple[float, ...]
    #: Most pieces in one call.
    batch: int
    #: Time of a call besides its pieces, in seconds.
    call_seconds: float
    #: Time of one piece, in seconds.
    piece_seconds: float
    #: What the pool makes while more waits than fits, as a share of what its traits promise.
    yielded_share: float = 1.0
    #: Seconds for which no target of the pool takes a call, since all asked for that.
    return_seconds: float = 0.0
    #: Least seconds from one call to the next at each target that works, by its rate limit;
    #: empty where none named one.
    gap_seconds: tuple[float, ...] = ()

    @property
    def targets(self) -> int:
        """Targets of the pool that work."""
        return len(self.busy_seconds)

    @property
    def full_seconds(self) -> float:
        """Time of a call with as many pieces as it may have."""
        return self.call_seconds + self.batch * self.piece_seconds

    @property
    def pieces_at_once(self) -> int:
        """Most pieces that the targets of the pool take at the same time."""
        return self.batch * max(1, self.targets)

    @property
    def pieces_soon(self) -> int:
        """Most pieces that the targets that work take now, or within a call's length.

        One that takes a call in several times that, by its rate limit, counts as a part of a
        target until then, so this may be 0: what waits for that call is told rather than kept.
        """
        if not self.gap_seconds:
            return self.batch * self.targets
        parts = (
            1.0 if busy <= 0 else self.full_seconds / cycle
            for busy, cycle in zip(self.busy_seconds, self._cycles(), strict=True)
        )
        return int(self.batch * sum(parts))

    @property
    def pieces_per_second(self) -> float:
        """Pieces that the pool makes in a second while more wait than fit."""
        if not self.gap_seconds:
            return self.yielded_share * self.pieces_at_once / self.full_seconds
        return self.yielded_share * self.batch * sum(1.0 / cycle for cycle in self._cycles())

    def _cycles(self) -> tuple[float, ...]:
        """Return the seconds from one full call to the next at each target that works."""
        return tuple(max(self.full_seconds, gap) for gap in self.gap_seconds)

    def soonest(self, now: float) -> float:
        """Return when a piece that is sent now could be made, alone in its call."""
        return now + self.return_seconds + self.call_seconds + self.piece_seconds
