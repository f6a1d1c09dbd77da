"""Pieces in the queue of a pool, and the capacity of the pool when a target is free."""

from collections.abc import Mapping

from damsonlane.pools._pieces import PieceOrder
from damsonlane.records import dataclass


@dataclass(frozen=True, kw_only=True)
class WaitingPiece:
    """A piece in the queue."""

    #: The order.
    order: PieceOrder
    #: Name of the sender, to which the result is returned.
    sender: str
    #: Deadline after which nobody waits for the result, by the monotonic clock.
    deadline_at: float
    #: When the result must be available to meet the latency objective, by the same clock.
    objective_at: float
    #: Until when the request may be abandoned, by the same clock.
    abandonable_until: float = float("inf")
    #: Number of times that the piece was sent to a target.
    attempts: int = 0
    #: Whether it was found to miss its latency objective and is served late.
    is_late: bool = False

    @property
    def identity(self) -> tuple[str, int]:
        """Sender and number of the order."""
        return (self.sender, self.order.number)

    @property
    def queued_at(self) -> float:
        """When its order arrived, by the same clock."""
        return self.deadline_at - self.order.left_seconds

    @property
    def is_unstarted(self) -> bool:
        """Whether no work has been done for the request yet."""
        return not (self.order.inputs or self.order.is_begun or self.attempts)

    @property
    def group(self) -> tuple[str, str, int]:
        """Sender, request and stage; the pieces of one group are needed together."""
        return (self.sender, self.order.request, self.order.stage)


@dataclass(frozen=True, kw_only=True)
class CallCapacity:
    """A target that can take a call, and the capacity of its pool."""

    #: Data centre of the target.
    data_centre: str
    #: Free result memory of the target, in bytes.
    result_memory_bytes: int
    #: Seconds until a target is free, for each data centre with a usable target.
    seconds_until_free: Mapping[str, float]
    #: Seconds until each usable target is free and below its rate limit.
    busy_seconds: tuple[float, ...]
    #: Maximum number of pieces in one call.
    batch: int
    #: Fixed time of a call besides its pieces, in seconds.
    call_seconds: float
    #: Time of one piece, in seconds.
    piece_seconds: float
    #: Measured throughput under load, as a share of the nominal throughput.
    throughput_ratio: float = 1.0
    #: Seconds for which all targets of the pool back off; 0 if any is usable.
    backoff_seconds: float = 0.0
    #: Minimum seconds from one call to the next at each usable target, by its rate limit;
    #: empty if no target announced one.
    call_interval_seconds: tuple[float, ...] = ()

    @property
    def targets(self) -> int:
        """Number of usable targets of the pool."""
        return len(self.busy_seconds)

    @property
    def full_seconds(self) -> float:
        """Time of a call with the maximum number of pieces."""
        return self.call_seconds + self.batch * self.piece_seconds

    @property
    def pieces_at_once(self) -> int:
        """Maximum number of pieces that the targets of the pool process at the same time."""
        return self.batch * max(1, self.targets)

    @property
    def pieces_within_call(self) -> int:
        """Number of pieces that usable targets take now or within the time of one call.

        A target whose next call is delayed by its rate limit counts as a fraction, so this may
        be 0: pieces that would be late after that call are refused rather than kept.
        """
        if not self.call_interval_seconds:
            return self.batch * self.targets
        parts = (
            1.0 if busy <= 0 else self.full_seconds / cycle
            for busy, cycle in zip(self.busy_seconds, self._cycles(), strict=True)
        )
        return int(self.batch * sum(parts))

    @property
    def pieces_per_second(self) -> float:
        """Throughput of the pool under load, in pieces per second."""
        if not self.call_interval_seconds:
            return self.throughput_ratio * self.pieces_at_once / self.full_seconds
        return self.throughput_ratio * self.batch * sum(1.0 / cycle for cycle in self._cycles())

    def _cycles(self) -> tuple[float, ...]:
        """Return the seconds from one full call to the next at each usable target."""
        return tuple(max(self.full_seconds, gap) for gap in self.call_interval_seconds)

    def earliest_completion(self, now: float) -> float:
        """Return when a piece sent now, alone in its call, would be computed at the earliest."""
        return now + self.backoff_seconds + self.call_seconds + self.piece_seconds
